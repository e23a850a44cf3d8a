package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// pinDelay bounds how late a pin may arrive after the head saw the flow.
const pinDelay = 5 * time.Second

// relayedToHead handles a packet that another node relayed to this one as the
// head. A node that is not the head in its own view passes it on once: were it
// to decide, two chains without a common node could.
func (current *turn) relayedToHead() {
	core, relay := current.core, current.packet.Relay
	if core.heads(current.group) {
		current.head(relay)
		return
	}
	if !current.opening() && current.forwardByRecord() {
		return
	}
	if relay.Rerouted {
		current.drop(ReasonViewsDiffer)
		return
	}
	relay.Rerouted = true
	core.stats.Rerouted++
	current.relay(current.group.chain.head, relay)
}

// forwardByRecord forwards a later packet of a flow whose back end is certain.
func (current *turn) forwardByRecord() bool {
	entry := current.record()
	if entry == nil || entry.refused() || !current.core.confirmed(current.group, entry) {
		return false
	}
	current.forward(entry.backend)
	return true
}

// head decides as head of the bucket's chain.
func (current *turn) head(relay lb.Relay) {
	if current.opening() {
		current.headOpening(relay)
		return
	}
	current.headLater(relay)
}

// headOpening handles an opening.
func (current *turn) headOpening(relay lb.Relay) {
	core := current.core
	entry := current.record()
	if entry != nil && entry.openingID == current.packet.OpeningID {
		entry.lastSeen = core.stamp
		if current.tooLate(entry) {
			current.refuse(lb.MayHaveRun, ReasonDraining)
			return
		}
		current.propose(relay, current.proposalOf(entry))
		return
	}
	if entry != nil && !entry.refused() {
		if current.active(entry.backend) {
			entry.openingID = current.packet.OpeningID
			entry.lastSeen = core.stamp
			current.propose(relay, current.proposalOf(entry))
			return
		}
		if core.confirmed(current.group, entry) && current.maybePinned(entry) {
			current.refuse(lb.MayHaveRun, ReasonTupleReuse)
			return
		}
	}
	if core.resumed && !core.off.noDropAfterPause {
		current.drop(ReasonPaused) // the placements may be old; a sure head gets the retransmission
		return
	}
	chosen := current.choose()
	current.keep(chosen, false)
	current.propose(relay, chosen)
}

// drainGrace is how long after a back end began to drain an opening that was
// proposed to it before, and that no tail is known to have forwarded, may still
// go there. With PrepareLimit it stays below three seconds after the change.
const drainGrace = 500 * time.Millisecond

// tooLate tells whether the opening's back end has been draining for a while
// and may not have got any copy. Another back end is out of the question: a
// tail that does not answer may have forwarded one.
func (current *turn) tooLate(entry *record) bool {
	core := current.core
	if core.off.noLateOpeningRefused || entry.refused() || core.confirmed(current.group, entry) {
		return false
	}
	return !current.active(entry.backend) && core.now-current.service.currentSince > drainGrace
}

// choose decides an opening afresh: the current back end, or refusal.
func (current *turn) choose() proposal {
	backend := current.service.table.Current(current.index)
	if !current.takesNewFlows(backend) || !current.core.admit(current.service) {
		return proposal{refuse: true}
	}
	return proposal{backend: backend}
}

// maybePinned tells whether some ingress may still forward packets of the
// 5-tuple to the record's back end.
func (current *turn) maybePinned(entry *record) bool {
	hold := max(current.core.settings.PinLifetime+pinDelay, current.core.settings.OpeningHold)
	return current.core.age(entry) <= hold
}

func (current *turn) proposalOf(entry *record) proposal {
	return proposal{
		backend: entry.backend,
		refuse:  entry.refused(),
		known:   current.core.confirmed(current.group, entry),
	}
}

// headLater handles a packet after the opening, or a UDP packet.
func (current *turn) headLater(relay lb.Relay) {
	core := current.core
	entry := current.record()
	switch {
	case entry == nil:
		chosen := proposal{backend: current.unrecorded(relay)}
		current.keep(chosen, false)
		current.propose(relay, chosen)
	case entry.refused() && core.confirmed(current.group, entry):
		current.drop(ReasonStray)
	default:
		entry.lastSeen = core.stamp
		if !entry.refused() && current.seenByTail(entry) {
			current.forward(entry.backend)
			current.pinIngress(relay, entry)
			return
		}
		current.propose(relay, current.proposalOf(entry))
	}
}

// unrecorded gives the back end of a flow without a record. TCP flows without
// one are older than all motion. UDP packets do not tell, but the ingress may.
func (current *turn) unrecorded(relay lb.Relay) lb.BackendID {
	if current.packet.Kind == PacketUnmarked && !relay.Established {
		return current.service.table.Current(current.index)
	}
	return current.service.table.Base(current.index)
}

// seenByTail tells whether the present tail has the record and saw the flow lately.
func (current *turn) seenByTail(entry *record) bool {
	core := current.core
	if !core.confirmed(current.group, entry) {
		return false
	}
	if current.group.chain.tail == nil {
		return true
	}
	if entry.learnedAt < current.group.tailSince {
		return false
	}
	return core.stamp-entry.learnedAt < toStamp(core.settings.PinLifetime)
}

// pinIngress tells the ingress node the flow's back end, within the byte budget.
func (current *turn) pinIngress(relay lb.Relay, entry *record) {
	core := current.core
	if relay.Ingress == core.self.Hash || current.decision.Action != ActionForward {
		return
	}
	if ingress := core.byHash[relay.Ingress]; ingress != nil {
		core.hints.add(core, hint{to: ingress, service: current.service, flow: entry.flow, backend: entry.backend})
	}
}

// propose relays the packet with the proposal to the tail, or decides alone if
// there is none.
func (current *turn) propose(relay lb.Relay, chosen proposal) {
	core := current.core
	if current.group.chain.tail == nil {
		current.conclude(chosen, false)
		return
	}
	relay.Hop = lb.HopTail
	relay.Version = current.service.table.Version()
	relay.Proposal = chosen.backend
	relay.Refuse = chosen.refuse
	relay.Known = chosen.known
	relay.Vouched = core.vouches(current.service, current.group)
	relay.Rerouted = false
	current.relay(current.group.chain.tail, relay)
}
