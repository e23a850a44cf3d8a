package core

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// tail handles a packet that the head relayed with its proposal. The tail's
// record wins over the proposal, unless it is unconfirmed and the proposal is not.
func (current *turn) tail() {
	relay := &current.packet.Relay
	proposed := proposal{backend: relay.Proposal, refuse: relay.Refuse, known: relay.Known}
	if current.opening() {
		current.tailOpening(proposed)
		return
	}
	current.tailLater(proposed)
}

// tailOpening handles an opening.
func (current *turn) tailOpening(proposed proposal) {
	entry := current.record()
	switch {
	case entry == nil || current.core.off.noTailRecordWins:
	case entry.openingID == current.packet.OpeningID:
		proposed = current.prevailing(entry, proposed)
	case entry.refused() || entry.backend == proposed.backend:
	case current.active(entry.backend):
		proposed = proposal{backend: entry.backend}
	case current.maybePinned(entry):
		current.refuse(lb.MayHaveRun, ReasonTupleReuse)
		return
	}
	current.answer(proposed)
}

// tailLater handles a packet after the opening, or a UDP packet.
func (current *turn) tailLater(proposed proposal) {
	entry := current.record()
	if entry != nil && !current.core.off.noTailRecordWins {
		proposed = current.prevailing(entry, proposed)
	}
	if proposed.refuse {
		current.drop(ReasonStray)
		return
	}
	current.answer(proposed)
}

// prevailing gives the record, or the proposal where that is the more certain.
func (current *turn) prevailing(entry *record, proposed proposal) proposal {
	recorded := current.proposalOf(entry)
	if proposed.known && !recorded.known || current.group.outdates(entry) {
		return proposed
	}
	return recorded
}

// answer records the tail's answer and carries it out. Where it is not the
// proposal, the head records it first: a head that forgot, or that never knew,
// must not propose something else to the next tail.
func (current *turn) answer(answer proposal) {
	core, relay := current.core, &current.packet.Relay
	head := current.group.chain.head
	if head == nil || head == core.self {
		current.conclude(answer, relay.Vouched)
		return
	}
	differs := answer.backend != relay.Proposal || answer.refuse != relay.Refuse
	if differs && !core.off.noReturnToHead {
		current.keep(answer, true)
		current.returnToHead(head, answer)
		return
	}
	current.conclude(answer, relay.Vouched)
	current.confirm(head)
}

// returnToHead sends the packet back with the tail's answer.
func (current *turn) returnToHead(head *node, answer proposal) {
	core := current.core
	relay := current.packet.Relay
	relay.Hop = lb.HopReturn
	relay.Version = current.service.table.Version()
	relay.Proposal = answer.backend
	relay.Refuse = answer.refuse
	relay.Known = true
	relay.Vouched = relay.Vouched || core.vouches(current.service, current.group)
	core.stats.Returned++
	current.relay(head, relay)
}

// returned records the tail's answer at the head and carries it out, unless
// the head's own record may already have been forwarded by another tail.
func (current *turn) returned() {
	relay := current.packet.Relay
	if entry := current.record(); entry != nil && current.contradicts(entry, relay) {
		current.drop(ReasonViewsDiffer)
		return
	}
	current.conclude(proposal{backend: relay.Proposal, refuse: relay.Refuse}, relay.Vouched)
	if entry := current.record(); entry != nil {
		current.pinIngress(relay, entry)
	}
}

// contradicts tells whether a returned answer differs from a record that a tail
// has confirmed, or that was proposed to another tail than the present one.
func (current *turn) contradicts(entry *record, relay lb.Relay) bool {
	if current.core.off.noDropOfReturn || !current.opening() || entry.openingID != current.packet.OpeningID {
		return false
	}
	if entry.backend == relay.Proposal && entry.refused() == relay.Refuse {
		return false
	}
	return current.core.confirmed(current.group, entry) || entry.learnedAt < current.group.tailSince
}

// confirm tells the head, within the byte budget, that the tail has the record,
// where a later packet of the flow may ask the head.
func (current *turn) confirm(head *node) {
	entry := current.record()
	if entry == nil || stateless(current.service.table, current.index) {
		return
	}
	current.core.hints.add(current.core, hint{
		to: head, service: current.service, confirm: true,
		flow: entry.flow, backend: entry.backend, openingID: entry.openingID,
	})
}

// conclude records the final answer and carries it out: on the tail, or on a
// head without a tail.
func (current *turn) conclude(answer proposal, vouched bool) {
	verdict := lb.MayHaveRun
	if answer.refuse && (vouched || current.core.vouches(current.service, current.group)) {
		verdict = lb.NotRun
	}
	if answer.refuse && !current.opening() {
		current.drop(ReasonStray)
		return
	}
	current.keep(answer, true)
	if !answer.refuse && stateless(current.service.table, current.index) && answer.backend == current.service.table.Base(current.index) {
		current.remember(answer.backend)
	}
	if answer.refuse {
		current.refuse(verdict, current.refusalReason())
		return
	}
	current.forward(answer.backend)
}

// keep records an answer. An opening replaces the opening id of the record;
// later packets leave it as it is.
func (current *turn) keep(answer proposal, confirmed bool) {
	core := current.core
	if core.off.noRecordBeforeForward || answer.refuse && core.off.noRefusalRecord {
		return
	}
	entry := current.held().records.put(current.flow)
	previous := *entry
	entry.backend = answer.backend
	entry.lastSeen = core.stamp
	entry.flags = recordUsed
	if answer.refuse {
		entry.flags |= recordRefused
	}
	if confirmed {
		entry.flags |= recordConfirmed
	}
	entry.learnedAt = core.stamp
	if current.opening() {
		entry.openingID = current.packet.OpeningID
	}
	if !previous.sameAs(entry) {
		core.handover.recorded(core, current.service, current.index, entry)
	}
}

// confirmed tells whether a tail is known to have answered with the record
// since this node last left the chain or lost trust in its view.
func (core *Core) confirmed(member *group, entry *record) bool {
	return core.confirmedSince(member.leftStamp, entry)
}

// wasConfirmed is confirmed as of when this node left the chain, if it is out of it.
func (core *Core) wasConfirmed(member *group, entry *record) bool {
	if member.memberSince != notInChain {
		return core.confirmed(member, entry)
	}
	return core.confirmedSince(member.leftBefore, entry)
}

func (core *Core) confirmedSince(since stamp, entry *record) bool {
	return entry.flags&recordConfirmed != 0 && entry.learnedAt >= max(since, toStamp(core.sureSince))
}

// outdates tells whether the record is from before this node last left the
// chain: the chain may have placed the flow anew since.
func (member *group) outdates(entry *record) bool {
	return entry.learnedAt < member.leftStamp
}
