package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// handlePeerMessage handles a message from another node. Messages that do not concern the core,
// such as membership and gossip messages, are ignored.
func (core *Core) handlePeerMessage(event *PeerEvent, effects *Effects) {
	from := core.nodes[event.From]
	switch content := event.Message.(type) {
	case message.Pins:
		core.applyPins(from, &content)
	case message.Records:
		if core.applyRecords(from, &content) {
			acknowledgement := message.RecordsAck{Sequence: content.Sequence}
			effects.Messages = append(effects.Messages, Outgoing{To: event.From, Message: acknowledgement})
		}
	case message.RecordsAck:
		if from != nil {
			core.handover.acknowledge(from, content.Sequence)
		}
	}
}

// applyPins stores pins, and applies confirmations of the present tail to records.
func (core *Core) applyPins(from *node, content *message.Pins) {
	service := core.services[content.Service]
	if service == nil || from == nil {
		return
	}
	for _, flow := range content.Flows {
		if content.Confirm {
			core.applyConfirmation(service, from, flow)
			continue
		}
		if flow.Backend == lb.NoBackend {
			continue
		}
		bucket := core.ensureBucket(service, flow.Flow.Bucket())
		if bucket.pins == nil {
			bucket.pins = &flowTable{}
		}
		pin := bucket.pins.put(flow.Flow)
		pin.backend = flow.Backend
		pin.lastSeen = core.timestamp
	}
}

func (core *Core) applyConfirmation(service *service, from *node, flow message.FlowRecord) {
	index := flow.Flow.Bucket()
	bucket := service.buckets[index]
	entry := bucket.record(flow.Flow)
	if from != core.groupOf(service, index).chain.tail || entry == nil || entry.openingID != flow.OpeningID {
		return // from a node of another chain, or for an earlier flow of the 5-tuple
	}
	core.mergeRecord(service, bucket, flow, recordOrigin{confirmed: true, fromTail: true})
	entry.learnedAt = core.timestamp
}

// applyRecords stores records that a node hands over and reports whether it stored them. Records of
// a service that is still unknown here are not acknowledged, so the sender sends them again.
func (core *Core) applyRecords(from *node, content *message.Records) bool {
	service := core.services[content.Service]
	if service == nil {
		return false
	}
	for index, flow := range content.Flows {
		var idle time.Duration
		if index < len(content.IdleSeconds) {
			idle = time.Duration(content.IdleSeconds[index]) * time.Second
		}
		bucket := core.ensureBucket(service, flow.Flow.Bucket())
		if content.Established {
			core.applyKnownUDPFlow(service, bucket, flow, idle)
			continue
		}
		core.mergeRecord(service, bucket, flow, recordOrigin{
			confirmed: !content.Unconfirmed,
			fromTail:  from != nil && from == bucket.group.chain.tail,
			idle:      idle,
		})
	}
	return true
}

// applyKnownUDPFlow stores a UDP flow that another node saw on the base back end. It becomes a
// known flow while the bucket needs no records, and a record otherwise.
func (core *Core) applyKnownUDPFlow(service *service, bucket *bucket, flow message.FlowRecord, idle time.Duration) {
	if !needsNoRecords(service.table, flow.Flow.Bucket()) {
		core.mergeRecord(service, bucket, flow, recordOrigin{idle: idle})
		return
	}
	seen := toTimestamp(max(0, core.now-idle))
	entry := core.ensureKnownUDPFlow(bucket, flow.Flow)
	if entry.lastSeen <= seen {
		entry.lastSeen = seen
		entry.backend = flow.Backend
	}
}

// recordOrigin describes how certain a record from another node is.
type recordOrigin struct {
	confirmed bool // a tail answered with the record
	fromTail  bool // the sender is the present tail
	idle      time.Duration
}

// mergeRecord stores a record from another node, unless this node's own record is more certain.
func (core *Core) mergeRecord(service *service, bucket *bucket, flow message.FlowRecord, origin recordOrigin) {
	entry := bucket.records.get(flow.Flow)
	seen := toTimestamp(max(0, core.now-origin.idle))
	if entry != nil && !core.replaces(bucket, entry, flow.OpeningID, seen, origin) {
		return
	}
	if entry == nil {
		entry = bucket.records.put(flow.Flow)
	}
	previous := *entry
	entry.lastSeen = max(entry.lastSeen, seen)
	entry.backend = flow.Backend
	entry.openingID = flow.OpeningID
	entry.flags = recordUsed
	if flow.Backend == lb.NoBackend {
		entry.flags |= recordRefused
	}
	if origin.confirmed {
		entry.flags |= recordConfirmed
	}
	// Even a confirmed record does not prove that the present tail has it.
	entry.learnedAt = min(core.timestamp, bucket.group.tailSince-1)
	if !previous.sameAs(entry) {
		core.handover.handOverNewRecord(core, service, flow.Flow.Bucket(), entry)
	}
}

// replaces reports whether an incoming record replaces this node's own record. Of two records for
// different openings of a 5-tuple, the one seen later is kept.
func (core *Core) replaces(bucket *bucket, entry *record, openingID uint32, seen timestamp, origin recordOrigin) bool {
	confirmed := core.isConfirmed(bucket.group, entry)
	switch {
	case !origin.confirmed:
		return false
	case !confirmed && entry.openingID == 0: // a record guessed from a later packet
		return true
	case openingID != entry.openingID:
		return seen > entry.lastSeen
	}
	return !confirmed || origin.fromTail
}
