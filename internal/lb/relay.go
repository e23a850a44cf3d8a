package lb

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// NodeHash is the 64-bit hash of a NodeID, used where a name is too long (the
// Geneve relay option).
type NodeHash uint64

// Hash gives the node's NodeHash.
func (id NodeID) Hash() NodeHash { return NodeHash(xxhash.Sum64String(string(id))) }

// Hop says in which role the receiver of a relayed packet handles it.
type Hop uint8

// The hops of a packet through the balancers (docs/DESIGN.md, "The chain").
const (
	// HopIngress: the packet came from the fabric.
	HopIngress Hop = iota
	// HopHead: relayed by an ingress node to the head of the bucket's chain.
	HopHead
	// HopTail: relayed by the head to the tail of the bucket's chain.
	HopTail
	// HopReturn: returned by the tail to the head, because its answer is not
	// the head's proposal. Proposal and Refuse are the answer.
	HopReturn
)

// Relay travels with a packet that one balancer relays to another (a Geneve option).
type Relay struct {
	Hop     Hop
	Ingress NodeHash // the node that took the packet from the fabric
	Version Version  // placement version of the relaying node
	// Proposal is the head's choice (HopTail) or the tail's answer (HopReturn);
	// NoBackend with Refuse set means refusal.
	Proposal BackendID
	// Known: the proposal comes from a record confirmed by an earlier tail, not from a table.
	Known bool
	// Refuse: the head proposes refusal (admission).
	Refuse bool
	// Vouched: the head has been in this bucket's chain long enough to know
	// every opening still being retransmitted.
	Vouched bool
	// Established: the ingress node saw this UDP flow before the placement's motion began.
	Established bool
	// Rerouted (HopHead only): a node that is not the head in its own view
	// passed the packet on, so that the next one must not do so again.
	Rerouted bool
}

// Refusal tells the fabric and the caller that a request was given up on, at once.
type Refusal struct {
	Verdict    Verdict
	RetryAfter time.Duration // when to come back; spread over callers
}
