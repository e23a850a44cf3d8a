package experiment

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// host is one back-end host, with its connections and with the slots that execute requests.
type host struct {
	service          int32
	number           int // index in its service
	zone             lb.Zone
	flows            map[int32]struct{} // open connections, by flow index
	slotFreeAt       []time.Duration    // when each slot becomes free
	leaving          bool
	drainRequestedAt time.Duration // when its drain was requested
}

// DrainDeadline is the maximum time after a drain request during which a back end may still receive
// new flows. Later flows are counted in Result.LateNew.
const DrainDeadline = 3 * time.Second

// packetAtHost handles a packet that reaches a host.
func (run *run) packetAtHost(hostIndex, flowIndex int32, kind core.PacketKind) {
	host, flow := &run.hosts[hostIndex], &run.flows[flowIndex]
	if host.service != flow.service {
		run.result.WrongService++
		return
	}
	if kind == core.PacketOpening {
		run.openingAtHost(hostIndex, flowIndex)
		return
	}
	if _, known := host.flows[flowIndex]; !known {
		run.unknownFlowAtHost(hostIndex, flowIndex, kind)
		return
	}
	if kind == core.PacketClosing {
		delete(host.flows, flowIndex)
		run.sendAnswer(flowIndex, answerClosed, 0)
		return
	}
	run.handleFlowPacket(host, flowIndex)
}

// unknownFlowAtHost handles a packet of a flow that is not open at the host. A host that never had
// the flow resets it. The flow's first host acknowledges a closing packet again and ignores all
// other packets.
func (run *run) unknownFlowAtHost(hostIndex, flowIndex int32, kind core.PacketKind) {
	flow := &run.flows[flowIndex]
	if hostIndex != flow.firstHost {
		run.sendAnswer(flowIndex, answerReset, 0)
		return
	}
	if kind == core.PacketClosing {
		run.sendAnswer(flowIndex, answerClosed, 0)
	}
}

// openingAtHost handles an opening that reaches a host. A host without a free connection resets the
// flow.
func (run *run) openingAtHost(hostIndex, flowIndex int32) {
	host, flow := &run.hosts[hostIndex], &run.flows[flowIndex]
	if flow.firstHost == none {
		run.countLateNew(host)
		flow.firstHost = hostIndex
	}
	if flow.firstHost != hostIndex && !flow.countedRunTwice {
		flow.countedRunTwice = true
		run.result.RunTwice++
	}
	run.countFalseNotRun(flow)
	if _, known := host.flows[flowIndex]; !known {
		if flow.state != flowOpening {
			return // a delayed copy of the opening: the flow has left the opening state
		}
		if len(host.flows) >= run.services[host.service].spec.Connections {
			run.sendAnswer(flowIndex, answerReset, 0)
			return
		}
		host.flows[flowIndex] = struct{}{}
	}
	run.sendAnswer(flowIndex, answerAccepted, 0)
}

// countLateNew counts a new flow at a host whose drain was requested more than DrainDeadline ago.
func (run *run) countLateNew(host *host) {
	if host.leaving && run.queue.Now() > host.drainRequestedAt+DrainDeadline {
		run.result.LateNew++
	}
}

// countFalseNotRun counts, once, a flow that a balancer refused as NotRun although a host received
// its opening.
func (run *run) countFalseNotRun(flow *flow) {
	if flow.refusedNotRun && flow.firstHost != none && !flow.countedFalseNotRun {
		flow.countedFalseNotRun = true
		run.result.FalseNotRun++
	}
}

// handleFlowPacket handles a packet of an open flow. The request of a tap runs in the slot that
// becomes free first.
func (run *run) handleFlowPacket(host *host, flowIndex int32) {
	flow := &run.flows[flowIndex]
	spec := run.trafficOf(flow)
	if spec.Kind != Tap {
		run.sendAnswer(flowIndex, answerAcknowledged, 0)
		return
	}
	if flow.requestAccepted {
		return // a retransmitted request: the response to the first copy is already scheduled
	}
	flow.requestAccepted = true
	slot := indexOfEarliest(host.slotFreeAt)
	start := max(host.slotFreeAt[slot], run.queue.Now())
	host.slotFreeAt[slot] = start + run.exponential(spec.ServiceTime)
	run.sendAnswer(flowIndex, answerResponse, host.slotFreeAt[slot]-run.queue.Now())
}

// indexOfEarliest returns the index of the earliest time.
func indexOfEarliest(times []time.Duration) int {
	best := 0
	for i, at := range times {
		if at < times[best] {
			best = i
		}
	}
	return best
}

// sendAnswer sends an answer from a host directly to the client, past the balancers (direct server
// return).
func (run *run) sendAnswer(flowIndex int32, kind answerKind, after time.Duration) {
	delay := after + run.scenario.Delays.Client
	run.queue.After(delay, event{kind: eventAnswerAtClient, index: flowIndex, other: int32(kind)})
}
