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
	// readerLists: it then listed all entries.
	readerLists bool
	// readerHeardAt is when the reader last said that it reads, directly or through others.
	readerHeardAt time.Duration
	// wants are those who want the whole view, or a part.
	wants []longWant
	// answeredAt is when they were last answered, for longInterval.
	answeredAt map[longWant]time.Duration
	// assembly has the parts that have come of what this node lacks.
	assembly view.Assembly
	// ranked are the nodes of the own zone by rank, self included, those that
	// leave behind the others.
	ranked []Peer
	// leaves: this node is in a planned stop.
	leaves bool

	// confirmAfter is how long after its start this node waits for others to
	// confirm its first view.
	confirmAfter time.Duration
	// listAfter is how long after its start it lists entries where no snapshot is.
	listAfter   time.Duration
	confirmedAt time.Duration // when the view was last known to be the newest
	confirmed   bool
	heardAt     time.Duration // when a peer last told of the view
	reading     bool
	readAt      time.Duration // when the call under way, or the last one, was started
	relist      bool          // the history is gone
	noSnapshot  bool          // the store has none that can be used
	missed      int           // how often it had none
	publishing  bool
	published   int64 // the store's revision of the last snapshot written by this node
	nextPublish time.Duration
	nextRead    time.Duration
	failures    int
	nextDigest  time.Duration
	nextWant    time.Duration
	asked       int // how often others were asked before the first view was confirmed
	nextPrune   time.Duration
}

// New gives a follower that knows nothing.
func New(settings Settings) *Core {
	core := &Core{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self.Hash()))),
		replica:  view.NewReplica(),

		answeredAt: make(map[longWant]time.Duration),
	}
	core.confirmAfter = core.confirmTime()
	core.listAfter = core.listTime()
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
	core.answerLong(effects)
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
