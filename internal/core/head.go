package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// maxPinDelay is the maximum time by which a pin may arrive after the head saw the flow.
const maxPinDelay = 5 * time.Second

// handleRelayedToHead handles a packet that another node relayed to this one as the head. If this
// node is not the head in its own view, it passes the packet on once. If it decided instead, two
// chains without a common node could decide the same flow.
func (handler *packetHandler) handleRelayedToHead() {
	core, relay := handler.core, handler.packet.Relay
	if core.isHead(handler.group) {
		handler.handleAsHead(relay)
		return
	}
	if !handler.isOpening() && handler.forwardByRecord() {
		return
	}
	if relay.Rerouted {
		handler.drop(ReasonViewsDiffer)
		return
	}
	relay.Rerouted = true
	core.stats.Rerouted++
	handler.relay(handler.group.chain.head, relay)
}

// forwardByRecord forwards a later packet of a flow with a confirmed record, and reports whether it
// did.
func (handler *packetHandler) forwardByRecord() bool {
	entry := handler.record()
	if entry == nil || entry.refused() || !handler.core.isConfirmed(handler.group, entry) {
		return false
	}
	handler.forward(entry.backend)
	return true
}

// handleAsHead decides as the head of the bucket's chain.
func (handler *packetHandler) handleAsHead(relay lb.Relay) {
	if handler.isOpening() {
		handler.handleOpeningAsHead(relay)
		return
	}
	handler.handleLaterAsHead(relay)
}

// handleOpeningAsHead decides an opening.
func (handler *packetHandler) handleOpeningAsHead(relay lb.Relay) {
	core := handler.core
	entry := handler.record()
	if entry != nil && entry.openingID == handler.packet.OpeningID {
		entry.lastSeen = core.timestamp
		if handler.drainGraceExpired(entry) {
			handler.refuse(lb.MayHaveRun, ReasonDraining)
			return
		}
		handler.propose(relay, handler.proposalOf(entry))
		return
	}
	if entry != nil && !entry.refused() {
		if handler.isActive(entry.backend) {
			entry.openingID = handler.packet.OpeningID
			entry.lastSeen = core.timestamp
			handler.propose(relay, handler.proposalOf(entry))
			return
		}
		if core.isConfirmed(handler.group, entry) && handler.mayBePinned(entry) {
			handler.refuse(lb.MayHaveRun, ReasonTupleReuse)
			return
		}
	}
	if core.unverifiedSincePause && !core.disabled.noDropAfterPause {
		// Placements may be stale. A head with a verified view will receive the retransmission.
		handler.drop(ReasonPaused)
		return
	}
	chosen := handler.chooseBackend()
	handler.saveRecord(chosen, false)
	handler.propose(relay, chosen)
}

// drainGrace is how long after a back end began to drain an opening may still go there, if the
// opening was proposed to it before and no tail is known to have forwarded it. Together with
// PrepareLimit it stays below three seconds after the change.
const drainGrace = 500 * time.Millisecond

// drainGraceExpired reports whether the opening's back end has been draining for longer than
// drainGrace and may not have received any copy. The opening cannot go to another back end instead,
// because a tail that does not respond may have forwarded a copy.
func (handler *packetHandler) drainGraceExpired(entry *record) bool {
	core := handler.core
	if core.disabled.noLateOpeningRefused || entry.refused() || core.isConfirmed(handler.group, entry) {
		return false
	}
	return !handler.isActive(entry.backend) && core.now-handler.service.generationChangedAt > drainGrace
}

// chooseBackend decides an opening without a record: the current back end, or refusal.
func (handler *packetHandler) chooseBackend() proposal {
	backend := handler.service.table.Current(handler.index)
	if !handler.notFailed(backend) || !handler.core.admit(handler.service) {
		return proposal{refuse: true}
	}
	return proposal{backend: backend}
}

// mayBePinned reports whether some ingress may still forward packets of the 5-tuple to the record's
// back end.
func (handler *packetHandler) mayBePinned(entry *record) bool {
	hold := max(handler.core.settings.PinLifetime+maxPinDelay, handler.core.settings.OpeningHold)
	return handler.core.age(entry) <= hold
}

func (handler *packetHandler) proposalOf(entry *record) proposal {
	return proposal{
		backend:   entry.backend,
		refuse:    entry.refused(),
		confirmed: handler.core.isConfirmed(handler.group, entry),
	}
}

// handleLaterAsHead decides a packet after the opening, or a UDP packet.
func (handler *packetHandler) handleLaterAsHead(relay lb.Relay) {
	core := handler.core
	entry := handler.record()
	switch {
	case entry == nil:
		chosen := proposal{backend: handler.backendWithoutRecord(relay)}
		handler.saveRecord(chosen, false)
		handler.propose(relay, chosen)
	case entry.refused() && core.isConfirmed(handler.group, entry):
		handler.drop(ReasonStray)
	default:
		entry.lastSeen = core.timestamp
		if !entry.refused() && handler.recentlyConfirmedByTail(entry) {
			handler.forward(entry.backend)
			handler.pinIngress(relay, entry)
			return
		}
		handler.propose(relay, handler.proposalOf(entry))
	}
}

// backendWithoutRecord returns the back end of a flow without a record. TCP flows without a record
// were opened before the bucket started to move. UDP packets do not show the age of their flow, but
// the ingress may know the flow.
func (handler *packetHandler) backendWithoutRecord(relay lb.Relay) lb.BackendID {
	if handler.packet.Kind == PacketUnmarked && !relay.Established {
		return handler.service.table.Current(handler.index)
	}
	return handler.service.table.Base(handler.index)
}

// recentlyConfirmedByTail reports whether the present tail has the record and has seen the flow
// recently.
func (handler *packetHandler) recentlyConfirmedByTail(entry *record) bool {
	core := handler.core
	if !core.isConfirmed(handler.group, entry) {
		return false
	}
	if handler.group.chain.tail == nil {
		return true
	}
	if entry.learnedAt < handler.group.tailSince {
		return false
	}
	return core.timestamp-entry.learnedAt < toTimestamp(core.settings.PinLifetime)
}

// pinIngress sends the flow's back end to the ingress node as a pin, within the byte budget.
func (handler *packetHandler) pinIngress(relay lb.Relay, entry *record) {
	core := handler.core
	if relay.Ingress == core.self.Hash || handler.decision.Action != ActionForward {
		return
	}
	if ingress := core.byHash[relay.Ingress]; ingress != nil {
		core.hints.add(core, hint{to: ingress, service: handler.service, flow: entry.flow, backend: entry.backend})
	}
}

// propose relays the packet with the proposal to the tail. Without a tail, the head's decision is
// final.
func (handler *packetHandler) propose(relay lb.Relay, chosen proposal) {
	core := handler.core
	if handler.group.chain.tail == nil {
		handler.applyFinalAnswer(chosen, false)
		return
	}
	relay.Hop = lb.HopTail
	relay.Version = handler.service.table.Version()
	relay.Proposal = chosen.backend
	relay.Refuse = chosen.refuse
	relay.FromRecord = chosen.confirmed
	relay.HeadComplete = core.vouches(handler.service, handler.group)
	relay.Rerouted = false
	handler.relay(handler.group.chain.tail, relay)
}
