package experiment

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// host is one back end host: its connections, and slots in which requests run.
type host struct {
	service  int32
	number   int // index in its service
	zone     lb.Zone
	flows    map[int32]struct{}
	slotFree []time.Duration
	leaving  bool
	left     time.Duration // when it was told to leave
}

// LateLimit is how long after a drain a back end may still get new flows.
const LateLimit = 3 * time.Second

// atHost handles a packet that reached a host.
func (run *run) atHost(hostIndex, flowIndex int32, kind core.PacketKind) {
	host, flow := &run.hosts[hostIndex], &run.flows[flowIndex]
	if host.service != flow.service {
		run.result.WrongService++
		return
	}
	if kind == core.PacketOpening {
		run.openAtHost(hostIndex, flowIndex)
		return
	}
	if _, known := host.flows[flowIndex]; !known {
		run.strayAtHost(hostIndex, flowIndex, kind)
		return
	}
	if kind == core.PacketClosing {
		delete(host.flows, flowIndex)
		run.answer(flowIndex, answerClosed, 0)
		return
	}
	run.serve(host, flowIndex)
}

// strayAtHost handles a packet of a flow that the host does not have.
func (run *run) strayAtHost(hostIndex, flowIndex int32, kind core.PacketKind) {
	flow := &run.flows[flowIndex]
	if hostIndex != flow.firstHost {
		run.answer(flowIndex, answerReset, 0)
		return
	}
	if kind == core.PacketClosing {
		run.answer(flowIndex, answerClosed, 0)
	}
}

func (run *run) openAtHost(hostIndex, flowIndex int32) {
	host, flow := &run.hosts[hostIndex], &run.flows[flowIndex]
	if flow.firstHost == none {
		run.countLate(host)
		flow.firstHost = hostIndex
	}
	if flow.firstHost != hostIndex && !flow.doubled {
		flow.doubled = true
		run.result.RunTwice++
	}
	run.checkNotRun(flow)
	if _, known := host.flows[flowIndex]; !known {
		if flow.state != flowOpening {
			return // a copy that came after the flow ended
		}
		if len(host.flows) >= run.services[host.service].spec.Connections {
			run.answer(flowIndex, answerReset, 0)
			return
		}
		host.flows[flowIndex] = struct{}{}
	}
	run.answer(flowIndex, answerAccepted, 0)
}

func (run *run) countLate(host *host) {
	if host.leaving && run.queue.Now() > host.left+LateLimit {
		run.result.LateNew++
	}
}

// checkNotRun counts a flow that was refused as not run although a host got it.
func (run *run) checkNotRun(flow *flow) {
	if flow.notRun && flow.firstHost != none && !flow.falsified {
		flow.falsified = true
		run.result.FalseNotRun++
	}
}

// serve handles a middle packet of a known flow.
func (run *run) serve(host *host, flowIndex int32) {
	flow := &run.flows[flowIndex]
	spec := run.trafficOf(flow)
	if spec.Kind != Tap {
		run.answer(flowIndex, answerAcknowledged, 0)
		return
	}
	if flow.ran {
		return // a retransmission of a request that is being served; its answer is sent once done
	}
	flow.ran = true
	slot := earliest(host.slotFree)
	start := max(host.slotFree[slot], run.queue.Now())
	host.slotFree[slot] = start + run.exponential(spec.ServiceTime)
	run.answer(flowIndex, answerReply, host.slotFree[slot]-run.queue.Now())
}

func earliest(times []time.Duration) int {
	best := 0
	for i, at := range times {
		if at < times[best] {
			best = i
		}
	}
	return best
}

// answer sends something from a host straight to the caller (direct server return).
func (run *run) answer(flowIndex int32, kind answerKind, after time.Duration) {
	delay := after + run.scenario.Delays.Client
	run.queue.After(delay, event{kind: eventAnswer, index: flowIndex, other: int32(kind)})
}
