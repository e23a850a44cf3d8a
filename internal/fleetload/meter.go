package fleetload

import (
	"cmp"
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// Meter aggregates what one node observes of the load of services. It is not safe for concurrent
// use.
type Meter struct {
	services map[lb.ServiceName]*serviceMeter
}

// serviceMeter holds the observations of one service since the last call of Samples.
type serviceMeter struct {
	levels  map[uint16]*Level // in seconds of work
	answers map[lb.Zone]*Answers
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{services: make(map[lb.ServiceName]*serviceMeter)} }

// RecordBegun records a request sent on to a back end. The work is the duration of such a request
// at an idle back end, in seconds.
func (m *Meter) RecordBegun(service lb.ServiceName, priority uint16, work float64) {
	m.level(service, priority).Begun += work
}

// RecordRefused records an opening refused for lack of spare capacity; see RecordBegun for the
// work.
func (m *Meter) RecordRefused(service lb.ServiceName, priority uint16, work float64) {
	m.level(service, priority).Refused += work
}

// RecordAnswer records an answer of a back end in a zone, with the natural logarithm of its load.
func (m *Meter) RecordAnswer(service lb.ServiceName, zone lb.Zone, log float64) {
	answers := m.zoneAnswers(service, zone)
	answers.Count++
	answers.LogSum += log
}

// RecordRejection records an answer that came too quickly for a processed request, which is how
// full back ends reject one.
func (m *Meter) RecordRejection(service lb.ServiceName, zone lb.Zone) {
	m.zoneAnswers(service, zone).Rejected++
}

func (m *Meter) service(service lb.ServiceName) *serviceMeter {
	known := m.services[service]
	if known == nil {
		known = &serviceMeter{levels: make(map[uint16]*Level), answers: make(map[lb.Zone]*Answers)}
		m.services[service] = known
	}
	return known
}

func (m *Meter) level(service lb.ServiceName, priority uint16) *Level {
	known := m.service(service)
	level := known.levels[priority]
	if level == nil {
		level = &Level{Priority: priority}
		known.levels[priority] = level
	}
	return level
}

func (m *Meter) zoneAnswers(service lb.ServiceName, zone lb.Zone) *Answers {
	known := m.service(service)
	answers := known.answers[zone]
	if answers == nil {
		answers = &Answers{Zone: zone}
		known.answers[zone] = answers
	}
	return answers
}

// Samples returns the observations since the last call, sorted by service, and resets the meter.
func (m *Meter) Samples() []Sample {
	if len(m.services) == 0 {
		return nil
	}
	samples := make([]Sample, 0, len(m.services))
	for name, meter := range m.services {
		samples = append(samples, meter.sample(name))
	}
	clear(m.services)
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Service, b.Service) })
	return samples
}

func (s *serviceMeter) sample(name lb.ServiceName) Sample {
	sample := Sample{Service: name}
	for _, priority := range slices.Sorted(maps.Keys(s.levels)) {
		sample.Levels = append(sample.Levels, *s.levels[priority])
	}
	for _, zone := range slices.Sorted(maps.Keys(s.answers)) {
		sample.Answers = append(sample.Answers, *s.answers[zone])
	}
	return sample
}
