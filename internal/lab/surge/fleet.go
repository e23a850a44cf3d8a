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

// summaryInterval is the time between two publications of the fleet's load. smoothingTime is the
// time constant with which the rates in it are smoothed.
const (
	summaryInterval = 200 * time.Millisecond
	smoothingTime   = 300 * time.Millisecond
)

// fleetSums holds the sums of the load of all nodes. It simulates the aggregation that a real fleet
// performs with messages between nodes.
type fleetSums struct {
	summedAt    time.Duration
	newLevels   map[lb.Zone]map[uint16]fleetload.Level // since the last summary, by the zone of the clients
	newAnswers  map[lb.Zone]fleetload.Answers          // since the last summary, by the zone of the back ends
	levelRates  map[lb.Zone]map[uint16]fleetload.Level // smoothed rates per second
	answerRates map[lb.Zone]fleetload.Answers
}

// add adds the load samples of a node in a zone.
func (f *fleetSums) add(samples []fleetload.Sample, zone lb.Zone) {
	if f.newLevels == nil {
		f.newLevels, f.newAnswers = make(map[lb.Zone]map[uint16]fleetload.Level), make(map[lb.Zone]fleetload.Answers)
		f.levelRates, f.answerRates = make(map[lb.Zone]map[uint16]fleetload.Level), make(map[lb.Zone]fleetload.Answers)
	}
	if f.newLevels[zone] == nil {
		f.newLevels[zone], f.levelRates[zone] = make(map[uint16]fleetload.Level), make(map[uint16]fleetload.Level)
	}
	for _, sample := range samples {
		for _, level := range sample.Levels {
			sum := f.newLevels[zone][level.Priority]
			sum.Begun += level.Begun
			sum.Refused += level.Refused
			f.newLevels[zone][level.Priority] = sum
			if _, known := f.levelRates[zone][level.Priority]; !known {
				f.levelRates[zone][level.Priority] = fleetload.Level{}
			}
		}
		for _, answers := range sample.Answers {
			sum := f.newAnswers[answers.Zone]
			sum.Count += answers.Count
			sum.LogSum += answers.LogSum
			sum.Rejected += answers.Rejected
			f.newAnswers[answers.Zone] = sum
			if _, known := f.answerRates[answers.Zone]; !known {
				f.answerRates[answers.Zone] = fleetload.Answers{}
			}
		}
	}
}

// summarize updates the smoothed rates, resets the sums and returns the resulting load of the
// service.
func (f *fleetSums) summarize(now time.Duration) fleetload.Service {
	elapsed := (now - f.summedAt).Seconds()
	f.summedAt = now
	weight := 1 - math.Exp(-elapsed/smoothingTime.Seconds())
	smooth := func(rate *float64, sum float64) { *rate += (sum/elapsed - *rate) * weight }
	service := fleetload.Service{SummedAt: now}
	for _, name := range slices.Sorted(maps.Keys(f.levelRates)) {
		zone := fleetload.Zone{Zone: name}
		for priority, rate := range f.levelRates[name] {
			sum := f.newLevels[name][priority]
			rate.Priority = priority
			smooth(&rate.Begun, sum.Begun)
			smooth(&rate.Refused, sum.Refused)
			f.levelRates[name][priority] = rate
			zone.Levels = append(zone.Levels, rate)
		}
		slices.SortFunc(zone.Levels, func(a, b fleetload.Level) int { return cmp.Compare(a.Priority, b.Priority) })
		load := f.answerRates[name]
		smooth(&load.Count, f.newAnswers[name].Count)
		smooth(&load.LogSum, f.newAnswers[name].LogSum)
		smooth(&load.Rejected, f.newAnswers[name].Rejected)
		f.answerRates[name] = load
		zone.Answers, zone.Rejected = load.Count, load.Rejected
		if load.Count > 0 {
			zone.Load = math.Exp(load.LogSum / load.Count)
		}
		service.Zones = append(service.Zones, zone)
		clear(f.newLevels[name])
	}
	clear(f.newAnswers)
	return service
}

// publishFleetLoad sends the load of the whole fleet to every node, where it arrives after
// FleetLoadDelay.
func (s *simulation) publishFleetLoad() {
	summary := s.fleet.summarize(s.now)
	s.after(s.scenario.FleetLoadDelay, func() {
		for index := range s.nodes {
			summary := summary
			summary.SummedAt = s.now
			s.step(index, &core.Event{Loads: map[lb.ServiceName]fleetload.Service{"web": summary}})
		}
	})
}

// recordAdmissionRates records the share of the least important class that each node admits.
func (s *simulation) recordAdmissionRates() {
	rates := make([]float64, len(s.nodes))
	for index := range s.nodes {
		rates[index] = 1
		for _, status := range s.nodes[index].core.OverloadStatus() {
			for _, level := range status.Levels {
				rates[index] = min(rates[index], level.AdmissionRate)
			}
		}
	}
	s.result.AdmissionRates = append(s.result.AdmissionRates, rates)
}
