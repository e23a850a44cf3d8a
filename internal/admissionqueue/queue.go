// Package waiting keeps the first copies of openings for which there is no room
// just now, for a part of the time that their callers have, in place of refusing
// them at once. It says in which order they are asked for again, when one's time
// is up, and which ones cannot be met; whoever holds the queue says whether there
// is room. The package has no I/O and no clock. See docs/design/waiting.md.
package admissionqueue

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Order says which of the openings that wait is asked for first.
type Order uint8

// The orders.
const (
	// ByPriority takes the more important first, among these the one whose time is up first.
	ByPriority Order = iota
	// ByArrival takes the one first that came first.
	ByArrival
)

// Settings of a queue. See DefaultSettings.
type Settings struct {
	// Off holds nothing.
	Off   bool
	Order Order
	// Capacity is the most openings that wait.
	Capacity int
	// Interval is the time between looks at those that wait.
	Interval time.Duration
	// Share is the part of its objective that an opening may wait, and Longest the
	// longest time, whatever its objective.
	Share   float64
	MaxWait time.Duration
	// Grace is how much longer than that an opening may be found waiting, and
	// still be refused.
	Grace time.Duration
	// RateWindow is the time over which it is seen how many go.
	RateWindow time.Duration
	// FreeSlotTimeout is how long a back end that has become free is taken to be so.
	FreeSlotTimeout time.Duration

	// Rules that tests take out, to see that they are needed.
	keepsUnservable, refusesLate, keepsOverdue bool
}

// Callers send the first copy of an opening that has no answer this long after it.
const firstCopyDelay = 200 * time.Millisecond

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		// 66,000 openings a second over 840 nodes are 79 a node; three times as many
		// for the longest time are 28, and zones and nodes differ by four times.
		Capacity: 128,
		// A slot of a service whose requests take 50 ms frees up every 25 ms where
		// back ends have two; a look is a few microseconds.
		Interval: 10 * time.Millisecond,
		// Callers try three times, and a try that is let in takes up to two fifths
		// of the objective: three waits of a fifth fit in beside it.
		Share:   0.2,
		MaxWait: 120 * time.Millisecond,
		// Together with Longest less than firstCopy, by 40 ms for the way to the node.
		Grace:           40 * time.Millisecond,
		RateWindow:      500 * time.Millisecond,
		FreeSlotTimeout: 20 * time.Millisecond,
	}
}

// Opening is what a queue goes by.
type Opening struct {
	Flow      lb.FlowID
	OpeningID uint32
	Service   lb.ServiceName
	Objective lb.Objective
}

// Waiter is an opening that waits, with what its holder keeps of it.
type Waiter[K any] struct {
	Opening
	Kept K
	// Arrived is when it came, and Due when its time is up.
	Arrived, Due time.Duration
	// Looks is how often it was asked for since.
	Looks uint32

	sequence uint64 // counts those that were held
	used     bool
}

// Chance says what may become of an opening at a look.
type Chance uint8

// The chances.
const (
	// ChanceMore: it goes now, or waits on.
	ChanceMore Chance = iota + 1
	// ChanceLast: it goes now, or is refused: its time is up, or cannot suffice.
	ChanceLast
	// ChanceGone: it is to be dropped, since its caller may have sent a copy elsewhere.
	ChanceGone
)

// Fate is what was decided on an opening at a look.
type Fate uint8

// The fates.
const (
	// FateWaits: there is no room yet.
	FateWaits Fate = iota + 1
	// FateWent: it went on.
	FateWent
	// FateEnded: it was refused or dropped.
	FateEnded
)

// Queue is what waits at one node. It is not safe for concurrent use.
type Queue[K any] struct {
	settings     Settings
	slots        []Waiter[K]
	order        []int // the slots in use, in the order in which they are asked for
	scratch      []int
	nextSequence uint64
	services     map[lb.ServiceName]*serviceState
}

// serviceState is what is known of the openings of a service.
type serviceState struct {
	waiting int // how many wait now
	// waitingSince is when the first of those came that have waited without a gap, and
	// went how many of them went on, which fades.
	waitingSince, at time.Duration
	released         float64
}

// New gives an empty queue.
func New[K any](settings Settings) *Queue[K] {
	q := &Queue[K]{settings: settings, services: make(map[lb.ServiceName]*serviceState)}
	if !settings.Off {
		q.slots = make([]Waiter[K], settings.Capacity)
		q.order = make([]int, 0, settings.Capacity)
		q.scratch = make([]int, 0, settings.Capacity)
	}
	return q
}

// Len is how many wait.
func (q *Queue[K]) Len() int { return len(q.order) }

// maxWait is how long an opening may wait; 0: not at all. One whose objective is
// not known is not held: nothing tells how long its caller can wait.
func (q *Queue[K]) maxWait(objective lb.Objective) time.Duration {
	return min(time.Duration(q.settings.Share*float64(objective.Target())), q.settings.MaxWait)
}

// Hold takes an opening for which there is no room now, and gives its place,
// whose Kept the caller fills. nil: it is to be refused at once, since the queue
// is full or could not meet it.
func (q *Queue[K]) Hold(now time.Duration, opening Opening) *Waiter[K] {
	limit := q.maxWait(opening.Objective)
	if q.settings.Off || limit < q.settings.Interval || len(q.order) == len(q.slots) {
		return nil
	}
	l := q.serviceState(now, opening.Service)
	added := Waiter[K]{Opening: opening, Arrived: now, Due: now + limit, sequence: q.nextSequence, used: true}
	if q.unservable(now, l, q.ahead(&added), limit) {
		return nil
	}
	q.nextSequence++
	l.waiting++
	index := slices.IndexFunc(q.slots, func(w Waiter[K]) bool { return !w.used })
	q.slots[index] = added
	at, _ := slices.BinarySearchFunc(q.order, index, func(a, b int) int { return q.compare(&q.slots[a], &q.slots[b]) })
	q.order = slices.Insert(q.order, at, index)
	return &q.slots[index]
}

// Find gives the opening of a flow that waits, or nil.
func (q *Queue[K]) Find(flow lb.FlowID) *Waiter[K] {
	for _, index := range q.order {
		if q.slots[index].Flow == flow {
			return &q.slots[index]
		}
	}
	return nil
}

// Remove takes out an opening that Find gave.
func (q *Queue[K]) Remove(w *Waiter[K]) {
	q.order = slices.DeleteFunc(q.order, func(index int) bool { return &q.slots[index] == w })
	q.release(w)
}

func (q *Queue[K]) release(w *Waiter[K]) {
	q.services[w.Service].waiting--
	*w = Waiter[K]{}
}

// Look asks for each opening that waits, in order, what becomes of it. all tells
// that nothing may wait any longer.
func (q *Queue[K]) Look(now time.Duration, all bool, decide func(*Waiter[K], Chance) Fate) {
	q.scratch = append(q.scratch[:0], q.order...)
	q.order = q.order[:0]
	for _, index := range q.scratch {
		w := &q.slots[index]
		w.Looks++
		chance := q.chance(now, w)
		if all && chance == ChanceMore {
			chance = ChanceLast
		}
		switch decide(w, chance) {
		case FateWaits:
			q.order = append(q.order, index)
			continue
		case FateWent:
			l := q.serviceState(now, w.Service)
			l.released++
		}
		q.release(w)
	}
}

// chance says what may become of an opening now; q.order has those before it that go on waiting.
func (q *Queue[K]) chance(now time.Duration, w *Waiter[K]) Chance {
	switch {
	case now > w.Due+q.settings.Grace && !q.settings.refusesLate:
		return ChanceGone
	case now >= w.Due && !q.settings.keepsOverdue:
		return ChanceLast
	case q.unservable(now, q.serviceState(now, w.Service), q.ahead(w), w.Due-now):
		return ChanceLast
	}
	return ChanceMore
}

// ahead counts the openings of the same service that are asked for before one.
func (q *Queue[K]) ahead(w *Waiter[K]) int {
	count := 0
	for _, index := range q.order {
		other := &q.slots[index]
		if other.Service == w.Service && q.compare(other, w) < 0 {
			count++
		}
	}
	return count
}

func (q *Queue[K]) compare(a, b *Waiter[K]) int {
	if q.settings.Order == ByArrival {
		return cmp.Compare(a.sequence, b.sequence)
	}
	return cmp.Or(
		cmp.Compare(a.Objective.Priority, b.Objective.Priority),
		cmp.Compare(a.Due, b.Due),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// unservable tells whether those ahead take longer than the time that is left, at
// the rate at which openings of the service have gone lately. Who is first is
// never without hope, so that it is seen when there is room again.
func (q *Queue[K]) unservable(now time.Duration, l *serviceState, ahead int, left time.Duration) bool {
	if q.settings.keepsUnservable {
		return false
	}
	seen := min(now-l.waitingSince, q.settings.RateWindow)
	if seen < q.settings.RateWindow/2 {
		return false // not known yet
	}
	return float64(ahead)*seen.Seconds() > l.released*left.Seconds()
}

// serviceState gives what is known of a service. It begins anew when nothing has waited
// for a while.
func (q *Queue[K]) serviceState(now time.Duration, name lb.ServiceName) *serviceState {
	l := q.services[name]
	if l == nil {
		l = &serviceState{waitingSince: now, at: now}
		q.services[name] = l
	}
	elapsed := now - l.at
	if l.waiting == 0 && elapsed > q.settings.RateWindow {
		*l = serviceState{waitingSince: now, at: now}
	}
	l.released *= max(0, 1-float64(elapsed)/float64(q.settings.RateWindow))
	l.at = now
	return l
}

// Forget drops what is known of services but those to keep, and of which nothing waits.
func (q *Queue[K]) Forget(keep func(lb.ServiceName) bool) {
	for name, l := range q.services {
		if l.waiting == 0 && !keep(name) {
			delete(q.services, name)
		}
	}
}
