package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
)

// Peer is a balancer that is alive.
type Peer struct {
	ID      lb.NodeID
	Zone    lb.Zone
	Control netip.AddrPort
	// Leaving is set during a planned stop. A leaving peer receives updates as long as it lives,
	// but does not read the store for others.
	Leaving bool
}

// Event is one input of the core. At most one field is set. An event without a field is a tick,
// which is due every TickInterval.
type Event struct {
	Peers   []Peer // all live balancers, including this one
	Message *PeerMessage
	Read    *ReadResult
	// Published is the result of writing a snapshot.
	Published *PublishResult
}

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// PeerMessage is a ViewDigest, ViewRequest or ViewDelta from a peer.
type PeerMessage struct {
	From    lb.NodeID
	Address netip.AddrPort // invalid: not known
	Message message.Message
}

// ReadKind is the kind of a read of the store.
type ReadKind string

// The kinds of reads.
const (
	ReadList     ReadKind = "list"
	ReadWatch    ReadKind = "watch"
	ReadSnapshot ReadKind = "snapshot"
)

// Reason states why a node reads the store. Each read has a cost, and the total over a fleet must
// be attributable to its causes.
type Reason string

// The reasons for a read.
const (
	ReasonStart       Reason = "start"        // the node has no view yet
	ReasonCompacted   Reason = "history_gone" // a watch cannot continue, because the store has compacted the history
	ReasonTooLarge    Reason = "too_large"    // a watch cannot continue, because its answer exceeds the size limit
	ReasonWatcher     Reason = "reader"       // the node is the designated watcher
	ReasonWatcherLost Reason = "reader_gone"  // the designated watcher is leaving or has failed
	ReasonUnverified  Reason = "unconfirmed"  // the node does not know yet whether its view is current
	ReasonViewAge     Reason = "patience"     // nobody has verified the node's view in time
	ReasonNoUpdates   Reason = "silence"      // no peer sends messages about the view
)

// Read describes a read of the store, which may take several requests.
type Read struct {
	Kind   ReadKind
	Reason Reason
	// Stale is used with ReadList and ReadSnapshot. It permits an answer that is several seconds
	// old.
	Stale bool
	// After and Wait are used with ReadWatch: the revision after which changes are requested, and
	// how long the store waits for one.
	After int64
	Wait  time.Duration
	// Timeout bounds the time until the first byte of an answer, and Pause bounds each interruption
	// within it: over a slow link, a large answer takes long. A listing of several pages takes
	// several requests.
	Timeout, Pause time.Duration
}

// Failure states why a read or write failed.
type Failure string

// The failures.
const (
	FailureNone        Failure = ""
	FailureLost        Failure = "lost"        // no usable answer in time
	FailureThrottled   Failure = "throttled"   // the request exceeded the store's rate limit
	FailureUnavailable Failure = "unavailable" // the store reports that it is out of service
	FailureCompacted   Failure = "compacted"   // the history after Read.After is compacted
	FailureRejected    Failure = "rejected"    // the store rejects the request as invalid
	FailureMissing     Failure = "missing"     // there is no usable snapshot
	FailureConflict    Failure = "conflict"    // another node has written a newer snapshot
	FailureTooLarge    Failure = "too_large"   // the answer exceeds the size limit
)

// Answered reports whether the store processed the request. This includes the cases that it has no
// snapshot, has compacted its history, already has a newer snapshot, or has more to say than this
// node reads.
func (failure Failure) Answered() bool {
	switch failure {
	case FailureNone, FailureCompacted, FailureMissing, FailureConflict, FailureTooLarge:
		return true
	}
	return false
}

// ReadResult is the result of a read. Listing, Snapshot or Changes is set if Failure is
// FailureNone.
type ReadResult struct {
	Read    Read
	Failure Failure
	// Requests is the number of requests that the read took: one for each page of a listing, and
	// one for each retry.
	Requests int
	Listing  *view.Listing
	Snapshot *view.Snapshot
	Changes  *view.Changes
}

// Outgoing is a message to one or more control addresses.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Effects contains the results of one Step. The caller reuses it; Step resets it first.
type Effects struct {
	// Publication is a snapshot to be written. At most one write is pending at a time.
	Publication *Publication
	// Read is a read to be started. At most one read is pending at a time.
	Read     *Read
	Messages []Outgoing
	// Contacts are control addresses of other nodes that a snapshot named.
	Contacts []netip.AddrPort
	// Changed is set if the step has changed the view. Source then names the origin of the change:
	// a peer, the store, or pruning.
	Changed bool
	Source  string
}
