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

// entry is the state of another node as known to this node.
type entry struct {
	machine     Machine
	hash        lb.NodeHash
	zone        *zone
	state       message.MemberState
	leaving     bool // remains set while the entry is suspect
	incarnation uint64
	// suspicionNotices is the number of direct notices that this node, which raised the suspicion,
	// still sends to the suspect.
	suspicionNotices int
	// deadIncarnation is the incarnation that this node declared dead. It is zero after the node
	// concerned was notified.
	deadIncarnation uint64
	// deadline is the time at which the suspicion of a suspect ends, or at which a dead entry may
	// be removed.
	deadline time.Duration
}

func (entry *entry) live() bool { return entry.state != message.MemberDead }

// Core is the membership state machine of one node. It is not safe for concurrent use.
type Core struct {
	settings        Settings
	random          *rand.Rand
	now             time.Duration
	incarnation     uint64
	deadIncarnation uint64 // highest incarnation of this node that others have declared dead
	leaving         bool
	stopped         bool
	digest          uint64

	entries      map[lb.NodeID]*entry
	zones        []*zone // sorted by name, including the local zone
	ownZone      *zone
	machines     []Machine // the platform's list without this node
	listed       map[lb.NodeID]int
	suspects     []*entry
	listRequests []netip.AddrPort                 // nodes waiting for the full member list
	listSentAt   map[netip.AddrPort]time.Duration // time of the last answer per node
	nextFullList time.Duration                    // earliest next encoding of the full list
	rumours      []*rumour                        // next to send first

	probes    []probe
	forwarded []forwardedProbe
	sequence  uint64

	// viewHash is the hash of the live entries and this node.
	viewHash uint64
	// differsSince contains, for each peer whose view differs from this node's, the time at which
	// the difference was first seen.
	differsSince map[lb.NodeID]time.Duration
	joined       bool
	changed      bool // the result of Members differs from the one last announced
	rejoined     bool
	replaced     bool

	started         bool
	startedAt       time.Duration
	lastStep        time.Duration
	lastTick        time.Duration
	nextProbe       time.Duration
	nextRumour      time.Duration
	nextMachinePing time.Duration
	nextReap        time.Duration
	nextSync        time.Duration
	machineIndex    int // index into machines
	zoneIndex       int // index into zones
	rumourTokens    float64

	// Tests disable these rules to verify that they detect a violation.
	noRefutation   bool // do not refute a suspect or dead update about this node
	noDeathNotices bool // do not notify a returned node that it had been declared dead
}

// New returns the core of a node that knows no other nodes yet.
func New(settings Settings) (*Core, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	core := &Core{
		settings:     settings,
		random:       rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(string(settings.Self.ID)))),
		incarnation:  settings.Incarnation,
		entries:      make(map[lb.NodeID]*entry),
		listed:       make(map[lb.NodeID]int),
		listSentAt:   make(map[netip.AddrPort]time.Duration),
		differsSince: make(map[lb.NodeID]time.Duration),
	}
	core.ownZone = core.zoneOf(settings.Self.Zone)
	// The start is random, so that answers to an earlier instance match no probe.
	core.sequence = uint64(core.random.Uint32())
	core.viewHash = viewHashOf(settings.Self.ID, false)
	core.changed = true
	return core, nil
}

// SetDigest sets the digest of placements that pings carry.
func (core *Core) SetDigest(digest uint64) { core.digest = digest }

// Incarnation returns the current incarnation of this node.
func (core *Core) Incarnation() uint64 { return core.incarnation }

// Members appends all nodes considered alive to buffer, including this node, sorted by ID.
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

// Resolve returns the control address of a known node, whether it is alive or not.
func (core *Core) Resolve(id lb.NodeID) (netip.AddrPort, bool) {
	if entry := core.entries[id]; entry != nil {
		return entry.machine.Control, true
	}
	if index, found := core.listed[id]; found {
		return core.machines[index].Control, true
	}
	return netip.AddrPort{}, false
}

// Step applies one event and fills effects. now must not decrease between calls; lower values count
// as the highest one so far.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0], Batches: effects.Batches[:0]}
	core.now = max(now, core.now)
	core.start()
	core.detectPause()
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

// start randomizes the timers, so that the nodes of a fleet started at once do not send their
// messages at the same time.
func (core *Core) start() {
	if core.started {
		return
	}
	core.started = true
	core.lastStep = core.now
	core.lastTick = core.now
	core.nextProbe = core.now + core.jitter(core.settings.ProbeInterval)
	core.nextRumour = core.now + core.jitter(core.settings.RumourInterval)
	core.nextMachinePing = core.now
	core.startedAt = core.now
	core.nextSync = core.now + core.jitter(warmUpSyncInterval)
	core.nextReap = core.now + core.jitter(reapInterval)
}

func (core *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(core.random.Int64N(int64(limit)))
}

// detectPause discards pending failures after a pause of this node, because the node may have
// missed the answers of its peers.
func (core *Core) detectPause() {
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
		zone.failedProbes = zone.failedProbes[:0]
	}
}

func (core *Core) tick(effects *Effects) {
	if core.stopped {
		return
	}
	elapsed := core.now - core.lastTick
	core.lastTick = core.now
	core.refillRumourTokens(elapsed)
	core.advanceProbes(effects)
	core.advanceSuspects()
	core.answerListRequests(effects)
	if core.now >= core.nextProbe {
		core.nextProbe = core.now + core.settings.ProbeInterval
		core.startProbes(effects)
	}
	if core.now >= core.nextRumour {
		core.nextRumour = core.now + core.settings.RumourInterval
		core.sendRumours(effects)
	}
	if core.now >= core.nextMachinePing {
		core.nextMachinePing = core.now + core.settings.MachinePingInterval
		core.pingMachines(effects)
		core.requestFullList(effects)
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

// viewHashOf returns the contribution of one node to the view hash, which is the XOR of all
// contributions.
func viewHashOf(id lb.NodeID, leaving bool) uint64 {
	hash := xxhash.Sum64String(string(id))
	if leaving {
		return hash ^ leavingHash
	}
	return hash
}

// leavingHash distinguishes a leaving node in the view hash. Any odd constant is suitable.
const leavingHash = 0x9e3779b97f4a7c15

// reapInterval is the time between checks for dead entries to remove.
const reapInterval = 10 * time.Second
