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
	if core.heads(current.group) {
		current.head(lb.Relay{Ingress: core.self.Hash, Established: established})
		return
	}
	if pin := current.pin(); pin != nil && core.stamp-pin.lastSeen < toStamp(core.settings.PinLifetime) {
		core.stats.PinnedPackets++
		current.forward(pin.backend)
		return
	}
	current.throughChain(established)
}

// calm tells whether every flow of the bucket is on the base back end, as far
// as this node can tell.
func (current *turn) calm() bool {
	core := current.core
	return core.sure && !core.justJoined() && stateless(current.service.table, current.index)
}

// joinHold is longer than any placement waits to be acknowledged (docs/DESIGN.md,
// "Placement"). A placement that was prepared before this node counted as a
// member did not wait for it.
const joinHold = 3 * time.Second

func (core *Core) justJoined() bool {
	return core.joinedAt != 0 && core.now-core.joinedAt < joinHold && !core.members.alone()
}

// pin gives the pin of the flow, or nil.
func (current *turn) pin() *record {
	if current.bucket == nil {
		return nil
	}
	return current.bucket.pins.get(current.flow)
}

// knownFlow gives the entry of the UDP flow among those that this node knows, or nil.
func (current *turn) knownFlow() *record {
	if current.bucket == nil {
		return nil
	}
	return current.bucket.known.get(current.flow)
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
	if core.heads(current.group) {
		current.head(relay)
		return
	}
	current.relay(current.group.chain.head, relay)
}

// forwardToBase forwards a packet of a bucket that needs no records.
func (current *turn) forwardToBase() {
	current.remember(current.service.table.Base(current.index))
	current.forward(current.service.table.Base(current.index))
}

// remember keeps a UDP flow of a bucket that needs no records as known on the
// base back end: its packets do not tell later whether the flow is new, and a
// record would end with OpeningHold.
func (current *turn) remember(base lb.BackendID) {
	if current.packet.Kind != PacketUnmarked {
		return
	}
	entry := current.core.known(current.held(), current.flow)
	learned := entry.backend != base
	entry.backend = base
	entry.lastSeen = current.core.stamp
	if learned {
		current.core.handover.learned(current.core, current.service, current.held(), entry)
	}
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
	entry := current.knownFlow()
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
