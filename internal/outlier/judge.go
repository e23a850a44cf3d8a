package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// judge is what the first node of a zone makes of the reports.
type judge struct {
	settings Settings
	services map[lb.ServiceName][]Identity
	serving  map[Identity]lb.ServiceName
	records  map[Identity]*record
	// nodes is how many the fleet has, and own are the outcomes that this one has seen
	// of each service: all see about as many, which gives how many there are.
	nodes  int
	own    map[lb.ServiceName]*sum
	number uint64 // of the last verdict
	toldAt time.Duration
	told   bool // something: the verdict is to be renewed, or withdrawn
	// lastWatched are the watched back ends of the last verdict.
	lastWatched map[uint64]bool
}

// sum is a number that fades.
type sum struct {
	value float64
	at    time.Duration
}

// fade gives the number at a time, of which half is left after each half-life.
func (s *sum) fade(now, halfLife time.Duration) float64 {
	s.value *= math.Exp2(-(now - s.at).Seconds() / halfLife.Seconds())
	s.at = now
	return s.value
}

// record is what is known of one back end. Sums fade with Settings.HalfLife.
type record struct {
	bad, good, reporters float64
	at                   time.Duration // of the sums
	recent               sum           // bad ones, fading with Settings.RecentHalfLife
	// watched: a suspect, of which all outcomes are asked for, and were heard since.
	watched             bool
	watchedAt           time.Duration
	heardBad, heardGood int
	// avoidedUntil: zero unless it is avoided.
	avoidedUntil time.Duration
}

func newJudge(settings Settings) *judge {
	return &judge{
		settings:    settings,
		records:     make(map[Identity]*record),
		own:         make(map[lb.ServiceName]*sum),
		lastWatched: make(map[uint64]bool),
	}
}

// setServices takes the back ends that take new flows, and forgets others.
func (j *judge) setServices(services map[lb.ServiceName][]Identity) {
	j.services = services
	j.serving = make(map[Identity]lb.ServiceName)
	for service, identities := range services {
		for _, identity := range identities {
			j.serving[identity] = service
		}
	}
	for identity := range j.records {
		if _, present := j.serving[identity]; !present {
			delete(j.records, identity)
		}
	}
	for service := range j.own {
		if _, present := services[service]; !present {
			delete(j.own, service)
		}
	}
}

// noteOwn counts what this node itself has seen.
func (j *judge) noteOwn(now time.Duration, outcomes []Outcome) {
	for _, outcome := range outcomes {
		service, serves := j.serving[outcome.Identity]
		if !serves {
			continue
		}
		seen := j.own[service]
		if seen == nil {
			seen = &sum{at: now}
			j.own[service] = seen
		}
		seen.value = seen.fade(now, j.settings.RecentHalfLife) + 1
	}
}

// healthyShare is the part of bad outcomes of a service's back ends, but for the
// worst of them, lately. It is doubled, since bad outcomes show later than good ones.
func (j *judge) healthyShare(now time.Duration, service lb.ServiceName, identities []Identity) float64 {
	outcomes := 0.0 // of a back end, all nodes together
	if seen := j.own[service]; seen != nil {
		outcomes = seen.fade(now, j.settings.RecentHalfLife) * float64(j.nodes) / float64(len(identities))
	}
	bad := j.others(identities, func(known *record) float64 { return known.recent.fade(now, j.settings.RecentHalfLife) })
	share := 2 * (bad + fewOutcomes) / (outcomes + 1)
	return min(max(share, j.settings.LeastHealthy), j.settings.MostHealthy)
}

// fewOutcomes stands for what is not known of services with few requests.
const fewOutcomes = 0.05

// add takes outcomes that nodes have reported.
func (j *judge) add(now time.Duration, identity Identity, bad, good, reporters int) {
	known := j.records[identity]
	if known == nil {
		if _, serves := j.serving[identity]; !serves || bad == 0 || len(j.records) >= maxPending {
			return
		}
		known = &record{at: now}
		j.records[identity] = known
	}
	j.fade(known, now)
	known.bad += float64(bad)
	known.good += float64(good)
	known.reporters += float64(reporters)
	known.recent.value = known.recent.fade(now, j.settings.RecentHalfLife) + float64(bad)
	if known.watched {
		known.heardBad += bad
		known.heardGood += good
	}
	if known.avoidedUntil > 0 && bad > 0 {
		known.avoidedUntil = now + j.settings.AvoidTime
	}
}

// fade lets the sums of a record lose weight.
func (j *judge) fade(known *record, now time.Duration) {
	factor := math.Exp2(-(now - known.at).Seconds() / j.settings.HalfLife.Seconds())
	known.bad *= factor
	known.good *= factor
	known.reporters *= factor
	known.at = now
}

// judge gives the verdict if there is something to tell, and what has changed.
func (j *judge) judge(now time.Duration) (*message.OutcomeVerdict, []Change) {
	concerned := make(map[lb.ServiceName]bool)
	for identity, known := range j.records {
		j.fade(known, now)
		if known.bad < forgotten && known.avoidedUntil == 0 {
			delete(j.records, identity)
			continue
		}
		concerned[j.serving[identity]] = true
	}
	var changes []Change
	for _, service := range slices.Sorted(maps.Keys(concerned)) {
		changes = append(changes, j.judgeService(now, service, j.services[service])...)
	}
	return j.verdict(now, len(changes) > 0), changes
}

// forgotten is the sum of bad outcomes below which a record is dropped.
const forgotten = 0.05

// judgeService judges the back ends of one service against each other.
func (j *judge) judgeService(now time.Duration, service lb.ServiceName, identities []Identity) []Change {
	others := j.others(identities, func(known *record) float64 { return known.bad })
	healthy := j.healthyShare(now, service, identities)
	var changes []Change
	change := func(identity Identity, known *record) {
		changes = append(changes, Change{
			Identity: identity, Service: service, Ejected: known.avoidedUntil > 0,
			Bad: known.bad, Good: known.good, Reporters: known.reporters, Others: others,
		})
	}
	avoided := 0
	var open []Identity
	for _, identity := range identities {
		known := j.records[identity]
		switch {
		case known == nil:
		case known.avoidedUntil > 0 && now >= known.avoidedUntil:
			*known = record{at: now}
			change(identity, known)
		case known.avoidedUntil > 0:
			avoided++
		default:
			open = append(open, identity)
		}
	}
	slices.SortFunc(open, func(left, right Identity) int {
		return cmp.Or(cmp.Compare(j.records[right].bad, j.records[left].bad), cmp.Compare(left, right))
	})
	room := int(j.settings.MostAvoided*float64(len(identities))) - avoided
	watching := j.watching()
	for _, identity := range open {
		known := j.records[identity]
		if room <= 0 {
			known.watched = false // there is no use in it, and others need the place
			continue
		}
		mayWatch := known.watched || watching < j.settings.Suspects
		before := known.watched
		if j.convicts(now, known, others, healthy, mayWatch) {
			known.avoidedUntil = now + j.settings.AvoidTime
			change(identity, known)
			room--
		}
		if known.watched && !before {
			watching++
		}
	}
	return changes
}

// watching counts the suspects that nodes are asked about.
func (j *judge) watching() int {
	count := 0
	for _, known := range j.records {
		if known.watched && known.avoidedUntil == 0 {
			count++
		}
	}
	return count
}

// convicts tells whether a back end is to be avoided. A suspect is watched first:
// nodes that hear from it say so, and clear it where they are most. One that may not
// be watched yet waits for a place.
func (j *judge) convicts(now time.Duration, known *record, others, healthy float64, mayWatch bool) bool {
	suspected := known.bad >= j.settings.LeastBad && known.reporters >= j.settings.LeastBad &&
		known.bad >= j.settings.Ratio*max(others, j.settings.Floor)
	if !suspected || !known.watched {
		known.watched = suspected && mayWatch
		known.watchedAt = now
		known.heardBad, known.heardGood = 0, 0
		return false
	}
	failing := j.settings.FailingShare
	likelihood := float64(known.heardBad)*math.Log(failing/healthy) +
		float64(known.heardGood)*math.Log((1-failing)/(1-healthy))
	if likelihood <= j.settings.Clearing {
		*known = record{at: known.at, recent: known.recent}
		return false
	}
	return likelihood >= j.settings.Conviction && known.reporters >= j.settings.Reporters &&
		now-known.watchedAt >= j.settings.HearingTime
}

// others is the mean of the bad outcomes of a service's back ends, but for the
// third with the most of them, as many as may be avoided.
func (j *judge) others(identities []Identity, badOf func(*record) float64) float64 {
	bad := make([]float64, 0, len(identities))
	for _, identity := range identities {
		sum := 0.0
		if known := j.records[identity]; known != nil {
			sum = badOf(known)
		}
		bad = append(bad, sum)
	}
	slices.Sort(bad)
	rest := bad[:len(bad)-int(j.settings.MostAvoided*float64(len(bad)))]
	mean := 0.0
	for _, sum := range rest {
		mean += sum / float64(len(rest))
	}
	return mean
}

// verdict gives what is to be told now; nil: nothing.
func (j *judge) verdict(now time.Duration, changed bool) *message.OutcomeVerdict {
	verdict := &message.OutcomeVerdict{Number: j.number + 1}
	fresh := false // a suspect of which the zone does not know
	for identity, known := range j.records {
		if known.avoidedUntil > 0 {
			verdict.Avoided = append(verdict.Avoided, uint64(identity))
		}
		if known.watched || known.avoidedUntil > 0 {
			verdict.Watched = append(verdict.Watched, uint64(identity))
			fresh = fresh || !j.lastWatched[uint64(identity)]
		}
	}
	something := len(verdict.Watched) > 0
	due := now-j.toldAt >= verdictInterval
	if !changed && !fresh && !(due && something) && !(j.told && !something) {
		return nil
	}
	clear(j.lastWatched)
	for _, identity := range verdict.Watched {
		j.lastWatched[identity] = true
	}
	slices.Sort(verdict.Avoided)
	slices.Sort(verdict.Watched)
	j.number++
	j.toldAt = now
	j.told = something
	return verdict
}
