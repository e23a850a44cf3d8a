package zoneweight

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

func makeZones(demandAndCapacity ...float64) []Zone {
	var made []Zone
	for index := 0; index < len(demandAndCapacity); index += 2 {
		made = append(made, Zone{
			Zone: lb.Zone(fmt.Sprintf("z%d", index/2)), Demand: demandAndCapacity[index],
			Capacity: demandAndCapacity[index+1], DemandKnown: true,
		})
	}
	return made
}

// utilization returns the work that the back ends of each zone get, divided by their capacity.
func utilization(all []Zone, threshold float64) map[lb.Zone]float64 {
	work := map[lb.Zone]float64{}
	for _, from := range all {
		for to, weight := range Split(from.Zone, all, threshold) {
			work[to] += weight * from.Demand
		}
	}
	for _, zone := range all {
		if zone.Capacity > 0 {
			work[zone.Zone] /= zone.Capacity
		}
	}
	return work
}

// TestOverloadedZoneUsesSpareCapacityOfOthers covers a surge in which the clients of one zone
// triple their demand, beyond the capacity of its back ends, while most back ends of the other
// zones are idle.
func TestOverloadedZoneUsesSpareCapacityOfOthers(t *testing.T) {
	is := is.New(t)
	overloaded := makeZones(96, 80, 26, 80, 32, 80)
	for _, used := range utilization(overloaded, LocalThreshold) {
		is.True(used <= 154.0/240+2*MinRemoteWeight) // total demand is above LocalThreshold, so all zones are filled equally
	}
	belowThreshold := makeZones(60, 80, 20, 80, 25, 80)
	for _, used := range utilization(belowThreshold, LocalThreshold) {
		is.True(used <= LocalThreshold+2*MinRemoteWeight) // there is spare capacity below LocalThreshold, so no zone is above it
	}
	is.Equal(Split("z1", overloaded, LocalThreshold)["z1"], 1-MinRemoteWeight) // zones with spare capacity keep their flows
	is.Equal(Split("z2", overloaded, LocalThreshold)["z2"], 1-MinRemoteWeight)
}

// TestFlowsStayLocalBelowThreshold checks that no flow crosses zones unnecessarily, however uneven
// the demand is.
func TestFlowsStayLocalBelowThreshold(t *testing.T) {
	is := is.New(t)
	for _, all := range [][]Zone{makeZones(LocalThreshold*80, 80, 5, 80, 0, 80), makeZones(20, 80, 35, 80, LocalThreshold*80, 80)} {
		for _, zone := range all {
			is.Equal(Split(zone.Zone, all, LocalThreshold)[zone.Zone], 1-MinRemoteWeight)
		}
	}
}

// TestLoadIsEqualWhenAllZonesAreFull checks that all back ends get the same load if demand exceeds
// the total capacity.
func TestLoadIsEqualWhenAllZonesAreFull(t *testing.T) {
	is := is.New(t)
	for _, all := range [][]Zone{makeZones(150, 80, 60, 80, 70, 80), makeZones(90, 80, 90, 80, 90, 80), makeZones(10, 20, 200, 80, 30, 60)} {
		demand, capacity := 0.0, 0.0
		for _, zone := range all {
			demand += zone.Demand
			capacity += zone.Capacity
		}
		for _, used := range utilization(all, LocalThreshold) {
			is.True(math.Abs(used/(demand/capacity)-1) < 0.05)
		}
	}
}

// TestZoneWithoutBackEnds checks that the flows of a zone without back ends go where there is spare
// capacity.
func TestZoneWithoutBackEnds(t *testing.T) {
	is := is.New(t)
	weights := Split("z0", makeZones(30, 0, 70, 80, 10, 80), LocalThreshold)
	is.Equal(weights["z0"], 0.0)
	is.True(weights["z2"] > 0.9) // the other zone is full
	is.Equal(Split("z0", makeZones(30, 0, 0, 0), LocalThreshold), nil)
}

// TestUnknownZoneGetsNoOverflow checks that a zone with unknown demand, because it is partitioned
// or its root node has died, is assumed to have no spare capacity: it gets only the flows that show
// whether its back ends respond.
func TestUnknownZoneGetsNoOverflow(t *testing.T) {
	is := is.New(t)
	all := makeZones(96, 80, 20, 80, 20, 80)
	all[2].DemandKnown = false
	weights := Split("z0", all, LocalThreshold)
	is.True(weights["z2"] <= MinRemoteWeight)
	is.True(weights["z1"] > 0.2)
	all[1].DemandKnown = false
	weights = Split("z0", all, LocalThreshold)
	is.True(weights["z0"] >= 1-MinRemoteWeight) // no zone is known to have spare capacity
	all[0].DemandKnown = false
	is.Equal(Split("z0", all, LocalThreshold), nil)
}

// TestWeightsAlwaysSumToOne checks random demand and capacity, including implausible values that a
// faulty node may report.
func TestWeightsAlwaysSumToOne(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 20_000 {
		var all []Zone
		for index := range 1 + random.IntN(12) {
			zone := Zone{Zone: lb.Zone(fmt.Sprintf("z%02d", index)), DemandKnown: random.IntN(4) > 0}
			if random.IntN(4) > 0 {
				zone.Capacity = float64(random.IntN(100))
			}
			if zone.DemandKnown {
				zone.Demand = math.Exp(random.Float64()*30 - 10)
			}
			all = append(all, zone)
		}
		own := all[random.IntN(len(all))].Zone
		weights := Split(own, all, LocalThreshold)
		if weights == nil {
			continue
		}
		sum := 0.0
		for zone, weight := range weights {
			if !(weight >= 0 && weight <= 1+1e-9) {
				t.Fatalf("weight of zone %s is %v for zones %v", zone, weight, all)
			}
			sum += weight
		}
		if math.Abs(sum-1) > 1e-6 {
			t.Fatalf("weights sum to %v: %v for zones %v", sum, weights, all)
		}
		for index := range all {
			if all[index].Capacity == 0 && weights[all[index].Zone] > 0 {
				t.Fatalf("flows for a zone without back ends: weights %v for zones %v", weights, all)
			}
		}
	}
}

// TestWrongReportMovesWeightsLittle checks that one report changes a weight by a bounded step.
func TestWrongReportMovesWeightsLittle(t *testing.T) {
	is := is.New(t)
	before := Weights{"z0": 0.98, "z1": 0.01, "z2": 0.01}
	wanted := Weights{"z0": 0.02, "z1": 0.97, "z2": 0.01}
	moved := MoveTowards(before, wanted, MaxStep)
	is.True(math.Abs(before["z0"]-moved["z0"]) <= MaxStep+1e-9)
	sum := 0.0
	for _, weight := range moved {
		sum += weight
	}
	is.True(math.Abs(sum-1) < 1e-9)
	for range 3 {
		moved = MoveTowards(moved, wanted, MaxStep)
	}
	is.Equal(moved, wanted)
}

// TestKnownZonesMergesCapacityAndDemand checks zones of which only the capacity or only the demand
// is known.
func TestKnownZonesMergesCapacityAndDemand(t *testing.T) {
	is := is.New(t)
	capacity := map[lb.Zone]float64{"za": 10, "zc": 20}
	service := fleetload.Service{Zones: []fleetload.Zone{
		{Zone: "za", Levels: []fleetload.Level{{Begun: 2, Refused: 1}, {Priority: 2, Begun: 4}}}, {Zone: "zb"},
	}}
	is.Equal(KnownZones(capacity, &service), []Zone{
		{Zone: "za", Capacity: 10, Demand: 7, DemandKnown: true}, {Zone: "zb", DemandKnown: true}, {Zone: "zc", Capacity: 20},
	})
}
