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

// detector evaluates the reports at the root node of a zone.
type detector struct {
	settings  Settings
	services  map[lb.ServiceName][]Identity
	serviceOf map[Identity]lb.ServiceName
	records   map[Identity]*record
	// nodes is the number of nodes in the fleet. ownOutcomes counts the outcomes of each service
	// that this node observed itself. Every node sees about as many, so the two together estimate
	// the number of outcomes in the fleet.
	nodes       int
	ownOutcomes map[lb.ServiceName]*decayingSum
	sequence    uint64 // sequence number of the last verdict
	publishedAt time.Duration
	published   bool // the last verdict was not empty and must be renewed or withdrawn
	// lastWatched holds the watched back ends of the last verdict.
	lastWatched map[uint64]bool
}

// decayingSum is a sum whose value decays exponentially.
type decayingSum struct {
	value float64
	at    time.Duration
}

// decay returns the sum at the given time; half of it is left after each half-life.
func (s *decayingSum) decay(now, halfLife time.Duration) float64 {
	s.value *= math.Exp2(-(now - s.at).Seconds() / halfLife.Seconds())
	s.at = now
	return s.value
}

// record holds the reported outcomes of one back end. Its sums decay with Settings.HalfLife.
type record struct {
	bad, good, reporters float64
	at                   time.Duration // time to which the sums have decayed
	recent               decayingSum   // bad outcomes, decaying with Settings.RecentHalfLife
	// watched marks a suspect: nodes report all of its outcomes. watchedBad and watchedGood count
	// the outcomes reported since it was first watched.
	watched                 bool
	watchedAt               time.Duration
	watchedBad, watchedGood int
	// ejectedUntil is zero unless the back end is ejected.
	ejectedUntil time.Duration
}

func newDetector(settings Settings) *detector {
	return &detector{
		settings:    settings,
		records:     make(map[Identity]*record),
		ownOutcomes: make(map[lb.ServiceName]*decayingSum),
		lastWatched: make(map[uint64]bool),
	}
}

// setServices replaces the back ends that accept new flows and drops the records of all others.
func (d *detector) setServices(services map[lb.ServiceName][]Identity) {
	d.services = services
	d.serviceOf = make(map[Identity]lb.ServiceName)
	for service, identities := range services {
		for _, identity := range identities {
			d.serviceOf[identity] = service
		}
	}
	for identity := range d.records {
		if _, present := d.serviceOf[identity]; !present {
			delete(d.records, identity)
		}
	}
	for service := range d.ownOutcomes {
		if _, present := services[service]; !present {
			delete(d.ownOutcomes, service)
		}
	}
}

// recordOwnOutcomes counts the outcomes that this node observed itself, by service.
func (d *detector) recordOwnOutcomes(now time.Duration, outcomes []Outcome) {
	for _, outcome := range outcomes {
		service, serves := d.serviceOf[outcome.Identity]
		if !serves {
			continue
		}
		seen := d.ownOutcomes[service]
		if seen == nil {
			seen = &decayingSum{at: now}
			d.ownOutcomes[service] = seen
		}
		seen.value = seen.decay(now, d.settings.RecentHalfLife) + 1
	}
}

// healthyBadRatio returns the recent ratio of bad outcomes of a service's back ends, without the
// worst of them. The ratio is doubled because a bad outcome shows later than a good one.
func (d *detector) healthyBadRatio(now time.Duration, service lb.ServiceName, identities []Identity) float64 {
	outcomes := 0.0 // of one back end, at all nodes together
	if seen := d.ownOutcomes[service]; seen != nil {
		outcomes = seen.decay(now, d.settings.RecentHalfLife) * float64(d.nodes) / float64(len(identities))
	}
	bad := d.baseline(identities, func(rec *record) float64 { return rec.recent.decay(now, d.settings.RecentHalfLife) })
	ratio := 2 * (bad + priorBadOutcomes) / (outcomes + 1)
	return min(max(ratio, d.settings.MinHealthyBadRatio), d.settings.MaxHealthyBadRatio)
}

// priorBadOutcomes is the number of bad outcomes assumed before any are reported, for services with
// few requests.
const priorBadOutcomes = 0.05

// add adds reported outcomes of a back end.
func (d *detector) add(now time.Duration, identity Identity, bad, good, reporters int) {
	rec := d.records[identity]
	if rec == nil {
		if _, serves := d.serviceOf[identity]; !serves || bad == 0 || len(d.records) >= maxPendingBackends {
			return
		}
		rec = &record{at: now}
		d.records[identity] = rec
	}
	d.decay(rec, now)
	rec.bad += float64(bad)
	rec.good += float64(good)
	rec.reporters += float64(reporters)
	rec.recent.value = rec.recent.decay(now, d.settings.RecentHalfLife) + float64(bad)
	if rec.watched {
		rec.watchedBad += bad
		rec.watchedGood += good
	}
	if rec.ejectedUntil > 0 && bad > 0 {
		rec.ejectedUntil = now + d.settings.EjectionTime
	}
}

// decay applies the decay since the last call to the sums of a record.
func (d *detector) decay(rec *record, now time.Duration) {
	factor := math.Exp2(-(now - rec.at).Seconds() / d.settings.HalfLife.Seconds())
	rec.bad *= factor
	rec.good *= factor
	rec.reporters *= factor
	rec.at = now
}

// evaluate returns the verdict, or nil if none must be sent now, and the back ends that were
// ejected or restored.
func (d *detector) evaluate(now time.Duration) (*message.OutcomeVerdict, []Change) {
	affected := make(map[lb.ServiceName]bool)
	for identity, rec := range d.records {
		d.decay(rec, now)
		if rec.bad < minRecordBad && rec.ejectedUntil == 0 {
			delete(d.records, identity)
			continue
		}
		affected[d.serviceOf[identity]] = true
	}
	var changes []Change
	for _, service := range slices.Sorted(maps.Keys(affected)) {
		changes = append(changes, d.evaluateService(now, service, d.services[service])...)
	}
	return d.nextVerdict(now, len(changes) > 0), changes
}

// minRecordBad is the sum of bad outcomes below which a record is dropped.
const minRecordBad = 0.05

// evaluateService compares the back ends of one service with each other and returns the changes.
func (d *detector) evaluateService(now time.Duration, service lb.ServiceName, identities []Identity) []Change {
	baseline := d.baseline(identities, func(rec *record) float64 { return rec.bad })
	healthy := d.healthyBadRatio(now, service, identities)
	var changes []Change
	addChange := func(identity Identity, rec *record) {
		changes = append(changes, Change{
			Identity: identity, Service: service, Ejected: rec.ejectedUntil > 0,
			Bad: rec.bad, Good: rec.good, Reporters: rec.reporters, Baseline: baseline,
		})
	}
	ejected := 0
	var candidates []Identity
	for _, identity := range identities {
		rec := d.records[identity]
		switch {
		case rec == nil:
		case rec.ejectedUntil > 0 && now >= rec.ejectedUntil:
			*rec = record{at: now}
			addChange(identity, rec)
		case rec.ejectedUntil > 0:
			ejected++
		default:
			candidates = append(candidates, identity)
		}
	}
	slices.SortFunc(candidates, func(left, right Identity) int {
		return cmp.Or(cmp.Compare(d.records[right].bad, d.records[left].bad), cmp.Compare(left, right))
	})
	ejectable := int(d.settings.MaxEjectedFraction*float64(len(identities))) - ejected
	suspects := d.countSuspects()
	for _, identity := range candidates {
		rec := d.records[identity]
		if ejectable <= 0 {
			rec.watched = false // it cannot be ejected, and other suspects need the slot
			continue
		}
		mayWatch := rec.watched || suspects < d.settings.MaxSuspects
		wasWatched := rec.watched
		if d.shouldEject(now, rec, baseline, healthy, mayWatch) {
			rec.ejectedUntil = now + d.settings.EjectionTime
			addChange(identity, rec)
			ejectable--
		}
		if rec.watched && !wasWatched {
			suspects++
		}
	}
	return changes
}

// countSuspects returns the number of watched back ends that are not ejected.
func (d *detector) countSuspects() int {
	count := 0
	for _, rec := range d.records {
		if rec.watched && rec.ejectedUntil == 0 {
			count++
		}
	}
	return count
}

// shouldEject reports whether a back end is to be ejected. A suspect is first watched: the nodes
// then report its good outcomes too, which clear it if it is healthy. A suspect that may not be
// watched yet waits for a free slot.
func (d *detector) shouldEject(now time.Duration, rec *record, baseline, healthy float64, mayWatch bool) bool {
	suspected := rec.bad >= d.settings.MinBad && rec.reporters >= d.settings.MinBad &&
		rec.bad >= d.settings.BaselineRatio*max(baseline, d.settings.BaselineFloor)
	if !suspected || !rec.watched {
		rec.watched = suspected && mayWatch
		rec.watchedAt = now
		rec.watchedBad, rec.watchedGood = 0, 0
		return false
	}
	failing := d.settings.FailingBadRatio
	logRatio := float64(rec.watchedBad)*math.Log(failing/healthy) +
		float64(rec.watchedGood)*math.Log((1-failing)/(1-healthy))
	if logRatio <= d.settings.ClearThreshold {
		*rec = record{at: rec.at, recent: rec.recent}
		return false
	}
	return logRatio >= d.settings.EjectThreshold && rec.reporters >= d.settings.MinReporters &&
		now-rec.watchedAt >= d.settings.MinWatchTime
}

// baseline returns the mean of the bad outcomes of a service's back ends. It leaves out the back
// ends with the most bad outcomes, as many as may be ejected.
func (d *detector) baseline(identities []Identity, badOf func(*record) float64) float64 {
	bad := make([]float64, 0, len(identities))
	for _, identity := range identities {
		sum := 0.0
		if rec := d.records[identity]; rec != nil {
			sum = badOf(rec)
		}
		bad = append(bad, sum)
	}
	slices.Sort(bad)
	remaining := bad[:len(bad)-int(d.settings.MaxEjectedFraction*float64(len(bad)))]
	mean := 0.0
	for _, sum := range remaining {
		mean += sum / float64(len(remaining))
	}
	return mean
}

// nextVerdict returns the verdict that must be sent now, or nil if none must.
func (d *detector) nextVerdict(now time.Duration, changed bool) *message.OutcomeVerdict {
	verdict := &message.OutcomeVerdict{Sequence: d.sequence + 1}
	newSuspect := false // a suspect is not yet in a published verdict
	for identity, rec := range d.records {
		if rec.ejectedUntil > 0 {
			verdict.Ejected = append(verdict.Ejected, uint64(identity))
		}
		if rec.watched || rec.ejectedUntil > 0 {
			verdict.Watched = append(verdict.Watched, uint64(identity))
			newSuspect = newSuspect || !d.lastWatched[uint64(identity)]
		}
	}
	nonEmpty := len(verdict.Watched) > 0
	due := now-d.publishedAt >= verdictInterval
	if !changed && !newSuspect && !(due && nonEmpty) && !(d.published && !nonEmpty) {
		return nil
	}
	clear(d.lastWatched)
	for _, identity := range verdict.Watched {
		d.lastWatched[identity] = true
	}
	slices.Sort(verdict.Ejected)
	slices.Sort(verdict.Watched)
	d.sequence++
	d.publishedAt = now
	d.published = nonEmpty
	return verdict
}
