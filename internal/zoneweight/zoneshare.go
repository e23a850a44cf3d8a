// Package zoneshare decides which part of a zone's new flows goes to the back
// ends of which zone. The load that it answers: callers of one zone who ask for
// more than its back ends can do, while those of other zones have room; callers
// who move from zone to zone; zones whose back ends are fewer, or out of use.
// A zone keeps its flows as long as callers notice nothing of it. What it
// cannot bear goes where there is room, and when all zones are full, all get the
// same. Demand is that of callers, whoever serves them, so that what is decided here
// does not feed back into what it was decided by, and cannot swing.
package zoneweight

import (
	"cmp"
	"math"
	"slices"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

const (
	// Home is the part of its capacity up to which a zone keeps its flows. Where each of
	// many nodes picks among back ends of two slots by chance, requests wait for a third of their
	// own time at half of the capacity, and for as long as that at 0.7 (M/M/2 with exponential
	// times; half of that where times spread as little as work does): below, callers notice nothing. What
	// is known is half a second old, in which a crowd that grows by three times fills the rest: one zone's
	// callers who ask for three times as much lose 0.1% of their credit, 0.8% at a level of 0.7 and 2.5% at 0.85.
	Home = 0.5
	// Remote is the part of a zone's new flows that goes to other zones at the least, so
	// that their back ends are known to answer before they are needed.
	Remote = 0.02
	// MostStep is by how much a part moves in one window of the fleet's news at the most: what
	// one wrong sum can do is bounded, and a whole zone's flows are moved within three windows.
	MostStep = 0.34
)

// Zone is one zone, as a service sees it.
type Zone struct {
	Zone lb.Zone
	// Capacity is what its ready back ends work on at once, in slots.
	Capacity float64
	// Demand is the work that its callers ask for, in slots, and Known tells whether it is
	// known. A zone of which nothing is known is taken to have no room.
	Demand float64
	Known  bool
}

// Weights are the parts of one zone's new flows by the zone of their back ends. They add up to 1.
type Weights map[lb.Zone]float64

// Even gives zones whose callers ask for the same, as much as all back ends can do: what is
// taken while nothing is known. Then all back ends get the same load whatever the load is.
func Even(capacity map[lb.Zone]float64, own lb.Zone, count int) []Zone {
	demand := lb.TotalSlots(capacity) / float64(max(count, 1))
	zones := []Zone{{Zone: own, Capacity: capacity[own], Demand: demand, Known: true}}
	for zone, slots := range capacity {
		if zone != own {
			zones = append(zones, Zone{Zone: zone, Capacity: slots, Demand: demand, Known: true})
		}
	}
	return sorted(zones)
}

// Known gives the zones by what the fleet knows of a service.
func Known(capacity map[lb.Zone]float64, service *fleetload.Service) []Zone {
	demand := make(map[lb.Zone]float64, len(service.Zones))
	var zones []Zone
	for index := range service.Zones {
		zone := &service.Zones[index]
		demand[zone.Zone] = zone.Demand()
		zones = append(zones, Zone{Zone: zone.Zone, Capacity: capacity[zone.Zone], Demand: zone.Demand(), Known: true})
	}
	for zone, slots := range capacity {
		if _, known := demand[zone]; !known {
			zones = append(zones, Zone{Zone: zone, Capacity: slots})
		}
	}
	return sorted(zones)
}

func sorted(zones []Zone) []Zone {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

// Split gives the parts of the new flows of a zone, which keeps them up to the part home
// of its capacity. It gives nil if nothing is known of the zone itself, or no zone has back ends.
func Split(own lb.Zone, zones []Zone, home float64) Weights {
	level, total := levelOf(zones, home)
	self := slices.IndexFunc(zones, func(z Zone) bool { return z.Zone == own })
	if self < 0 || !zones[self].Known || total == 0 {
		return nil
	}
	rooms, room := roomsOf(zones, self, level)
	local := localPart(&zones[self], level)
	if room == 0 && zones[self].Capacity > 0 {
		local = 1 // nowhere is better
	}
	elsewhere := total - zones[self].Capacity
	if elsewhere > 0 {
		local = min(local, 1-Remote)
	}
	parts := Weights{own: local}
	spread := min(Remote, 1-local)
	for index := range zones {
		zone := &zones[index]
		if index == self || zone.Capacity == 0 {
			continue
		}
		switch {
		case room > 0:
			parts[zone.Zone] = spread*zone.Capacity/elsewhere + (1-local-spread)*rooms[index]/room
		default:
			parts[zone.Zone] = (1 - local) * zone.Capacity / elsewhere
		}
	}
	return parts
}

// levelOf gives the part of its capacity up to which each zone's back ends are filled, and
// the capacity of all zones.
func levelOf(zones []Zone, home float64) (level, total float64) {
	demand, capacity := 0.0, 0.0
	for index := range zones {
		total += zones[index].Capacity
		if zones[index].Known {
			demand += zones[index].Demand
			capacity += zones[index].Capacity
		}
	}
	if capacity == 0 {
		return home, total
	}
	return max(home, demand/capacity), total
}

// localPart is the part of its demand that a zone's own back ends bear.
func localPart(zone *Zone, level float64) float64 {
	if zone.Capacity == 0 {
		return 0
	}
	if zone.Demand <= level*zone.Capacity {
		return 1
	}
	return level * zone.Capacity / zone.Demand
}

// roomsOf gives what the other zones bear beyond their own callers' demand.
func roomsOf(zones []Zone, self int, level float64) (rooms []float64, total float64) {
	rooms = make([]float64, len(zones))
	for index := range zones {
		if zone := &zones[index]; index != self && zone.Known {
			rooms[index] = max(0, level*zone.Capacity-zone.Demand)
			total += rooms[index]
		}
	}
	return rooms, total
}

// Approach gives parts that are moved from those before towards wanted ones, by a step at the most.
func Approach(before, wanted Weights, step float64) Weights {
	furthest := 0.0
	for zone := range before {
		furthest = max(furthest, math.Abs(wanted[zone]-before[zone]))
	}
	for zone := range wanted {
		furthest = max(furthest, math.Abs(wanted[zone]-before[zone]))
	}
	if furthest <= step {
		return wanted
	}
	moved := make(Weights, len(wanted))
	part := step / furthest
	for zone, value := range before {
		moved[zone] = value * (1 - part)
	}
	for zone, value := range wanted {
		moved[zone] += value * part
	}
	return moved
}
