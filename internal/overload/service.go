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
	// pressure is the median of the loads of its back ends, as of the last
	// scan, and seen how much was seen of them.
	pressure, seen float64
	loads          []weighted
	scanned        time.Duration
	// answers were seen since the last adaptation; rate is how many come a
	// second, and memory how long they count.
	answers, rate float64
	memory        time.Duration
	answeredAt    time.Duration // when the last one came
	levels        []*level      // by priority, the most important first
	adapted       time.Duration
	// fleet is what follows from the fleet's sums, which are of the time toldAt.
	fleet  admission.Service
	toldAt time.Duration
	// slots are this balancer's part of those of the ready back ends; 0: not known.
	slots float64

	overloaded bool
	calmSince  time.Duration // since when nothing is refused
	refused    uint64        // since it became overloaded
	// refusedEver counts all that were refused.
	refusedEver uint64
}

// level is the admitted part of the openings of one priority.
type level struct {
	priority uint16
	seen     time.Duration // when its last opening came
	log      float64       // natural logarithm of the part; at most 0
	// opened and begun are how many openings were let in and how many requests begun, lately.
	opened, begun float64
}

// held gives the part of a priority's requests that come on flows that were open before.
func (s *service) held(priority uint16) float64 {
	for _, l := range s.levels {
		if l.priority != priority || l.begun == 0 {
			continue
		}
		if held := 1 - l.opened/l.begun; held > leastHeld {
			return held
		}
	}
	return 0
}

// leastHeld is the part that is taken for none: chance in a few tens of requests, and openings that were
// let in by another node.
const leastHeld = 0.3

// heldTime is the time in which counts of openings and requests lose two thirds of their weight:
// one node sees some tens of them in it.
const heldTime = 2 * time.Second

func (s *service) class(objective lb.Objective) *class {
	known := s.classes[objective]
	if known == nil {
		known = newClass(objective)
		s.classes[objective] = known
	}
	return known
}

// classLife is how long an objective is remembered after its last request.
const classLife = 10 * time.Minute

// forget drops objectives and levels that have not been seen for long.
func (s *service) forget(now time.Duration) {
	maps.DeleteFunc(s.classes, func(_ lb.Objective, c *class) bool { return now-c.idle.at > classLife })
	s.levels = slices.DeleteFunc(s.levels, func(l *level) bool { return now-l.seen > classLife })
}

// level gives the level of a priority. A new one begins where the one above it
// stands: it must not be let in where more important openings are not.
func (s *service) level(priority uint16, settings *Settings) *level {
	index, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, priority uint16) int {
		return int(l.priority) - int(priority)
	})
	if found {
		return s.levels[index]
	}
	added := &level{priority: priority}
	if index > 0 && !settings.newLevelsFull {
		added.log = s.levels[index-1].log
	}
	s.levels = slices.Insert(s.levels, index, added)
	return s.levels[index]
}

// calm tells whether nothing is near a limit.
func (s *service) calm() bool {
	if s.overloaded || s.pressure > calmPressure {
		return false
	}
	return !slices.ContainsFunc(s.levels, func(l *level) bool { return l.log < 0 })
}

// calmPressure is well below the pressure at which anything is refused.
const calmPressure = 0.8

// free tells whether the back ends are known to have room, whatever is told: what a node sees is chance
// in part, but it is news of now, and fills what the fleet's older news leave unused.
func (s *service) free(settings *Settings) bool {
	return s.seen >= enoughSeen && s.pressure < settings.FreeLoad
}

// enoughSeen is how many answers tell that back ends have room.
const enoughSeen = 8

// limit is the pressure up to which a level loses nothing; it is higher for
// each level below that has openings.
func (s *service) limit(now time.Duration, l *level, settings *Settings) float64 {
	limit := settings.Limit
	switch {
	case s.toldToRefuse(now, settings):
		limit += settings.LateLimit
	case s.told(now, settings) && s.fleet.Calm(&settings.Fleet):
		limit += settings.CalmLimit
	}
	for _, other := range s.levels {
		if other.priority > l.priority && now-other.seen <= settings.Forget {
			limit += settings.Step
		}
	}
	return min(limit, highestLimit)
}

// highestLimit is below maxLoad, so that the pressure can pass it.
const highestLimit = 3

// admitted is the part of a level's openings that is let in at a pressure.
func (s *service) admitted(now time.Duration, l *level, pressure float64, settings *Settings) float64 {
	if s.blind(now, settings) {
		return s.fleet.PartOf(l.priority)
	}
	over := pressure - s.limit(now, l, settings)
	log := l.log - settings.Damping*max(0, over)
	switch {
	case s.free(settings):
		return 1
	case s.toldToRefuse(now, settings):
		// The fleet sees answers, whatever this node lets in: Least would add up where flows are kept.
		return min(s.fleet.PartOf(l.priority), math.Exp(min(log, 0)))
	}
	return max(settings.Least, math.Exp(min(log, 0)))
}

// toldToRefuse tells whether the fleet's parts are known, and less than all is let in by them.
func (s *service) toldToRefuse(now time.Duration, settings *Settings) bool {
	return s.told(now, settings) && s.fleet.Refuses()
}

// blind tells whether this node has had no answer for some time and the fleet knows more: one
// that lets in nothing sees nothing of a crowd's end, and would refuse for five seconds after it
// while there is room (soak of six nodes: 13 of 107 openings refused in calm).
func (s *service) blind(now time.Duration, settings *Settings) bool {
	return now-s.answeredAt > settings.Memory && s.told(now, settings)
}

// told tells whether the parts that follow from the fleet's sums are known, and recent.
func (s *service) told(now time.Duration, settings *Settings) bool {
	return len(s.fleet.Parts()) > 0 && now-s.toldAt <= settings.PartsLife
}

// longestStep bounds the time that one adaptation stands for: after a pause
// of this process little is known of what was between.
const longestStep = 500 * time.Millisecond

// remember sets how long answers count, by how many come.
func (s *service) remember(now time.Duration, settings *Settings) {
	elapsed := (now - s.adapted).Seconds()
	if elapsed <= 0 {
		return
	}
	part := min(elapsed/rateTime, 1)
	s.rate += (s.answers/elapsed - s.rate) * part
	s.answers = 0
	wanted := settings.LongestMemory
	if s.rate > 0 {
		wanted = min(wanted, time.Duration(settings.Samples/s.rate*float64(time.Second)))
	}
	s.memory = max(settings.Memory, wanted)
}

// rateTime is the time, in seconds, over which the rate of answers is taken.
const rateTime = 1.0

// adapt moves the levels by the pressure.
func (s *service) adapt(now time.Duration, settings *Settings) {
	s.remember(now, settings)
	step := min(now-s.adapted, longestStep).Seconds()
	s.adapted = now
	fade := math.Exp(-step / heldTime.Seconds())
	for _, l := range s.levels {
		l.opened *= fade
		l.begun *= fade
		if s.blind(now, settings) {
			l.log = math.Log(max(settings.Least, s.fleet.PartOf(l.priority)))
			continue
		}
		over := s.pressure - s.limit(now, l, settings)
		rate := settings.FallRate
		if over < 0 {
			rate = settings.RiseRate
		}
		l.log -= rate * min(over, 1) * step
		l.log = min(0, max(l.log, math.Log(settings.Least)))
	}
}

// overloadedBelow is the admitted part below which a service is told to be
// overloaded, and calmTime how long nothing must be refused until it is no more.
const (
	overloadedBelow = 0.9
	calmTime        = 2 * time.Second
)

// change tells when the service becomes overloaded and when it is so no more.
func (s *service) change(now time.Duration, settings *Settings) (Change, bool) {
	change := Change{Pressure: s.pressure, Admitted: 1}
	for _, l := range s.levels {
		if admitted := s.admitted(now, l, s.pressure, settings); admitted < change.Admitted {
			change.Admitted, change.Priority = admitted, l.priority
		}
	}
	if change.Admitted < 1 {
		s.calmSince = now
	}
	switch {
	case !s.overloaded && change.Admitted < overloadedBelow:
		s.overloaded = true
		s.refused = 0
		change.Overloaded = true
		return change, true
	case s.overloaded && now-s.calmSince >= calmTime:
		s.overloaded = false
		change.Refused = s.refused
		return change, true
	}
	return Change{}, false
}
