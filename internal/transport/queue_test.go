package transport_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/transport"
	"robinpulley.example/robinpulley/internal/view"
)

func queued(m message.Message, size int) transport.Queued {
	return transport.Queued{Type: m.MessageType(), Class: transport.ClassOf(m, size), Line: make([]byte, size)}
}

// drain pops until nothing is ready and gives the bytes and types in their order.
func drain(queue *transport.Queue, now time.Time) (bytes int, kinds []message.Type) {
	for {
		item, ready, _ := queue.Pop(now)
		if !ready {
			return bytes, kinds
		}
		bytes += transport.Cost(len(item.Line))
		kinds = append(kinds, item.Type)
	}
}

func TestQueueOrdersClasses(t *testing.T) {
	is := is.New(t)
	queue := transport.NewQueue(transport.DefaultBudget())
	for _, m := range []message.Message{message.Pins{}, message.InForce{}, message.Placements{}, message.Records{}, message.Ping{}} {
		is.True(queue.Push(queued(m, 100)))
	}
	_, kinds := drain(queue, time.Unix(0, 0))
	is.Equal(kinds, []message.Type{message.TypePing, message.TypeRecords, message.TypePlacements, message.TypeInForce, message.TypePins})
}

func TestQueueDropsHintsFirst(t *testing.T) {
	is := is.New(t)
	queue := transport.NewQueue(transport.DefaultBudget())
	const count = 100 // of 1,000 bytes each, beyond the burst of 32 KiB
	for range count {
		queue.Push(queued(message.Pins{}, 1000))
	}
	now := time.Unix(0, 0)
	_, kinds := drain(queue, now)
	is.True(len(kinds) < count)
	is.Equal(int(queue.Dropped(transport.ClassHint)), count-len(kinds))
	is.True(queue.Push(queued(message.Records{}, 1000)))
	_, kinds = drain(queue, now) // the reserve is left to others
	is.Equal(kinds, []message.Type{message.TypeRecords})
}

func TestQueueKeepsStateUntilItsBytesCome(t *testing.T) {
	is := is.New(t)
	queue := transport.NewQueue(transport.DefaultBudget())
	const count = 100
	for range count {
		is.True(queue.Push(queued(message.Records{}, 1000)))
	}
	now, sent := time.Unix(0, 0), 0
	for sent < count {
		item, ready, wait := queue.Pop(now)
		if ready {
			sent++
			is.Equal(item.Type, message.TypeRecords)
			continue
		}
		is.True(wait > 0)
		now = now.Add(wait)
	}
	is.Equal(queue.Dropped(transport.ClassState), uint64(0))
}

func TestQueueBoundsItsLength(t *testing.T) {
	is := is.New(t)
	budget := transport.DefaultBudget()
	budget.QueueLength = 2
	queue := transport.NewQueue(budget)
	is.True(queue.Push(queued(message.Records{}, 1)))
	is.True(queue.Push(queued(message.Records{}, 1)))
	is.True(!queue.Push(queued(message.Records{}, 1)))
	is.True(queue.Push(queued(message.Ping{}, 1))) // per class
}

// sentInMinute offers ten times the budget for a minute and gives the bytes that went out.
func sentInMinute(budget transport.Budget) int {
	queue := transport.NewQueue(budget)
	now, sent := time.Unix(0, 0), 0
	for range 60 {
		for range 14 {
			queue.Push(queued(message.Ping{}, 1000))
			queue.Push(queued(message.Records{}, 1000))
			queue.Push(queued(message.Pins{}, 1000))
		}
		bytes, _ := drain(queue, now)
		sent += bytes
		now = now.Add(time.Second)
	}
	return sent
}

// TestByteLimit holds a node under its budget whatever is offered. The mutant
// without the limit breaks the same bound.
func TestByteLimit(t *testing.T) {
	is := is.New(t)
	budget := transport.DefaultBudget()
	bound := budget.BurstBytes + 60*budget.BytesPerSecond + budget.BytesPerSecond // burst, a minute, MemberDebt
	is.True(sentInMinute(budget) <= bound)
	mutant := budget
	mutant.BytesPerSecond, mutant.BurstBytes = math.MaxInt32, math.MaxInt32
	is.True(sentInMinute(mutant) > bound) // rule off
}

// TestSnapshotsDoNotHoldUpChanges: a node that answers a starting fleet with
// members and whole views, far beyond its budget, tells of a change at once.
func TestSnapshotsDoNotHoldUpChanges(t *testing.T) {
	is := is.New(t)
	queue := transport.NewQueue(transport.DefaultBudget())
	whole := message.ViewDelta{Delta: view.Delta{Revision: 9}}
	for range 200 {
		queue.Push(queued(message.Members{}, 1000))
		queue.Push(queued(whole, 3000))
	}
	now := time.Unix(0, 0)
	drain(queue, now)
	change := message.ViewDelta{Delta: view.Delta{After: 9, Revision: 10}}
	queue.Push(queued(change, 300))
	queue.Push(queued(message.ViewDigest{}, 100))
	for _, kind := range []message.Type{message.TypeViewDelta, message.TypeViewDigest} {
		item, ready, _ := queue.Pop(now)
		is.True(ready)
		is.Equal(item.Type, kind)
	}
}

// TestViewMessageThatWaitedIsDropped: a digest is believed for the age that it
// states, so that one that has waited must not be sent.
func TestViewMessageThatWaitedIsDropped(t *testing.T) {
	for _, m := range []message.Message{message.ViewDigest{}, message.ViewDelta{Delta: view.Delta{After: 1}}, message.ViewDelta{}} {
		is := is.New(t)
		queue := transport.NewQueue(transport.DefaultBudget())
		now := time.Unix(0, 0)
		item := queued(m, 100)
		item.Until = now.Add(transport.Lifetime(m))
		is.True(item.Until.After(now))
		is.True(queue.Push(item))
		is.True(queue.Push(queued(message.Records{}, 100)))
		_, kinds := drain(queue, item.Until)
		is.Equal(kinds, []message.Type{message.TypeRecords})
		is.Equal(queue.Dropped(item.Class), uint64(1))
	}
}
