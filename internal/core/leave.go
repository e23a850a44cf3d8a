package core

import (
	"robinpulley.example/robinpulley/internal/placement"
)

// leave begins the planned stop: this node is in no chain any more, and hands
// its records to the present chains.
func (core *Core) leave() {
	if core.leaving {
		return
	}
	core.leaving = true
	core.leaveChains()
	if core.off.noHandoverBeforeLeave {
		return
	}
	core.leftChains = true
	for _, service := range core.ordered {
		for index := range service.buckets {
			core.handOverBucket(service, uint16(index))
		}
	}
}

// leaveChains recomputes the chains without this node.
func (core *Core) leaveChains() {
	members := make([]Member, 0, len(core.members.all))
	for _, member := range core.members.all {
		leaving := !member.eligible || member == core.self
		members = append(members, Member{ID: member.ID, Zone: member.Zone, Leaving: leaving})
	}
	core.setMembers(members)
}

func (core *Core) handOverBucket(service *service, index uint16) {
	pair := service.buckets[index].chain
	for _, successor := range [...]*node{pair.head, pair.tail} {
		if successor != nil && successor != core.self {
			core.handover.add(service, index, successor)
		}
	}
}

// recorded hands over at once what a leaving node still records.
func (handover *handover) recorded(core *Core, service *service, index uint16, entry *record) {
	if !core.leaving || core.off.noHandoverBeforeLeave || !core.matters(service, index, entry) {
		return
	}
	bucket := &service.buckets[index]
	for _, successor := range [...]*node{bucket.chain.head, bucket.chain.tail} {
		if successor != nil && successor != core.self {
			queued := handover.target(successor)
			queued.flows = append(queued.flows, pendingFlow{class: core.classOf(service, bucket, entry), record: flowRecord(entry)})
		}
	}
}

// handOverKnown gives the chains the UDP flows that this node knows in buckets
// that begin to move: all of them are on the previous base back end.
func (core *Core) handOverKnown(service *service, previous *placement.Table) {
	for index := range service.buckets {
		bucket := &service.buckets[index]
		begins := stateless(previous, uint16(index)) && !stateless(service.table, uint16(index))
		if begins && bucket.known.len() > 0 {
			core.handOverKnownIn(service, uint16(index))
		}
	}
}

func (core *Core) handOverKnownIn(service *service, index uint16) {
	bucket := &service.buckets[index]
	base := service.table.Base(index)
	for slot := range bucket.known.slots {
		entry := &bucket.known.slots[slot]
		if entry.flags == 0 || entry.backend != base || core.age(entry) > core.settings.IdleTimeout {
			continue
		}
		core.handOverKnownFlow(service, bucket, entry)
	}
}

// handOverKnownFlow records the flow here if this node is in the chain, and
// gives it to the others that are.
func (core *Core) handOverKnownFlow(service *service, bucket *bucket, entry *record) {
	for _, member := range [...]*node{bucket.chain.head, bucket.chain.tail} {
		switch member {
		case nil:
		case core.self:
			core.merge(service, bucket, flowRecord(entry), incoming{idle: core.age(entry)})
		default:
			queued := core.handover.target(member)
			class := core.classOf(service, bucket, entry)
			class.unconfirmed = true
			queued.flows = append(queued.flows, pendingFlow{class: class, record: flowRecord(entry)})
		}
	}
}
