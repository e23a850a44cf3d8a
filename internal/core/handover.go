package core

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

const (
	// recordsPerBatch bounds the flows of one Records so that it fits a datagram.
	recordsPerBatch = 40
	// batchBytes is the size of a full Records.
	batchBytes = messageBytes + recordsPerBatch*flowBytes
	// bucketsPerRun bounds the buckets read in one tick for one node.
	bucketsPerRun = 256
	// resendAfter is the time after which an unacknowledged Records is repeated.
	resendAfter = 500 * time.Millisecond
)

// handover sends records to nodes that enter chains, repeated until
// acknowledged, within a byte budget.
type handover struct {
	limit    limiter
	sequence uint64
	targets  []*target // by node ID
}

// target is one node that is given records.
type target struct {
	to *node
	// buckets are still to be read.
	buckets []bucketRef
	// flows are read and wait to be sent.
	flows []pendingFlow
	// batches are sent and wait for their acknowledgement.
	batches []*batch
}

// bucketRef is one bucket to be read: for the records without which flows would
// go elsewhere, or for the young openings besides.
type bucketRef struct {
	service *service
	index   uint16
	young   bool
}

// pendingFlow is a record to hand over, with what a batch has in common.
type pendingFlow struct {
	class  batchClass
	record message.FlowRecord
	seen   stamp // when this node last saw the flow
}

// batchClass is what all records of one batch share.
type batchClass struct {
	service     *service
	unconfirmed bool
	established bool
}

// batch is one Records on its way.
type batch struct {
	content message.Records // without idle times
	seen    []stamp         // of its flows
	sentAt  time.Duration
}

// send sends the batch, with the idle times as they are now.
func (sent *batch) send(core *Core, effects *Effects, to *node) {
	sent.sentAt = core.now
	content := sent.content
	for _, seen := range sent.seen {
		idle := time.Duration(core.stamp-seen) * stampUnit
		content.IdleSeconds = append(content.IdleSeconds, uint32(idle/time.Second))
	}
	effects.send(to, content)
}

// idle tells whether nothing waits to be handed over or acknowledged.
func (handover *handover) idle() bool { return len(handover.targets) == 0 }

// HandoverIdle tells whether nothing waits to be handed over. A node reports a
// prepared placement as in force only then: its known UDP flows are in the
// chains before new flows go elsewhere.
func (core *Core) HandoverIdle() bool { return core.handover.idle() }

func (handover *handover) target(to *node) *target {
	position, found := slices.BinarySearchFunc(handover.targets, to, func(known *target, to *node) int {
		return cmp.Compare(known.to.ID, to.ID)
	})
	if !found {
		handover.targets = slices.Insert(handover.targets, position, &target{to: to})
	}
	return handover.targets[position]
}

// add queues the records of a bucket for a node.
func (handover *handover) add(ref bucketRef, to *node) {
	if bucket := ref.service.buckets[ref.index]; bucket == nil || bucket.records.len() == 0 {
		return
	}
	entry := handover.target(to)
	entry.buckets = append(entry.buckets, ref)
}

// queue adds one flow to what is sent to the node.
func (handover *handover) queue(to *node, class batchClass, entry *record) {
	queued := handover.target(to)
	queued.flows = append(queued.flows, pendingFlow{class: class, record: flowRecord(entry), seen: entry.lastSeen})
}

func flowRecord(entry *record) message.FlowRecord {
	content := message.FlowRecord{Flow: entry.flow, Backend: entry.backend, OpeningID: entry.openingID}
	if entry.refused() {
		content.Backend = 0
	}
	return content
}

// dropAbsent forgets targets that are no longer members.
func (handover *handover) dropAbsent() {
	handover.targets = slices.DeleteFunc(handover.targets, func(entry *target) bool { return !entry.to.member })
}

// acknowledge ends a batch.
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
	handover.targets = slices.DeleteFunc(handover.targets, (*target).finished)
}

func (entry *target) finished() bool {
	return len(entry.buckets) == 0 && len(entry.flows) == 0 && len(entry.batches) == 0
}

// run repeats what is due and sends more, as the byte budget allows.
func (handover *handover) run(core *Core, effects *Effects) {
	for _, entry := range handover.targets {
		handover.resend(core, effects, entry)
	}
	for _, entry := range handover.targets {
		handover.sendMore(core, effects, entry)
	}
	handover.dropFinished()
}

func (handover *handover) resend(core *Core, effects *Effects, entry *target) {
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

func (handover *handover) sendMore(core *Core, effects *Effects, entry *target) {
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

// readBuckets takes records from the next buckets, at most limit, until there is
// a batch. It gives the number of buckets read.
func (entry *target) readBuckets(core *Core, limit int) int {
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

func (entry *target) readBucket(core *Core, next bucketRef) {
	bucket := next.service.buckets[next.index]
	if bucket == nil {
		return
	}
	for slot := range bucket.records.slots {
		found := &bucket.records.slots[slot]
		if found.flags != 0 && core.wanted(next, found) {
			class := core.classOf(next.service, bucket, found)
			entry.flows = append(entry.flows, pendingFlow{class: class, record: flowRecord(found), seen: found.lastSeen})
		}
	}
}

func (core *Core) classOf(service *service, bucket *bucket, entry *record) batchClass {
	return batchClass{service: service, unconfirmed: !core.wasConfirmed(bucket.group, entry)}
}

// nextBatch makes a Records of the first flows that are of one class.
func (entry *target) nextBatch() *batch {
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

// wanted tells whether a record is what the bucket is read for.
func (core *Core) wanted(ref bucketRef, entry *record) bool {
	matters := core.matters(ref.service, ref.index, entry)
	if ref.young {
		return !matters && core.age(entry) <= core.settings.OpeningHold
	}
	return matters
}

// matters tells whether the next chain needs the record: without it the flow
// would go by the table.
func (core *Core) matters(service *service, index uint16, entry *record) bool {
	table := service.table
	if entry.refused() || entry.backend != table.Base(index) || table.InMotion(index) {
		return true
	}
	return table.HasHistory(index) && core.age(entry) <= core.settings.OpeningHold
}
