package member

import (
	"net/netip"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

func (entry *entry) suspect() bool { return entry.state == message.MemberSuspect }

// rank orders the states of one incarnation. A higher state overrides a lower one (SWIM, section
// 4.2).
func rank(state message.MemberState) int {
	switch state {
	case message.MemberAlive:
		return 0
	case message.MemberLeaving:
		return 1
	case message.MemberSuspect:
		return 2
	}
	return 3
}

// supersedes reports whether an update is newer than the state of an entry.
func supersedes(update *message.MemberUpdate, known *entry) bool {
	if update.Incarnation != known.incarnation {
		return update.Incarnation > known.incarnation
	}
	return rank(update.State) > rank(known.state)
}

// applyAll applies the updates piggybacked on a message and queues the new ones as rumours.
func (core *Core) applyAll(updates []message.MemberUpdate) {
	for index := range updates {
		if core.apply(&updates[index]) {
			core.queueRumour(updates[index])
		}
	}
}

// apply applies one update and reports whether it is new and must be disseminated.
func (core *Core) apply(update *message.MemberUpdate) bool {
	if update.Node == core.settings.Self.ID {
		core.applySelf(update)
		return false
	}
	known := core.entries[update.Node]
	if known == nil {
		return core.addFromUpdate(update) != nil
	}
	if update.Incarnation == 0 {
		return core.applyWithoutIncarnation(update, known)
	}
	if !supersedes(update, known) {
		return false
	}
	if known.incarnation == 0 && !known.live() && update.State == message.MemberSuspect {
		// This node considers it dead already, and nodes that knew its incarnation now suspect it.
		core.setState(known, message.MemberDead, update.Incarnation)
		core.queueRumour(known.update())
		return false
	}
	// The first known incarnation of a listed machine changes no view.
	isNew := known.incarnation != 0 || update.State != message.MemberAlive || !known.live()
	if machine, ok := machineOf(update); ok && machine != known.machine {
		core.updateMachine(known, machine)
	}
	core.setState(known, update.State, update.Incarnation)
	return isNew
}

// applyWithoutIncarnation applies an update by a node that does not know the incarnation. A suspect
// or dead update counts as a suspicion of the incarnation known to this node, which the node
// concerned can refute.
func (core *Core) applyWithoutIncarnation(update *message.MemberUpdate, known *entry) bool {
	raisesSuspicion := update.State == message.MemberSuspect || update.State == message.MemberDead
	knownAlready := known.suspect() && update.State == message.MemberSuspect
	if !raisesSuspicion || !known.live() || knownAlready {
		return false
	}
	if known.incarnation == 0 {
		core.setState(known, update.State, 0)
		return true
	}
	if !known.suspect() {
		core.setState(known, message.MemberSuspect, known.incarnation)
		core.queueRumour(known.update())
	}
	return false
}

// applySelf refutes false updates about this node. A dead update that arrives late, about an
// incarnation of this instance that has already been refuted, still counts as a declared death.
func (core *Core) applySelf(update *message.MemberUpdate) {
	if update.State == message.MemberDead && update.Incarnation > core.deadIncarnation && update.Incarnation >= core.settings.Incarnation {
		core.deadIncarnation = update.Incarnation
		core.rejoined = true
	}
	ownState := message.MemberAlive
	if core.leaving {
		ownState = message.MemberLeaving
	}
	if update.Incarnation < core.incarnation ||
		(update.Incarnation == core.incarnation && rank(update.State) <= rank(ownState)) {
		return
	}
	machine, ok := machineOf(update)
	if ok && machine != core.settings.Self && update.State != message.MemberDead && update.Incarnation > core.incarnation {
		core.replaced = true
		core.stopped = true
		return
	}
	if core.noRefutation {
		return
	}
	core.incarnation = update.Incarnation + 1
	core.changed = true
	core.queueRumour(core.selfUpdate())
}

// recordAlive counts a message as a sign that its sender is alive. incarnation is the sender's
// current one, or zero if the message does not contain it.
func (core *Core) recordAlive(from lb.NodeID, incarnation uint64) {
	known := core.entries[from]
	if known == nil {
		index, listed := core.listed[from]
		if !listed || incarnation == 0 {
			return
		}
		known = core.add(core.machines[index], message.MemberAlive, incarnation)
		core.queueRumour(known.update())
	}
	core.recordZoneContact(known.zone, from)
	if incarnation <= known.incarnation || known.state == message.MemberLeaving {
		return
	}
	isNew := known.incarnation != 0 || known.state != message.MemberAlive
	core.setState(known, message.MemberAlive, incarnation)
	if isNew {
		core.queueRumour(known.update())
	}
}

// maxSuspicionNotices is the number of notices that a node sends directly to a node that it
// suspects, in addition to the rumours.
const maxSuspicionNotices = 2

// suspect starts the suspicion of a node that did not answer.
func (core *Core) suspect(target *entry) {
	if !target.live() || target.suspect() {
		return
	}
	core.setState(target, message.MemberSuspect, target.incarnation)
	target.suspicionNotices = maxSuspicionNotices
	core.queueRumour(target.update())
}

// advanceSuspects declares suspects dead that did not refute in time.
func (core *Core) advanceSuspects() {
	for index := 0; index < len(core.suspects); {
		suspect := core.suspects[index]
		if core.now < suspect.deadline {
			index++
			continue
		}
		core.setState(suspect, message.MemberDead, suspect.incarnation) // removes it from suspects
		core.queueRumour(suspect.update())
	}
}

// addFromUpdate adds a node that is known only from an update. It returns nil if the update lacks
// the addresses, or only reports that an unknown node is dead.
func (core *Core) addFromUpdate(update *message.MemberUpdate) *entry {
	machine, ok := machineOf(update)
	if !ok || update.State == message.MemberDead {
		return nil
	}
	return core.add(machine, update.State, update.Incarnation)
}

func (core *Core) add(machine Machine, state message.MemberState, incarnation uint64) *entry {
	added := &entry{
		machine: machine,
		hash:    machine.ID.Hash(),
		zone:    core.zoneOf(machine.Zone),
		state:   message.MemberDead,
	}
	core.entries[machine.ID] = added
	core.setState(added, state, incarnation)
	return added
}

// updateMachine sets the new addresses or the new zone of a node, for example after a restart on
// another machine.
func (core *Core) updateMachine(known *entry, machine Machine) {
	live := known.live()
	if live {
		known.zone.remove(known)
	}
	known.machine = machine
	known.zone = core.zoneOf(machine.Zone)
	if live {
		known.zone.insert(known)
		core.changed = true
	}
}

// setState sets the state of an entry and updates everything that depends on it.
func (core *Core) setState(known *entry, state message.MemberState, incarnation uint64) {
	wasLive, wasLeaving := known.live(), known.leaving
	if wasLive {
		core.viewHash ^= viewHashOf(known.machine.ID, wasLeaving)
	}
	if known.suspect() {
		core.suspects = slices.DeleteFunc(core.suspects, func(entry *entry) bool { return entry == known })
	}
	wasSuspect := known.suspect()
	known.state, known.incarnation, known.suspicionNotices = state, incarnation, 0
	switch state {
	case message.MemberAlive:
		known.leaving = false
	case message.MemberLeaving:
		known.leaving = true
	case message.MemberSuspect:
		if !wasSuspect {
			known.deadline = core.now + core.settings.SuspicionTimeout
		}
		core.suspects = append(core.suspects, known)
	case message.MemberDead:
		known.deadline = core.now + core.settings.DeadRetention
		known.deadIncarnation = incarnation
	}
	if known.live() {
		core.viewHash ^= viewHashOf(known.machine.ID, known.leaving)
		known.zone.insert(known)
	} else {
		known.zone.remove(known)
	}
	if wasLive != known.live() || wasLeaving != known.leaving {
		core.changed = true
	}
}

// machineOf returns the machine that an update describes, and false if the update has no valid
// addresses.
func machineOf(update *message.MemberUpdate) (Machine, bool) {
	control, controlError := netip.ParseAddrPort(update.Control)
	data, dataError := netip.ParseAddrPort(update.Data)
	if controlError != nil || dataError != nil || update.Zone == "" {
		return Machine{}, false
	}
	return Machine{ID: update.Node, Zone: update.Zone, Control: control, Data: data}, true
}

func updateOf(machine *Machine, state message.MemberState, incarnation uint64) message.MemberUpdate {
	return message.MemberUpdate{
		Node:        machine.ID,
		Zone:        machine.Zone,
		Control:     machine.Control.String(),
		Data:        machine.Data.String(),
		State:       state,
		Incarnation: incarnation,
	}
}

// update returns an update about an entry. It omits the addresses of suspect and dead nodes,
// because no node needs them.
func (entry *entry) update() message.MemberUpdate {
	if entry.state == message.MemberSuspect || entry.state == message.MemberDead {
		return message.MemberUpdate{Node: entry.machine.ID, State: entry.state, Incarnation: entry.incarnation}
	}
	return updateOf(&entry.machine, entry.state, entry.incarnation)
}

func (core *Core) selfUpdate() message.MemberUpdate {
	state := message.MemberAlive
	if core.leaving {
		state = message.MemberLeaving
	}
	return updateOf(&core.settings.Self, state, core.incarnation)
}
