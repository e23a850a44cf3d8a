package core

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

const (
	// recordsPerBatch limits the flows of one Records message so that it fits into a datagram.
	recordsPerBatch = 40
	// batchBytes is the size of a full Records message.
	batchBytes = messageBytes + recordsPerBatch*flowBytes
	// bucketsPerRun limits the buckets read for one node in one tick.
	bucketsPerRun = 256
	// resendAfter is the time after which an unacknowledged Records message is sent again.
	resendAfter = 500 * time.Millisecond
)

// handover sends records to nodes that enter chains. It stays within a byte budget and resends
// until acknowledged.
type handover struct {
	limit    limiter
	sequence uint64
	targets  []*handoverTarget // sorted by node ID
}

// handoverTarget is a node to which records are handed over.
type handoverTarget struct {
	to *node
	// buckets are the buckets still to be read.
	buckets []bucketRef
	// flows have been read and wait to be sent.
	flows []pendingFlow
	// batches have been sent and wait for their acknowledgement.
	batches []*batch
}

// bucketRef is one bucket to be read. It selects either the records without which flows would move
// to another back end or, if recentOpenings is set, the other openings that may still be
// retransmitted.
type bucketRef struct {
	service        *service
	index          uint16
	recentOpenings bool
}

// pendingFlow is a record to hand over, with the properties that all records of a batch share.
type pendingFlow struct {
	class  batchClass
	record message.FlowRecord
	seen   timestamp // when this node last saw the flow
}

// batchClass holds the properties that all records of one batch share.
type batchClass struct {
	service     *service
	unconfirmed bool
	established bool
}

// batch is a Records message that has been sent and not yet acknowledged.
type batch struct {
	content message.Records // without idle times, which send adds
	seen    []timestamp     // when this node last saw each flow
	sentAt  time.Duration
}

// send sends the batch with the present idle times of its flows.
func (sent *batch) send(core *Core, effects *Effects, to *node) {
	sent.sentAt = core.now
	content := sent.content
	for _, seen := range sent.seen {
		idle := time.Duration(core.timestamp-seen) * timestampUnit
		content.IdleSeconds = append(content.IdleSeconds, uint32(idle/time.Second))
	}
	effects.send(to, content)
}

// idle reports whether no record waits to be handed over or acknowledged.
func (handover *handover) idle() bool { return len(handover.targets) == 0 }

// HandoverIdle reports whether no record waits to be handed over or acknowledged. A node may report
// a prepared placement as in force only then, so that the chains know the node's UDP flows before
// new flows go to other back ends.
func (core *Core) HandoverIdle() bool { return core.handover.idle() }

func (handover *handover) ensureTarget(to *node) *handoverTarget {
	position, found := slices.BinarySearchFunc(handover.targets, to, func(known *handoverTarget, to *node) int {
		return cmp.Compare(known.to.ID, to.ID)
	})
	if !found {
		handover.targets = slices.Insert(handover.targets, position, &handoverTarget{to: to})
	}
	return handover.targets[position]
}

// add queues the records of a bucket for a node.
func (handover *handover) add(ref bucketRef, to *node) {
	if bucket := ref.service.buckets[ref.index]; bucket == nil || bucket.records.len() == 0 {
		return
	}
	entry := handover.ensureTarget(to)
	entry.buckets = append(entry.buckets, ref)
}

// queue queues one flow for a node.
func (handover *handover) queue(to *node, class batchClass, entry *record) {
	queued := handover.ensureTarget(to)
	queued.flows = append(queued.flows, pendingFlow{class: class, record: flowRecord(entry), seen: entry.lastSeen})
}

func flowRecord(entry *record) message.FlowRecord {
	content := message.FlowRecord{Flow: entry.flow, Backend: entry.backend, OpeningID: entry.openingID}
	if entry.refused() {
		content.Backend = 0
	}
	return content
}

// dropAbsent removes targets that are no longer members.
func (handover *handover) dropAbsent() {
	handover.targets = slices.DeleteFunc(handover.targets, func(entry *handoverTarget) bool { return !entry.to.member })
}

// acknowledge removes the batch that a node has acknowledged.
func (handover *handover) acknowledge(from *node, sequence uint64) {
	for _, entry := range handover.targets {
		if entry.to == from {
			entry.batches = slices.DeleteFunc(entry.batches, func(sent *batch) bool {
				return sent.content.Sequence == sequence
			})
		}
	}
	handover.dropFinished()
}

func (handover *handover) dropFinished() {
	handover.targets = slices.DeleteFunc(handover.targets, (*handoverTarget).finished)
}

func (entry *handoverTarget) finished() bool {
	return len(entry.buckets) == 0 && len(entry.flows) == 0 && len(entry.batches) == 0
}

// run resends batches that are due and sends further batches, as far as the byte budget allows.
func (handover *handover) run(core *Core, effects *Effects) {
	for _, entry := range handover.targets {
		handover.resend(core, effects, entry)
	}
	for _, entry := range handover.targets {
		handover.sendMore(core, effects, entry)
	}
	handover.dropFinished()
}

func (handover *handover) resend(core *Core, effects *Effects, entry *handoverTarget) {
	for _, sent := range entry.batches {
		if core.now-sent.sentAt < resendAfter {
			continue
		}
		if !handover.limit.take(core.now, sent.bytes()) {
			return
		}
		core.stats.HandoverResent++
		sent.send(core, effects, entry.to)
	}
}

func (sent *batch) bytes() int64 { return messageBytes + int64(len(sent.content.Flows))*flowBytes }

func (handover *handover) sendMore(core *Core, effects *Effects, entry *handoverTarget) {
	unread := bucketsPerRun
	for {
		unread -= entry.readBuckets(core, unread)
		if len(entry.flows) == 0 {
			return
		}
		next := entry.nextBatch()
		if !handover.limit.take(core.now, next.bytes()) {
			return
		}
		entry.flows = slices.Delete(entry.flows, 0, len(next.content.Flows))
		handover.sequence++
		next.content.Sequence = handover.sequence
		entry.batches = append(entry.batches, next)
		core.stats.HandoverSent += uint64(len(next.content.Flows))
		next.send(core, effects, entry.to)
	}
}

// readBuckets reads records from the next buckets, at most limit of them, until there is enough for
// a batch. It returns the number of buckets read.
func (entry *handoverTarget) readBuckets(core *Core, limit int) int {
	read := 0
	for ; read < limit && len(entry.flows) < recordsPerBatch && len(entry.buckets) > 0; read++ {
		next := entry.buckets[0]
		entry.buckets = entry.buckets[1:]
		before := len(entry.flows)
		entry.readBucket(core, next)
		slices.SortStableFunc(entry.flows[before:], confirmedFirst)
	}
	return read
}

func confirmedFirst(a, b pendingFlow) int {
	switch {
	case a.class.unconfirmed == b.class.unconfirmed:
		return 0
	case b.class.unconfirmed:
		return -1
	}
	return 1
}

func (entry *handoverTarget) readBucket(core *Core, next bucketRef) {
	bucket := next.service.buckets[next.index]
	if bucket == nil {
		return
	}
	for slot := range bucket.records.slots {
		found := &bucket.records.slots[slot]
		if found.flags != 0 && core.selectedBy(next, found) {
			class := core.classOf(next.service, bucket, found)
			entry.flows = append(entry.flows, pendingFlow{class: class, record: flowRecord(found), seen: found.lastSeen})
		}
	}
}

func (core *Core) classOf(service *service, bucket *bucket, entry *record) batchClass {
	return batchClass{service: service, unconfirmed: !core.wasConfirmed(bucket.group, entry)}
}

// nextBatch returns a batch of the leading flows that share one class.
func (entry *handoverTarget) nextBatch() *batch {
	class := entry.flows[0].class
	next := &batch{content: message.Records{
		Service:     class.service.name,
		Unconfirmed: class.unconfirmed,
		Established: class.established,
	}}
	for index := range entry.flows {
		if entry.flows[index].class != class || index == recordsPerBatch {
			break
		}
		next.content.Flows = append(next.content.Flows, entry.flows[index].record)
		next.seen = append(next.seen, entry.flows[index].seen)
	}
	return next
}

// selectedBy reports whether ref selects a record of its bucket.
func (core *Core) selectedBy(ref bucketRef, entry *record) bool {
	needed := core.neededByChain(ref.service, ref.index, entry)
	if ref.recentOpenings {
		return !needed && core.age(entry) <= core.settings.OpeningHold
	}
	return needed
}

// neededByChain reports whether the next chain needs the record, because the placement table alone
// would send the flow or its retransmitted opening elsewhere.
func (core *Core) neededByChain(service *service, index uint16, entry *record) bool {
	table := service.table
	if entry.refused() || entry.backend != table.Base(index) || table.InMotion(index) {
		return true
	}
	return table.HasHistory(index) && core.age(entry) <= core.settings.OpeningHold
}
