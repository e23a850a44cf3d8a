package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// handleFromFabric handles a packet from the fabric. Openings always go through the chain. Other
// packets do so only if flows of the bucket may be on other back ends than the base.
func (handler *packetHandler) handleFromFabric() {
	core := handler.core
	if handler.isOpening() {
		if core.disabled.noOpeningThroughChain && handler.allOnBase() {
			handler.forward(handler.service.table.Base(handler.index))
			return
		}
		handler.sendToHead(false)
		return
	}
	if handler.allOnBase() {
		handler.forwardToBase()
		return
	}
	established := handler.isKnownUDPFlow()
	if core.isHead(handler.group) {
		handler.handleAsHead(lb.Relay{Ingress: core.self.Hash, Established: established})
		return
	}
	if pin := handler.pin(); pin != nil && core.timestamp-pin.lastSeen < toTimestamp(core.settings.PinLifetime) {
		core.stats.PinnedPackets++
		handler.forward(pin.backend)
		return
	}
	handler.sendToHead(established)
}

// allOnBase reports whether every flow of the bucket is on the base back end, as far as this node
// can know.
func (handler *packetHandler) allOnBase() bool {
	core := handler.core
	return core.viewVerified && !core.recentlyJoined() && needsNoRecords(handler.service.table, handler.index)
}

// joinGracePeriod is longer than any placement waits for its acknowledgements (docs/DESIGN.md,
// "Placement"). A placement that was prepared before this node counted as a member did not wait for
// this node's acknowledgement.
const joinGracePeriod = 3 * time.Second

func (core *Core) recentlyJoined() bool {
	return core.joinedAt != 0 && core.now-core.joinedAt < joinGracePeriod && !core.members.alone()
}

// pin returns the pin of the flow, or nil.
func (handler *packetHandler) pin() *record {
	if handler.bucket == nil {
		return nil
	}
	return handler.bucket.pins.get(handler.flow)
}

// knownUDPFlow returns the entry of the packet's flow among the known UDP flows, or nil.
func (handler *packetHandler) knownUDPFlow() *record {
	if handler.bucket == nil {
		return nil
	}
	return handler.bucket.knownUDP.get(handler.flow)
}

// sendToHead relays a packet from the fabric to the head, or handles it here if this node is the
// head.
func (handler *packetHandler) sendToHead(established bool) {
	core := handler.core
	relay := lb.Relay{
		Hop:         lb.HopHead,
		Ingress:     core.self.Hash,
		Version:     handler.service.table.Version(),
		Established: established,
	}
	if core.isHead(handler.group) {
		handler.handleAsHead(relay)
		return
	}
	handler.relay(handler.group.chain.head, relay)
}

// forwardToBase forwards a packet whose bucket needs no records.
func (handler *packetHandler) forwardToBase() {
	handler.rememberUDPFlow(handler.service.table.Base(handler.index))
	handler.forward(handler.service.table.Base(handler.index))
}

// rememberUDPFlow stores a UDP flow of a bucket without records as a known flow on the base back
// end. Its later packets do not show whether the flow is new, and a record would expire after
// OpeningHold.
func (handler *packetHandler) rememberUDPFlow(base lb.BackendID) {
	if handler.packet.Kind != PacketUnmarked {
		return
	}
	entry := handler.core.ensureKnownUDPFlow(handler.ensureBucket(), handler.flow)
	changed := entry.backend != base
	entry.backend = base
	entry.lastSeen = handler.core.timestamp
	if changed {
		handler.core.handover.handOverNewKnownFlow(handler.core, handler.service, handler.ensureBucket(), entry)
	}
}

// ensureKnownUDPFlow returns the entry of a known UDP flow and creates it if necessary.
func (core *Core) ensureKnownUDPFlow(bucket *bucket, flow lb.FlowID) *record {
	if bucket.knownUDP == nil {
		bucket.knownUDP = &flowTable{}
	}
	return bucket.knownUDP.put(flow)
}

// isKnownUDPFlow reports whether this node saw the UDP flow on the present base back end before the
// bucket started to move.
func (handler *packetHandler) isKnownUDPFlow() bool {
	if handler.packet.Kind != PacketUnmarked {
		return false
	}
	core := handler.core
	entry := handler.knownUDPFlow()
	if entry == nil || entry.backend != handler.service.table.Base(handler.index) {
		return false
	}
	if core.age(entry) > core.settings.IdleTimeout {
		return false
	}
	entry.lastSeen = core.timestamp
	return true
}

// age returns the time since the record's flow was last seen.
func (core *Core) age(entry *record) time.Duration {
	return time.Duration(core.timestamp-entry.lastSeen) * timestampUnit
}
