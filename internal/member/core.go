package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// entry is what this node knows of another one.
type entry struct {
	machine     Machine
	hash        lb.NodeHash
	zone        *zone
	state       message.MemberState
	leaving     bool // stays set while the entry is suspect
	incarnation uint64
	// tells is how often this node, which raised the suspicion, still tells
	// the suspect itself.
	tells int
	// buried is the incarnation that was declared dead here, until the node
	// has been told of it.
	buried uint64
	// deadline ends the suspicion of a suspect, or the memory of a dead entry.
	deadline time.Duration
}

func (entry *entry) live() bool { return entry.state != message.MemberDead }

// Core is the membership of one node. It is not safe for concurrent use.
type Core struct {
	settings    Settings
	random      *rand.Rand
	now         time.Duration
	incarnation uint64
	buried      uint64 // highest own incarnation known to have been declared dead
	leaving     bool
	stopped     bool
	digest      uint64

	entries    map[lb.NodeID]*entry
	zones      []*zone // sorted by name; own zone included
	ownZone    *zone
	machines   []Machine // the platform's list without self
	listed     map[lb.NodeID]int
	suspects   []*entry
	askers     []netip.AddrPort                 // who waits for the whole membership
	answeredAt map[netip.AddrPort]time.Duration // when those who asked were last answered
	nextWhole  time.Duration                    // when it may be encoded again
	rumours    []*rumour                        // next to send first

	probes    []probe
	forwarded []forwardedProbe
	sequence  uint64

	// viewHash covers the live entries and self; viewSince is when it first
	// differed from that of every peer heard since, or zero.
	viewHash uint64
	// differs tells since when a peer's view differs from this node's.
	differs  map[lb.NodeID]time.Duration
	joined   bool
	changed  bool // Members differs from what was last announced
	rejoined bool
	replaced bool

	started      bool
	startedAt    time.Duration
	lastStep     time.Duration
	lastTick     time.Duration
	nextProbe    time.Duration
	nextRumour   time.Duration
	nextAttempt  time.Duration
	nextReap     time.Duration
	nextSync     time.Duration
	attempt      int // place in machines
	crossZone    int // place in zones
	rumourTokens float64

	// Rules switched off by tests, to show that the tests need them.
	ignoreRefutes bool // a suspect or dead update on self is not refuted
	hideDeaths    bool // a node that came back is not told that it had been dead
}

// New gives the core of a node that knows nobody yet.
func New(settings Settings) (*Core, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	core := &Core{
		settings:    settings,
		random:      rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(string(settings.Self.ID)))),
		incarnation: settings.Incarnation,
		entries:     make(map[lb.NodeID]*entry),
		listed:      make(map[lb.NodeID]int),
		answeredAt:  make(map[netip.AddrPort]time.Duration),
		differs:     make(map[lb.NodeID]time.Duration),
	}
	core.ownZone = core.zoneOf(settings.Self.Zone)
	core.sequence = uint64(core.random.Uint32()) // answers to an earlier run match nothing
	core.viewHash = viewHashOf(settings.Self.ID, false)
	core.changed = true
	return core, nil
}

// SetDigest sets the digest of placements that pings carry.
func (core *Core) SetDigest(digest uint64) { core.digest = digest }

// Incarnation is this node's present incarnation.
func (core *Core) Incarnation() uint64 { return core.incarnation }

// Members appends all nodes taken as alive to buffer, self included, sorted by ID.
func (core *Core) Members(buffer []Member) []Member {
	start := len(buffer)
	buffer = append(buffer, Member{Machine: core.settings.Self, Leaving: core.leaving, Incarnation: core.incarnation})
	for _, zone := range core.zones {
		if zone.unreachable {
			continue
		}
		for _, entry := range zone.live {
			buffer = append(buffer, Member{Machine: entry.machine, Leaving: entry.leaving, Incarnation: entry.incarnation})
		}
	}
	slices.SortFunc(buffer[start:], func(left, right Member) int { return cmp.Compare(left.ID, right.ID) })
	return buffer
}

// Resolve gives the control address of a node that is known, alive or not.
func (core *Core) Resolve(id lb.NodeID) (netip.AddrPort, bool) {
	if entry := core.entries[id]; entry != nil {
		return entry.machine.Control, true
	}
	if index, found := core.listed[id]; found {
		return core.machines[index].Control, true
	}
	return netip.AddrPort{}, false
}

// Step takes one event at a time that never goes back and fills effects.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0], Batches: effects.Batches[:0]}
	core.now = max(now, core.now)
	core.start()
	core.notePause()
	switch {
	case event.Peer != nil:
		core.receive(event.Peer, effects)
	case event.Machines != nil:
		core.setMachines(event.Machines)
	case event.Leave:
		core.leave(effects)
	case event.Stop:
		core.stop(effects)
	default:
		core.tick(effects)
	}
	effects.Rejoined, effects.Replaced = core.rejoined, core.replaced
	core.rejoined, core.replaced = false, false
}

// start spreads the nodes' timers, so that a fleet started at once does not beat in step.
func (core *Core) start() {
	if core.started {
		return
	}
	core.started = true
	core.lastStep = core.now
	core.lastTick = core.now
	core.nextProbe = core.now + core.jitter(core.settings.ProbeInterval)
	core.nextRumour = core.now + core.jitter(core.settings.RumourInterval)
	core.nextAttempt = core.now
	core.startedAt = core.now
	core.nextSync = core.now + core.jitter(youngSync)
	core.nextReap = core.now + core.jitter(reapInterval)
}

func (core *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(core.random.Int64N(int64(limit)))
}

// notePause forgives others what this node may have missed while it was not running.
func (core *Core) notePause() {
	gap := core.now - core.lastStep
	core.lastStep = core.now
	if gap <= core.settings.PauseLimit {
		return
	}
	core.probes = core.probes[:0]
	for _, suspect := range core.suspects {
		suspect.deadline = core.now + core.settings.SuspicionTimeout
	}
	for _, zone := range core.zones {
		zone.doubts = zone.doubts[:0]
	}
}

func (core *Core) tick(effects *Effects) {
	if core.stopped {
		return
	}
	elapsed := core.now - core.lastTick
	core.lastTick = core.now
	core.refillRumours(elapsed)
	core.advanceProbes(effects)
	core.advanceSuspects()
	core.answerAskers(effects)
	if core.now >= core.nextProbe {
		core.nextProbe = core.now + core.settings.ProbeInterval
		core.startProbes(effects)
	}
	if core.now >= core.nextRumour {
		core.nextRumour = core.now + core.settings.RumourInterval
		core.spreadRumours(effects)
	}
	if core.now >= core.nextAttempt {
		core.nextAttempt = core.now + core.settings.AttemptInterval
		core.attemptMachines(effects)
		core.askForAll(effects)
	}
	if core.now >= core.nextReap {
		core.nextReap = core.now + reapInterval
		core.reap()
	}
	effects.Changed = core.changed
	core.changed = false
}

func (core *Core) send(effects *Effects, machine *Machine, outgoing message.Message) {
	effects.Messages = append(effects.Messages, Outgoing{To: machine.ID, Address: machine.Control, Message: outgoing})
}

// viewHashOf is one node's part of the view hash, which is their exclusive or.
func viewHashOf(id lb.NodeID, leaving bool) uint64 {
	hash := xxhash.Sum64String(string(id))
	if leaving {
		return hash ^ leavingHash
	}
	return hash
}

// leavingHash sets a leaving node apart in the view hash; any odd constant does.
const leavingHash = 0x9e3779b97f4a7c15

// reapInterval is the time between looks for dead entries to forget.
const reapInterval = 10 * time.Second
