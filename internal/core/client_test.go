package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// client is one flow as its caller sees it.
type client struct {
	network         *network
	key             lb.FlowKey
	openingID       uint32
	established     bool
	host            string
	ends            time.Duration
	consecutiveLost int // packets of the open flow since the last that was forwarded
	refused         bool
}

// maxConsecutiveLost is the number of packets lost one after another that loss alone does not explain.
const maxConsecutiveLost = 15

// retransmitDelays are the times between the copies of an opening (RFC 6298).
var retransmitDelays = []time.Duration{time.Second, 2 * time.Second}

func (flow *client) udp() bool { return flow.key.Protocol == lb.UDP }

// mayMove tells whether the flow is not promised to stay on its back end. A UDP
// flow may have been known only to a node that died or paused.
func (flow *client) mayMove() bool {
	return flow.network.plan.MayMove || flow.udp() && flow.network.interrupted
}

// open sends the opening and, until it is answered, its copies.
func (flow *client) open(copies int) {
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

// observe tells the caller what became of a packet.
func (flow *client) observe(packet Packet, decision Decision) {
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

func (flow *client) checkBackend(decision Decision) {
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

// establish opens the flow, unless the answer is lost.
func (flow *client) establish(host string) {
	if !flow.udp() && flow.network.chance(flow.network.plan.UnansweredPercent) {
		return
	}
	flow.established = true
	flow.host = host
	flow.network.established++
	flow.sendLater()
}

// sendLater sends the packets of the open flow, some after long silences. What was
// lost is sent again soon.
func (flow *client) sendLater() {
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
			network.violate(flowStays, "bucket %d: cut off", flow.key.ID().Bucket())
		}
		network.sendToAnyNode(Packet{Key: flow.key, Kind: kind})
		flow.sendLater()
	})
}

// reopen uses the 5-tuple for another flow.
func (flow *client) reopen(ends time.Duration) {
	flow.openingID++
	flow.established, flow.refused, flow.consecutiveLost = false, false, 0
	flow.ends = ends
	flow.open(0)
}
