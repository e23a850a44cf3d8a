package surge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

// newsInterval is the time between news of what all nodes see, and sumTime that over which sums are taken.
const (
	newsInterval = 200 * time.Millisecond
	sumTime      = 300 * time.Millisecond
)

// fleet is what all nodes see together, by plain sums.
type fleet struct {
	at      time.Duration
	seen    map[lb.Zone]map[uint16]fleetload.Level // since the last news, by the zone of the callers
	answers map[lb.Zone]fleetload.Answers          // by the zone of the back ends
	rates   map[lb.Zone]map[uint16]fleetload.Level // smoothed
	loads   map[lb.Zone]fleetload.Answers
}

// note adds what a node in a zone has seen.
func (f *fleet) note(samples []fleetload.Sample, zone lb.Zone) {
	if f.seen == nil {
		f.seen, f.answers = make(map[lb.Zone]map[uint16]fleetload.Level), make(map[lb.Zone]fleetload.Answers)
		f.rates, f.loads = make(map[lb.Zone]map[uint16]fleetload.Level), make(map[lb.Zone]fleetload.Answers)
	}
	if f.seen[zone] == nil {
		f.seen[zone], f.rates[zone] = make(map[uint16]fleetload.Level), make(map[uint16]fleetload.Level)
	}
	for _, sample := range samples {
		for _, level := range sample.Levels {
			sum := f.seen[zone][level.Priority]
			sum.Begun += level.Begun
			sum.Refused += level.Refused
			f.seen[zone][level.Priority] = sum
			if _, known := f.rates[zone][level.Priority]; !known {
				f.rates[zone][level.Priority] = fleetload.Level{}
			}
		}
		for _, answers := range sample.Answers {
			sum := f.answers[answers.Zone]
			sum.Count += answers.Count
			sum.LogSum += answers.LogSum
			sum.Rejected += answers.Rejected
			f.answers[answers.Zone] = sum
			if _, known := f.loads[answers.Zone]; !known {
				f.loads[answers.Zone] = fleetload.Answers{}
			}
		}
	}
}

// sum takes the rates, and gives what is known.
func (f *fleet) sum(now time.Duration) fleetload.Service {
	elapsed := (now - f.at).Seconds()
	f.at = now
	part := 1 - math.Exp(-elapsed/sumTime.Seconds())
	follow := func(rate *float64, seen float64) { *rate += (seen/elapsed - *rate) * part }
	known := fleetload.Service{SummedAt: now}
	for _, name := range slices.Sorted(maps.Keys(f.rates)) {
		zone := fleetload.Zone{Zone: name}
		for priority, rate := range f.rates[name] {
			seen := f.seen[name][priority]
			rate.Priority = priority
			follow(&rate.Begun, seen.Begun)
			follow(&rate.Refused, seen.Refused)
			f.rates[name][priority] = rate
			zone.Levels = append(zone.Levels, rate)
		}
		slices.SortFunc(zone.Levels, func(a, b fleetload.Level) int { return cmp.Compare(a.Priority, b.Priority) })
		load := f.loads[name]
		follow(&load.Count, f.answers[name].Count)
		follow(&load.LogSum, f.answers[name].LogSum)
		follow(&load.Rejected, f.answers[name].Rejected)
		f.loads[name] = load
		zone.Answers, zone.Rejected = load.Count, load.Rejected
		if load.Count > 0 {
			zone.Load = math.Exp(load.LogSum / load.Count)
		}
		known.Zones = append(known.Zones, zone)
		clear(f.seen[name])
	}
	clear(f.answers)
	return known
}

// tell tells all nodes what all of them see, some time later.
func (w *world) tell() {
	known := w.fleet.sum(w.now)
	w.after(w.scenario.News, func() {
		for index := range w.nodes {
			known := known
			known.SummedAt = w.now
			w.step(index, &core.Event{Loads: map[lb.ServiceName]fleetload.Service{"web": known}})
		}
	})
}

// noteParts notes the admitted parts of the least important class.
func (w *world) noteParts() {
	parts := make([]float64, len(w.nodes))
	for index := range w.nodes {
		parts[index] = 1
		for _, status := range w.nodes[index].core.OverloadStatus() {
			for _, level := range status.Levels {
				parts[index] = min(parts[index], level.AdmissionRate)
			}
		}
	}
	w.result.Parts = append(w.result.Parts, parts)
}
