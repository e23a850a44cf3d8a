package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// ingress handles a packet from the fabric. Openings go through the chain,
// always; others only where flows may be away from the base.
func (current *turn) ingress() {
	core := current.core
	if current.opening() {
		if core.off.noOpeningThroughChain && current.calm() {
			current.forward(current.service.table.Base(current.index))
			return
		}
		current.throughChain(false)
		return
	}
	if current.calm() {
		current.forwardToBase()
		return
	}
	established := current.established()
	if core.heads(current.bucket) {
		current.head(lb.Relay{Ingress: core.self.Hash, Established: established})
		return
	}
	if pin := current.bucket.pins.get(current.flow); pin != nil && core.stamp-pin.lastSeen < toStamp(core.settings.PinLifetime) {
		core.stats.PinnedPackets++
		current.forward(pin.backend)
		return
	}
	current.throughChain(established)
}

// calm tells whether every flow of the bucket is on the base back end, as far
// as this node can tell.
func (current *turn) calm() bool {
	return current.core.sure && stateless(current.service.table, current.index)
}

// throughChain passes a packet from the fabric to the head.
func (current *turn) throughChain(established bool) {
	core := current.core
	relay := lb.Relay{
		Hop:         lb.HopHead,
		Ingress:     core.self.Hash,
		Version:     current.service.table.Version(),
		Established: established,
	}
	if core.heads(current.bucket) {
		current.head(relay)
		return
	}
	current.relay(current.bucket.chain.head, relay)
}

// forwardToBase forwards a packet of a bucket that needs no records. UDP flows
// are remembered: their packets do not tell later whether the flow is new.
func (current *turn) forwardToBase() {
	base := current.service.table.Base(current.index)
	if current.packet.Kind == PacketUnmarked {
		entry := current.core.known(current.bucket, current.flow)
		learned := entry.backend != base
		entry.backend = base
		entry.lastSeen = current.core.stamp
		if learned {
			current.core.handover.learned(current.core, current.service, current.bucket, entry)
		}
	}
	current.forward(base)
}

// known gives the entry of a UDP flow that this node knows, a new one if need be.
func (core *Core) known(bucket *bucket, flow lb.FlowID) *record {
	if bucket.known == nil {
		bucket.known = &flowTable{}
	}
	return bucket.known.put(flow)
}

// established tells whether this node saw the UDP flow, on the present base
// back end, before the bucket was in motion.
func (current *turn) established() bool {
	if current.packet.Kind != PacketUnmarked {
		return false
	}
	core := current.core
	entry := current.bucket.known.get(current.flow)
	if entry == nil || entry.backend != current.service.table.Base(current.index) {
		return false
	}
	if core.age(entry) > core.settings.IdleTimeout {
		return false
	}
	entry.lastSeen = core.stamp
	return true
}

// age is the time since the record's flow was last seen.
func (core *Core) age(entry *record) time.Duration {
	return time.Duration(core.stamp-entry.lastSeen) * stampUnit
}
