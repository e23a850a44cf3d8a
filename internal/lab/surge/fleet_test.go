package surge

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetScenario has callers of three zones, each of which asks for half more than the one before, ask for
// more than all back ends can do, with flows for one request each. News of it are half a second old.
func fleetScenario(seed uint64) Scenario {
	s := Default(seed, Adaptive, 2.5)
	s.Nodes, s.Hosts, s.Callers = 24, 30, 300
	s.Classes[0].Long = false
	for index := range s.Classes {
		s.Classes[index].Rate *= 2.5
	}
	s.Uneven, s.News = 1.5, 400*time.Millisecond
	return s
}

// shareOf is the part of a class's requests of one zone's callers that was answered in time.
func shareOf(result *Result, zone int, class string) float64 {
	count := result.Zones[zone][class]
	return count.Share()
}

// TestZonesAreServedAlike: callers of all zones get the same, within a tenth of all requests, though they ask
// for different amounts; and without the fleet's news they do not.
func TestZonesAreServedAlike(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		apart := func(result *Result) float64 {
			least, most := 1.0, 0.0
			for zone := range result.Zones {
				least, most = min(least, shareOf(result, zone, Ordinary)), max(most, shareOf(result, zone, Ordinary))
			}
			return most - least
		}
		scenario := fleetScenario(seed)
		together := Run(scenario)
		is.True(apart(together) < 0.1)
		is.True(together.Class(Important, 3, 20).Share() > 0.95)
		scenario.News = 0
		is.True(apart(Run(scenario)) > 0.3)
	}
}

// TestRestartedNodesDecideAlike: what nodes that have forgotten all let in is, in the mean of three runs,
// what the others let in, within 0.05, from a second after the restart on.
func TestRestartedNodesDecideAlike(t *testing.T) {
	is := is.New(t)
	sums, ticks := [2]float64{}, 0.0
	for _, seed := range seeds {
		scenario := fleetScenario(seed)
		scenario.Restart = 10 * time.Second
		for tick, parts := range Run(scenario).Parts {
			if at := time.Duration(tick) * tickInterval; at < 11*time.Second || at > 18*time.Second {
				continue
			}
			ticks++
			for node, part := range parts {
				sums[node%2] += part * 2 / float64(len(parts))
			}
		}
	}
	is.True(math.Abs(sums[0]-sums[1])/ticks < 0.05)
}

// TestCalmFleetRefusesNothing: with half of the work that back ends can do, whatever zones ask for.
func TestCalmFleetRefusesNothing(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		scenario := fleetScenario(seed)
		scenario.Uneven = 1.2
		scenario.Load = func(time.Duration) float64 { return 1 }
		result := Run(scenario)
		is.Equal(sum(result.Refused), 0)
		is.True(goodput(result) > 0.99)
	}
}
