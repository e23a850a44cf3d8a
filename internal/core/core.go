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

// Core makes the decisions of one balancer. It is not safe for concurrent use.
type Core struct {
	settings  Settings
	affinity  affinity
	disabled  disabledRules
	now       time.Duration
	timestamp timestamp
	started   bool

	self    *node
	nodes   map[lb.NodeID]*node
	byHash  map[lb.NodeHash]*node
	members memberList
	// groups are the chains. chainChanges counts updates of the chains, so that values derived from
	// them can be cached.
	groups       []group
	groupsKey    rendezvous.Key
	chainChanges uint64

	services       map[lb.ServiceName]*service
	servicesByName []*service // sorted, so that iteration is deterministic
	// bucketCount is the number of buckets with state, over all services.
	bucketCount int
	frontends   map[lb.FrontendKey]*service

	viewVerified      bool          // false: the view may be stale
	viewVerifiedSince time.Duration // when viewVerified last changed
	// unverifiedSincePause reports that the view has been unverified since a pause of this process.
	unverifiedSincePause bool
	// dropPacketsUntil is the time up to which packets may have waited in a socket during a pause.
	dropPacketsUntil time.Duration
	// joinedAt is when this node first saw other members, or zero before that.
	joinedAt time.Duration
	// missingNodes maps each node that vanished without a planned stop to the time at which it
	// vanished.
	missingNodes map[lb.NodeID]time.Duration
	leaving      bool

	hints         hintQueue
	handover      handover
	sweeper       sweeper
	cleanReporter cleanReporter
	stats         Stats
}

// timestampUnit is the resolution of timestamp.
const timestampUnit = 10 * time.Millisecond

// affinity finds the back ends of flows by one method; see Affinity.
type affinity interface {
	decide(packet *Packet, decision *Decision)
	setMembers(members []Member)
	setTable(table *steering.Table)
	tick()
	backendChanges() []passivehealth.Change
	outcomes() []passivehealth.Outcome
	setEjected(identities []passivehealth.Identity)
	overloadChanges() []overload.Change
	overloadStatus() []overload.Status
	setLoads(loads map[lb.ServiceName]fleetload.Service)
	loadSamples() []fleetload.Sample
	updateReachability(zones []ZoneContact)
	reachabilityChanges() []reachability.Change
	reachabilityStatus() []reachability.Status
	retryQueued(all bool)
	takeReleased() []Released
	queuedOpenings() int
	trackedStats() conntrack.Stats
	openFlowAnnouncements() []conntrack.Flow
	applyOpenFlows(flows []conntrack.Flow) []conntrack.Flow
	recentFlows() []conntrack.Flow
}

// New returns a core without other members and without services.
func New(settings Settings) *Core {
	core := &Core{
		settings:     settings,
		nodes:        make(map[lb.NodeID]*node),
		byHash:       make(map[lb.NodeHash]*node),
		services:     make(map[lb.ServiceName]*service),
		frontends:    make(map[lb.FrontendKey]*service),
		groups:       newGroups(),
		groupsKey:    rendezvous.NewKey(groupsKey),
		missingNodes: make(map[lb.NodeID]time.Duration),
		viewVerified: true,
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

// Step processes one event at the time now and fills effects. Times are offsets from an arbitrary
// fixed origin and must not decrease.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	effects.reset()
	core.setTime(now)
	switch {
	case event.Packet != nil:
		core.affinity.decide(event.Packet, &effects.Decision)
		core.count(&effects.Decision)
	case event.Placement != nil:
		core.applyPlacement(event.Placement)
	case event.Table != nil:
		core.affinity.setTable(event.Table)
	case event.Members != nil:
		core.affinity.setMembers(event.Members)
	case event.Peer != nil:
		core.handlePeerMessage(event.Peer, effects)
	case event.Ejected != nil:
		core.affinity.setEjected(event.Ejected)
	case event.Loads != nil:
		core.affinity.setLoads(event.Loads)
	case event.OpenFlows != nil:
		effects.OpenFlows = core.affinity.applyOpenFlows(event.OpenFlows)
	case event.Leave:
		core.leave()
	case event.RetryQueued || event.CloseQueue:
		core.affinity.retryQueued(event.CloseQueue)
	}
	core.setContact(event.Contact)
	if event.Tick {
		core.affinity.updateReachability(event.ZoneContacts)
		core.affinity.tick()
		core.tick(effects)
		effects.LoadSamples = core.affinity.loadSamples()
		effects.OpenFlows = core.affinity.openFlowAnnouncements()
	}
	effects.Backends = core.affinity.backendChanges()
	effects.Outcomes = core.affinity.outcomes()
	effects.Overload = core.affinity.overloadChanges()
	effects.Reachability = core.affinity.reachabilityChanges()
	effects.Released = core.affinity.takeReleased()
	effects.Unverified = !core.viewVerified
	effects.HandoverDone = core.leaving && core.handover.idle()
}

// ZoneReachability returns the reachability of the zones with back ends, for AffinityToken.
func (core *Core) ZoneReachability() []reachability.Status { return core.affinity.reachabilityStatus() }

// HeldOpenings returns the number of held openings, for AffinityToken.
func (core *Core) HeldOpenings() int { return core.affinity.queuedOpenings() }

// TrackedFlowStats returns counters of the flows that must not move to another back end when a late
// answer to their opening arrives, for AffinityToken.
func (core *Core) TrackedFlowStats() conntrack.Stats { return core.affinity.trackedStats() }

// RecentFlows returns the flows counted by TrackedFlowStats that were opened recently.
func (core *Core) RecentFlows() []conntrack.Flow { return core.affinity.recentFlows() }

// OverloadStatus returns the load status of the services, for AffinityToken.
func (core *Core) OverloadStatus() []overload.Status { return core.affinity.overloadStatus() }

func (effects *Effects) reset() {
	effects.Decision = Decision{}
	clear(effects.Messages)
	effects.Messages = effects.Messages[:0]
	effects.HandoverDone = false
	effects.LoadSamples = nil
	effects.OpenFlows = nil
	effects.Unverified = false
}

// setTime sets the time of the step. It detects a pause of this process, during which the view may
// have become stale.
func (core *Core) setTime(now time.Duration) {
	paused := core.started && now-core.now > core.settings.PauseLimit
	core.started = true
	core.now = now
	core.timestamp = toTimestamp(now)
	if paused && !core.disabled.noUnverifiedAfterPause {
		core.stats.Pauses++
		core.dropPacketsUntil = now + TickInterval
		core.unverifiedSincePause = !core.members.alone()
		core.markViewUnverified()
	}
}

func toTimestamp(now time.Duration) timestamp { return timestamp(now / timestampUnit) }

// markViewUnverified marks the view as unverified, unless there are no peers with which to verify
// it.
func (core *Core) markViewUnverified() {
	core.viewVerified = core.members.alone()
	core.viewVerifiedSince = core.now
}

func (core *Core) setContact(change ContactChange) {
	switch change {
	case ContactLost:
		core.markViewUnverified()
	case ContactRegained:
		if !core.viewVerified {
			core.markViewVerified()
		}
	}
}

// markViewVerified marks the view as verified again. The tails of chains may have changed in the
// meantime.
func (core *Core) markViewVerified() {
	core.viewVerified = true
	core.unverifiedSincePause = false
	core.viewVerifiedSince = core.now
	for index := range core.groups {
		core.groups[index].tailSince = core.timestamp + 1
	}
}

func (core *Core) tick(effects *Effects) {
	core.sweeper.run(core)
	core.handover.run(core, effects)
	core.hints.flush(core, effects)
	core.cleanReporter.run(core, effects)
}
