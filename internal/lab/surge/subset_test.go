package surge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
)

// manyNodes returns a scenario of many nodes, each of which observes few requests of each host. At
// load 1 the clients send 1,471 requests per second, 37% of the hosts' capacity.
func manyNodes(seed uint64, policy Policy, load float64, adjust func(*core.Settings)) Scenario {
	return Scenario{
		Seed: seed, Policy: policy, Zones: 3, Nodes: 71, Hosts: 120, Slots: 2, Queue: 8, Clients: 600,
		Classes: []Class{
			{Name: Ordinary, Priority: 2, Rate: 984, Work: 55 * time.Millisecond, Target: 400 * time.Millisecond, Deadline: 5 * time.Second},
			{Name: Important, Priority: 1, Rate: 487, Work: 72 * time.Millisecond, Target: 400 * time.Millisecond, Deadline: 6 * time.Second},
		},
		Load:     func(time.Duration) float64 { return load },
		MaxLoad:  load,
		Duration: 8 * time.Second,
		Adjust:   adjust,
	}
}

// withSlowHosts returns the scenario with three of ten hosts five times slower after two seconds.
func withSlowHosts(scenario Scenario) Scenario {
	scenario.Slowdown = func(host int, at time.Duration) float64 {
		if host%10 < 3 && at > 2*time.Second {
			return 5
		}
		return 1
	}
	return scenario
}

func pickByRank(settings *core.Settings) { settings.Picking = core.PickRank }

// withSubset returns an adjustment that sets the subset size and the penalty for each request in
// flight.
func withSubset(size, inFlightPenalty float64) func(*core.Settings) {
	return func(settings *core.Settings) {
		settings.Subset.SubsetSize, settings.Subset.InFlightPenalty = size, inFlightPenalty
	}
}

// TestSubsetPickingShedsLessThanRankPicking verifies, near 90% of the hosts' capacity and without
// overload control, that with subsets and round-robin the hosts reject less than a tenth of the
// requests that they reject when each flow is placed by its hash, and that the slowest answers
// arrive sooner.
func TestSubsetPickingShedsLessThanRankPicking(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		bySubset, byRank := Run(manyNodes(seed, None, 2.42, nil)), Run(manyNodes(seed, None, 2.42, pickByRank))
		is.True(10*bySubset.Shed < byRank.Shed)
		is.True(bySubset.Percentile(0.99) < byRank.Percentile(0.99)*9/10)
		is.True(goodput(bySubset) > goodput(byRank))
	}
}

// TestSubsetPickingImprovesGoodputInOverload verifies that with demand above the hosts' capacity,
// subsets with round-robin answer more requests in time than placement by hash.
func TestSubsetPickingImprovesGoodputInOverload(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		bySubset, byRank := Run(manyNodes(seed, Adaptive, 3, nil)), Run(manyNodes(seed, Adaptive, 3, pickByRank))
		is.True(goodput(bySubset) > goodput(byRank)+0.005)
		is.True(4*bySubset.Shed < 3*byRank.Shed)
	}
}

// TestSmallSubsetsRevealSlowHosts verifies that a node whose subset is small detects slow hosts
// from its own requests, so that more requests are answered in time than if each node uses all
// hosts.
func TestSmallSubsetsRevealSlowHosts(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		small := Run(withSlowHosts(manyNodes(seed, Adaptive, 1.2, nil)))
		all := Run(withSlowHosts(manyNodes(seed, Adaptive, 1.2, withSubset(1000, 0))))
		is.True(goodput(small) > goodput(all)+0.005)
		is.True(3*small.Shed < all.Shed)
	}
}

// TestInFlightPenaltyKeepsHostsEvenlyBusy guards against nodes that avoid busy hosts and thereby
// overload the same few others: no host may be much busier than the average.
func TestInFlightPenaltyKeepsHostsEvenlyBusy(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		result := Run(manyNodes(seed, Adaptive, 2, nil))
		busiest, total := time.Duration(0), time.Duration(0)
		for _, busy := range result.HostBusy {
			busiest = max(busiest, busy)
			total += busy
		}
		is.True(float64(busiest)*float64(len(result.HostBusy)) < 1.15*float64(total))
	}
}
