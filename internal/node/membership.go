package node

import (
	"slices"

	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// memberStep steps the membership with an event and executes the effects. If the members have
// changed, it passes the members on to the other state machines.
func (engine *engine) memberStep(event *member.Event) {
	engine.member.Step(engine.now(), event, &engine.memberEffects)
	for _, outgoing := range engine.memberEffects.Messages {
		engine.enqueue(outgoing.Address, outgoing.Message)
	}
	for _, batch := range engine.memberEffects.Batches {
		for _, address := range batch.To {
			engine.enqueue(address, batch.Message)
		}
	}
	if engine.memberEffects.Rejoined {
		engine.rejoined = true
		engine.markUnverified()
	}
	if engine.memberEffects.Changed {
		engine.applyMembers(engine.member.Members(nil))
	}
}

// applyMembers logs changes of the members, and passes the new members to the directory and the
// other state machines.
func (engine *engine) applyMembers(members []member.Member) {
	engine.logMembers(members)
	engine.directory.set(members)
	if engine.settings.AllowFaultInjection {
		engine.partition.addMachines(machinesOf(members)...)
	}
	list := coreMembers(members)
	engine.coreStep(&core.Event{Members: list})
	if engine.rejoined {
		engine.rejoined = false
		engine.markUnverified()
	}
	engine.gossipStep(&gossip.Event{Members: gossipMembers(members)})
	engine.controllerStep(&controller.Event{Members: list})
	engine.setWatcher(isWatcher(engine.settings.Node, members))
}

// machinesOf returns the machines of the members.
func machinesOf(members []member.Member) []member.Machine {
	list := make([]member.Machine, len(members))
	for index, entry := range members {
		list[index] = entry.Machine
	}
	return list
}

// coreMembers returns the members in the form of the core.
func coreMembers(members []member.Member) []core.Member {
	list := make([]core.Member, len(members))
	for index, entry := range members {
		list[index] = core.Member{ID: entry.ID, Zone: entry.Zone, Leaving: entry.Leaving}
	}
	return list
}

// stayingCandidates returns the members that are not leaving, as candidates for watching the store.
func stayingCandidates(members []member.Member) []rendezvous.Candidate {
	var staying []rendezvous.Candidate
	for _, entry := range members {
		if !entry.Leaving {
			staying = append(staying, rendezvous.Candidate{ID: entry.ID, Zone: entry.Zone, Hash: entry.ID.Hash()})
		}
	}
	return staying
}

// isWatcher reports whether self is one of the nodes that watch the store.
func isWatcher(self lb.NodeID, members []member.Member) bool {
	return slices.ContainsFunc(rendezvous.Watchers(stayingCandidates(members)), func(watcher rendezvous.Candidate) bool {
		return watcher.ID == self
	})
}

// setWatcher sets whether this node watches the store, and signals a change.
func (engine *engine) setWatcher(watcher bool) {
	if engine.watcher == watcher {
		return
	}
	engine.watcher = watcher
	select {
	case engine.watcherChanged <- struct{}{}:
	default: // a signal is pending already
	}
}

// isWatcher reports whether this node must watch the store.
func (engine *engine) isWatcher() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.watcher
}

// applyMachines steps the membership with the platform's list of machines.
func (engine *engine) applyMachines(list []member.Machine) {
	engine.runInput(func() { engine.memberStep(&member.Event{Machines: list}) })
}

// logMembers logs the members that were added or removed or have changed state.
func (engine *engine) logMembers(members []member.Member) {
	present := make(map[lb.NodeID]bool, len(members))
	for _, entry := range members {
		present[entry.ID] = true
		previous, found := engine.directory.member(entry.ID)
		if !found || previous.Leaving != entry.Leaving {
			engine.logMember(&entry, stateOf(&entry))
		}
	}
	for _, entry := range engine.directory.list() {
		if !present[entry.ID] {
			engine.logMember(&entry, "gone")
		}
	}
}

// stateOf returns the name of a member's state in logs and metrics.
func stateOf(entry *member.Member) string {
	if entry.Leaving {
		return "leaving"
	}
	return "alive"
}

func (engine *engine) logMember(entry *member.Member, state string) {
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventMemberChanged)).
		Str(logging.FieldPeer, string(entry.ID)).
		Str(logging.FieldPeerZone, string(entry.Zone)).
		Str(logging.FieldState, state).
		Send()
}
