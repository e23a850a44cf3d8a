package dataplane

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/packet"
)

// Counters counts datagrams since the start. Each received one is counted
// once as malformed, or once as from the fabric or from a peer; each of the
// latter once by what was done with it.
type Counters struct {
	Received      uint64
	ReceivedBytes uint64
	// FromFabric and FromPeers count well-formed datagrams by their Relay option.
	FromFabric uint64
	FromPeers  uint64
	// Malformed is indexed by packet.Cause.
	Malformed [packet.CauseCount]uint64

	// Forwarded, Relayed and Refused were handed to the socket.
	Forwarded uint64
	Relayed   uint64
	Refused   uint64
	// Held were kept by the core. They count above when they are released.
	Held uint64
	// Reasons counts drops and refusals by the core's reason, in order of
	// action and reason.
	Reasons []ReasonCount
	// Unanswered were to be refused, but must not be answered
	// (packet.ErrNoAnswer).
	Unanswered uint64
	// UnknownPeer were to be relayed to a node without a known address.
	UnknownPeer uint64
	// Unsendable were to go to this node itself or to no address of one host.
	Unsendable uint64
	// WrongService were to be forwarded to a host that the Guard does not allow.
	WrongService uint64
	// Loops were to be relayed a hop that they had been relayed already.
	Loops uint64

	// ReadErrors and WriteErrors count errors of the socket. A write error
	// loses one datagram, which was counted as handed to the socket.
	ReadErrors  uint64
	WriteErrors uint64
}

// ReasonCount counts the packets that the core dropped or refused for a reason.
type ReasonCount struct {
	Action core.Action
	Reason core.Reason
	Count  uint64
}

// Counters gives the sum over all readers.
func (plane *Plane) Counters() Counters {
	var sum Counters
	for _, worker := range plane.workers {
		worker.counters.addTo(&sum)
	}
	plane.releaser.counters.addTo(&sum)
	return sum
}

// counters are the counters of one worker, which alone writes them.
type counters struct {
	received, receivedBytes         atomic.Uint64
	fromFabric, fromPeers           atomic.Uint64
	malformed                       [packet.CauseCount]atomic.Uint64
	forwarded, relayed, refused     atomic.Uint64
	held                            atomic.Uint64
	unanswered, unknownPeer         atomic.Uint64
	unsendable, wrongService, loops atomic.Uint64
	readErrors, writeErrors         atomic.Uint64
	reasonsLock                     sync.Mutex
	reasons                         map[reasonKey]uint64
}

type reasonKey struct {
	action core.Action
	reason core.Reason
}

func (counters *counters) countReason(action core.Action, reason core.Reason) {
	counters.reasonsLock.Lock()
	defer counters.reasonsLock.Unlock()
	if counters.reasons == nil {
		counters.reasons = make(map[reasonKey]uint64)
	}
	counters.reasons[reasonKey{action, reason}]++
}

func (counters *counters) addTo(sum *Counters) {
	sum.Received += counters.received.Load()
	sum.ReceivedBytes += counters.receivedBytes.Load()
	sum.FromFabric += counters.fromFabric.Load()
	sum.FromPeers += counters.fromPeers.Load()
	for cause := range counters.malformed {
		sum.Malformed[cause] += counters.malformed[cause].Load()
	}
	sum.Forwarded += counters.forwarded.Load()
	sum.Relayed += counters.relayed.Load()
	sum.Refused += counters.refused.Load()
	sum.Held += counters.held.Load()
	sum.Unanswered += counters.unanswered.Load()
	sum.UnknownPeer += counters.unknownPeer.Load()
	sum.Unsendable += counters.unsendable.Load()
	sum.WrongService += counters.wrongService.Load()
	sum.Loops += counters.loops.Load()
	sum.ReadErrors += counters.readErrors.Load()
	sum.WriteErrors += counters.writeErrors.Load()
	counters.addReasonsTo(sum)
}

func (counters *counters) addReasonsTo(sum *Counters) {
	counters.reasonsLock.Lock()
	defer counters.reasonsLock.Unlock()
	for key, count := range counters.reasons {
		sum.addReason(ReasonCount{Action: key.action, Reason: key.reason, Count: count})
	}
}

// addReason keeps Reasons sorted and free of doubles.
func (sum *Counters) addReason(added ReasonCount) {
	index, found := slices.BinarySearchFunc(sum.Reasons, added, compareReasons)
	if found {
		sum.Reasons[index].Count += added.Count
		return
	}
	sum.Reasons = slices.Insert(sum.Reasons, index, added)
}

func compareReasons(left, right ReasonCount) int {
	return cmp.Or(cmp.Compare(left.Action, right.Action), cmp.Compare(left.Reason, right.Reason))
}
