package transport

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"robinpulley.example/robinpulley/internal/message"
)

// Class ranks messages by what their loss costs.
type Class uint8

// The classes, most urgent first.
const (
	// ClassMember is membership: without it peers declare this node dead. It
	// is sent at once, ahead of the budget by at most MemberDebt.
	ClassMember Class = iota
	// ClassState is what safety rests on; it waits for its bytes.
	ClassState
	// ClassDocument is placements and views; they wait behind ClassState.
	ClassDocument
	// ClassReport is what is in force where. It waits behind the placements
	// that it speaks of: ahead of them it would hold up what it waits for.
	ClassReport
	// ClassHint saves hops, or flows that a second failure meets; it is dropped when bytes are short.
	ClassHint
	// ClassBulk is a snapshot (members, a whole view), or a line longer than
	// BulkLineBytes; it has a budget of its own, so that a fleet that starts
	// holds up no change.
	ClassBulk
	classCount
)

// MemberDebt is how far ahead of the budget membership may be sent.
const MemberDebt = time.Second

// BulkLineBytes is the size, before compression, above which a line is ClassBulk.
const BulkLineBytes = 32 << 10

// bulkBackends is the number of back ends above which changes of a view are ClassBulk, as
// when thousands start at once: to eight others they take a second's budget.
const bulkBackends = 160

// Overheads counted with the bytes of a line: IPv4 and UDP headers, and the
// headers of the six segments that open and close a TCP connection.
const (
	DatagramOverhead   = 20 + 8
	ConnectionOverhead = 6 * (20 + 20)
)

// MaxDatagramBytes is the largest packed line sent as a datagram: with headers it
// stays below the smallest MTU in common use (1,280 bytes, RFC 8200).
const MaxDatagramBytes = 1200

// Cost gives the bytes that a packed line of this size takes from the budget.
func Cost(packedBytes int) int {
	if packedBytes <= MaxDatagramBytes {
		return packedBytes + DatagramOverhead
	}
	return packedBytes + ConnectionOverhead
}

// Budget bounds the bytes that a node sends.
type Budget struct {
	// BytesPerSecond is sustained, over all classes but ClassBulk.
	BytesPerSecond int
	// BurstBytes may be sent at once after silence.
	BurstBytes int
	// BulkBytesPerSecond bounds ClassBulk.
	BulkBytesPerSecond int
	// QueueLength bounds the messages that wait, per class.
	QueueLength int
}

// DefaultBudget is for today's deployments: 4 KB/s of control.
func DefaultBudget() Budget {
	return Budget{BytesPerSecond: 4096, BurstBytes: 32 << 10, BulkBytesPerSecond: 128 << 10, QueueLength: 1024}
}

// hintReserveShare is the part of the burst that hints leave to other classes.
const hintReserveShare = 4

// Queued is one encoded message on its way to a peer.
type Queued struct {
	To    netip.AddrPort
	Type  message.Type
	Class Class
	Line  []byte // as given by Pack
	// Until is when the message is dropped if it still waits; zero: never.
	Until time.Time
}

// Queue holds the messages of one node until the budget lets them go. It has
// no clock: the caller gives the time, so that processes and simulations share
// it. It is not safe for concurrent use.
type Queue struct {
	budget  Budget
	limiter *rate.Limiter
	bulk    *rate.Limiter
	waiting [classCount][]Queued
	dropped [classCount]uint64
}

// NewQueue gives an empty queue with a full burst.
func NewQueue(budget Budget) *Queue {
	return &Queue{
		budget:  budget,
		limiter: rate.NewLimiter(rate.Limit(budget.BytesPerSecond), budget.BurstBytes),
		bulk:    rate.NewLimiter(rate.Limit(budget.BulkBytesPerSecond), max(budget.BulkBytesPerSecond, message.MaxLineBytes+ConnectionOverhead)),
	}
}

// ClassOf ranks a message by what it says and the size of its line before compression.
func ClassOf(m message.Message, lineBytes int) Class {
	switch m := m.(type) {
	case message.Ping, message.PingAck, message.PingReq:
		return ClassMember
	case message.Pins, message.OpenFlows:
		return ClassHint
	case message.InForce:
		return ClassReport
	case message.Members:
		if m.Partial {
			return ClassMember // few, and the receiver knows nobody
		}
		return ClassBulk
	case message.ViewDelta:
		if m.Whole() || len(m.Delta.Backends) > bulkBackends {
			return ClassBulk
		}
	}
	if lineBytes > BulkLineBytes {
		return ClassBulk
	}
	if m.MessageType() == message.TypePlacements {
		return ClassDocument
	}
	return ClassState
}

// How long messages may wait that say how old the sender's view is: the age is
// that of when they were made, and a receiver takes what waited for fresher
// than it is.
const (
	digestLifetime = 200 * time.Millisecond // another one follows
	deltaLifetime  = time.Second            // it is asked for again
	// outcomeLifetime: older ones, also those on load, speak of what may be over.
	outcomeLifetime = 500 * time.Millisecond
)

// Lifetime is how long a message may wait; zero: as long as it takes.
func Lifetime(m message.Message) time.Duration {
	switch m.(type) {
	case message.ViewDigest:
		return digestLifetime
	case message.OutcomeReport, message.OutcomeVerdict, message.LoadReport, message.LoadState:
		return outcomeLifetime
	case message.ViewDelta, message.ViewWant:
		return deltaLifetime
	}
	return 0
}

// Push adds a message. When its class is full the message is dropped, counted, and false given.
func (queue *Queue) Push(item Queued) bool {
	if len(queue.waiting[item.Class]) >= queue.budget.QueueLength {
		queue.dropped[item.Class]++
		return false
	}
	queue.waiting[item.Class] = append(queue.waiting[item.Class], item)
	return true
}

// Pop gives the next message that may be sent now. Without one it gives the
// time after which to ask again, or zero when nothing waits.
func (queue *Queue) Pop(now time.Time) (item Queued, ready bool, wait time.Duration) {
	if item, ready = queue.popMember(now); ready {
		return item, true, 0
	}
	item, ready, wait = queue.popWaiting(now, queue.mostUrgent(), queue.limiter)
	if ready {
		return item, true, 0
	}
	if item, ready = queue.popHint(now); ready {
		return item, true, 0
	}
	item, ready, bulkWait := queue.popWaiting(now, ClassBulk, queue.bulk)
	if ready {
		return item, true, 0
	}
	if wait == 0 || (bulkWait > 0 && bulkWait < wait) {
		wait = bulkWait
	}
	return Queued{}, false, wait
}

// mostUrgent is the class that waits for its bytes next.
func (queue *Queue) mostUrgent() Class {
	for _, class := range [...]Class{ClassState, ClassDocument} {
		if len(queue.waiting[class]) > 0 {
			return class
		}
	}
	return ClassReport
}

// popMember sends ahead of the budget, and drops what would be too far ahead.
func (queue *Queue) popMember(now time.Time) (Queued, bool) {
	for len(queue.waiting[ClassMember]) > 0 {
		item := queue.take(ClassMember)
		reservation := queue.limiter.ReserveN(now, Cost(len(item.Line)))
		if reservation.OK() && reservation.DelayFrom(now) <= MemberDebt {
			return item, true
		}
		reservation.CancelAt(now)
		queue.dropped[ClassMember]++
	}
	return Queued{}, false
}

func (queue *Queue) popWaiting(now time.Time, class Class, limiter *rate.Limiter) (Queued, bool, time.Duration) {
	queue.dropExpired(now, class)
	if len(queue.waiting[class]) == 0 {
		return Queued{}, false, 0
	}
	cost := Cost(len(queue.waiting[class][0].Line))
	if limiter.AllowN(now, cost) {
		return queue.take(class), true, 0
	}
	missing := float64(cost) - limiter.TokensAt(now)
	seconds := missing / float64(limiter.Limit())
	return Queued{}, false, max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}

// dropExpired drops what has waited for too long at the head of a class.
func (queue *Queue) dropExpired(now time.Time, class Class) {
	for len(queue.waiting[class]) > 0 {
		until := queue.waiting[class][0].Until
		if until.IsZero() || now.Before(until) {
			return
		}
		queue.take(class)
		queue.dropped[class]++
	}
}

// popHint drops hints that would eat into the reserve of other classes.
func (queue *Queue) popHint(now time.Time) (Queued, bool) {
	reserve := float64(queue.budget.BurstBytes / hintReserveShare)
	for len(queue.waiting[ClassHint]) > 0 {
		item := queue.take(ClassHint)
		cost := Cost(len(item.Line))
		if queue.limiter.TokensAt(now)-float64(cost) >= reserve && queue.limiter.AllowN(now, cost) {
			return item, true
		}
		queue.dropped[ClassHint]++
	}
	return Queued{}, false
}

func (queue *Queue) take(class Class) Queued {
	item := queue.waiting[class][0]
	queue.waiting[class][0] = Queued{}
	queue.waiting[class] = queue.waiting[class][1:]
	return item
}

// Dropped counts the messages of a class that were never sent.
func (queue *Queue) Dropped(class Class) uint64 { return queue.dropped[class] }

// droppedInAll counts the messages of all classes that were never sent.
func (queue *Queue) droppedInAll() uint64 {
	sum := uint64(0)
	for _, count := range queue.dropped {
		sum += count
	}
	return sum
}
