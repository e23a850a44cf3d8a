package member

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// viewPatience is how long views may differ before a peer's is asked for.
const viewPatience = 5 * time.Second

// Where many nodes start at once, each is given the membership as it is then,
// and rumours alone would take five seconds and more to tell of some hundreds.
const (
	// youth is how long after its start a node asks sooner.
	youth = 8 * time.Second
	// youngPatience replaces viewPatience, and youngSync SyncInterval.
	youngPatience = 500 * time.Millisecond
	youngSync     = time.Second
)

// stopFanout is the number of nodes told that this one ends.
const stopFanout = 6

// setMachines takes the platform's list. It lags, so it neither adds nor
// removes members later on; but a node that knows nobody presumes all listed
// machines alive until a peer or the probes tell better.
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

// attemptMachines reaches out to listed machines: to a random one for its
// whole membership until this node has joined, later to those that are not
// members, in turn.
func (core *Core) attemptMachines(effects *Effects) {
	count := len(core.machines)
	if count == 0 {
		return
	}
	if !core.joined {
		core.attemptOne(&core.machines[core.random.IntN(count)], true, effects)
		return
	}
	attempts := maxAttempts
	for range count {
		core.attempt = (core.attempt + 1) % count
		candidate := &core.machines[core.attempt]
		if known := core.entries[candidate.ID]; known == nil || !known.live() {
			core.attemptOne(candidate, false, effects)
			attempts--
		}
		if attempts == 0 {
			return
		}
	}
}

// maxAttempts is the number of listed machines tried at once: with one, a fleet
// that starts together takes a second for each node that a node has missed.
const maxAttempts = 3

func (core *Core) attemptOne(machine *Machine, full bool, effects *Effects) {
	core.sequence++
	updates := append([]message.MemberUpdate{core.selfUpdate()}, core.updatesFor(machine.ID)...)
	core.send(effects, machine, message.Ping{
		Sequence:    core.sequence,
		Incarnation: core.incarnation,
		Updates:     updates,
		Digest:      core.digest,
		View:        core.viewHash,
		Full:        full,
	})
}

// allUpdates describes all entries and self, sorted by name.
func (core *Core) allUpdates() []message.MemberUpdate {
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

// merge takes a peer's whole membership, without passing it on: others have it
// or ask for it as well. On joining, machines that this node
// only presumed alive and the peer does not know are dropped.
func (core *Core) merge(updates []message.MemberUpdate) {
	for index := range updates {
		core.apply(&updates[index])
	}
	if core.joined {
		return
	}
	core.joined = true
	mentioned := make(map[lb.NodeID]bool, len(updates))
	for index := range updates {
		mentioned[updates[index].Node] = true
	}
	for index := range core.machines {
		known := core.entries[core.machines[index].ID]
		if known != nil && known.incarnation == 0 && !mentioned[known.machine.ID] {
			core.forget(known)
		}
	}
}

// compareView asks a peer for its membership when its view has differed for
// long. That is kept by peer: a few nodes that lack the same members agree with
// each other, and differ from all others no less.
func (core *Core) compareView(event *PeerEvent, view uint64, effects *Effects) {
	if view == core.viewHash || view == 0 {
		delete(core.differs, event.From)
		return
	}
	since, known := core.differs[event.From]
	if !known {
		since = core.now
		core.differs[event.From] = since
	}
	patience, interval := viewPatience, core.settings.SyncInterval
	if core.now-core.startedAt < youth {
		patience, interval = youngPatience, youngSync
	}
	if core.now-since < patience || core.now < core.nextSync {
		return
	}
	if sender, ok := core.sender(event); ok {
		core.nextSync = core.now + interval
		delete(core.differs, event.From)
		core.attemptOne(&sender, true, effects)
	}
}

// forget drops an entry altogether.
func (core *Core) forget(known *entry) {
	if known.live() {
		core.change(known, message.MemberDead, known.incarnation)
	}
	delete(core.entries, known.machine.ID)
	delete(core.differs, known.machine.ID)
}

// reap forgets those long dead, or long unreachable with their zone, that the
// platform no longer lists.
func (core *Core) reap() {
	for id, known := range core.entries {
		if _, listed := core.listed[id]; listed {
			continue
		}
		long := !known.live() && core.now >= known.deadline
		lost := known.zone.unreachable && core.now-known.zone.since >= core.settings.DeadRetention
		if long || lost {
			core.forget(known)
		}
	}
}

// leave announces the planned stop.
func (core *Core) leave(effects *Effects) {
	if core.leaving {
		return
	}
	core.viewHash ^= viewHashOf(core.settings.Self.ID, false) ^ viewHashOf(core.settings.Self.ID, true)
	core.leaving = true
	core.changed = true
	core.spread(core.selfUpdate())
	core.spreadRumours(effects)
}

// stop tells a few nodes that this one is gone, and falls silent.
func (core *Core) stop(effects *Effects) {
	if core.stopped {
		return
	}
	core.stopped = true
	gone := message.MemberUpdate{Node: core.settings.Self.ID, State: message.MemberDead, Incarnation: core.incarnation}
	for range stopFanout {
		if target := core.rumourTarget(); target != nil {
			core.send(effects, &target.machine, message.Ping{Incarnation: core.incarnation, Updates: []message.MemberUpdate{gone}})
		}
	}
}

// JoinRequest announces this node to a seed and asks for the whole membership,
// unless the seed takes the same nodes as alive. Its sequence is zero, since no
// probe waits for an answer.
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
		Incarnation: self.Incarnation,
		Updates:     []message.MemberUpdate{self},
		View:        core.viewHash,
		Full:        true,
	}
}
