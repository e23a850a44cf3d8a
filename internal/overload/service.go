package overload

import (
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/admission"
	"robinpulley.example/robinpulley/internal/lb"
)

// service is the state of one service.
type service struct {
	classes  map[lb.Objective]*class
	backends map[Identity]*backend
	// pressure is the median of the loads of the service's back ends at the last scan, and weight
	// is the total weight of the measurements behind it.
	pressure, weight float64
	loads            []weighted
	scanned          time.Duration
	// answers counts the answers since the last call of adapt. rate is their number per second,
	// averaged, and averagingTime the time constant with which measurements decay.
	answers, rate float64
	averagingTime time.Duration
	lastAnswerAt  time.Duration // time of the most recent answer
	levels        []*level      // in order of priority, the most important first
	adapted       time.Duration
	// fleet holds the admission rates computed from the fleet's load reports; fleetAt is the time
	// of these reports.
	fleet   admission.Service
	fleetAt time.Duration
	// slots is this balancer's share of the slots of the ready back ends; 0 means unknown.
	slots float64

	overloaded   bool
	lastRefusing time.Duration // last time at which a priority had an admission rate below 1
	refused      uint64        // since the service became overloaded
	// refusedTotal counts all refused openings.
	refusedTotal uint64
}

// level is the admission rate of the openings of one priority.
type level struct {
	priority    uint16
	lastOpening time.Duration // time of the most recent opening
	logRate     float64       // natural logarithm of the admission rate; at most 0
	// opened counts the admitted openings and begun the started requests; both decay with
	// openFlowWindow.
	opened, begun float64
}

// openFlowShare returns the fraction of a priority's requests that arrive on flows opened earlier.
func (s *service) openFlowShare(priority uint16) float64 {
	for _, l := range s.levels {
		if l.priority != priority || l.begun == 0 {
			continue
		}
		if fraction := 1 - l.opened/l.begun; fraction > minOpenFlowShare {
			return fraction
		}
	}
	return 0
}

// minOpenFlowShare is the minimum fraction that is evaluated. A lower one can be chance, since it
// is computed from a few tens of requests, or result from openings that another balancer admitted.
const minOpenFlowShare = 0.3

// openFlowWindow is the time constant with which the counts of openings and requests decay: one
// balancer handles some tens of them in it.
const openFlowWindow = 2 * time.Second

func (s *service) class(objective lb.Objective) *class {
	c := s.classes[objective]
	if c == nil {
		c = newClass(objective)
		s.classes[objective] = c
	}
	return c
}

// stateTimeout is how long an objective or a priority is remembered after its last use.
const stateTimeout = 10 * time.Minute

// forget deletes objectives and levels that were not used for stateTimeout.
func (s *service) forget(now time.Duration) {
	maps.DeleteFunc(s.classes, func(_ lb.Objective, c *class) bool { return now-c.idle.updatedAt > stateTimeout })
	s.levels = slices.DeleteFunc(s.levels, func(l *level) bool { return now-l.lastOpening > stateTimeout })
}

// level returns the level of a priority, and creates it if needed. A new level starts with the
// admission rate of the next more important one: it must not admit openings while more important
// ones are refused.
func (s *service) level(priority uint16, settings *Settings) *level {
	index, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, priority uint16) int {
		return int(l.priority) - int(priority)
	})
	if found {
		return s.levels[index]
	}
	added := &level{priority: priority}
	if index > 0 && !settings.newLevelsAdmitAll {
		added.logRate = s.levels[index-1].logRate
	}
	s.levels = slices.Insert(s.levels, index, added)
	return s.levels[index]
}

// calm returns true if the service is far from its limits and refuses nothing.
func (s *service) calm() bool {
	if s.overloaded || s.pressure > calmPressure {
		return false
	}
	return !slices.ContainsFunc(s.levels, func(l *level) bool { return l.logRate < 0 })
}

// calmPressure is well below the pressure at which openings are refused.
const calmPressure = 0.8

// hasSpareCapacity returns true if this balancer's own measurements show spare capacity. They take
// precedence over the fleet's reports: although partly chance, they are current, and so fill
// capacity that the older reports leave unused.
func (s *service) hasSpareCapacity(settings *Settings) bool {
	return s.weight >= minSpareWeight && s.pressure < settings.FreeLoad
}

// minSpareWeight is the minimum weight of measurements, in answers, that shows spare capacity.
const minSpareWeight = 8

// limit returns the pressure up to which no opening of a level is refused. It is higher for each
// less important level that is in use.
func (s *service) limit(now time.Duration, l *level, settings *Settings) float64 {
	limit := settings.Limit
	switch {
	case s.fleetRefuses(now, settings):
		limit += settings.FleetLimitRise
	case s.fleetRatesFresh(now, settings) && s.fleet.Calm(&settings.Fleet):
		limit += settings.CalmLimitRise
	}
	for _, other := range s.levels {
		if other.priority > l.priority && now-other.lastOpening <= settings.PriorityTimeout {
			limit += settings.PriorityStep
		}
	}
	return min(limit, maxLimit)
}

// maxLimit is less than maxLoad, so that the pressure can exceed it.
const maxLimit = 3

// admissionRate returns the admission rate of a level at the given pressure.
func (s *service) admissionRate(now time.Duration, l *level, pressure float64, settings *Settings) float64 {
	if s.lacksAnswers(now, settings) {
		return s.fleet.RateOf(l.priority)
	}
	excess := pressure - s.limit(now, l, settings)
	log := l.logRate - settings.Damping*max(0, excess)
	switch {
	case s.hasSpareCapacity(settings):
		return 1
	case s.fleetRefuses(now, settings):
		// MinAdmissionRate does not apply here. The fleet as a whole always receives answers,
		// whatever this balancer admits, and clients that keep their flows would accumulate
		// through it.
		return min(s.fleet.RateOf(l.priority), math.Exp(min(log, 0)))
	}
	return max(settings.MinAdmissionRate, math.Exp(min(log, 0)))
}

// fleetRefuses returns true if the fleet's admission rates are current and refuse some openings.
func (s *service) fleetRefuses(now time.Duration, settings *Settings) bool {
	return s.fleetRatesFresh(now, settings) && s.fleet.Refuses()
}

// lacksAnswers returns true if this balancer has had no answers for some time while current reports
// of the fleet exist; it must then use the reports. A balancer that admits almost nothing has no
// answers that show the end of an overload. By its own measurements it would go on refusing for
// five seconds although there is capacity (with six balancers, 13 of 107 openings without overload
// were refused).
func (s *service) lacksAnswers(now time.Duration, settings *Settings) bool {
	return now-s.lastAnswerAt > settings.AveragingTime && s.fleetRatesFresh(now, settings)
}

// fleetRatesFresh returns true if admission rates computed from the fleet's reports exist and are
// not older than FleetRatesTimeout.
func (s *service) fleetRatesFresh(now time.Duration, settings *Settings) bool {
	return len(s.fleet.Rates()) > 0 && now-s.fleetAt <= settings.FleetRatesTimeout
}

// maxStep bounds the time step of one call of adapt: after a pause of this process there are no
// measurements for most of the elapsed time.
const maxStep = 500 * time.Millisecond

// updateAveragingTime adjusts the decay of measurements to the rate of answers.
func (s *service) updateAveragingTime(now time.Duration, settings *Settings) {
	elapsed := (now - s.adapted).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := min(elapsed/rateWindow, 1)
	s.rate += (s.answers/elapsed - s.rate) * weight
	s.answers = 0
	wanted := settings.MaxAveragingTime
	if s.rate > 0 {
		wanted = min(wanted, time.Duration(settings.TargetSamples/s.rate*float64(time.Second)))
	}
	s.averagingTime = max(settings.AveragingTime, wanted)
}

// rateWindow is the time constant, in seconds, of the average rate of answers.
const rateWindow = 1.0

// adapt adjusts the admission rates of all levels to the pressure.
func (s *service) adapt(now time.Duration, settings *Settings) {
	s.updateAveragingTime(now, settings)
	step := min(now-s.adapted, maxStep).Seconds()
	s.adapted = now
	decay := math.Exp(-step / openFlowWindow.Seconds())
	for _, l := range s.levels {
		l.opened *= decay
		l.begun *= decay
		if s.lacksAnswers(now, settings) {
			l.logRate = math.Log(max(settings.MinAdmissionRate, s.fleet.RateOf(l.priority)))
			continue
		}
		excess := s.pressure - s.limit(now, l, settings)
		rate := settings.FallRate
		if excess < 0 {
			rate = settings.RiseRate
		}
		l.logRate -= rate * min(excess, 1) * step
		l.logRate = min(0, max(l.logRate, math.Log(settings.MinAdmissionRate)))
	}
}

// overloadedRate is the admission rate below which a service is reported as overloaded. The end of
// the overload is reported once nothing has been refused for calmTime.
const (
	overloadedRate = 0.9
	calmTime       = 2 * time.Second
)

// detectChange returns a change if the service has become overloaded or is no longer overloaded.
func (s *service) detectChange(now time.Duration, settings *Settings) (Change, bool) {
	change := Change{Pressure: s.pressure, AdmissionRate: 1}
	for _, l := range s.levels {
		if admitted := s.admissionRate(now, l, s.pressure, settings); admitted < change.AdmissionRate {
			change.AdmissionRate, change.Priority = admitted, l.priority
		}
	}
	if change.AdmissionRate < 1 {
		s.lastRefusing = now
	}
	switch {
	case !s.overloaded && change.AdmissionRate < overloadedRate:
		s.overloaded = true
		s.refused = 0
		change.Overloaded = true
		return change, true
	case s.overloaded && now-s.lastRefusing >= calmTime:
		s.overloaded = false
		change.Refused = s.refused
		return change, true
	}
	return Change{}, false
}
