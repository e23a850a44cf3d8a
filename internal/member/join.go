package member

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// viewDifferenceTimeout is how long the view of a peer may differ before this node requests the
// peer's member list.
const viewDifferenceTimeout = 5 * time.Second

// When many nodes start at once, each of them receives the member list as it is at that time, and
// rumours alone would take five seconds and more to disseminate some hundreds of joins. Therefore a
// node requests lists sooner after its start.
const (
	// warmUpPeriod is the time after its start during which a node requests lists sooner.
	warmUpPeriod = 8 * time.Second
	// warmUpDifferenceTimeout replaces viewDifferenceTimeout during the warm-up, and
	// warmUpSyncInterval replaces SyncInterval.
	warmUpDifferenceTimeout = 500 * time.Millisecond
	warmUpSyncInterval      = time.Second
)

// stopFanout is the number of nodes that receive the announcement that this node stops.
const stopFanout = 6

// setMachines sets the platform's list of machines. The list lags behind, so it does not add or
// remove members later. However, a node that knows no other nodes presumes that all listed machines
// are alive, until a peer or the probes provide their actual state.
func (core *Core) setMachines(machines []Machine) {
	core.machines = slices.DeleteFunc(slices.Clone(machines), func(machine Machine) bool {
		return machine.ID == core.settings.Self.ID || machine.ID == "" || machine.Zone == "" ||
			!machine.Control.IsValid() || !machine.Data.IsValid()
	})
	slices.SortFunc(core.machines, func(left, right Machine) int { return cmp.Compare(left.ID, right.ID) })
	clear(core.listed)
	for index := range core.machines {
		core.listed[core.machines[index].ID] = index
	}
	if core.joined || len(core.entries) > 0 {
		return
	}
	for index := range core.machines {
		core.add(core.machines[index], message.MemberAlive, 0)
	}
}

// pingMachines contacts listed machines. Until this node has joined, it requests the full member
// list from a random machine. Later it pings the machines that are not members, in turn.
func (core *Core) pingMachines(effects *Effects) {
	count := len(core.machines)
	if count == 0 {
		return
	}
	if !core.joined {
		core.pingMachine(&core.machines[core.random.IntN(count)], true, effects)
		return
	}
	pings := maxMachinePings
	for range count {
		core.machineIndex = (core.machineIndex + 1) % count
		candidate := &core.machines[core.machineIndex]
		if known := core.entries[candidate.ID]; known == nil || !known.live() {
			core.pingMachine(candidate, false, effects)
			pings--
		}
		if pings == 0 {
			return
		}
	}
}

// maxMachinePings is the maximum number of listed machines contacted at once. With one, a fleet
// that starts together takes a second for each node that a node has missed.
const maxMachinePings = 3

func (core *Core) pingMachine(machine *Machine, full bool, effects *Effects) {
	core.sequence++
	updates := append([]message.MemberUpdate{core.selfUpdate()}, core.updatesFor(machine.ID)...)
	core.send(effects, machine, message.Ping{
		Sequence:       core.sequence,
		Incarnation:    core.incarnation,
		Updates:        updates,
		Digest:         core.digest,
		View:           core.viewHash,
		RequestMembers: full,
	})
}

// fullList returns updates about all entries and this node, sorted by name.
func (core *Core) fullList() []message.MemberUpdate {
	updates := make([]message.MemberUpdate, 0, len(core.entries)+1)
	updates = append(updates, core.selfUpdate())
	for _, entry := range core.entries {
		updates = append(updates, entry.update())
	}
	slices.SortFunc(updates, compareUpdates)
	if len(updates) > message.MaxMembers {
		updates = updates[:message.MaxMembers]
	}
	return updates
}

func compareUpdates(left, right message.MemberUpdate) int { return cmp.Compare(left.Node, right.Node) }

// merge applies a peer's full member list. It does not disseminate the updates, because other nodes
// have them or request the list themselves. When this node joins, it removes the machines that it
// only presumed alive and that the peer does not know.
func (core *Core) merge(updates []message.MemberUpdate) {
	for index := range updates {
		core.apply(&updates[index])
	}
	if core.joined {
		return
	}
	core.joined = true
	included := make(map[lb.NodeID]bool, len(updates))
	for index := range updates {
		included[updates[index].Node] = true
	}
	for index := range core.machines {
		known := core.entries[core.machines[index].ID]
		if known != nil && known.incarnation == 0 && !included[known.machine.ID] {
			core.removeEntry(known)
		}
	}
}

// compareView requests a peer's member list if its view has differed for some time. The time is
// kept per peer because a few nodes that lack the same members agree with each other, but still
// differ from all others.
func (core *Core) compareView(event *PeerEvent, view uint64, effects *Effects) {
	if view == core.viewHash || view == 0 {
		delete(core.differsSince, event.From)
		return
	}
	since, known := core.differsSince[event.From]
	if !known {
		since = core.now
		core.differsSince[event.From] = since
	}
	timeout, interval := viewDifferenceTimeout, core.settings.SyncInterval
	if core.now-core.startedAt < warmUpPeriod {
		timeout, interval = warmUpDifferenceTimeout, warmUpSyncInterval
	}
	if core.now-since < timeout || core.now < core.nextSync {
		return
	}
	if sender, ok := core.sender(event); ok {
		core.nextSync = core.now + interval
		delete(core.differsSince, event.From)
		core.pingMachine(&sender, true, effects)
	}
}

// removeEntry deletes an entry.
func (core *Core) removeEntry(known *entry) {
	if known.live() {
		core.setState(known, message.MemberDead, known.incarnation)
	}
	delete(core.entries, known.machine.ID)
	delete(core.differsSince, known.machine.ID)
}

// reap deletes the entries that the platform no longer lists, if they have been dead, or
// unreachable with their zone, for DeadRetention.
func (core *Core) reap() {
	for id, known := range core.entries {
		if _, listed := core.listed[id]; listed {
			continue
		}
		expired := !known.live() && core.now >= known.deadline
		zoneExpired := known.zone.unreachable && core.now-known.zone.unreachableSince >= core.settings.DeadRetention
		if expired || zoneExpired {
			core.removeEntry(known)
		}
	}
}

// leave announces the planned stop of this node.
func (core *Core) leave(effects *Effects) {
	if core.leaving {
		return
	}
	core.viewHash ^= viewHashOf(core.settings.Self.ID, false) ^ viewHashOf(core.settings.Self.ID, true)
	core.leaving = true
	core.changed = true
	core.queueRumour(core.selfUpdate())
	core.sendRumours(effects)
}

// stop announces to a few nodes that this node stops. Afterwards the node sends no more messages.
func (core *Core) stop(effects *Effects) {
	if core.stopped {
		return
	}
	core.stopped = true
	update := message.MemberUpdate{Node: core.settings.Self.ID, State: message.MemberDead, Incarnation: core.incarnation}
	for range stopFanout {
		if target := core.rumourTarget(); target != nil {
			core.send(effects, &target.machine, message.Ping{Incarnation: core.incarnation, Updates: []message.MemberUpdate{update}})
		}
	}
}

// JoinRequest returns a ping that announces this node to a seed and requests the full member list,
// unless the seed has the same view. Its sequence number is zero, since no probe waits for an
// answer.
func (core *Core) JoinRequest() message.Ping {
	self := message.MemberUpdate{
		Node:        core.settings.Self.ID,
		Zone:        core.settings.Self.Zone,
		Control:     core.settings.Self.Control.String(),
		Data:        core.settings.Self.Data.String(),
		State:       message.MemberAlive,
		Incarnation: core.incarnation,
	}
	return message.Ping{
		Incarnation:    self.Incarnation,
		Updates:        []message.MemberUpdate{self},
		View:           core.viewHash,
		RequestMembers: true,
	}
}
