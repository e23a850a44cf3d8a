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

// thousandths is the unit of sums in messages, which carry integers only.
const thousandths = 1000

func toThousandths(value float64) int   { return int(math.Round(value * thousandths)) }
func fromThousandths(value int) float64 { return float64(value) / thousandths }

// sums aggregates the observations of one service during one window.
type sums struct {
	levels       map[uint16]Level // in seconds of work
	answers      map[lb.Zone]Answers
	fromChildren bool // whether it contains reports of nodes below in the tree
	nearLimit    bool // whether one of these nodes reported that the service is near its limit
}

func newSums() *sums {
	return &sums{levels: make(map[uint16]Level), answers: make(map[lb.Zone]Answers)}
}

// addSample adds an observation of this node.
func (s *sums) addSample(seen *Sample) {
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

// addWork adds the report of a node below in the tree.
func (s *sums) addWork(reported *message.ServiceWork) {
	s.fromChildren = true
	s.nearLimit = s.nearLimit || !reported.Solicited
	for _, level := range reported.Levels {
		s.addLevel(Level{
			Priority: level.Priority, Begun: fromThousandths(level.Begun), Refused: fromThousandths(level.Refused),
		})
	}
	for _, answers := range reported.Answers {
		s.addAnswers(Answers{
			Zone: answers.Zone, Count: float64(answers.Count), LogSum: fromThousandths(answers.LogLoadSum),
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
	known.LogSum += answers.LogSum
	known.Rejected += answers.Rejected
	s.answers[answers.Zone] = known
}

// message encodes the sums for a report.
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
			Zone: zone, Count: int(answers.Count), LogLoadSum: toThousandths(answers.LogSum), Rejected: int(answers.Rejected),
		})
	}
	return work
}

// rates holds the smoothed rates of one service, per second.
type rates struct {
	sums
}

// updateRates moves the rates towards those observed in the elapsed time. Rates of services
// without observations decay, and are deleted when they are negligible.
func updateRates(known map[lb.ServiceName]*rates, seen map[lb.ServiceName]*sums, elapsed, smoothing time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
	for service := range seen {
		if known[service] == nil {
			known[service] = &rates{*newSums()}
		}
	}
	for service, rate := range known {
		rate.update(seen[service], elapsed.Seconds(), weight)
		if rate.negligible() {
			delete(known, service)
		}
	}
}

func (r *rates) update(seen *sums, seconds, weight float64) {
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
		observed := seen.levels[priority]
		level.Begun += (observed.Begun/seconds - level.Begun) * weight
		level.Refused += (observed.Refused/seconds - level.Refused) * weight
		r.levels[priority] = level
	}
	for zone, answers := range r.answers {
		observed := seen.answers[zone]
		answers.Count += (observed.Count/seconds - answers.Count) * weight
		answers.LogSum += (observed.LogSum/seconds - answers.LogSum) * weight
		answers.Rejected += (observed.Rejected/seconds - answers.Rejected) * weight
		r.answers[zone] = answers
	}
}

// minWork is the work, in slots, below which a smoothed rate is negligible.
const minWork = 0.0005

func (r *rates) negligible() bool {
	begun, refused := r.totalWork()
	return begun+refused < minWork
}

// totalWork returns the work of all priorities.
func (s *sums) totalWork() (begun, refused float64) {
	for _, level := range s.levels {
		begun += level.Begun
		refused += level.Refused
	}
	return begun, refused
}

// message encodes the rates for a state.
func (r *rates) message(service lb.ServiceName) message.ServiceWork {
	work := r.sums.message(service)
	for index := range work.Answers {
		answers := r.answers[work.Answers[index].Zone]
		work.Answers[index].Count = toThousandths(answers.Count)
		work.Answers[index].Rejected = toThousandths(answers.Rejected)
	}
	return work
}

// topByWork keeps at most limit services, those with the most work, and sorts them by name.
func topByWork(services []message.ServiceWork, limit int) []message.ServiceWork {
	if len(services) > limit {
		slices.SortFunc(services, func(a, b message.ServiceWork) int {
			return cmp.Or(cmp.Compare(messageWork(&b), messageWork(&a)), cmp.Compare(a.Service, b.Service))
		})
		services = services[:limit]
	}
	slices.SortFunc(services, func(a, b message.ServiceWork) int { return cmp.Compare(a.Service, b.Service) })
	return services
}

func messageWork(service *message.ServiceWork) int {
	sum := 0
	for _, level := range service.Levels {
		sum += level.Begun + level.Refused
	}
	return sum
}

func sortZones(zones []message.ZoneWork) {
	slices.SortFunc(zones, func(a, b message.ZoneWork) int { return cmp.Compare(a.Zone, b.Zone) })
}

// decodeZone returns the demand of a zone from a state message.
func decodeZone(name lb.Zone, work *message.ServiceWork) Zone {
	zone := Zone{Zone: name}
	for _, level := range work.Levels {
		zone.Levels = append(zone.Levels, Level{
			Priority: level.Priority, Begun: fromThousandths(level.Begun), Refused: fromThousandths(level.Refused),
		})
	}
	return zone
}
