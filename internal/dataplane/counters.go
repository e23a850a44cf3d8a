package dataplane

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/packet"
)

// Counters counts datagrams since the start. Each received datagram is counted once as malformed,
// from the fabric or from a peer. Each well-formed one is also counted once by its outcome.
type Counters struct {
	Received      uint64
	ReceivedBytes uint64
	// FromFabric and FromPeers count well-formed datagrams, distinguished by their Relay option.
	FromFabric uint64
	FromPeers  uint64
	// Malformed is indexed by packet.Cause.
	Malformed [packet.CauseCount]uint64

	// Forwarded, Relayed and Refused count datagrams passed to the socket.
	Forwarded uint64
	Relayed   uint64
	Refused   uint64
	// Held counts datagrams that the core kept. They are counted by their outcome when they are
	// released.
	Held uint64
	// Reasons counts drops and refusals by the core's reason, sorted by action and reason.
	Reasons []ReasonCount
	// Unanswered counts packets to be refused that must not be answered (packet.ErrNoAnswer).
	Unanswered uint64
	// UnknownPeer counts packets to be relayed to a node without a known address.
	UnknownPeer uint64
	// Unsendable counts packets to be sent to this node itself or to an address that does not name
	// a single host.
	Unsendable uint64
	// WrongService counts packets to be forwarded to a host that the Guard does not allow.
	WrongService uint64
	// Loops counts packets to be relayed on a hop that they have already passed.
	Loops uint64

	// ReadErrors and WriteErrors count errors of the socket. A write error loses one datagram,
	// which was already counted as passed to the socket.
	ReadErrors  uint64
	WriteErrors uint64
}

// ReasonCount is the number of packets that the core dropped or refused for one reason.
type ReasonCount struct {
	Action core.Action
	Reason core.Reason
	Count  uint64
}

// Counters returns the sum of the counters of all readers and of the releaser.
func (plane *Plane) Counters() Counters {
	var sum Counters
	for _, worker := range plane.workers {
		worker.counters.addTo(&sum)
	}
	plane.releaser.counters.addTo(&sum)
	return sum
}

// counters are the counters of one worker, which is their only writer.
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

// addReason adds a count to Reasons, which stays sorted and has one entry for each action and
// reason.
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
