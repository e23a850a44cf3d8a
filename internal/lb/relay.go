package lb

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// NodeHash is the 64-bit hash of a NodeID, used where a name would be too long, as in the Geneve
// relay option.
type NodeHash uint64

// Hash returns the node's NodeHash.
func (id NodeID) Hash() NodeHash { return NodeHash(xxhash.Sum64String(string(id))) }

// Hop is the role in which the receiver of a relayed packet handles it.
type Hop uint8

// The hops of a packet through the balancers (docs/DESIGN.md, "The chain").
const (
	// HopIngress: the packet was received from the fabric.
	HopIngress Hop = iota
	// HopHead: the packet was relayed by an ingress node to the head of the bucket's chain.
	HopHead
	// HopTail: the packet was relayed by the head to the tail of the bucket's chain.
	HopTail
	// HopReturn: the packet was returned by the tail to the head, because the tail's decision
	// differs from the head's proposal. Proposal and Refuse hold the tail's decision.
	HopReturn
)

// Relay is the metadata of a packet that one balancer relays to another. It is sent as a Geneve
// option.
type Relay struct {
	Hop     Hop
	Ingress NodeHash // the node that received the packet from the fabric
	Version Version  // placement version of the relaying node
	// Proposal is the back end that the head proposes (HopTail) or that the tail decided on
	// (HopReturn). NoBackend with Refuse set means a refusal.
	Proposal BackendID
	// FromRecord is true if the proposal comes from a record that an earlier tail confirmed, not
	// from a placement table.
	FromRecord bool
	// Refuse is true if the head proposes to refuse the flow, by admission control.
	Refuse bool
	// HeadComplete is true if the head has been in this bucket's chain for so long that it has a
	// record of every opening that is still being retransmitted.
	HeadComplete bool
	// Established is true if the ingress node saw this UDP flow before its bucket was in motion.
	Established bool
	// Rerouted is true if a node that is not the head in its own view relayed the packet again. The
	// receiver must not do the same, so that packets do not loop. It is used with HopHead only.
	Rerouted bool
}

// Refusal is the immediate answer to the fabric and the client that a request was refused.
type Refusal struct {
	Verdict    Verdict
	RetryAfter time.Duration // the delay before the client retries; spread over clients
}
