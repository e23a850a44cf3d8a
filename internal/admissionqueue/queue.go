// Package admissionqueue queues the first copies of openings for which there is no spare capacity
// at present, for part of the time that their clients can wait, in place of refusing them
// immediately. It decides the order in which they are retried, when their waiting time ends, and
// which ones can't be admitted in time. The caller of the queue decides whether there is capacity.
// The package has no I/O and no clock. See docs/design/waiting.md.
package admissionqueue

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Order is the order in which queued openings are retried.
type Order uint8

// These are the possible orders.
const (
	// ByPriority retries more important openings first, and among openings of one priority the one
	// with the earliest deadline.
	ByPriority Order = iota
	// ByArrival retries openings in the order of their arrival.
	ByArrival
)

// Settings are the parameters of a queue. See DefaultSettings.
type Settings struct {
	// Off disables the queue: it accepts no opening.
	Off   bool
	Order Order
	// Capacity is the maximum number of queued openings.
	Capacity int
	// Interval is the interval between retries of the queued openings.
	Interval time.Duration
	// WaitShare is the maximum waiting time as a fraction of the opening's target, and MaxWait is
	// the maximum whatever the target is.
	WaitShare float64
	MaxWait   time.Duration
	// Grace is how long after its deadline an opening may still be refused. Later it must be
	// dropped without an answer.
	Grace time.Duration
	// RateWindow is the time over which the rate of released openings is averaged.
	RateWindow time.Duration
	// FreeSlotTimeout is how long a back end that has become free is assumed to stay free.
	FreeSlotTimeout time.Duration

	// These switch off one rule each. Tests use them to show that the rule is needed.
	keepsUnservable, refusesLate, keepsOverdue bool
}

// firstCopyDelay is the time after which a client sends the first copy of an opening that was not
// answered.
const firstCopyDelay = 200 * time.Millisecond

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings {
	return Settings{
		// 66,000 openings per second over 840 nodes are 79 per node. Three times as many, for
		// MaxWait, are 28 queued openings, and zones and nodes differ by a factor of four.
		Capacity: 128,
		// With two slots per back end and requests of 50 ms, a slot becomes free every 25 ms on
		// average. A retry of the queue takes a few microseconds.
		Interval: 10 * time.Millisecond,
		// Clients try three times, and an admitted try needs up to two fifths of the target. Three
		// waits of a fifth each fit in the rest.
		WaitShare: 0.2,
		MaxWait:   120 * time.Millisecond,
		// MaxWait + Grace is 40 ms less than firstCopyDelay; the difference allows for the transit
		// time from the client to the node.
		Grace:           40 * time.Millisecond,
		RateWindow:      500 * time.Millisecond,
		FreeSlotTimeout: 20 * time.Millisecond,
	}
}

// Opening identifies a queued opening and holds the fields that determine its order.
type Opening struct {
	Flow      lb.FlowID
	OpeningID uint32
	Service   lb.ServiceName
	Objective lb.Objective
}

// QueuedOpening is a queued opening with the caller's data for it.
type QueuedOpening[K any] struct {
	Opening
	Data K
	// Arrived is the time of arrival, and Due is the deadline.
	Arrived, Due time.Duration
	// Retries is the number of retries so far.
	Retries uint32

	sequence uint64 // number of openings queued before this one
	used     bool
}

// Phase determines which outcomes are possible for an opening at a retry.
type Phase uint8

// These are the possible values.
const (
	// PhaseWaiting means that the opening may be released or stay queued.
	PhaseWaiting Phase = iota + 1
	// PhaseFinal means that the opening must be released or refused: its deadline has passed, or it
	// can't be admitted before it.
	PhaseFinal
	// PhaseExpired means that the opening must be dropped, since its client may have sent a copy to
	// another node.
	PhaseExpired
)

// Outcome is the decision on an opening at a retry.
type Outcome uint8

// These are the possible decisions.
const (
	// OutcomeQueued keeps the opening in the queue, since there is no spare capacity yet.
	OutcomeQueued Outcome = iota + 1
	// OutcomeReleased removes the opening because it was forwarded to a back end.
	OutcomeReleased
	// OutcomeRemoved removes the opening because it was refused or dropped.
	OutcomeRemoved
)

// Queue holds the queued openings of one node. It is not safe for concurrent use.
type Queue[K any] struct {
	settings     Settings
	entries      []QueuedOpening[K]
	order        []int // indexes of the used entries, in the order of retries
	scratch      []int
	nextSequence uint64
	services     map[lb.ServiceName]*serviceState
}

// serviceState holds the statistics of one service.
type serviceState struct {
	queued int // number of queued openings
	// queuedSince is the start of the period in which openings have been queued without a long
	// gap. released counts the openings released from the queue, and decays over RateWindow.
	queuedSince, at time.Duration
	released        float64
}

// New returns an empty queue.
func New[K any](settings Settings) *Queue[K] {
	q := &Queue[K]{settings: settings, services: make(map[lb.ServiceName]*serviceState)}
	if !settings.Off {
		q.entries = make([]QueuedOpening[K], settings.Capacity)
		q.order = make([]int, 0, settings.Capacity)
		q.scratch = make([]int, 0, settings.Capacity)
	}
	return q
}

// Len returns the number of queued openings.
func (q *Queue[K]) Len() int { return len(q.order) }

// maxWait returns the maximum waiting time for an objective. It is 0 for an objective without a
// target, since nothing limits then how long the client can wait.
func (q *Queue[K]) maxWait(objective lb.Objective) time.Duration {
	return min(time.Duration(q.settings.WaitShare*float64(objective.Target())), q.settings.MaxWait)
}

// Enqueue queues an opening for which there is no spare capacity at present, and returns its entry,
// in which the caller must store its own data. It returns nil if the opening must be refused
// immediately, because the queue is full or the opening can't be admitted in time.
func (q *Queue[K]) Enqueue(now time.Duration, opening Opening) *QueuedOpening[K] {
	limit := q.maxWait(opening.Objective)
	if q.settings.Off || limit < q.settings.Interval || len(q.order) == len(q.entries) {
		return nil
	}
	s := q.serviceState(now, opening.Service)
	added := QueuedOpening[K]{Opening: opening, Arrived: now, Due: now + limit, sequence: q.nextSequence, used: true}
	if q.unservable(now, s, q.ahead(&added), limit) {
		return nil
	}
	q.nextSequence++
	s.queued++
	index := slices.IndexFunc(q.entries, func(queued QueuedOpening[K]) bool { return !queued.used })
	q.entries[index] = added
	at, _ := slices.BinarySearchFunc(q.order, index, func(a, b int) int { return q.compare(&q.entries[a], &q.entries[b]) })
	q.order = slices.Insert(q.order, at, index)
	return &q.entries[index]
}

// Find returns the queued opening of a flow, or nil.
func (q *Queue[K]) Find(flow lb.FlowID) *QueuedOpening[K] {
	for _, index := range q.order {
		if q.entries[index].Flow == flow {
			return &q.entries[index]
		}
	}
	return nil
}

// Remove removes an opening that Find returned.
func (q *Queue[K]) Remove(queued *QueuedOpening[K]) {
	q.order = slices.DeleteFunc(q.order, func(index int) bool { return &q.entries[index] == queued })
	q.clear(queued)
}

func (q *Queue[K]) clear(queued *QueuedOpening[K]) {
	q.services[queued.Service].queued--
	*queued = QueuedOpening[K]{}
}

// Retry retries each queued opening, in order: decide returns the decision on it. If all is true,
// none may stay queued.
func (q *Queue[K]) Retry(now time.Duration, all bool, decide func(*QueuedOpening[K], Phase) Outcome) {
	q.scratch = append(q.scratch[:0], q.order...)
	q.order = q.order[:0]
	for _, index := range q.scratch {
		queued := &q.entries[index]
		queued.Retries++
		phase := q.phase(now, queued)
		if all && phase == PhaseWaiting {
			phase = PhaseFinal
		}
		switch decide(queued, phase) {
		case OutcomeQueued:
			q.order = append(q.order, index)
			continue
		case OutcomeReleased:
			s := q.serviceState(now, queued.Service)
			s.released++
		}
		q.clear(queued)
	}
}

// phase returns which outcomes are possible for an opening now. q.order holds the openings before
// it that stay queued.
func (q *Queue[K]) phase(now time.Duration, queued *QueuedOpening[K]) Phase {
	switch {
	case now > queued.Due+q.settings.Grace && !q.settings.refusesLate:
		return PhaseExpired
	case now >= queued.Due && !q.settings.keepsOverdue:
		return PhaseFinal
	case q.unservable(now, q.serviceState(now, queued.Service), q.ahead(queued), queued.Due-now):
		return PhaseFinal
	}
	return PhaseWaiting
}

// ahead returns the number of queued openings of the same service that are retried before the given
// one.
func (q *Queue[K]) ahead(queued *QueuedOpening[K]) int {
	count := 0
	for _, index := range q.order {
		other := &q.entries[index]
		if other.Service == queued.Service && q.compare(other, queued) < 0 {
			count++
		}
	}
	return count
}

func (q *Queue[K]) compare(a, b *QueuedOpening[K]) int {
	if q.settings.Order == ByArrival {
		return cmp.Compare(a.sequence, b.sequence)
	}
	return cmp.Or(
		cmp.Compare(a.Objective.Priority, b.Objective.Priority),
		cmp.Compare(a.Due, b.Due),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// unservable returns true if the openings ahead will take longer than the remaining time, at the
// recent rate of released openings of the service. It never returns true for the first opening,
// whose retries detect that there is capacity again.
func (q *Queue[K]) unservable(now time.Duration, s *serviceState, ahead int, remaining time.Duration) bool {
	if q.settings.keepsUnservable {
		return false
	}
	elapsed := min(now-s.queuedSince, q.settings.RateWindow)
	if elapsed < q.settings.RateWindow/2 {
		return false // the rate is not known yet
	}
	return float64(ahead)*elapsed.Seconds() > s.released*remaining.Seconds()
}

// serviceState returns the statistics of a service. They are reset after RateWindow without queued
// openings.
func (q *Queue[K]) serviceState(now time.Duration, name lb.ServiceName) *serviceState {
	s := q.services[name]
	if s == nil {
		s = &serviceState{queuedSince: now, at: now}
		q.services[name] = s
	}
	elapsed := now - s.at
	if s.queued == 0 && elapsed > q.settings.RateWindow {
		*s = serviceState{queuedSince: now, at: now}
	}
	s.released *= max(0, 1-float64(elapsed)/float64(q.settings.RateWindow))
	s.at = now
	return s
}

// Forget deletes the statistics of services without queued openings for which keep returns false.
func (q *Queue[K]) Forget(keep func(lb.ServiceName) bool) {
	for name, s := range q.services {
		if s.queued == 0 && !keep(name) {
			delete(q.services, name)
		}
	}
}
