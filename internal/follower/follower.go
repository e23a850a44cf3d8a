// Package follower keeps a balancer's view as new as the store's: it decides
// who reads the store for whom, when, and what balancers tell each other. One
// node reads for the fleet; one whose view has not been confirmed in time
// reads itself. There is no leader that safety rests on: a second reader costs
// calls, nothing else. It is a deterministic core without I/O, clock or global
// randomness; see docs/design-platform.md, "Reading the store".
package follower

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
)

// Settings of a follower. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Seeds are control addresses asked for a view while there is none.
	Seeds []netip.AddrPort
	// IsSeed: others ask this node.
	IsSeed bool
	// Seed of the random jitter.
	Seed uint64
	// WatchWait is how long a watch waits in the store for a change.
	WatchWait time.Duration
	// CallTimeout bounds the silence of the store in a call, besides WatchWait.
	CallTimeout time.Duration
	// ChangeInterval is the shortest time from an answer with changes to the
	// next watch, so that changes in quick succession cost one call together.
	ChangeInterval time.Duration
	// Patience is the age of the view at which the first node in turn reads
	// itself, PatienceStep what each further turn adds, up to PatienceLimit.
	Patience, PatienceStep, PatienceLimit time.Duration
	// LateStep is what each turn adds where nothing is urgent: the view is
	// fresh, or others try already and the store fails them.
	LateStep time.Duration
	// SilenceLimit is the age at which it does so if no node has told of the view since.
	SilenceLimit time.Duration
	// DigestInterval is the time between digests to the zone.
	DigestInterval time.Duration
	// TreeWidth is how many nodes one node tells of what it has heard.
	TreeWidth int
	// SettleTime is how long after its start a node does not take itself as
	// the first of its zone: it has not yet heard of the others.
	SettleTime time.Duration
	// BackoffBase and BackoffLimit bound the time to the next call after a failed one.
	BackoffBase, BackoffLimit time.Duration
}

// DefaultSettings gives the defaults for a node. Together they put a change
// into force within 2.6 s of its acknowledgement even when the reader fails
// at that moment. A step is longer than a read and its telling take (30 to 50 ms).
func DefaultSettings(self lb.NodeID, zone lb.Zone, seed uint64) Settings {
	return Settings{
		Self:           self,
		Zone:           zone,
		Seed:           seed,
		WatchWait:      1500 * time.Millisecond,
		CallTimeout:    700 * time.Millisecond,
		ChangeInterval: 200 * time.Millisecond,
		Patience:       1700 * time.Millisecond,
		PatienceStep:   60 * time.Millisecond,
		PatienceLimit:  2200 * time.Millisecond,
		LateStep:       400 * time.Millisecond,
		SilenceLimit:   1200 * time.Millisecond,
		DigestInterval: 400 * time.Millisecond,
		TreeWidth:      4,
		SettleTime:     1500 * time.Millisecond,
		BackoffBase:    100 * time.Millisecond,
		BackoffLimit:   time.Second,
	}
}

// usualLimit is the time in which DefaultSettings put a change into force.
const usualLimit = 3 * time.Second

// longestLimit bounds how far Within stretches the times: a change is then in
// force within 4.8 s (2.6 s of 3 s), and the fleet is to manage within 5 s.
const longestLimit = 5500 * time.Millisecond

// Within gives settings that put a change into force within a limit: all times
// are shortened or stretched alike, so that a fleet whose users can wait longer
// makes fewer calls. Calls keep CallTimeout, and a node that finds the store
// failing tries again no later than before.
func (settings Settings) Within(limit time.Duration) Settings {
	limit = min(limit, longestLimit)
	ratio := limit.Seconds() / usualLimit.Seconds()
	backoffLimit := settings.BackoffLimit
	for _, duration := range []*time.Duration{
		&settings.WatchWait, &settings.ChangeInterval, &settings.Patience, &settings.PatienceStep,
		&settings.PatienceLimit, &settings.SilenceLimit, &settings.DigestInterval, &settings.BackoffLimit,
	} {
		*duration = time.Duration(float64(*duration) * ratio)
	}
	settings.BackoffLimit = min(settings.BackoffLimit, backoffLimit)
	return settings
}

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
	ReasonReaderGone  Reason = "reader_gone"  // who read for the others stops or has ended
	ReasonUnconfirmed Reason = "unconfirmed"  // nobody has confirmed its view yet
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

// sourceStore is the Source of what the store itself has told.
const sourceStore = "store"

// Core is the follower of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	replica  *view.Replica
	now      time.Duration
	started  bool
	startAt  time.Duration

	peers []Peer // without self
	// rank is this node's place among the staying nodes of its zone.
	rank int
	// zoneRank is the place of its zone, by the first nodes of all zones.
	zoneRank int
	// heads are the first nodes of the other zones.
	heads []Peer
	// acting: this node reads the store for the others.
	acting bool
	// reader is who else was last heard to do so; readerGone: it stops or has
	// ended, noticed at readerGoneAt, and nobody has taken over yet.
	reader       lb.NodeID
	readerStays  bool // it is among peers
	readerGone   bool
	readerGoneAt time.Duration
	// readerHeardAt is when the reader last said that it reads, directly or through others.
	readerHeardAt time.Duration
	// wholes are those that want the whole view.
	wholes []netip.AddrPort
	// answeredAt is when they were last sent it, for wholeInterval.
	answeredAt map[netip.AddrPort]time.Duration
	// ranked are the nodes of the own zone by rank, self included, those that
	// leave behind the others.
	ranked []Peer
	// leaves: this node is in a planned stop.
	leaves bool

	// confirmAfter is how long after its start this node waits for others to
	// confirm its first view.
	confirmAfter time.Duration
	confirmedAt  time.Duration // when the view was last known to be the newest
	confirmed    bool
	heardAt      time.Duration // when a peer last told of the view
	reading      bool
	readAt       time.Duration // when the call under way, or the last one, was started
	relist       bool          // the history is gone
	noSnapshot   bool          // the store has none that can be used
	publishing   bool
	published    int64 // the store's revision of the last snapshot written by this node
	nextPublish  time.Duration
	nextRead     time.Duration
	failures     int
	nextDigest   time.Duration
	nextWant     time.Duration
	asked        int // how often others were asked before the first view was confirmed
	nextPrune    time.Duration
}

// New gives a follower that knows nothing.
func New(settings Settings) *Core {
	core := &Core{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self.Hash()))),
		replica:  view.NewReplica(),

		answeredAt: make(map[netip.AddrPort]time.Duration),
	}
	core.confirmAfter = core.confirmTime()
	return core
}

// Replica is the view. The caller does not change it.
func (core *Core) Replica() *view.Replica { return core.replica }

// Age is the time since the view was last known to be the newest; false: it never was.
func (core *Core) Age(now time.Duration) (time.Duration, bool) {
	return now - core.confirmedAt, core.confirmed
}

// Rank is this node's place among those of its zone, by which they lose patience.
func (core *Core) Rank() int { return core.rank }

// Reads tells whether this node reads the store for the others.
func (core *Core) Reads() bool { return core.acting }

// Step takes one event at a time that never goes back and fills effects.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0]}
	core.now = max(now, core.now)
	if !core.started {
		core.started = true
		core.startAt = core.now
	}
	switch {
	case event.Peers != nil:
		core.setPeers(event.Peers)
	case event.Message != nil:
		core.receive(event.Message, effects)
	case event.Read != nil:
		core.finishRead(event.Read, effects)
	case event.Published != nil:
		core.finishPublication(event.Published)
	default:
		core.tick(effects)
	}
	core.startRead(effects)
	effects.Publication = core.duePublication()
}

func (core *Core) tick(effects *Effects) {
	if core.now >= core.nextPrune {
		core.nextPrune = core.now + time.Second
		if core.replica.Prune(core.now) {
			core.noteChange(effects, "prune")
		}
	}
	if core.lacksWord() {
		core.askForView(effects)
	}
	if core.replica.Revision() == 0 {
		return
	}
	core.answerWholes(effects)
	if core.tells() && core.now >= core.nextDigest {
		core.sendDigest(effects)
	}
}

func (core *Core) noteChange(effects *Effects, source string) {
	effects.Changed = true
	effects.Source = source
}

// confirm notes that the view was the newest at the time.
func (core *Core) confirm(at time.Duration) {
	if !core.confirmed || at > core.confirmedAt {
		core.confirmed = true
		core.confirmedAt = at
	}
}

// noteAge tells the replica how old it is, before something is applied to it.
func (core *Core) noteAge() {
	if core.confirmed {
		core.replica.NoteAge(core.age())
	}
}

func (core *Core) age() time.Duration { return core.now - core.confirmedAt }
