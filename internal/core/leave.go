package core

import (
	"robinpulley.example/robinpulley/internal/placement"
)

// leave begins a planned stop and removes this node from all chains. The node hands over its
// records to the nodes that enter those chains, its known UDP flows to the heads, and then the
// openings that may still be retransmitted. These openings are useless after OpeningHold, so their
// handover ends by itself.
func (core *Core) leave() {
	if core.leaving {
		return
	}
	core.leaving = true
	core.leaveChains()
	if core.disabled.noHandoverBeforeLeave {
		return
	}
	for _, service := range core.servicesByName {
		service.eachBucket(func(index uint16, bucket *bucket) { core.handOverKnownToHead(service, index, bucket) })
	}
	for _, target := range core.handover.targets {
		target.queueRecentOpenings()
	}
}

// queueRecentOpenings queues the target's buckets a second time, for their recent openings.
func (entry *handoverTarget) queueRecentOpenings() {
	for _, ref := range entry.buckets {
		ref.recentOpenings = true
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

// handOverKnownToHead hands over this node's known UDP flows of a bucket to the head, because other
// nodes may not have seen them.
func (core *Core) handOverKnownToHead(service *service, index uint16, bucket *bucket) {
	if head := bucket.group.chain.head; bucket.knownUDP.len() > 0 && head != nil {
		core.handOverKnownTo(service, index, head)
	}
}

// handOverNewRecord hands over at once each record that a leaving node still writes, even an
// opening in a bucket that does not move, because other nodes may still consider this node the
// tail.
func (handover *handover) handOverNewRecord(core *Core, service *service, index uint16, entry *record) {
	if !core.leaving || core.disabled.noHandoverBeforeLeave {
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

// handOverNewKnownFlow hands over at once a UDP flow that a leaving node has just seen.
func (handover *handover) handOverNewKnownFlow(core *Core, service *service, bucket *bucket, entry *record) {
	head := bucket.group.chain.head
	if core.leaving && !core.disabled.noHandoverBeforeLeave && head != nil && head != core.self {
		handover.queue(head, batchClass{service: service, unconfirmed: true, established: true}, entry)
	}
}

// handOverKnownOnMove hands over this node's known UDP flows to the chains of all buckets that
// begin to move. All these flows are on the previous base back end.
func (core *Core) handOverKnownOnMove(service *service, previous *placement.Table) {
	service.eachBucket(func(index uint16, bucket *bucket) {
		beginsToMove := needsNoRecords(previous, index) && !needsNoRecords(service.table, index)
		if beginsToMove && bucket.knownUDP.len() > 0 {
			core.handOverKnownToChain(service, index)
		}
	})
}

// handOverKnownToChain hands over the known UDP flows of the bucket to the nodes of its chain. If
// this node is one of them, it creates records itself.
func (core *Core) handOverKnownToChain(service *service, index uint16) {
	pair := core.groupOf(service, index).chain
	for _, member := range [...]*node{pair.head, pair.tail} {
		if member != nil {
			core.handOverKnownTo(service, index, member)
		}
	}
}

// handOverKnownTo hands over to one node the known UDP flows of the bucket that are on the base
// back end.
func (core *Core) handOverKnownTo(service *service, index uint16, to *node) {
	bucket := service.buckets[index]
	base := service.table.Base(index)
	for slot := range bucket.knownUDP.slots {
		entry := &bucket.knownUDP.slots[slot]
		if entry.flags == 0 || entry.backend != base || core.age(entry) > core.settings.IdleTimeout {
			continue
		}
		if to == core.self {
			core.mergeRecord(service, bucket, flowRecord(entry), recordOrigin{idle: core.age(entry)})
			continue
		}
		class := batchClass{service: service, unconfirmed: true, established: true}
		core.handover.queue(to, class, entry)
	}
}
