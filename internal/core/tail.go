package core

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// handleAsTail handles a packet that the head relayed with its proposal. The tail's record takes
// precedence over the proposal, unless the record is unconfirmed and the proposal is confirmed.
func (handler *packetHandler) handleAsTail() {
	relay := &handler.packet.Relay
	proposed := proposal{backend: relay.Proposal, refuse: relay.Refuse, confirmed: relay.FromRecord}
	if handler.isOpening() {
		handler.handleOpeningAsTail(proposed)
		return
	}
	handler.handleLaterAsTail(proposed)
}

// handleOpeningAsTail decides an opening.
func (handler *packetHandler) handleOpeningAsTail(proposed proposal) {
	entry := handler.record()
	switch {
	case entry == nil || handler.core.disabled.noTailRecordWins:
	case entry.openingID == handler.packet.OpeningID:
		proposed = handler.moreCertain(entry, proposed)
	case entry.refused() || entry.backend == proposed.backend:
	case handler.isActive(entry.backend):
		proposed = proposal{backend: entry.backend}
	case handler.mayBePinned(entry):
		handler.refuse(lb.MayHaveRun, ReasonTupleReuse)
		return
	}
	handler.applyTailAnswer(proposed)
}

// handleLaterAsTail decides a packet after the opening, or a UDP packet.
func (handler *packetHandler) handleLaterAsTail(proposed proposal) {
	entry := handler.record()
	if entry != nil && !handler.core.disabled.noTailRecordWins {
		proposed = handler.moreCertain(entry, proposed)
	}
	if proposed.refuse {
		handler.drop(ReasonStray)
		return
	}
	handler.applyTailAnswer(proposed)
}

// moreCertain returns the record's decision, or the proposal if the proposal is more certain.
func (handler *packetHandler) moreCertain(entry *record, proposed proposal) proposal {
	recorded := handler.proposalOf(entry)
	if proposed.confirmed && !recorded.confirmed || handler.group.predatesLeave(entry) {
		return proposed
	}
	return recorded
}

// applyTailAnswer records the tail's answer and carries it out. If the answer differs from the
// proposal, the head must record it first: a head that has lost the record, or never had it, must
// not propose a different decision to the next tail.
func (handler *packetHandler) applyTailAnswer(answer proposal) {
	core, relay := handler.core, &handler.packet.Relay
	head := handler.group.chain.head
	if head == nil || head == core.self {
		handler.applyFinalAnswer(answer, relay.HeadComplete)
		return
	}
	differs := answer.backend != relay.Proposal || answer.refuse != relay.Refuse
	if differs && !core.disabled.noReturnToHead {
		handler.saveRecord(answer, true)
		handler.returnToHead(head, answer)
		return
	}
	handler.applyFinalAnswer(answer, relay.HeadComplete)
	handler.sendConfirmation(head)
}

// returnToHead sends the packet back to the head with the tail's answer.
func (handler *packetHandler) returnToHead(head *node, answer proposal) {
	core := handler.core
	relay := handler.packet.Relay
	relay.Hop = lb.HopReturn
	relay.Version = handler.service.table.Version()
	relay.Proposal = answer.backend
	relay.Refuse = answer.refuse
	relay.FromRecord = true
	relay.HeadComplete = relay.HeadComplete || core.vouches(handler.service, handler.group)
	core.stats.Returned++
	handler.relay(head, relay)
}

// handleReturned records the tail's answer at the head and carries it out, unless another tail may
// already have forwarded the flow by the head's own record.
func (handler *packetHandler) handleReturned() {
	relay := handler.packet.Relay
	if entry := handler.record(); entry != nil && handler.contradictsRecord(entry, relay) {
		handler.drop(ReasonViewsDiffer)
		return
	}
	handler.applyFinalAnswer(proposal{backend: relay.Proposal, refuse: relay.Refuse}, relay.HeadComplete)
	if entry := handler.record(); entry != nil {
		handler.pinIngress(relay, entry)
	}
}

// contradictsRecord reports whether a returned answer differs from a record that a tail has
// confirmed, or that was proposed to a tail other than the present one.
func (handler *packetHandler) contradictsRecord(entry *record, relay lb.Relay) bool {
	if handler.core.disabled.noDropOfReturn || !handler.isOpening() || entry.openingID != handler.packet.OpeningID {
		return false
	}
	if entry.backend == relay.Proposal && entry.refused() == relay.Refuse {
		return false
	}
	return handler.core.isConfirmed(handler.group, entry) || entry.learnedAt < handler.group.tailSince
}

// sendConfirmation sends the head, within the byte budget, a confirmation that the tail has the
// record. It does so only if the head may receive later packets of the flow.
func (handler *packetHandler) sendConfirmation(head *node) {
	entry := handler.record()
	if entry == nil || needsNoRecords(handler.service.table, handler.index) {
		return
	}
	handler.core.hints.add(handler.core, hint{
		to: head, service: handler.service, confirm: true,
		flow: entry.flow, backend: entry.backend, openingID: entry.openingID,
	})
}

// applyFinalAnswer records the final answer and carries it out. It runs at the tail, or at a head
// without a tail.
func (handler *packetHandler) applyFinalAnswer(answer proposal, vouched bool) {
	verdict := lb.MayHaveRun
	if answer.refuse && (vouched || handler.core.vouches(handler.service, handler.group)) {
		verdict = lb.NotRun
	}
	if answer.refuse && !handler.isOpening() {
		handler.drop(ReasonStray)
		return
	}
	handler.saveRecord(answer, true)
	if !answer.refuse && needsNoRecords(handler.service.table, handler.index) && answer.backend == handler.service.table.Base(handler.index) {
		handler.rememberUDPFlow(answer.backend)
	}
	if answer.refuse {
		handler.refuse(verdict, handler.refusalReason())
		return
	}
	handler.forward(answer.backend)
}

// saveRecord stores an answer in the flow's record. An opening replaces the record's opening ID;
// later packets leave it unchanged.
func (handler *packetHandler) saveRecord(answer proposal, confirmed bool) {
	core := handler.core
	if core.disabled.noRecordBeforeForward || answer.refuse && core.disabled.noRefusalRecord {
		return
	}
	entry := handler.ensureBucket().records.put(handler.flow)
	previous := *entry
	entry.backend = answer.backend
	entry.lastSeen = core.timestamp
	entry.flags = recordUsed
	if answer.refuse {
		entry.flags |= recordRefused
	}
	if confirmed {
		entry.flags |= recordConfirmed
	}
	entry.learnedAt = core.timestamp
	if handler.isOpening() {
		entry.openingID = handler.packet.OpeningID
	}
	if !previous.sameAs(entry) {
		core.handover.handOverNewRecord(core, handler.service, handler.index, entry)
	}
}

// isConfirmed reports whether a tail has answered with the record since this node last left the
// chain and since viewVerified last changed.
func (core *Core) isConfirmed(group *group, entry *record) bool {
	return core.confirmedSince(group.leftAt, entry)
}

// wasConfirmed is like isConfirmed, but for a node outside the chain it evaluates the record as of
// the time at which the node left.
func (core *Core) wasConfirmed(group *group, entry *record) bool {
	if group.memberSince != notInChain {
		return core.isConfirmed(group, entry)
	}
	return core.confirmedSince(group.previouslyLeftAt, entry)
}

func (core *Core) confirmedSince(since timestamp, entry *record) bool {
	return entry.flags&recordConfirmed != 0 && entry.learnedAt >= max(since, toTimestamp(core.viewVerifiedSince))
}

// predatesLeave reports whether the record was learned before this node last left the chain. The
// chain may have placed the flow again since then.
func (group *group) predatesLeave(entry *record) bool {
	return entry.learnedAt < group.leftAt
}
