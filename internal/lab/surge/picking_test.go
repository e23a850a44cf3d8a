package surge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
)

// many is a fleet of many nodes, each of which sees little of each host: 1,471
// requests a second at a load of one, 37% of what the hosts can do.
func many(seed uint64, policy Policy, load float64, adjust func(*core.Settings)) Scenario {
	return Scenario{
		Seed: seed, Policy: policy, Zones: 3, Nodes: 71, Hosts: 120, Slots: 2, Queue: 8, Callers: 600,
		Classes: []Class{
			{Name: Ordinary, Priority: 2, Rate: 984, Work: 55 * time.Millisecond, Target: 400 * time.Millisecond, Deadline: 5 * time.Second},
			{Name: Important, Priority: 1, Rate: 487, Work: 72 * time.Millisecond, Target: 400 * time.Millisecond, Deadline: 6 * time.Second},
		},
		Load:     func(time.Duration) float64 { return load },
		MostLoad: load,
		Duration: 8 * time.Second,
		Adjust:   adjust,
	}
}

// slowed makes three hosts in ten five times slower after two seconds.
func slowed(scenario Scenario) Scenario {
	scenario.Slow = func(host int, at time.Duration) float64 {
		if host%10 < 3 && at > 2*time.Second {
			return 5
		}
		return 1
	}
	return scenario
}

func byRank(settings *core.Settings) { settings.Picking = core.PickRank }

// turnsOf picks by turns among a hand; busy: what a request under way counts.
func turnsOf(hand, busy float64) func(*core.Settings) {
	return func(settings *core.Settings) {
		settings.Subset.SubsetSize, settings.Subset.InFlightPenalty = hand, busy
	}
}

// TestTurnsUseHostsBetterThanChance: near 90% of what hosts can do, and without
// overload control, hosts reject less than a tenth of what they reject where each
// flow is placed by chance, and the slowest answers come sooner.
func TestTurnsUseHostsBetterThanChance(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		turns, chance := Run(many(seed, None, 2.42, nil)), Run(many(seed, None, 2.42, byRank))
		is.True(10*turns.Shed < chance.Shed)
		is.True(turns.Percentile(0.99) < chance.Percentile(0.99)*9/10)
		is.True(goodput(turns) > goodput(chance))
	}
}

// TestTurnsAnswerMoreOfACrowd: with more asked for than hosts can do.
func TestTurnsAnswerMoreOfACrowd(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		turns, chance := Run(many(seed, Adaptive, 3, nil)), Run(many(seed, Adaptive, 3, byRank))
		is.True(goodput(turns) > goodput(chance)+0.005)
		is.True(4*turns.Shed < 3*chance.Shed)
	}
}

// TestHandsShowSlowHosts: a node that deals to few hosts sees by itself which are slow.
func TestHandsShowSlowHosts(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		hand := Run(slowed(many(seed, Adaptive, 1.2, nil)))
		all := Run(slowed(many(seed, Adaptive, 1.2, turnsOf(1000, 0))))
		is.True(goodput(hand) > goodput(all)+0.005)
		is.True(3*hand.Shed < all.Shed)
	}
}

// TestPassingOverBusyHostsDoesNotHerd: no host works much more than the others.
func TestPassingOverBusyHostsDoesNotHerd(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		result := Run(many(seed, Adaptive, 2, nil))
		busiest, total := time.Duration(0), time.Duration(0)
		for _, busy := range result.HostBusy {
			busiest = max(busiest, busy)
			total += busy
		}
		is.True(float64(busiest)*float64(len(result.HostBusy)) < 1.15*float64(total))
	}
}
