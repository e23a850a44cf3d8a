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

// drain pops messages until none is ready. It returns the total bytes, and the types in order.
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
	const count = 100 // of 1,000 bytes each, more than the burst of 32 KiB
	for range count {
		queue.Push(queued(message.Pins{}, 1000))
	}
	now := time.Unix(0, 0)
	_, kinds := drain(queue, now)
	is.True(len(kinds) < count)
	is.Equal(int(queue.Dropped(transport.ClassHint)), count-len(kinds))
	is.True(queue.Push(queued(message.Records{}, 1000)))
	_, kinds = drain(queue, now) // the reserve remains available to other classes
	is.Equal(kinds, []message.Type{message.TypeRecords})
}

func TestQueueKeepsStateUntilTheBudgetPermits(t *testing.T) {
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

func TestQueueLimitsItsLength(t *testing.T) {
	is := is.New(t)
	budget := transport.DefaultBudget()
	budget.QueueLength = 2
	queue := transport.NewQueue(budget)
	is.True(queue.Push(queued(message.Records{}, 1)))
	is.True(queue.Push(queued(message.Records{}, 1)))
	is.True(!queue.Push(queued(message.Records{}, 1)))
	is.True(queue.Push(queued(message.Ping{}, 1))) // the limit applies per class
}

// bytesSentInMinute pushes ten times the budget for a minute and returns the number of bytes sent.
func bytesSentInMinute(budget transport.Budget) int {
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

// TestByteLimit checks that a node stays within its budget under overload, and that a mutant
// without the limit exceeds the same bound.
func TestByteLimit(t *testing.T) {
	is := is.New(t)
	budget := transport.DefaultBudget()
	// The bound is the burst, a minute at the sustained rate, and MaxMembershipDebt.
	bound := budget.BurstBytes + 60*budget.BytesPerSecond + budget.BytesPerSecond
	is.True(bytesSentInMinute(budget) <= bound)
	mutant := budget
	mutant.BytesPerSecond, mutant.BurstBytes = math.MaxInt32, math.MaxInt32
	is.True(bytesSentInMinute(mutant) > bound) // without the limit
}

// TestSnapshotsDoNotDelayChanges checks that a node still sends a change at once while it answers a
// starting fleet with member lists and whole views far beyond its budget.
func TestSnapshotsDoNotDelayChanges(t *testing.T) {
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

// TestExpiredViewMessageIsDropped checks that a view message that has waited for its lifetime is
// not sent: receivers rely on the age that it states.
func TestExpiredViewMessageIsDropped(t *testing.T) {
	for _, m := range []message.Message{message.ViewDigest{}, message.ViewDelta{Delta: view.Delta{After: 1}}, message.ViewDelta{}} {
		is := is.New(t)
		queue := transport.NewQueue(transport.DefaultBudget())
		now := time.Unix(0, 0)
		item := queued(m, 100)
		item.ExpiresAt = now.Add(transport.Lifetime(m))
		is.True(item.ExpiresAt.After(now))
		is.True(queue.Push(item))
		is.True(queue.Push(queued(message.Records{}, 100)))
		_, kinds := drain(queue, item.ExpiresAt)
		is.Equal(kinds, []message.Type{message.TypeRecords})
		is.Equal(queue.Dropped(item.Class), uint64(1))
	}
}
