package tokennode

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/zoneshare"
)

// Bounds of the lines on shares.
const (
	// shareStep is by how much the part of its flows that a zone keeps has changed before a
	// line says so: a tenth of a zone's flows is more than chance moves it by.
	shareStep = 0.1
	// shareInterval is the time between two lines on one service, and shareLines bounds
	// the lines on all of them in that time.
	shareInterval = time.Second
	shareLines    = 10
)

// shareChange is a change of the part of its flows that a zone keeps, with what decided it.
type shareChange struct {
	service      lb.ServiceName
	before, home float64
	// known: the fleet's knowledge decided it, which is age old; else the table, since
	// nothing recent is known.
	known bool
	age   time.Duration
	// asked and capacity are in slots, of the own zone and of all others.
	asked, capacity             float64
	askedOthers, capacityOthers float64
}

// shareLog remembers what was last logged of shares.
type shareLog struct {
	zone  lb.Zone
	told  map[lb.ServiceName]toldShare
	since time.Duration // when lines were last begun to be counted
	lines int
}

type toldShare struct {
	home float64
	at   time.Duration
}

func newShareLog(zone lb.Zone) shareLog {
	return shareLog{zone: zone, told: make(map[lb.ServiceName]toldShare)}
}

// shareInputs is what shares follow from.
type shareInputs struct {
	parts    map[lb.ServiceName]zoneshare.Parts
	known    map[lb.ServiceName]fleetload.Service
	capacity func(lb.ServiceName) map[lb.Zone]float64
}

// note gives the changes that are worth a line now.
func (l *shareLog) note(now time.Duration, inputs *shareInputs) []shareChange {
	if now-l.since >= shareInterval {
		l.since, l.lines = now, 0
	}
	maps.DeleteFunc(l.told, func(service lb.ServiceName, _ toldShare) bool {
		_, there := inputs.parts[service]
		return !there
	})
	var changes []shareChange
	for service, parts := range inputs.parts {
		home := parts[l.zone]
		before, known := l.told[service]
		if !known {
			l.told[service] = toldShare{home: home, at: now - shareInterval}
			continue
		}
		if math.Abs(home-before.home) >= shareStep && now-before.at >= shareInterval {
			changes = append(changes, l.change(now, service, before.home, home, inputs))
		}
	}
	slices.SortFunc(changes, func(a, b shareChange) int { // the largest first
		return cmp.Or(cmp.Compare(math.Abs(b.home-b.before), math.Abs(a.home-a.before)), cmp.Compare(a.service, b.service))
	})
	changes = changes[:max(0, min(len(changes), shareLines-l.lines))]
	l.lines += len(changes)
	for _, change := range changes {
		l.told[change.service] = toldShare{home: change.home, at: now}
	}
	return changes
}

func (l *shareLog) change(now time.Duration, service lb.ServiceName, before, home float64, inputs *shareInputs) shareChange {
	change := shareChange{service: service, before: before, home: home}
	for zone, slots := range inputs.capacity(service) {
		if zone == l.zone {
			change.capacity = slots
		} else {
			change.capacityOthers += slots
		}
	}
	known, found := inputs.known[service]
	if !found {
		return change
	}
	change.known = true
	change.age = max(0, now-known.At)
	for index := range known.Zones {
		if zone := &known.Zones[index]; zone.Zone == l.zone {
			change.asked = zone.Asked()
		} else {
			change.askedOthers += zone.Asked()
		}
	}
	return change
}

// logShares logs changes of the part of its flows that the zone keeps.
func (engine *engine) logShares() {
	inputs := shareInputs{
		parts: engine.core.Shares(), known: engine.load.Services(),
		capacity: func(name lb.ServiceName) map[lb.Zone]float64 { return engine.table.ServiceNamed(name).Capacity() },
	}
	for _, change := range engine.shares.note(engine.last, &inputs) {
		line := engine.logger.Info().
			Str(logging.FieldEvent, string(logging.EventShareChanged)).
			Str(logging.FieldService, string(change.service)).
			Float64(logging.FieldHome, change.home).
			Float64(logging.FieldBefore, change.before).
			Float64(logging.FieldCapacity, change.capacity).
			Float64(logging.FieldCapacityOthers, change.capacityOthers)
		if change.known {
			line = line.Float64(logging.FieldAsked, change.asked).
				Float64(logging.FieldAskedOthers, change.askedOthers).
				Int64(logging.FieldLoadAge, change.age.Milliseconds())
		}
		line.Send()
	}
}
