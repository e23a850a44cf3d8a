package member

import (
	"net/netip"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

func (entry *entry) suspect() bool { return entry.state == message.MemberSuspect }

// rank orders the states of one incarnation: a higher one overrides (SWIM, section 4.2).
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

// supersedes tells whether an update is news about an entry.
func supersedes(update *message.MemberUpdate, known *entry) bool {
	if update.Incarnation != known.incarnation {
		return update.Incarnation > known.incarnation
	}
	return rank(update.State) > rank(known.state)
}

// applyAll takes the updates that rode on a message and passes on what is news.
func (core *Core) applyAll(updates []message.MemberUpdate) {
	for index := range updates {
		if core.apply(&updates[index]) {
			core.spread(updates[index])
		}
	}
}

// apply takes one update and tells whether it is news to pass on.
func (core *Core) apply(update *message.MemberUpdate) bool {
	if update.Node == core.settings.Self.ID {
		core.applySelf(update)
		return false
	}
	known := core.entries[update.Node]
	if known == nil {
		return core.addFrom(update) != nil
	}
	if update.Incarnation == 0 {
		return core.applyUnknown(update, known)
	}
	if !supersedes(update, known) {
		return false
	}
	if known.incarnation == 0 && !known.live() && update.State == message.MemberSuspect {
		// Dead here already, and now doubted by those who knew its incarnation.
		core.change(known, message.MemberDead, update.Incarnation)
		core.spread(known.update())
		return false
	}
	// Learning the first incarnation of a listed machine changes nobody's view.
	news := known.incarnation != 0 || update.State != message.MemberAlive || !known.live()
	if machine, ok := machineOf(update); ok && machine != known.machine {
		core.move(known, machine)
	}
	core.change(known, update.State, update.Incarnation)
	return news
}

// applyUnknown takes an update by a node that does not know the incarnation.
// What it says against a node is a suspicion of whatever incarnation is known
// here, which that node can refute.
func (core *Core) applyUnknown(update *message.MemberUpdate, known *entry) bool {
	against := update.State == message.MemberSuspect || update.State == message.MemberDead
	knownAlready := known.suspect() && update.State == message.MemberSuspect
	if !against || !known.live() || knownAlready {
		return false
	}
	if known.incarnation == 0 {
		core.change(known, update.State, 0)
		return true
	}
	if !known.suspect() {
		core.change(known, message.MemberSuspect, known.incarnation)
		core.spread(known.update())
	}
	return false
}

// applySelf refutes what others wrongly say of this node. A death told late, of
// an incarnation of this run that has been refuted already, still counts as one.
func (core *Core) applySelf(update *message.MemberUpdate) {
	if update.State == message.MemberDead && update.Incarnation > core.buried && update.Incarnation >= core.settings.Incarnation {
		core.buried = update.Incarnation
		core.rejoined = true
	}
	own := message.MemberAlive
	if core.leaving {
		own = message.MemberLeaving
	}
	if update.Incarnation < core.incarnation ||
		(update.Incarnation == core.incarnation && rank(update.State) <= rank(own)) {
		return
	}
	machine, ok := machineOf(update)
	if ok && machine != core.settings.Self && update.State != message.MemberDead && update.Incarnation > core.incarnation {
		core.replaced = true
		core.stopped = true
		return
	}
	if core.ignoreRefutes {
		return
	}
	core.incarnation = update.Incarnation + 1
	core.changed = true
	core.spread(core.selfUpdate())
}

// heardFrom takes a message as a sign of life of its sender, whose present
// incarnation is zero when the message does not tell it.
func (core *Core) heardFrom(from lb.NodeID, incarnation uint64) {
	known := core.entries[from]
	if known == nil {
		index, listed := core.listed[from]
		if !listed || incarnation == 0 {
			return
		}
		known = core.add(core.machines[index], message.MemberAlive, incarnation)
		core.spread(known.update())
	}
	core.hear(known.zone, from)
	if incarnation <= known.incarnation || known.state == message.MemberLeaving {
		return
	}
	news := known.incarnation != 0 || known.state != message.MemberAlive
	core.change(known, message.MemberAlive, incarnation)
	if news {
		core.spread(known.update())
	}
}

// suspectTells is how often a node tells another that it suspects it, besides
// the news to all.
const suspectTells = 2

// suspect begins the suspicion of a node that did not answer.
func (core *Core) suspect(target *entry) {
	if !target.live() || target.suspect() {
		return
	}
	core.change(target, message.MemberSuspect, target.incarnation)
	target.tells = suspectTells
	core.spread(target.update())
}

// advanceSuspects declares dead whoever did not refute in time.
func (core *Core) advanceSuspects() {
	for index := 0; index < len(core.suspects); {
		suspect := core.suspects[index]
		if core.now < suspect.deadline {
			index++
			continue
		}
		core.change(suspect, message.MemberDead, suspect.incarnation) // removes it from suspects
		core.spread(suspect.update())
	}
}

// addFrom adds a node that only an update tells of; nil when the update says
// too little, or only that an unknown node is dead.
func (core *Core) addFrom(update *message.MemberUpdate) *entry {
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
	core.change(added, state, incarnation)
	return added
}

// move takes a node's new addresses or zone, as after a restart elsewhere.
func (core *Core) move(known *entry, machine Machine) {
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

// change puts an entry into a state and keeps all that depends on it.
func (core *Core) change(known *entry, state message.MemberState, incarnation uint64) {
	wasLive, wasLeaving := known.live(), known.leaving
	if wasLive {
		core.viewHash ^= viewHashOf(known.machine.ID, wasLeaving)
	}
	if known.suspect() {
		core.suspects = slices.DeleteFunc(core.suspects, func(entry *entry) bool { return entry == known })
	}
	wasSuspect := known.suspect()
	known.state, known.incarnation, known.tells = state, incarnation, 0
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
		known.buried = incarnation
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

// machineOf reads the addresses of an update; false when it has none.
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

// update describes an entry; addresses are left out where nobody needs them.
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
