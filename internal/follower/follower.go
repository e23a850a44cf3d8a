// Package follower keeps a balancer's view as new as the store's: it decides
// who reads the store for whom, when, and what balancers tell each other. One
// node reads for the fleet; one whose view has not been confirmed in time
// reads itself. There is no leader that safety rests on: a second reader costs
// calls, nothing else. It is a deterministic core without I/O, clock or global
// randomness; see docs/design-platform.md, "Reading the store".
package follower

import (
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

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
	// relays are the first nodes of the other zones.
	relays []Peer
	// acting: this node reads the store for the others.
	active bool
	// watcher is who else was last heard to do so; readerGone: it stops or has
	// ended, noticed at readerGoneAt, and nobody has taken over yet.
	watcher       lb.NodeID
	watcherAvailable  bool // it is among peers
	watcherLost   bool
	watcherLostAt time.Duration
	// readerLists: it then listed all entries.
	watcherListing bool
	// watcherReportedAt is when the reader last said that it reads, directly or through others.
	watcherReportedAt time.Duration
	// largeRequests are those who want the whole view, or a part.
	largeRequests []largeRequest
	// answeredAt is when they were last answered, for longInterval.
	answeredAt map[largeRequest]time.Duration
	// assembly has the parts that have come of what this node lacks.
	assembly view.Assembly
	// zoneNodes are the nodes of the own zone by rank, self included, those that
	// leave behind the others.
	zoneNodes []Peer
	// leaves: this node is in a planned stop.
	leaving bool

	// verifyDelay is how long after its start this node waits for others to
	// confirm its first view.
	verifyDelay time.Duration
	// listDelay is how long after its start it lists entries where no snapshot is.
	listDelay   time.Duration
	verifiedAt time.Duration // when the view was last known to be the newest
	verified   bool
	lastUpdateAt     time.Duration // when a peer last told of the view
	readPending     bool
	readAt      time.Duration // when the call under way, or the last one, was started
	needsListing      bool          // the history is gone
	noSnapshot  bool          // the store has none that can be used
	snapshotMisses      int           // how often it had none
	publishPending  bool
	publishedRevision   int64 // the store's revision of the last snapshot written by this node
	nextPublish time.Duration
	nextRead    time.Duration
	failures    int
	nextDigest  time.Duration
	nextRequest    time.Duration
	requestCount       int // how often others were asked before the first view was confirmed
	nextPrune   time.Duration
}

// New gives a follower that knows nothing.
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

// Replica is the view. The caller does not change it.
func (core *Core) Replica() *view.Replica { return core.replica }

// Age is the time since the view was last known to be the newest; false: it never was.
func (core *Core) Age(now time.Duration) (time.Duration, bool) {
	return now - core.verifiedAt, core.verified
}

// Rank is this node's place among those of its zone, by which they lose patience.
func (core *Core) Rank() int { return core.rank }

// Reads tells whether this node reads the store for the others.
func (core *Core) Reads() bool { return core.active }

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

func (core *Core) recordChange(effects *Effects, source string) {
	effects.Changed = true
	effects.Source = source
}

// markVerified notes that the view was the newest at the time.
func (core *Core) markVerified(at time.Duration) {
	if !core.verified || at > core.verifiedAt {
		core.verified = true
		core.verifiedAt = at
	}
}

// setReplicaAge tells the replica how old it is, before something is applied to it.
func (core *Core) setReplicaAge() {
	if core.verified {
		core.replica.NoteAge(core.age())
	}
}

func (core *Core) age() time.Duration { return core.now - core.verifiedAt }
