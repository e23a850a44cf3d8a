// Package sim implements virtual time: a queue of events in the order of
// their times, and a network of zones with delay, loss and duplication. The
// same seed gives the same run, event for event.
package sim

import "time"

// Queue holds events until their time comes. Events of the same time come out
// in the order in which they were added. The zero value is an empty queue.
type Queue[E any] struct {
	items    []item[E]
	sequence uint64
	now      time.Duration
}

type item[E any] struct {
	at       time.Duration
	sequence uint64
	event    E
}

// Now is the time of the event taken last.
func (queue *Queue[E]) Now() time.Duration { return queue.now }

// Len is the number of events waiting.
func (queue *Queue[E]) Len() int { return len(queue.items) }

// Add puts an event at a time. A time in the past counts as now.
func (queue *Queue[E]) Add(at time.Duration, event E) {
	at = max(at, queue.now)
	queue.sequence++
	queue.items = append(queue.items, item[E]{at: at, sequence: queue.sequence, event: event})
	queue.up(len(queue.items) - 1)
}

// After puts an event at now plus delay.
func (queue *Queue[E]) After(delay time.Duration, event E) {
	queue.Add(queue.now+delay, event)
}

// Next takes the earliest event and moves the time to it; false when empty.
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
	queue.down(0)
	queue.now = first.at
	return first.event, true
}

// arity is the number of children of a heap node; four is kinder to the cache than two.
const arity = 4

// lookEvery is the time between two looks of RunUntil at its condition.
const lookEvery = 10 * time.Millisecond

// RunUntil gives event after event to deliver until the condition holds, looked at every
// 10 ms, and gives the time it took; false when it took longer than limit.
func (queue *Queue[E]) RunUntil(limit time.Duration, deliver func(E), condition func() bool) (time.Duration, bool) {
	begun := queue.now
	look := begun
	for {
		if queue.now >= look {
			if condition() {
				return queue.now - begun, true
			}
			look = queue.now + lookEvery
		}
		if queue.now > begun+limit {
			return limit, false
		}
		next, ok := queue.Next()
		if !ok {
			return queue.now - begun, condition()
		}
		deliver(next)
	}
}

func (queue *Queue[E]) less(i, j int) bool {
	left, right := &queue.items[i], &queue.items[j]
	if left.at != right.at {
		return left.at < right.at
	}
	return left.sequence < right.sequence
}

func (queue *Queue[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / arity
		if !queue.less(i, parent) {
			return
		}
		queue.items[i], queue.items[parent] = queue.items[parent], queue.items[i]
		i = parent
	}
}

func (queue *Queue[E]) down(i int) {
	for {
		least := i
		firstChild := i*arity + 1
		for child := firstChild; child < min(firstChild+arity, len(queue.items)); child++ {
			if queue.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		queue.items[i], queue.items[least] = queue.items[least], queue.items[i]
		i = least
	}
}
