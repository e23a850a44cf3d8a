package transport

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"robinpulley.example/robinpulley/internal/message"
)

// Class is the priority of a message, according to the consequences of its loss.
type Class uint8

// These are the classes, most urgent first.
const (
	// ClassMembership contains the messages of the membership protocol: without them peers declare
	// this node dead. They are sent immediately, and may exceed the budget by up to
	// MaxMembershipDebt.
	ClassMembership Class = iota
	// ClassState contains the messages on which safety depends. They wait until the budget permits
	// them.
	ClassState
	// ClassDocument contains placements and views. They wait behind ClassState.
	ClassDocument
	// ClassReport contains reports of the versions in force. They wait behind the placements that
	// they refer to: if they were sent first, they would delay these placements.
	ClassReport
	// ClassHint contains messages that save hops, or protect flows against a second failure. They
	// are dropped if the budget is short.
	ClassHint
	// ClassBulk contains snapshots (member lists, whole views) and lines longer than BulkLineBytes.
	// It has its own budget, so that a starting fleet does not delay changes.
	ClassBulk
	classCount
)

// MaxMembershipDebt is how far membership messages may exceed the budget, as the time that the
// budget needs to make up for it.
const MaxMembershipDebt = time.Second

// BulkLineBytes is the size before compression above which a line belongs to ClassBulk.
const BulkLineBytes = 32 << 10

// bulkBackends is the number of back ends above which the changes of a view belong to ClassBulk,
// for example when thousands of back ends start at once. Sending such a delta to eight nodes
// consumes the budget of one second.
const bulkBackends = 160

// These overheads are added to the bytes of a line: the IPv4 and UDP headers, and the headers of
// the six segments that open and close a TCP connection.
const (
	DatagramOverhead   = 20 + 8
	ConnectionOverhead = 6 * (20 + 20)
)

// MaxDatagramBytes is the maximum size of a packed line that is sent as a datagram. With headers it
// stays below the smallest MTU in common use (1,280 bytes, RFC 8200).
const MaxDatagramBytes = 1200

// Cost returns the bytes of the budget that a packed line of this size consumes.
func Cost(packedBytes int) int {
	if packedBytes <= MaxDatagramBytes {
		return packedBytes + DatagramOverhead
	}
	return packedBytes + ConnectionOverhead
}

// Budget limits the bytes that a node sends.
type Budget struct {
	// BytesPerSecond is the sustained rate of all classes except ClassBulk.
	BytesPerSecond int
	// BurstBytes is the number of bytes that may be sent at once after an idle period.
	BurstBytes int
	// BulkBytesPerSecond is the sustained rate of ClassBulk.
	BulkBytesPerSecond int
	// QueueLength is the maximum number of waiting messages per class.
	QueueLength int
}

// DefaultBudget returns the budget of present deployments: 4 KB/s of control messages.
func DefaultBudget() Budget {
	return Budget{BytesPerSecond: 4096, BurstBytes: 32 << 10, BulkBytesPerSecond: 128 << 10, QueueLength: 1024}
}

// hintReserveDivisor determines the reserve for other classes: hints leave this fraction (one over
// the divisor) of the burst unused.
const hintReserveDivisor = 4

// Queued is an encoded message to one peer.
type Queued struct {
	To    netip.AddrPort
	Type  message.Type
	Class Class
	Line  []byte // as returned by Pack
	// ExpiresAt is the time at which the message is dropped if it is still waiting. If it is zero,
	// the message does not expire.
	ExpiresAt time.Time
}

// Queue holds the messages of one node until the budget permits sending them. It has no clock: the
// caller passes the time, so that processes and simulations can both use it. It is not safe for
// concurrent use.
type Queue struct {
	budget  Budget
	limiter *rate.Limiter
	bulk    *rate.Limiter
	waiting [classCount][]Queued
	dropped [classCount]uint64
}

// NewQueue returns an empty queue whose burst is fully available.
func NewQueue(budget Budget) *Queue {
	return &Queue{
		budget:  budget,
		limiter: rate.NewLimiter(rate.Limit(budget.BytesPerSecond), budget.BurstBytes),
		bulk:    rate.NewLimiter(rate.Limit(budget.BulkBytesPerSecond), max(budget.BulkBytesPerSecond, message.MaxLineBytes+ConnectionOverhead)),
	}
}

// ClassOf returns the class of a message, according to its type, its contents and the size of its
// line before compression.
func ClassOf(m message.Message, lineBytes int) Class {
	switch m := m.(type) {
	case message.Ping, message.PingAck, message.PingReq:
		return ClassMembership
	case message.Pins, message.OpenFlows:
		return ClassHint
	case message.InForce:
		return ClassReport
	case message.Members:
		if m.Partial {
			return ClassMembership // short, and the receiver does not know any members yet
		}
		return ClassBulk
	case message.ViewDelta:
		if m.IsFullView() || len(m.Delta.Backends) > bulkBackends {
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

// These constants limit how long messages may wait that contain the age of the sender's view. The
// age is computed when a message is created, so a receiver would consider a delayed message fresher
// than it is.
const (
	digestLifetime = 200 * time.Millisecond // the next digest follows soon
	deltaLifetime  = time.Second            // the receiver requests it again
	// outcomeLifetime also applies to load messages. Older messages describe conditions that may be
	// over.
	outcomeLifetime = 500 * time.Millisecond
)

// Lifetime returns how long a message may wait, or zero if it does not expire.
func Lifetime(m message.Message) time.Duration {
	switch m.(type) {
	case message.ViewDigest:
		return digestLifetime
	case message.OutcomeReport, message.OutcomeVerdict, message.LoadReport, message.LoadState:
		return outcomeLifetime
	case message.ViewDelta, message.ViewRequest:
		return deltaLifetime
	}
	return 0
}

// Push adds a message. If the queue of its class is full, Push drops and counts the message and
// returns false.
func (queue *Queue) Push(item Queued) bool {
	if len(queue.waiting[item.Class]) >= queue.budget.QueueLength {
		queue.dropped[item.Class]++
		return false
	}
	queue.waiting[item.Class] = append(queue.waiting[item.Class], item)
	return true
}

// Pop returns the next message that may be sent now. If there is none, it returns the time after
// which to call Pop again, or zero if no message is waiting.
func (queue *Queue) Pop(now time.Time) (item Queued, ready bool, wait time.Duration) {
	if item, ready = queue.popMembership(now); ready {
		return item, true, 0
	}
	item, ready, wait = queue.popWaiting(now, queue.firstWaitingClass(), queue.limiter)
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

// firstWaitingClass returns the most urgent class of those that wait for the budget and have
// waiting messages.
func (queue *Queue) firstWaitingClass() Class {
	for _, class := range [...]Class{ClassState, ClassDocument} {
		if len(queue.waiting[class]) > 0 {
			return class
		}
	}
	return ClassReport
}

// popMembership returns the next membership message, even if that exceeds the budget, and drops
// messages that would exceed MaxMembershipDebt.
func (queue *Queue) popMembership(now time.Time) (Queued, bool) {
	for len(queue.waiting[ClassMembership]) > 0 {
		item := queue.dequeue(ClassMembership)
		reservation := queue.limiter.ReserveN(now, Cost(len(item.Line)))
		if reservation.OK() && reservation.DelayFrom(now) <= MaxMembershipDebt {
			return item, true
		}
		reservation.CancelAt(now)
		queue.dropped[ClassMembership]++
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
		return queue.dequeue(class), true, 0
	}
	missing := float64(cost) - limiter.TokensAt(now)
	seconds := missing / float64(limiter.Limit())
	return Queued{}, false, max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}

// dropExpired drops the expired messages at the head of a class.
func (queue *Queue) dropExpired(now time.Time, class Class) {
	for len(queue.waiting[class]) > 0 {
		until := queue.waiting[class][0].ExpiresAt
		if until.IsZero() || now.Before(until) {
			return
		}
		queue.dequeue(class)
		queue.dropped[class]++
	}
}

// popHint returns the next hint and drops hints that would use the reserve of other classes.
func (queue *Queue) popHint(now time.Time) (Queued, bool) {
	reserve := float64(queue.budget.BurstBytes / hintReserveDivisor)
	for len(queue.waiting[ClassHint]) > 0 {
		item := queue.dequeue(ClassHint)
		cost := Cost(len(item.Line))
		if queue.limiter.TokensAt(now)-float64(cost) >= reserve && queue.limiter.AllowN(now, cost) {
			return item, true
		}
		queue.dropped[ClassHint]++
	}
	return Queued{}, false
}

func (queue *Queue) dequeue(class Class) Queued {
	item := queue.waiting[class][0]
	queue.waiting[class][0] = Queued{}
	queue.waiting[class] = queue.waiting[class][1:]
	return item
}

// Dropped returns the number of dropped messages of a class.
func (queue *Queue) Dropped(class Class) uint64 { return queue.dropped[class] }

// totalDropped returns the number of dropped messages of all classes.
func (queue *Queue) totalDropped() uint64 {
	sum := uint64(0)
	for _, count := range queue.dropped {
		sum += count
	}
	return sum
}
