package fleetload

import (
	"cmp"
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// Meter adds up what one node sees of the load of services. It is not safe for concurrent use.
type Meter struct {
	services map[lb.ServiceName]*metered
}

// metered is what was seen of one service since the last samples.
type metered struct {
	levels  map[uint16]*Level // seconds of work
	answers map[lb.Zone]*Answers
}

// NewMeter gives a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{services: make(map[lb.ServiceName]*metered)} }

// Begun notes a request that was sent on, and Refused an opening that was refused for lack
// of room, by the seconds of work that such a request is at an idle back end.
func (m *Meter) Begun(service lb.ServiceName, priority uint16, work float64) {
	m.level(service, priority).Begun += work
}

// Refused notes an opening that was refused for lack of room; see Begun.
func (m *Meter) Refused(service lb.ServiceName, priority uint16, work float64) {
	m.level(service, priority).Refused += work
}

// Answered notes an answer of a back end in a zone, by the natural logarithm of its load.
func (m *Meter) Answered(service lb.ServiceName, zone lb.Zone, log float64) {
	answers := m.answersOf(service, zone)
	answers.Count++
	answers.Logs += log
}

// Rejected notes an answer that came too quickly to be one: full back ends reject so.
func (m *Meter) Rejected(service lb.ServiceName, zone lb.Zone) {
	m.answersOf(service, zone).Rejected++
}

func (m *Meter) metered(service lb.ServiceName) *metered {
	known := m.services[service]
	if known == nil {
		known = &metered{levels: make(map[uint16]*Level), answers: make(map[lb.Zone]*Answers)}
		m.services[service] = known
	}
	return known
}

func (m *Meter) level(service lb.ServiceName, priority uint16) *Level {
	known := m.metered(service)
	level := known.levels[priority]
	if level == nil {
		level = &Level{Priority: priority}
		known.levels[priority] = level
	}
	return level
}

func (m *Meter) answersOf(service lb.ServiceName, zone lb.Zone) *Answers {
	known := m.metered(service)
	answers := known.answers[zone]
	if answers == nil {
		answers = &Answers{Zone: zone}
		known.answers[zone] = answers
	}
	return answers
}

// Samples gives what was seen since the last call, by service, and begins anew.
func (m *Meter) Samples() []Sample {
	if len(m.services) == 0 {
		return nil
	}
	samples := make([]Sample, 0, len(m.services))
	for name, seen := range m.services {
		samples = append(samples, seen.sample(name))
	}
	clear(m.services)
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Service, b.Service) })
	return samples
}

func (s *metered) sample(name lb.ServiceName) Sample {
	sample := Sample{Service: name}
	for _, priority := range slices.Sorted(maps.Keys(s.levels)) {
		sample.Levels = append(sample.Levels, *s.levels[priority])
	}
	for _, zone := range slices.Sorted(maps.Keys(s.answers)) {
		sample.Answers = append(sample.Answers, *s.answers[zone])
	}
	return sample
}
