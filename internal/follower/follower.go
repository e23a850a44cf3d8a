// Package follower keeps a balancer's view as current as the store. It decides which node reads the
// store for which others, and when, and what balancers send to each other. One node, the designated
// watcher, reads the store for the fleet. A node whose view has not been verified in time reads the
// store itself. Correctness does not depend on a single watcher: a second one costs requests to the
// store, but does no other harm. The package is a deterministic core without I/O, clock or global
// randomness; see docs/design-platform.md, "Reading the store".
package follower

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

// sourceStore is the Source of changes that were read from the store.
const sourceStore = "store"

// Core is the follower of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	replica  *view.Replica
	now      time.Duration
	started  bool
	startAt  time.Duration
	pause    pause // the last one of the process

	peers []Peer // without this node
	// rank is this node's position among the nodes of its zone, in rendezvous order with leaving
	// nodes last.
	rank int
	// zoneRank is the position of this node's zone among all zones, which are ordered by their
	// first nodes.
	zoneRank int
	// relays are the first nodes of the other zones. They forward messages within their zones.
	relays []Peer
	// active is set while this node is the designated watcher, which reads the store for the
	// others.
	active bool
	// watcher is the other node that was last reported as the designated watcher. watcherLost is
	// set if that node is leaving or has failed, which this node noticed at watcherLostAt, and no
	// other node has taken over yet.
	watcher          lb.NodeID
	watcherAvailable bool // it is among peers and not leaving
	watcherLost      bool
	watcherLostAt    time.Duration
	// watcherListing is set if the watcher was listing all entries at its last report.
	watcherListing bool
	// watcherReportedAt is the time at which the watcher last stated that it reads the store,
	// whether the report arrived directly or through other nodes.
	watcherReportedAt time.Duration
	// largeRequests are the queued requests for the whole view or for a part.
	largeRequests []largeRequest
	// answeredAt contains when large requests were answered, for the last largeAnswerInterval.
	answeredAt map[largeRequest]time.Duration
	// assembly contains the received parts of the delta that this node lacks.
	assembly view.Assembly
	// zoneNodes are the nodes of the local zone by rank, including this one, with leaving nodes
	// last.
	zoneNodes []Peer
	// leaving is set during a planned stop of this node.
	leaving bool

	// verifyDelay is how long after its start this node waits for others to verify its first view
	// before it reads the store.
	verifyDelay time.Duration
	// listDelay is how long after its start this node waits for a snapshot before it lists all
	// entries.
	listDelay         time.Duration
	verifiedAt        time.Duration // the latest time at which the view was known to be current
	verified          bool
	lastUpdateAt      time.Duration // when a peer last sent a message about the view
	readPending       bool
	readAt            time.Duration // when the pending read, or else the last one, was started
	listingReason     Reason        // why no watch can continue from the replica's revision; empty if one can
	noSnapshot        bool          // the store has no usable snapshot
	snapshotMisses    int           // how often the store had no snapshot
	publishPending    bool
	publishedRevision int64 // the store's revision of the last snapshot that this node wrote
	publishedContacts []netip.AddrPort
	peersChanged      bool // since the last call of contactsOutdated
	nextPublish       time.Duration
	nextRead          time.Duration
	failures          int
	nextDigest        time.Duration
	nextRequest       time.Duration
	requestCount      int // number of requests to peers before the first view was verified
	nextPrune         time.Duration
}

// New returns a follower with an empty view.
func New(settings Settings) *Core {
	core := &Core{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self.Hash()))),
		replica:  view.NewReplica(),

		answeredAt: make(map[largeRequest]time.Duration),
	}
	core.verifyDelay = core.drawVerifyDelay()
	core.listDelay = core.drawListDelay()
	return core
}

// Replica returns the view. The caller must not change it.
func (core *Core) Replica() *view.Replica { return core.replica }

// Age returns the time since the view was last known to be current. The second result is false if
// it never was.
func (core *Core) Age(now time.Duration) (time.Duration, bool) {
	return now - core.verifiedAt, core.verified
}

// Rank returns this node's position among the nodes of its zone in the takeover order.
func (core *Core) Rank() int { return core.rank }

// IsWatcher reports whether this node is the designated watcher.
func (core *Core) IsWatcher() bool { return core.active }

// Step processes one event and fills effects. If the time is earlier than in the previous step, the
// core keeps the previous time.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0]}
	core.detectPause(now)
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

// tick prunes the view, requests it from peers if necessary, and sends answers and digests that are
// due.
func (core *Core) tick(effects *Effects) {
	if core.now >= core.nextPrune {
		core.nextPrune = core.now + time.Second
		if core.replica.Prune(core.now) {
			core.recordChange(effects, "prune")
		}
	}
	if core.shouldRequestView() {
		core.requestView(effects)
	}
	if core.replica.Revision() == 0 {
		return
	}
	core.answerLargeRequests(effects)
	if core.sendsDigests() && core.now >= core.nextDigest {
		core.sendDigest(effects)
	}
}

// recordChange records in effects that the view has changed.
func (core *Core) recordChange(effects *Effects, source string) {
	effects.Changed = true
	effects.Source = source
}

// markVerified records that the view was current at a time.
func (core *Core) markVerified(at time.Duration) {
	if !core.verified || at > core.verifiedAt {
		core.verified = true
		core.verifiedAt = at
	}
}

// setReplicaContact tells the replica how current it is before an update is applied. delayed states
// that the update was created an unknown time ago.
func (core *Core) setReplicaContact(delayed bool) {
	contact := view.NoContact
	if core.verified {
		contact = view.Contact{CurrentAt: core.verifiedAt, Outage: core.runningAge() >= core.settings.OutageAge}
	}
	contact.Delayed = delayed
	core.replica.SetContact(contact)
}

// age returns the time since the view was last known to be current.
func (core *Core) age() time.Duration { return core.now - core.verifiedAt }
