package core

import (
	"robinpulley.example/robinpulley/internal/placement"
)

// leave begins the planned stop: this node is in no chain any more. It hands its
// records to who enters the chains that it leaves, the UDP flows that it knows
// to the heads, and then the openings that may still be retransmitted; these
// are worth nothing after OpeningHold, so that they end by themselves.
func (core *Core) leave() {
	if core.leaving {
		return
	}
	core.leaving = true
	core.leaveChains()
	if core.off.noHandoverBeforeLeave {
		return
	}
	for _, service := range core.ordered {
		service.each(func(index uint16, bucket *bucket) { core.handOverAllKnown(service, index, bucket) })
	}
	for _, target := range core.handover.targets {
		target.addYoung()
	}
}

// addYoung queues the buckets to be read again, for their young openings.
func (entry *target) addYoung() {
	for _, ref := range entry.buckets {
		ref.young = true
		entry.buckets = append(entry.buckets, ref)
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

// handOverAllKnown gives the head the UDP flows that this node knows: another
// node may not have seen them.
func (core *Core) handOverAllKnown(service *service, index uint16, bucket *bucket) {
	if head := bucket.group.chain.head; bucket.known.len() > 0 && head != nil {
		core.handOverKnownTo(service, index, head)
	}
}

// recorded hands over at once what a leaving node still records, be it an
// opening in a bucket at rest: others may still take this node for the tail.
func (handover *handover) recorded(core *Core, service *service, index uint16, entry *record) {
	if !core.leaving || core.off.noHandoverBeforeLeave {
		return
	}
	bucket := service.buckets[index]
	pair := bucket.group.chain
	for _, successor := range [...]*node{pair.head, pair.tail} {
		if successor != nil && successor != core.self {
			handover.queue(successor, core.classOf(service, bucket, entry), entry)
		}
	}
}

// learned hands over at once a UDP flow that a leaving node has just seen.
func (handover *handover) learned(core *Core, service *service, bucket *bucket, entry *record) {
	head := bucket.group.chain.head
	if core.leaving && !core.off.noHandoverBeforeLeave && head != nil && head != core.self {
		handover.queue(head, batchClass{service: service, unconfirmed: true, established: true}, entry)
	}
}

// handOverKnown gives the chains the UDP flows that this node knows in buckets
// that begin to move: all of them are on the previous base back end.
func (core *Core) handOverKnown(service *service, previous *placement.Table) {
	service.each(func(index uint16, bucket *bucket) {
		begins := stateless(previous, index) && !stateless(service.table, index)
		if begins && bucket.known.len() > 0 {
			core.handOverKnownIn(service, index)
		}
	})
}

// handOverKnownIn records the known flows of the bucket here if this node is in
// the chain, and gives them to the others that are.
func (core *Core) handOverKnownIn(service *service, index uint16) {
	pair := core.groupOf(service, index).chain
	for _, member := range [...]*node{pair.head, pair.tail} {
		if member != nil {
			core.handOverKnownTo(service, index, member)
		}
	}
}

// handOverKnownTo gives one node the known flows of the bucket that are on the base back end.
func (core *Core) handOverKnownTo(service *service, index uint16, to *node) {
	bucket := service.buckets[index]
	base := service.table.Base(index)
	for slot := range bucket.known.slots {
		entry := &bucket.known.slots[slot]
		if entry.flags == 0 || entry.backend != base || core.age(entry) > core.settings.IdleTimeout {
			continue
		}
		if to == core.self {
			core.merge(service, bucket, flowRecord(entry), incoming{idle: core.age(entry)})
			continue
		}
		class := batchClass{service: service, unconfirmed: true, established: true}
		core.handover.queue(to, class, entry)
	}
}
