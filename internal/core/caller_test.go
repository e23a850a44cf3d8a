package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// caller is one flow as its caller sees it.
type caller struct {
	network     *network
	key         lb.FlowKey
	openingID   uint32
	established bool
	host        string
	ends        time.Duration
	lostInRow   int // packets of the open flow since the last that was forwarded
	refused     bool
}

// lostInRowLimit is the number of packets lost one after another that loss alone does not explain.
const lostInRowLimit = 15

// openingGaps are the times between the copies of an opening (RFC 6298).
var openingGaps = []time.Duration{time.Second, 2 * time.Second}

func (flow *caller) udp() bool { return flow.key.Protocol == lb.UDP }

// mayMove tells whether the flow is not promised to stay on its back end. A UDP
// flow may have been known only to a node that died or paused.
func (flow *caller) mayMove() bool {
	return flow.network.plan.Unplanned || flow.udp() && flow.network.interrupted
}

// open sends the opening and, until it is answered, its copies.
func (flow *caller) open(copies int) {
	if flow.established || flow.refused {
		return
	}
	kind := PacketOpening
	if flow.udp() {
		kind = PacketUnmarked
	}
	flow.network.spray(Packet{Key: flow.key, Kind: kind, OpeningID: flow.openingID})
	if copies < len(openingGaps) {
		id := flow.openingID
		flow.network.after(openingGaps[copies], func() {
			if flow.openingID == id {
				flow.open(copies + 1)
			}
		})
	}
}

// heard tells the caller what became of a packet.
func (flow *caller) heard(packet Packet, decision Decision) {
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
		flow.stays(decision)
	case isOpening || flow.udp():
		flow.answered(decision.Host.String())
	}
}

func (flow *caller) stays(decision Decision) {
	flow.lostInRow = 0
	host := decision.Host.String()
	if host == flow.host {
		return
	}
	flow.network.moved++
	if !flow.mayMove() {
		flow.network.violate(flowStays, "bucket %d %v: %s, was %s", flow.key.ID().Bucket(), flow.key.Protocol, host, flow.host)
	}
}

// answered opens the flow, unless the answer is lost.
func (flow *caller) answered(host string) {
	if !flow.udp() && flow.network.percent(flow.network.plan.Unanswered) {
		return
	}
	flow.established = true
	flow.host = host
	flow.network.established++
	flow.later()
}

// later sends the packets of the open flow, some after long silences. What was
// lost is sent again soon.
func (flow *caller) later() {
	network := flow.network
	gap := network.millis(50, 1500)
	if flow.lostInRow == 0 && network.percent(network.plan.Silences) {
		gap = network.millis(2000, 9000)
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
		flow.lostInRow++
		if flow.lostInRow > lostInRowLimit && !flow.mayMove() {
			network.violate(flowStays, "bucket %d: cut off", flow.key.ID().Bucket())
		}
		network.spray(Packet{Key: flow.key, Kind: kind})
		flow.later()
	})
}

// reopen uses the 5-tuple for another flow.
func (flow *caller) reopen(ends time.Duration) {
	flow.openingID++
	flow.established, flow.refused, flow.lostInRow = false, false, 0
	flow.ends = ends
	flow.open(0)
}
