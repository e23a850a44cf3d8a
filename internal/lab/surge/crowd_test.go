package surge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
)

// seeds are those of all tests here.
var seeds = []uint64{1, 2, 3}

// goodput is the part of all requests that is answered in time, taps counting twice.
func goodput(result *Result) float64 {
	feed, tap := result.Class(Ordinary, 0, 1000), result.Class(Important, 0, 1000)
	return float64(feed.InTime+2*tap.InTime) / float64(feed.Asked+2*tap.Asked)
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// TestNothingIsRefusedBelowWhatBackendsCanDo: half of it, on the mean.
func TestNothingIsRefusedBelowWhatBackendsCanDo(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		result := Run(Default(seed, Adaptive, 1))
		is.Equal(sum(result.Refused), 0)
		is.True(goodput(result) > 0.99)
	}
}

// TestOverloadIsServedByImportance: with a quarter and with half more than back
// ends can do, more is answered in time than without control, and most of
// the more important class.
func TestOverloadIsServedByImportance(t *testing.T) {
	gains := map[float64]float64{2.5: 0.13, 3: 0.09} // by load
	for load, gain := range gains {
		for _, seed := range seeds {
			is := is.New(t)
			with, without := Run(Default(seed, Adaptive, load)), Run(Default(seed, None, load))
			is.True(goodput(with) > goodput(without)+gain)
			is.True(with.Class(Important, 0, 20).Share() > 0.7)
			is.True(with.Shed < without.Shed/2)
			limited := Run(Default(seed, QueueLimit, load))
			is.True(with.Class(Important, 0, 20).Share() > limited.Class(Important, 0, 20).Share()+0.1)
		}
	}
}

// TestNoNodeStarves: each node lets in a like part of the long flows, by what
// comes to it: zones have the same callers, and one of them a node less.
func TestNoNodeStarves(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		scenario := Default(seed, Adaptive, 3)
		result := Run(scenario)
		for node, admitted := range result.Admitted {
			nodes := (scenario.Nodes - node%scenario.Zones + scenario.Zones - 1) / scenario.Zones // of its zone
			part := sum(result.Admitted) / scenario.Zones / nodes
			is.True(admitted > part/2 && admitted < 2*part)
		}
	}
}

// TestNoNodeStarvesAnywhere is TestNoNodeStarves at other loads, numbers of zones and of nodes.
func TestNoNodeStarvesAnywhere(t *testing.T) {
	cases := []struct {
		load         float64
		zones, nodes int
	}{{2.5, 3, 8}, {4, 3, 8}, {3, 4, 7}, {3, 3, 14}, {3, 2, 3}}
	for _, test := range cases {
		for _, seed := range seeds {
			is := is.New(t)
			scenario := Default(seed, Adaptive, test.load)
			scenario.Zones, scenario.Nodes = test.zones, test.nodes
			result := Run(scenario)
			for node, admitted := range result.Admitted {
				nodes := (scenario.Nodes - node%scenario.Zones + scenario.Zones - 1) / scenario.Zones // of its zone
				part := sum(result.Admitted) / scenario.Zones / nodes
				is.True(admitted > part/2 && admitted < 2*part)
			}
		}
	}
}

// TestFlowsOfACrowdLeaveRoom: with the forecast of what open flows bring, more of all is answered in
// time than without it, and more of the more important class.
func TestFlowsOfACrowdLeaveRoom(t *testing.T) {
	for _, load := range []float64{2.5, 3} {
		for _, seed := range seeds {
			is := is.New(t)
			scenario := Default(seed, Adaptive, load)
			with := Run(scenario)
			scenario.Adjust = func(settings *core.Settings) { settings.Overload.CommittedLoad.MinOpenFlowShare = 2 } // never reached
			without := Run(scenario)
			is.True(goodput(with) > goodput(without))
			is.True(with.Class(Important, 0, 20).Share() > without.Class(Important, 0, 20).Share())
		}
	}
}

// TestBackendsShareTheCrowd: no back end works much more than the others.
func TestBackendsShareTheCrowd(t *testing.T) {
	is := is.New(t)
	result := Run(Default(1, Adaptive, 2))
	busiest, total := time.Duration(0), time.Duration(0)
	for _, busy := range result.HostBusy {
		busiest = max(busiest, busy)
		total += busy
	}
	is.True(float64(busiest)*float64(len(result.HostBusy)) < 1.15*float64(total))
}

// TestCalmReturnsWithinThreeSeconds of the end of an overload.
func TestCalmReturnsWithinThreeSeconds(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		scenario := Default(seed, Adaptive, 3)
		scenario.Load = func(at time.Duration) float64 {
			if at < 10*time.Second {
				return 3
			}
			return 1
		}
		result, calm := Run(scenario), Run(Default(seed, Adaptive, 1))
		asked := 0
		for _, class := range scenario.Classes {
			count := result.Class(class.Name, 13, 20)
			is.True(count.Share() > calm.Class(class.Name, 13, 20).Share()-0.02)
			asked += count.Asked
		}
		is.True(100*sum(result.Refused[13:]) < asked)
	}
}

// TestRunsAreAlike: the same scenario gives the same result.
func TestRunsAreAlike(t *testing.T) {
	is := is.New(t)
	is.Equal(Run(Default(5, Adaptive, 2.5)), Run(Default(5, Adaptive, 2.5)))
}
