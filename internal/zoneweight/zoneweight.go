// Package zoneweight computes how the new flows of one zone are split over the back ends of all
// zones. It handles clients of one zone whose demand exceeds the capacity of its back ends while
// other zones have spare capacity, clients that move between zones, and zones whose back ends are
// few or out of service. A zone keeps its flows as long as its clients see no delay. Demand beyond
// that goes to zones with spare capacity, and when all zones are full, all get the same load.
// Demand is measured at the clients, independent of which back ends serve them. The weights
// therefore do not feed back into their own input and cannot oscillate.
package zoneweight

import (
	"cmp"
	"math"
	"slices"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

const (
	// LocalThreshold is the utilization of a zone up to which it keeps its flows. Where each of
	// many nodes picks at random among back ends of two slots, the mean queueing delay is a third
	// of the service time at a utilization of 0.5, and equals it at 0.7 (M/M/2 with exponential
	// service times; half of that with the small variance of typical work), so clients notice
	// nothing below 0.5. The known demand is half a second old, and the remaining capacity absorbs
	// a surge during that time: if one zone's clients triple their demand, 0.1% of their requests,
	// weighted by importance, are not served in time, against 0.8% with a threshold of 0.7 and 2.5%
	// with 0.85.
	LocalThreshold = 0.5
	// MinRemoteWeight is the minimum fraction of a zone's new flows that goes to other zones, so
	// that their back ends are known to respond before they are needed.
	MinRemoteWeight = 0.02
	// MaxStep is the maximum change of a weight per reporting window of the fleet. It bounds the
	// effect of one wrong sum, and still moves all flows of a zone within three windows.
	MaxStep = 0.34
)

// Zone is the state of one zone for one service.
type Zone struct {
	Zone lb.Zone
	// Capacity is the number of requests that the ready back ends process concurrently, in slots.
	Capacity float64
	// Demand is the work that clients in the zone request, in slots. DemandKnown is set if it is
	// known. A zone with unknown demand is assumed to have no spare capacity.
	Demand      float64
	DemandKnown bool
}

// Weights maps the zone of the back ends to its fraction of one zone's new flows. The weights sum
// to 1.
type Weights map[lb.Zone]float64

// EvenZones returns zones with equal demand that together use the capacity of all back ends. It is
// the assumption while demand is unknown, and gives all back ends the same load whatever the actual
// demand.
func EvenZones(capacity map[lb.Zone]float64, own lb.Zone, count int) []Zone {
	demand := lb.TotalSlots(capacity) / float64(max(count, 1))
	zones := []Zone{{Zone: own, Capacity: capacity[own], Demand: demand, DemandKnown: true}}
	for zone, slots := range capacity {
		if zone != own {
			zones = append(zones, Zone{Zone: zone, Capacity: slots, Demand: demand, DemandKnown: true})
		}
	}
	return sortByName(zones)
}

// KnownZones returns the zones with the demand that the fleet has published for a service.
func KnownZones(capacity map[lb.Zone]float64, service *fleetload.Service) []Zone {
	demand := make(map[lb.Zone]float64, len(service.Zones))
	var zones []Zone
	for index := range service.Zones {
		zone := &service.Zones[index]
		demand[zone.Zone] = zone.Demand()
		zones = append(zones, Zone{Zone: zone.Zone, Capacity: capacity[zone.Zone], Demand: zone.Demand(), DemandKnown: true})
	}
	for zone, slots := range capacity {
		if _, known := demand[zone]; !known {
			zones = append(zones, Zone{Zone: zone, Capacity: slots})
		}
	}
	return sortByName(zones)
}

func sortByName(zones []Zone) []Zone {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

// Split returns the weights for the new flows of a zone, which keeps its flows up to the given
// threshold of its utilization. It returns nil if the demand of the zone itself is unknown, or if
// no zone has back ends.
func Split(own lb.Zone, zones []Zone, threshold float64) Weights {
	level, total := fillLevel(zones, threshold)
	self := slices.IndexFunc(zones, func(z Zone) bool { return z.Zone == own })
	if self < 0 || !zones[self].DemandKnown || total == 0 {
		return nil
	}
	spare, totalSpare := spareCapacities(zones, self, level)
	local := localWeight(&zones[self], level)
	if totalSpare == 0 && zones[self].Capacity > 0 {
		local = 1 // no zone has spare capacity
	}
	elsewhere := total - zones[self].Capacity
	if elsewhere > 0 {
		local = min(local, 1-MinRemoteWeight)
	}
	weights := Weights{own: local}
	probing := min(MinRemoteWeight, 1-local)
	for index := range zones {
		zone := &zones[index]
		if index == self || zone.Capacity == 0 {
			continue
		}
		switch {
		case totalSpare > 0:
			weights[zone.Zone] = probing*zone.Capacity/elsewhere + (1-local-probing)*spare[index]/totalSpare
		default:
			weights[zone.Zone] = (1 - local) * zone.Capacity / elsewhere
		}
	}
	return weights
}

// fillLevel returns the utilization up to which the back ends of each zone are filled, and the
// total capacity of all zones.
func fillLevel(zones []Zone, threshold float64) (level, total float64) {
	demand, capacity := 0.0, 0.0
	for index := range zones {
		total += zones[index].Capacity
		if zones[index].DemandKnown {
			demand += zones[index].Demand
			capacity += zones[index].Capacity
		}
	}
	if capacity == 0 {
		return threshold, total
	}
	return max(threshold, demand/capacity), total
}

// localWeight returns the fraction of its own demand that a zone's back ends serve.
func localWeight(zone *Zone, level float64) float64 {
	if zone.Capacity == 0 {
		return 0
	}
	if zone.Demand <= level*zone.Capacity {
		return 1
	}
	return level * zone.Capacity / zone.Demand
}

// spareCapacities returns the work that each of the other zones can serve beyond the demand of its
// own clients, in slots, and the total.
func spareCapacities(zones []Zone, self int, level float64) (spare []float64, total float64) {
	spare = make([]float64, len(zones))
	for index := range zones {
		if zone := &zones[index]; index != self && zone.DemandKnown {
			spare[index] = max(0, level*zone.Capacity-zone.Demand)
			total += spare[index]
		}
	}
	return spare, total
}

// MoveTowards returns weights moved from before towards wanted, with a change of at most step in
// any of them.
func MoveTowards(before, wanted Weights, step float64) Weights {
	largest := 0.0
	for zone := range before {
		largest = max(largest, math.Abs(wanted[zone]-before[zone]))
	}
	for zone := range wanted {
		largest = max(largest, math.Abs(wanted[zone]-before[zone]))
	}
	if largest <= step {
		return wanted
	}
	moved := make(Weights, len(wanted))
	fraction := step / largest
	for zone, value := range before {
		moved[zone] = value * (1 - fraction)
	}
	for zone, value := range wanted {
		moved[zone] += value * fraction
	}
	return moved
}
