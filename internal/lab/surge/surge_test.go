package surge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
)

// testSeeds are the seeds with which the tests of this package run.
var testSeeds = []uint64{1, 2, 3}

// goodput returns the share of all requests that are answered in time. Important requests count
// twice.
func goodput(result *Result) float64 {
	ordinary, important := result.ClassCount(Ordinary, 0, 1000), result.ClassCount(Important, 0, 1000)
	return float64(ordinary.InTime+2*important.InTime) / float64(ordinary.Requests+2*important.Requests)
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// TestNoRefusalsBelowCapacity verifies that balancers refuse no opening at a mean load of half the
// back ends' capacity.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		result := Run(Default(seed, Adaptive, 1))
		is.Equal(sum(result.Refused), 0)
		is.True(goodput(result) > 0.99)
	}
}

// TestOverloadPrefersImportantRequests verifies that, with demand 25% and 50% above the back ends'
// capacity, more requests are answered in time than without overload control, and most
// requests of the more important class.
func TestOverloadPrefersImportantRequests(t *testing.T) {
	gains := map[float64]float64{2.5: 0.13, 3: 0.09} // by load
	for load, gain := range gains {
		for _, seed := range testSeeds {
			is := is.New(t)
			with, without := Run(Default(seed, Adaptive, load)), Run(Default(seed, None, load))
			is.True(goodput(with) > goodput(without)+gain)
			is.True(with.ClassCount(Important, 0, 20).InTimeShare() > 0.7)
			is.True(with.Shed < without.Shed/2)
			limited := Run(Default(seed, QueueLimit, load))
			is.True(with.ClassCount(Important, 0, 20).InTimeShare() > limited.ClassCount(Important, 0, 20).InTimeShare()+0.1)
		}
	}
}

// TestNodesAdmitSimilarAmounts verifies that each node admits a similar number of long-lived flows
// in proportion to the openings it receives. All zones have equal demand, and one of them has a
// node less than the others.
func TestNodesAdmitSimilarAmounts(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		scenario := Default(seed, Adaptive, 3)
		result := Run(scenario)
		for node, admitted := range result.Admitted {
			nodes := (scenario.Nodes - node%scenario.Zones + scenario.Zones - 1) / scenario.Zones // in the node's zone
			expected := sum(result.Admitted) / scenario.Zones / nodes
			is.True(admitted > expected/2 && admitted < 2*expected)
		}
	}
}

// TestNodesAdmitSimilarAmountsAtOtherSizes repeats TestNodesAdmitSimilarAmounts with other loads
// and other numbers of zones and nodes.
func TestNodesAdmitSimilarAmountsAtOtherSizes(t *testing.T) {
	cases := []struct {
		load         float64
		zones, nodes int
	}{{2.5, 3, 8}, {4, 3, 8}, {3, 4, 7}, {3, 3, 14}, {3, 2, 3}}
	for _, test := range cases {
		for _, seed := range testSeeds {
			is := is.New(t)
			scenario := Default(seed, Adaptive, test.load)
			scenario.Zones, scenario.Nodes = test.zones, test.nodes
			result := Run(scenario)
			for node, admitted := range result.Admitted {
				nodes := (scenario.Nodes - node%scenario.Zones + scenario.Zones - 1) / scenario.Zones // in the node's zone
				expected := sum(result.Admitted) / scenario.Zones / nodes
				is.True(admitted > expected/2 && admitted < 2*expected)
			}
		}
	}
}

// TestCommittedLoadForecastImprovesGoodput verifies that, with the forecast of the load that open
// flows are committed to, more requests are answered in time than without it, both in total and of
// the more important class.
func TestCommittedLoadForecastImprovesGoodput(t *testing.T) {
	for _, load := range []float64{2.5, 3} {
		for _, seed := range testSeeds {
			is := is.New(t)
			scenario := Default(seed, Adaptive, load)
			with := Run(scenario)
			scenario.Adjust = func(settings *core.Settings) { settings.Overload.CommittedLoad.MinOpenFlowShare = 2 } // never reached
			without := Run(scenario)
			is.True(goodput(with) > goodput(without))
			is.True(with.ClassCount(Important, 0, 20).InTimeShare() > without.ClassCount(Important, 0, 20).InTimeShare())
		}
	}
}

// TestBackendsAreEvenlyBusy verifies that no back end is much busier than the others.
func TestBackendsAreEvenlyBusy(t *testing.T) {
	is := is.New(t)
	result := Run(Default(1, Adaptive, 2))
	busiest, total := time.Duration(0), time.Duration(0)
	for _, busy := range result.HostBusy {
		busiest = max(busiest, busy)
		total += busy
	}
	is.True(float64(busiest)*float64(len(result.HostBusy)) < 1.15*float64(total))
}

// TestRecoveryWithinThreeSecondsOfOverload verifies that three seconds after the end of an
// overload, requests are answered in time as in a run without overload, and that almost no opening
// is refused.
func TestRecoveryWithinThreeSecondsOfOverload(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		scenario := Default(seed, Adaptive, 3)
		scenario.Load = func(at time.Duration) float64 {
			if at < 10*time.Second {
				return 3
			}
			return 1
		}
		result, unloaded := Run(scenario), Run(Default(seed, Adaptive, 1))
		requests := 0
		for _, class := range scenario.Classes {
			count := result.ClassCount(class.Name, 13, 20)
			is.True(count.InTimeShare() > unloaded.ClassCount(class.Name, 13, 20).InTimeShare()-0.02)
			requests += count.Requests
		}
		is.True(100*sum(result.Refused[13:]) < requests)
	}
}

// TestRunIsDeterministic verifies that the same scenario produces the same result.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	is.Equal(Run(Default(5, Adaptive, 2.5)), Run(Default(5, Adaptive, 2.5)))
}
