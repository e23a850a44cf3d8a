package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// clientFlow is one flow as its client sees it.
type clientFlow struct {
	network         *network
	key             lb.FlowKey
	openingID       uint32
	established     bool
	host            string
	ends            time.Duration
	consecutiveLost int // packets of the open flow sent since one was last forwarded
	refused         bool
}

// maxConsecutiveLost is the number of consecutive lost packets above which random loss is no longer
// a plausible explanation.
const maxConsecutiveLost = 15

// retransmitDelays are the times between the copies of an opening (RFC 6298).
var retransmitDelays = []time.Duration{time.Second, 2 * time.Second}

func (flow *clientFlow) udp() bool { return flow.key.Protocol == lb.UDP }

// mayMove reports whether the flow may move to another back end without violating a property. This
// includes UDP flows after a node has died or paused, because that node may have been the only one
// to know the flow.
func (flow *clientFlow) mayMove() bool {
	return flow.network.plan.MayMove || flow.udp() && flow.network.interrupted
}

// open sends the opening and, until it is answered or refused, its copies.
func (flow *clientFlow) open(copies int) {
	if flow.established || flow.refused {
		return
	}
	kind := PacketOpening
	if flow.udp() {
		kind = PacketUnmarked
	}
	flow.network.sendToAnyNode(Packet{Key: flow.key, Kind: kind, OpeningID: flow.openingID})
	if copies < len(retransmitDelays) {
		id := flow.openingID
		flow.network.after(retransmitDelays[copies], func() {
			if flow.openingID == id {
				flow.open(copies + 1)
			}
		})
	}
}

// observe updates the flow after a decision on one of its packets and checks flowStays.
func (flow *clientFlow) observe(packet Packet, decision Decision) {
	network := flow.network
	isOpening := packet.Kind == PacketOpening
	if isOpening && packet.OpeningID != flow.openingID {
		return
	}
	switch {
	case decision.Action == ActionRefuse && isOpening && !flow.established:
		flow.refused = true
	case decision.Action == ActionRefuse && flow.established && !flow.mayMove():
		network.violate(flowStays, "bucket %d: refused: %s", flow.key.ID().Bucket(), decision.Reason)
	case decision.Action != ActionForward:
	case flow.established:
		flow.checkBackend(decision)
	case isOpening || flow.udp():
		flow.establish(decision.Host.String())
	}
}

func (flow *clientFlow) checkBackend(decision Decision) {
	flow.consecutiveLost = 0
	host := decision.Host.String()
	if host == flow.host {
		return
	}
	flow.network.moved++
	if !flow.mayMove() {
		flow.network.violate(flowStays, "bucket %d %v: %s, was %s", flow.key.ID().Bucket(), flow.key.Protocol, host, flow.host)
	}
}

// establish marks the flow as open, unless the back end's answer is lost.
func (flow *clientFlow) establish(host string) {
	if !flow.udp() && flow.network.chance(flow.network.plan.UnansweredPercent) {
		return
	}
	flow.established = true
	flow.host = host
	flow.network.established++
	flow.sendLater()
}

// sendLater sends the packets of the open flow, with occasional long idle periods. After a lost
// packet, the next one follows soon.
func (flow *clientFlow) sendLater() {
	network := flow.network
	gap := network.randomMillis(50, 1500)
	if flow.consecutiveLost == 0 && network.chance(network.plan.IdlePercent) {
		gap = network.randomMillis(2000, 9000)
	}
	id := flow.openingID
	network.after(gap, func() {
		if flow.openingID != id || network.now > flow.ends {
			return
		}
		kind := PacketMiddle
		if flow.udp() {
			kind = PacketUnmarked
		}
		flow.consecutiveLost++
		if flow.consecutiveLost > maxConsecutiveLost && !flow.mayMove() {
			network.violate(flowStays, "bucket %d: no packet forwarded any more", flow.key.ID().Bucket())
		}
		network.sendToAnyNode(Packet{Key: flow.key, Kind: kind})
		flow.sendLater()
	})
}

// reopen reuses the 5-tuple for another flow.
func (flow *clientFlow) reopen(ends time.Duration) {
	flow.openingID++
	flow.established, flow.refused, flow.consecutiveLost = false, false, 0
	flow.ends = ends
	flow.open(0)
}
