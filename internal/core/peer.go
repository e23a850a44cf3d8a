package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// peer takes a message from another node. Messages of other concerns
// (membership, gossip) are not the core's and are ignored.
func (core *Core) peer(event *PeerEvent, effects *Effects) {
	from := core.nodes[event.From]
	switch content := event.Message.(type) {
	case message.Pins:
		core.takePins(from, &content)
	case message.Records:
		if core.takeRecords(from, &content) {
			acknowledgement := message.RecordsAck{Sequence: content.Sequence}
			effects.Messages = append(effects.Messages, Outgoing{To: event.From, Message: acknowledgement})
		}
	case message.RecordsAck:
		if from != nil {
			core.handover.acknowledge(from, content.Sequence)
		}
	}
}

// takePins keeps pins, and lets the present tail's confirmations correct records.
func (core *Core) takePins(from *node, content *message.Pins) {
	service := core.services[content.Service]
	if service == nil || from == nil {
		return
	}
	for _, flow := range content.Flows {
		if content.Confirm {
			core.takeConfirmation(service, from, flow)
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
		pin.lastSeen = core.stamp
	}
}

func (core *Core) takeConfirmation(service *service, from *node, flow message.FlowRecord) {
	index := flow.Flow.Bucket()
	bucket := service.buckets[index]
	entry := bucket.record(flow.Flow)
	if from != core.groupOf(service, index).chain.tail || entry == nil || entry.openingID != flow.OpeningID {
		return // of another chain, or of an earlier flow of the 5-tuple
	}
	core.merge(service, bucket, flow, incoming{confirmed: true, fromTail: true})
	entry.learnedAt = core.stamp
}

// takeRecords keeps records that a node hands over, and tells whether it could:
// those of a service not known here yet are not acknowledged, so they come again.
func (core *Core) takeRecords(from *node, content *message.Records) bool {
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
			core.takeEstablished(service, bucket, flow, idle)
			continue
		}
		core.merge(service, bucket, flow, incoming{
			confirmed: !content.Unconfirmed,
			fromTail:  from != nil && from == bucket.group.chain.tail,
			idle:      idle,
		})
	}
	return true
}

// takeEstablished keeps a UDP flow that another node saw on the base back end:
// as a known flow as long as the bucket needs no records, then as a record.
func (core *Core) takeEstablished(service *service, bucket *bucket, flow message.FlowRecord, idle time.Duration) {
	if !stateless(service.table, flow.Flow.Bucket()) {
		core.merge(service, bucket, flow, incoming{idle: idle})
		return
	}
	seen := toStamp(max(0, core.now-idle))
	entry := core.known(bucket, flow.Flow)
	if entry.lastSeen <= seen {
		entry.lastSeen = seen
		entry.backend = flow.Backend
	}
}

// incoming says how certain a record from another node is.
type incoming struct {
	confirmed bool // a tail answered with it
	fromTail  bool // the sender is the present tail
	idle      time.Duration
}

// merge takes a record from another node, unless this node's own is more certain.
func (core *Core) merge(service *service, bucket *bucket, flow message.FlowRecord, origin incoming) {
	entry := bucket.records.get(flow.Flow)
	seen := toStamp(max(0, core.now-origin.idle))
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
	// However certain, it is no sign that the present tail has the record.
	entry.learnedAt = min(core.stamp, bucket.group.tailSince-1)
	if !previous.sameAs(entry) {
		core.handover.recorded(core, service, flow.Flow.Bucket(), entry)
	}
}

// replaces tells whether the incoming record replaces this node's own. Of
// records of different openings of a 5-tuple, the one seen later counts.
func (core *Core) replaces(bucket *bucket, entry *record, openingID uint32, seen stamp, origin incoming) bool {
	confirmed := core.confirmed(bucket.group, entry)
	switch {
	case !origin.confirmed:
		return false
	case !confirmed && entry.openingID == 0: // a guess for a later packet
		return true
	case openingID != entry.openingID:
		return seen > entry.lastSeen
	}
	return !confirmed || origin.fromTail
}
