package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/overload"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/steering"
)

// Core decides for one balancer. It is not safe for concurrent use: one
// goroutine at a time calls its methods.
type Core struct {
	settings Settings
	affinity affinity
	off      rules
	now      time.Duration
	stamp    stamp
	started  bool

	self    *node
	nodes   map[lb.NodeID]*node
	byHash  map[lb.NodeHash]*node
	members memberList
	// groups are the chains; chainChanges counts their changes.
	groups       []group
	groupsKey    rendezvous.Key
	chainChanges uint64

	services map[lb.ServiceName]*service
	ordered  []*service // by name, so that walks are deterministic
	// bucketCount is the number of buckets of which something is held, over all services.
	bucketCount int
	frontends   map[lb.FrontendKey]*service

	sure      bool          // the view may be trusted
	sureSince time.Duration // when it last became so
	// resumed: unsure since a pause.
	resumed bool
	// discardUntil: packets up to then may have waited in a socket over a pause.
	discardUntil time.Duration
	// joinedAt is when this node first saw others; zero before that.
	joinedAt time.Duration
	// missing are nodes that vanished without having left, and when.
	missing map[lb.NodeID]time.Duration
	leaving bool

	hints    hintQueue
	handover handover
	sweeper  sweeper
	clean    cleanReporter
	stats    Stats
}

// stampUnit is the unit of times in records.
const stampUnit = 10 * time.Millisecond

// affinity finds the back ends of flows; see Affinity.
type affinity interface {
	packet(packet *Packet, decision *Decision)
	setMembers(members []Member)
	setTable(table *steering.Table)
	tick()
	changes() []passivehealth.Change
	outcomes() []passivehealth.Outcome
	avoid(identities []passivehealth.Identity)
	overloads() []overload.Change
	pressures() []overload.Status
	setLoads(loads map[lb.ServiceName]fleetload.Service)
	samples() []fleetload.Sample
	heard(zones []ZoneHeard)
	reached() []reachability.Change
	zones() []reachability.Status
	look(all bool)
	takeReleased() []Released
	waits() int
	tracked() conntrack.Stats
	openFlows() []conntrack.Flow
	learn(flows []conntrack.Flow) []conntrack.Flow
	recentFlows() []conntrack.Flow
}

// New gives a core that knows of no other member and no service.
func New(settings Settings) *Core {
	core := &Core{
		settings:  settings,
		nodes:     make(map[lb.NodeID]*node),
		byHash:    make(map[lb.NodeHash]*node),
		services:  make(map[lb.ServiceName]*service),
		frontends: make(map[lb.FrontendKey]*service),
		groups:    newGroups(),
		groupsKey: rendezvous.NewKey(groupsKey),
		missing:   make(map[lb.NodeID]time.Duration),
		sure:      true,
	}
	core.affinity = chainAffinity{core}
	if settings.Affinity == AffinityToken {
		core.affinity = newTokenAffinity(core)
	}
	core.self = core.node(settings.Self)
	core.self.Zone = settings.Zone
	core.hints.limit = newLimiter(int64(settings.PinBytesPerSecond), int64(settings.PinBytesPerSecond))
	core.handover.limit = newLimiter(int64(settings.HandoverBytesPerSecond), max(int64(settings.HandoverBytesPerSecond), batchBytes))
	return core
}

// Step takes one event at the time now, counted from any fixed origin not
// after it, and fills effects. Times must not go back.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	effects.reset()
	core.setTime(now)
	switch {
	case event.Packet != nil:
		core.affinity.packet(event.Packet, &effects.Decision)
		core.count(&effects.Decision)
	case event.Placement != nil:
		core.adopt(event.Placement)
	case event.Table != nil:
		core.affinity.setTable(event.Table)
	case event.Members != nil:
		core.affinity.setMembers(event.Members)
	case event.Peer != nil:
		core.peer(event.Peer, effects)
	case event.Ejected != nil:
		core.affinity.avoid(event.Ejected)
	case event.Loads != nil:
		core.affinity.setLoads(event.Loads)
	case event.OpenFlows != nil:
		effects.OpenFlows = core.affinity.learn(event.OpenFlows)
	case event.Leave:
		core.leave()
	case event.RetryQueued || event.CloseQueue:
		core.affinity.look(event.CloseQueue)
	}
	core.setContact(event.Contact)
	if event.Tick {
		core.affinity.heard(event.Heard)
		core.affinity.tick()
		core.tick(effects)
		effects.Samples = core.affinity.samples()
		effects.OpenFlows = core.affinity.openFlows()
	}
	effects.Backends = core.affinity.changes()
	effects.Outcomes = core.affinity.outcomes()
	effects.Overload = core.affinity.overloads()
	effects.Reach = core.affinity.reached()
	effects.Released = core.affinity.takeReleased()
	effects.Unverified = !core.sure
	effects.HandoverDone = core.leaving && core.handover.idle()
}

// Zones gives which zones' back ends are reached, for AffinityToken.
func (core *Core) Zones() []reachability.Status { return core.affinity.zones() }

// Waiting is how many openings are held, for AffinityToken.
func (core *Core) Waiting() int { return core.affinity.waits() }

// Tracked counts the flows that a late answer to their opening must not move, for AffinityToken.
func (core *Core) Tracked() conntrack.Stats { return core.affinity.tracked() }

// RecentFlows gives the flows of Tracked that were opened a short time ago.
func (core *Core) RecentFlows() []conntrack.Flow { return core.affinity.recentFlows() }

// Pressures gives what is known of the load of services, for AffinityToken.
func (core *Core) Pressures() []overload.Status { return core.affinity.pressures() }

func (effects *Effects) reset() {
	effects.Decision = Decision{}
	clear(effects.Messages)
	effects.Messages = effects.Messages[:0]
	effects.HandoverDone = false
	effects.Samples = nil
	effects.OpenFlows = nil
	effects.Unverified = false
}

// setTime notices a pause of this process: its view may be old by now.
func (core *Core) setTime(now time.Duration) {
	paused := core.started && now-core.now > core.settings.PauseLimit
	core.started = true
	core.now = now
	core.stamp = toStamp(now)
	if paused && !core.off.noUnsureAfterPause {
		core.stats.Pauses++
		core.discardUntil = now + TickInterval
		core.resumed = !core.members.alone()
		core.distrust()
	}
}

func toStamp(now time.Duration) stamp { return stamp(now / stampUnit) }

// distrust makes the node unsure of its view, unless it has no peers to ask.
func (core *Core) distrust() {
	core.sure = core.members.alone()
	core.sureSince = core.now
}

func (core *Core) setContact(change ContactChange) {
	switch change {
	case ContactLost:
		core.distrust()
	case ContactRegained:
		if !core.sure {
			core.regain()
		}
	}
}

// regain makes the node trust its view again. Tails may have changed meanwhile.
func (core *Core) regain() {
	core.sure = true
	core.resumed = false
	core.sureSince = core.now
	for index := range core.groups {
		core.groups[index].tailSince = core.stamp + 1
	}
}

func (core *Core) tick(effects *Effects) {
	core.sweeper.run(core)
	core.handover.run(core, effects)
	core.hints.flush(core, effects)
	core.clean.run(core, effects)
}
