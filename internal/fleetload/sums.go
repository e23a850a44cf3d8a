package fleetload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// thousandths is the unit of sums in messages, which hold whole numbers.
const thousandths = 1000

func toThousandths(value float64) int   { return int(math.Round(value * thousandths)) }
func fromThousandths(value int) float64 { return float64(value) / thousandths }

// sums is what was seen of one service in a window.
type sums struct {
	levels  map[uint16]Level // seconds of work
	answers map[lb.Zone]Answers
	below   bool // nodes below have reported it
	near    bool // and one of them because it is near its limit there
}

func newSums() *sums {
	return &sums{levels: make(map[uint16]Level), answers: make(map[lb.Zone]Answers)}
}

// sample adds what this node has seen.
func (s *sums) sample(seen *Sample) {
	for _, level := range seen.Levels {
		s.addLevel(level)
	}
	for _, answers := range seen.Answers {
		s.addAnswers(answers)
	}
}

// add adds other sums.
func (s *sums) add(other *sums) {
	for _, level := range other.levels {
		s.addLevel(level)
	}
	for _, answers := range other.answers {
		s.addAnswers(answers)
	}
}

// work adds what a node below has reported.
func (s *sums) work(reported *message.ServiceWork) {
	s.below = true
	s.near = s.near || !reported.Echo
	for _, level := range reported.Levels {
		s.addLevel(Level{
			Priority: level.Priority, Begun: fromThousandths(level.Begun), Refused: fromThousandths(level.Refused),
		})
	}
	for _, answers := range reported.Answers {
		s.addAnswers(Answers{
			Zone: answers.Zone, Count: float64(answers.Count), Logs: fromThousandths(answers.Logs),
			Rejected: float64(answers.Rejected),
		})
	}
}

func (s *sums) addLevel(level Level) {
	known := s.levels[level.Priority]
	known.Priority = level.Priority
	known.Begun += level.Begun
	known.Refused += level.Refused
	s.levels[level.Priority] = known
}

func (s *sums) addAnswers(answers Answers) {
	known := s.answers[answers.Zone]
	known.Zone = answers.Zone
	known.Count += answers.Count
	known.Logs += answers.Logs
	known.Rejected += answers.Rejected
	s.answers[answers.Zone] = known
}

// message gives the sums as a report has them.
func (s *sums) message(service lb.ServiceName) message.ServiceWork {
	work := message.ServiceWork{Service: service}
	for _, priority := range slices.Sorted(maps.Keys(s.levels)) {
		level := s.levels[priority]
		work.Levels = append(work.Levels, message.LevelWork{
			Priority: priority, Begun: toThousandths(level.Begun), Refused: toThousandths(level.Refused),
		})
	}
	for _, zone := range slices.Sorted(maps.Keys(s.answers)) {
		answers := s.answers[zone]
		work.Answers = append(work.Answers, message.ZoneAnswers{
			Zone: zone, Count: int(answers.Count), Logs: toThousandths(answers.Logs), Rejected: int(answers.Rejected),
		})
	}
	return work
}

// rates is what is seen of one service a second, smoothed.
type rates struct {
	sums
}

// follow moves the rates towards what was seen in the time elapsed; those of services
// that nothing was seen of fall, and are dropped in the end.
func follow(known map[lb.ServiceName]*rates, seen map[lb.ServiceName]*sums, elapsed, smoothing time.Duration) {
	if elapsed <= 0 {
		return
	}
	part := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
	for service := range seen {
		if known[service] == nil {
			known[service] = &rates{*newSums()}
		}
	}
	for service, rate := range known {
		rate.follow(seen[service], elapsed.Seconds(), part)
		if rate.negligible() {
			delete(known, service)
		}
	}
}

func (r *rates) follow(seen *sums, seconds, part float64) {
	if seen == nil {
		seen = newSums()
	}
	for priority := range seen.levels {
		level := r.levels[priority]
		level.Priority = priority
		r.levels[priority] = level
	}
	for zone := range seen.answers {
		answers := r.answers[zone]
		answers.Zone = zone
		r.answers[zone] = answers
	}
	for priority, level := range r.levels {
		now := seen.levels[priority]
		level.Begun += (now.Begun/seconds - level.Begun) * part
		level.Refused += (now.Refused/seconds - level.Refused) * part
		r.levels[priority] = level
	}
	for zone, answers := range r.answers {
		now := seen.answers[zone]
		answers.Count += (now.Count/seconds - answers.Count) * part
		answers.Logs += (now.Logs/seconds - answers.Logs) * part
		answers.Rejected += (now.Rejected/seconds - answers.Rejected) * part
		r.answers[zone] = answers
	}
}

// leastWork is the work, in slots, below which a smoothed rate has faded.
const leastWork = 0.0005

func (r *rates) negligible() bool {
	begun, refused := r.asked()
	return begun+refused < leastWork
}

// asked gives the work of all priorities.
func (s *sums) asked() (begun, refused float64) {
	for _, level := range s.levels {
		begun += level.Begun
		refused += level.Refused
	}
	return begun, refused
}

// message gives the rates as a state has them.
func (r *rates) message(service lb.ServiceName) message.ServiceWork {
	work := r.sums.message(service)
	for index := range work.Answers {
		answers := r.answers[work.Answers[index].Zone]
		work.Answers[index].Count = toThousandths(answers.Count)
		work.Answers[index].Rejected = toThousandths(answers.Rejected)
	}
	return work
}

// mostWork sorts services by name and keeps those with the most work.
func mostWork(services []message.ServiceWork, most int) []message.ServiceWork {
	if len(services) > most {
		slices.SortFunc(services, func(a, b message.ServiceWork) int {
			return cmp.Or(cmp.Compare(workOf(&b), workOf(&a)), cmp.Compare(a.Service, b.Service))
		})
		services = services[:most]
	}
	slices.SortFunc(services, func(a, b message.ServiceWork) int { return cmp.Compare(a.Service, b.Service) })
	return services
}

func workOf(service *message.ServiceWork) int {
	sum := 0
	for _, level := range service.Levels {
		sum += level.Begun + level.Refused
	}
	return sum
}

func sortZones(zones []message.ZoneWork) {
	slices.SortFunc(zones, func(a, b message.ZoneWork) int { return cmp.Compare(a.Zone, b.Zone) })
}

// zoneOf gives what a zone is asked for, from a state.
func zoneOf(name lb.Zone, work *message.ServiceWork) Zone {
	zone := Zone{Zone: name}
	for _, level := range work.Levels {
		zone.Levels = append(zone.Levels, Level{
			Priority: level.Priority, Begun: fromThousandths(level.Begun), Refused: fromThousandths(level.Refused),
		})
	}
	return zone
}
