// Package sim provides the basis of simulations in virtual time: an event queue ordered by time,
// and a network of zones with delay, loss and duplication. The same seed produces the same sequence
// of events.
package sim

import "time"

// Queue is a priority queue of events, ordered by time, with a virtual clock. Events with the same
// time are returned in the order in which they were added. The zero value is an empty queue at time
// zero.
type Queue[E any] struct {
	items    []item[E] // heap
	sequence uint64    // of the event added last
	now      time.Duration
}

// item is an event in the queue. Its sequence number orders events with the same time.
type item[E any] struct {
	at       time.Duration
	sequence uint64
	event    E
}

// Now returns the current virtual time: the time of the event that Next returned last.
func (queue *Queue[E]) Now() time.Duration { return queue.now }

// Len returns the number of queued events.
func (queue *Queue[E]) Len() int { return len(queue.items) }

// Add schedules an event for the given time, or for the current time if the given time is in the
// past.
func (queue *Queue[E]) Add(at time.Duration, event E) {
	at = max(at, queue.now)
	queue.sequence++
	queue.items = append(queue.items, item[E]{at: at, sequence: queue.sequence, event: event})
	queue.siftUp(len(queue.items) - 1)
}

// After schedules an event for the current time plus the delay.
func (queue *Queue[E]) After(delay time.Duration, event E) {
	queue.Add(queue.now+delay, event)
}

// Next removes and returns the earliest event, and advances the current time to it. It returns
// false when the queue is empty.
func (queue *Queue[E]) Next() (E, bool) {
	var none E
	if len(queue.items) == 0 {
		return none, false
	}
	first := queue.items[0]
	last := len(queue.items) - 1
	queue.items[0] = queue.items[last]
	queue.items[last] = item[E]{}
	queue.items = queue.items[:last]
	queue.siftDown(0)
	queue.now = first.at
	return first.event, true
}

// arity is the number of children of a heap node. A 4-ary heap has better cache locality than a
// binary one.
const arity = 4

// checkInterval is the virtual time between two evaluations of the condition in RunUntil.
const checkInterval = 10 * time.Millisecond

// RunUntil passes the events in order to deliver until the condition holds. It evaluates the
// condition every 10 ms of virtual time, and once the queue is empty. It returns the elapsed
// virtual time and whether the condition holds; when the limit is exceeded, it returns limit and
// false.
func (queue *Queue[E]) RunUntil(limit time.Duration, deliver func(E), condition func() bool) (time.Duration, bool) {
	start := queue.now
	nextCheck := start
	for {
		if queue.now >= nextCheck {
			if condition() {
				return queue.now - start, true
			}
			nextCheck = queue.now + checkInterval
		}
		if queue.now > start+limit {
			return limit, false
		}
		next, ok := queue.Next()
		if !ok {
			return queue.now - start, condition()
		}
		deliver(next)
	}
}

// less reports whether item i is before item j: by time, then by sequence number.
func (queue *Queue[E]) less(i, j int) bool {
	left, right := &queue.items[i], &queue.items[j]
	if left.at != right.at {
		return left.at < right.at
	}
	return left.sequence < right.sequence
}

// siftUp moves item i up the heap until its parent is not after it.
func (queue *Queue[E]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / arity
		if !queue.less(i, parent) {
			return
		}
		queue.items[i], queue.items[parent] = queue.items[parent], queue.items[i]
		i = parent
	}
}

// siftDown moves item i down the heap until none of its children is before it.
func (queue *Queue[E]) siftDown(i int) {
	for {
		smallest := i
		firstChild := i*arity + 1
		for child := firstChild; child < min(firstChild+arity, len(queue.items)); child++ {
			if queue.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		queue.items[i], queue.items[smallest] = queue.items[smallest], queue.items[i]
		i = smallest
	}
}
