package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
)

// Peer is a living balancer.
type Peer struct {
	ID      lb.NodeID
	Zone    lb.Zone
	Control netip.AddrPort
	// Leaving: it is in a planned stop. It is told of changes as long as it
	// lives, but does not read for others.
	Leaving bool
}

// Event is one input. At most one field is set; none makes a tick, which is
// due every TickInterval.
type Event struct {
	Peers   []Peer // all that are alive, self included
	Message *PeerMessage
	Read    *ReadResult
	// Published is how the writing of a snapshot has ended.
	Published *PublishResult
}

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// PeerMessage is a ViewDigest, ViewWant or ViewDelta from a peer.
type PeerMessage struct {
	From    lb.NodeID
	Address netip.AddrPort // invalid: not known
	Message message.Message
}

// ReadKind is the kind of a reading call.
type ReadKind string

// The kinds of reading calls.
const (
	ReadList     ReadKind = "list"
	ReadWatch    ReadKind = "watch"
	ReadSnapshot ReadKind = "snapshot"
)

// Reason says why a node reads the store. Each call has a price, so that the
// sum over a fleet must be explained by its parts.
type Reason string

// The reasons.
const (
	ReasonStart       Reason = "start"        // it has no view yet
	ReasonHistoryGone Reason = "history_gone" // a watch cannot go on from its revision
	ReasonReader      Reason = "reader"       // it reads for the others
	ReasonWatcherLost  Reason = "reader_gone"  // who read for the others stops or has ended
	ReasonUnverified Reason = "unconfirmed"  // nobody has confirmed its view yet
	ReasonPatience    Reason = "patience"     // its view has not been confirmed in time
	ReasonSilence     Reason = "silence"      // no other node tells of the view
)

// Read is a call to the store.
type Read struct {
	Kind   ReadKind
	Reason Reason
	// Stale is for ReadList and ReadSnapshot: an answer that is seconds old will do.
	Stale bool
	// After and Wait are for ReadWatch.
	After int64
	Wait  time.Duration
	// Timeout bounds the time until a call's answer begins, and Pause each
	// pause in it: on a thin link a long answer takes its time. A listing of
	// several pages takes several calls.
	Timeout, Pause time.Duration
}

// Failure says why a call gave nothing.
type Failure string

// The failures.
const (
	FailureNone        Failure = ""
	FailureLost        Failure = "lost"        // no usable answer in time
	FailureThrottled   Failure = "throttled"   // beyond the store's rate
	FailureUnavailable Failure = "unavailable" // the store says that it does not serve
	FailureCompacted   Failure = "compacted"   // the history after Read.After is gone
	FailureRejected    Failure = "rejected"    // the store refuses the call as such
	FailureMissing     Failure = "missing"     // there is no snapshot that can be used
	FailureConflict    Failure = "conflict"    // another node has written a newer snapshot
)

// Answered tells whether the store answered for what it is asked, as it does when
// it has no snapshot, has forgotten its history, or keeps a newer snapshot.
func (failure Failure) Answered() bool {
	switch failure {
	case FailureNone, FailureCompacted, FailureMissing, FailureConflict:
		return true
	}
	return false
}

// ReadResult is how a call ended. Listing, Snapshot or Changes is set if Failure is FailureNone.
type ReadResult struct {
	Read    Read
	Failure Failure
	// Requests is how many requests the call took: one for each page of a
	// listing, and one for each that was made again.
	Requests int
	Listing  *view.Listing
	Snapshot *view.Snapshot
	Changes  *view.Changes
}

// Outgoing is a message to control addresses.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	// Publication is a snapshot to be written; there is one at a time.
	Publication *Publication
	// Read is a call to be started; there is one at a time.
	Read     *Read
	Messages []Outgoing
	// Changed: the view is another than before, by word of Source.
	Changed bool
	Source  string
}
