package surge

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetScenario returns a scenario with clients in three zones, each with half as much demand again
// as the zone before. Their total demand exceeds the capacity of all back ends, and each flow
// carries one request. The fleet's load reaches the nodes about half a second late.
func fleetScenario(seed uint64) Scenario {
	s := Default(seed, Adaptive, 2.5)
	s.Nodes, s.Hosts, s.Clients = 24, 30, 300
	s.Classes[0].ReuseFlows = false
	for index := range s.Classes {
		s.Classes[index].Rate *= 2.5
	}
	s.ZoneDemandRatio, s.FleetLoadDelay = 1.5, 400*time.Millisecond
	return s
}

// inTimeShare returns the share of the requests of a class from one zone's clients that were
// answered in time.
func inTimeShare(result *Result, zone int, class string) float64 {
	count := result.Zones[zone][class]
	return count.InTimeShare()
}

// TestZonesAreServedEquallyWithFleetLoad verifies that the shares of requests answered in time
// differ by less than 0.1 between zones although their demand differs, and that they differ by
// more than 0.3 if the nodes do not receive the fleet's load.
func TestZonesAreServedEquallyWithFleetLoad(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		spread := func(result *Result) float64 {
			lowest, highest := 1.0, 0.0
			for zone := range result.Zones {
				lowest, highest = min(lowest, inTimeShare(result, zone, Ordinary)), max(highest, inTimeShare(result, zone, Ordinary))
			}
			return highest - lowest
		}
		scenario := fleetScenario(seed)
		withFleetLoad := Run(scenario)
		is.True(spread(withFleetLoad) < 0.1)
		is.True(withFleetLoad.ClassCount(Important, 3, 20).InTimeShare() > 0.95)
		scenario.FleetLoadDelay = 0
		is.True(spread(Run(scenario)) > 0.3)
	}
}

// TestRestartedNodesConvergeToSameAdmissionRate verifies that, from one second after their restart
// on, nodes that lost their state admit on average over all runs the same share as the other
// nodes, within 0.05.
func TestRestartedNodesConvergeToSameAdmissionRate(t *testing.T) {
	is := is.New(t)
	sums, ticks := [2]float64{}, 0.0
	for _, seed := range testSeeds {
		scenario := fleetScenario(seed)
		scenario.Restart = 10 * time.Second
		for tick, rates := range Run(scenario).AdmissionRates {
			if at := time.Duration(tick) * tickInterval; at < 11*time.Second || at > 18*time.Second {
				continue
			}
			ticks++
			for node, rate := range rates {
				sums[node%2] += rate * 2 / float64(len(rates))
			}
		}
	}
	is.True(math.Abs(sums[0]-sums[1])/ticks < 0.05)
}

// TestNoRefusalsAtHalfLoadWithUnevenZones verifies that nothing is refused at half of the back
// ends' capacity although the zones' demand differs.
func TestNoRefusalsAtHalfLoadWithUnevenZones(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		scenario := fleetScenario(seed)
		scenario.ZoneDemandRatio = 1.2
		scenario.Load = func(time.Duration) float64 { return 1 }
		result := Run(scenario)
		is.Equal(sum(result.Refused), 0)
		is.True(goodput(result) > 0.99)
	}
}
