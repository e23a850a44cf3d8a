// Package admission decides which part of the openings of each priority is let
// in, by what the fleet knows of a service. The load that it answers: callers who
// together ask for more than all back ends can do. One node sees some twenty
// openings a second, too few to tell by how much that is; the sums of all do. What
// is decided follows from the sums, so that it is the same at all nodes and in
// all zones, and at a node that has just started. It has no clock and no I/O; see
// docs/design/admission.md.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/fleetload"
)

// Settings of the decision. See DefaultSettings.
type Settings struct {
	// Limit is the load, in what requests may take at the latest, that is aimed at while
	// openings are refused.
	Limit float64
	// Gain is by how much, on the scale of natural logarithms, the work that is let in
	// is lowered at a load of one above the limit. Lead is how far ahead the load is taken, by
	// how it moves, and Slow is like Gain, for each second at that load: it makes good what the
	// work of requests is taken wrongly for.
	Gain, Slow float64
	Lead       time.Duration
	// Swing bounds the load's distance from the limit that counts.
	Swing float64
	// Full is the part of requests that full back ends may reject: a caller's next try finds
	// room elsewhere. RejectedGain is like Gain, for each whole part more.
	Full, RejectedGain float64
	// Most and Fewest bound the work that is let in, in parts of what back ends
	// work on at once, whatever loads are told.
	Most, Fewest float64
	// Rising is the part of the limit below which requests are quick, whatever their work is taken
	// for: nothing is refused then.
	Rising float64
	// Neutral is how many answers a second at a load of half the limit are taken for seen beside those
	// that were: a service that few ask for is not taken for crowded.
	Neutral float64
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		Limit: 0.8,
		// Work beyond what back ends can do waits: 1% too much lengthens requests by a tenth of what they
		// may take within some 1.5 s, and the news of it are 0.8 s old. More than this swings.
		Gain:         0.2,
		Slow:         0.06,
		Lead:         200 * time.Millisecond,
		Swing:        1,
		Full:         0.05,
		RejectedGain: 1.5,
		Most:         1.3,
		Fewest:       0.3,
		Rising:       0.6,
		Neutral:      30,
	}
}

// Service decides for one service. The zero value knows nothing.
type Service struct {
	// room is the work that back ends can do, in parts of their slots; 0: not known.
	room float64
	load float64 // of the last news
	at   time.Duration
	// parts are what was decided last.
	parts []Part
}

// Part is the part of the openings of one priority that is let in.
type Part struct {
	Priority uint16
	Admitted float64
}

// tries is how often callers who are refused are taken to try: they come again at once, once or
// twice. It says only how fast the right part is found, not which one that is: what is asked for is
// taken from the same figure. With three, the part swings where callers come but twice.
const tries = 2

// demand is what callers ask for at one priority, in slots, tries again left out.
type demand struct {
	priority uint16
	begun    float64
	asked    float64
	held     float64 // of begun, what flows bring that were open before
}

// Learn takes what is known of the service, and the slots of its ready back ends; 0: not known.
// held gives the part of a priority's requests that come on flows that were open before: to refuse
// openings does not lessen these.
func (s *Service) Learn(now time.Duration, known *fleetload.Service, slots float64, held func(uint16) float64, settings *Settings) {
	demands := demandsOf(known)
	left := 0.0 // what back ends do for this priority and those that are less important
	for index := range demands {
		demands[index].held = demands[index].begun * max(0, min(held(demands[index].priority), 1))
		left += demands[index].begun
	}
	room := s.follow(now, known, demands, slots, settings)
	s.parts = s.parts[:0]
	above := 1.0 // the less important are let in no more than those above them
	for index := range demands {
		d := &demands[index]
		mayUse := room
		if index < len(demands)-1 {
			// What back ends do for the less important they can do for this one: it is the former that go,
			// also where the open flows of the former leave no room and work is taken for more than it is.
			mayUse = max(room, left)
		}
		left -= d.begun
		given := min(d.asked, mayUse)
		room = max(0, room-given)
		above = min(above, d.part(given))
		s.parts = append(s.parts, Part{Priority: d.priority, Admitted: above})
	}
}

// Parts gives the part of each priority that is let in, the most important first.
func (s *Service) Parts() []Part { return s.parts }

// PartOf gives the part of a priority. One that nothing is known of is let in as the next
// more important one is.
func (s *Service) PartOf(priority uint16) float64 {
	admitted := 1.0
	for _, part := range s.parts {
		if part.Priority > priority {
			break
		}
		admitted = part.Admitted
	}
	return admitted
}

// Calm tells whether nothing is near the limit.
func (s *Service) Calm(settings *Settings) bool {
	return len(s.parts) > 0 && !s.Refuses() && s.load < calmPart*settings.Limit
}

// calmPart is the part of the limit below which back ends that are half used are for certain: requests take
// there what they take at idle ones, and a fifth of it more.
const calmPart = 0.8

// Refuses tells whether some openings are refused.
func (s *Service) Refuses() bool {
	return slices.ContainsFunc(s.parts, func(part Part) bool { return part.Admitted < 1 })
}

// part is the part of tries to let in so that given is begun of what is asked for. Work on
// flows that are open comes first, as it can't be refused.
func (d *demand) part(given float64) float64 {
	if given >= d.asked {
		return 1
	}
	if given <= d.held {
		return 0
	}
	served := (given - d.held) / (d.asked - d.held)
	return 1 - math.Pow(1-served, 1.0/tries)
}

// demandsOf sums up what the callers of all zones ask for, by priority.
func demandsOf(known *fleetload.Service) []demand {
	sums := make(map[uint16]fleetload.Level)
	for index := range known.Zones {
		for _, level := range known.Zones[index].Levels {
			sum := sums[level.Priority]
			sum.Begun += max(0, level.Begun)
			sum.Refused += max(0, level.Refused)
			sums[level.Priority] = sum
		}
	}
	demands := make([]demand, 0, len(sums))
	for priority, sum := range sums {
		demands = append(demands, demand{priority: priority, begun: sum.Begun, asked: askedFor(sum)})
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.priority, b.priority) })
	return demands
}

// leastBegun bounds from below the part of requests that are taken to begin, where
// nearly all are refused.
const leastBegun = 0.01

// askedFor is the work that callers ask for: some of what was refused was begun at a further try.
func askedFor(level fleetload.Level) float64 {
	if level.Refused == 0 {
		return level.Begun
	}
	refused := level.Refused / (level.Begun + level.Refused)
	begun := max(leastBegun, 1-math.Pow(refused, tries))
	return min(level.Begun/begun, level.Begun+level.Refused)
}

// follow gives the work that is to be let in, in slots: what back ends are found to be able to
// do, corrected by how long requests take and by how many are rejected, within bounds.
func (s *Service) follow(now time.Duration, known *fleetload.Service, demands []demand, slots float64, settings *Settings) float64 {
	begun, asked := 0.0, 0.0
	for index := range demands {
		begun += demands[index].begun
		asked += demands[index].asked
	}
	load, rejected := loadOf(known, settings)
	elapsed := min(now-s.at, longestStep).Seconds()
	ahead := load
	if s.at > 0 && elapsed > 0 {
		ahead += (load - s.load) / elapsed * settings.Lead.Seconds()
	}
	refuses := asked > begun
	if s.room == 0 || now-s.at > forgetTime {
		s.begin(begun, slots, refuses, settings)
		elapsed, ahead = 0, load
	}
	s.at, s.load = now, load
	if slots <= 0 || load < settings.Rising*settings.Limit && !refuses {
		return math.Inf(1)
	}
	if refuses || load > settings.Limit {
		s.room *= math.Exp(-settings.Slow * elapsed * settings.distance(load))
		s.room = max(settings.Fewest, min(s.room, settings.Most))
	}
	over := settings.Gain*settings.distance(ahead) + settings.RejectedGain*max(0, rejected-settings.Full)
	return slots * max(settings.Fewest, min(s.room*math.Exp(-over), settings.Most))
}

const (
	// longestStep bounds the time between two news that counts: little is known of what was between.
	longestStep = 500 * time.Millisecond
	// forgetTime is how long after the last news what back ends were found able to do counts.
	forgetTime = 10 * time.Second
)

// begin takes the room from what other nodes let in, where they refuse already.
func (s *Service) begin(begun, slots float64, refuses bool, settings *Settings) {
	s.room = 1
	if refuses && slots > 0 {
		s.room = max(settings.Fewest, min(begun/slots, settings.Most))
	}
}

// distance is that of a load from the limit, bounded.
func (s *Settings) distance(load float64) float64 {
	return max(-s.Swing, min(load-s.Limit, s.Swing))
}

// loadOf gives the load of all back ends, and the part of requests that they reject.
func loadOf(known *fleetload.Service, settings *Settings) (load, rejected float64) {
	logs, answers := settings.Neutral*math.Log(settings.Limit/2), settings.Neutral
	for index := range known.Zones {
		zone := &known.Zones[index]
		rejected += max(0, zone.Rejected)
		if zone.Answers > 0 && zone.Load > 0 {
			logs += zone.Answers * math.Log(zone.Load)
			answers += zone.Answers
		}
	}
	return math.Exp(logs / answers), rejected / (answers + rejected)
}
