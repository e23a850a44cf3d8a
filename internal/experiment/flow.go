package experiment

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// flowState is the state of a flow at its client.
type flowState uint8

// The states of a flow. The last four are final.
const (
	flowOpening flowState = iota
	flowEstablished
	flowClosing // the client sent a closing packet
	flowCompleted
	flowBroken  // see Cause
	flowRefused // a balancer refused the opening
	flowFailed  // the opening was never answered, or a host reset it
)

// none is the index of a host or node that is not set.
const none = int32(-1)

// flow is the state of one flow at its client, with the records that the result is computed from.
type flow struct {
	key                lb.FlowKey
	openingID          uint32
	service            int32 // index in run.services
	traffic            int32 // index in the service's Traffic
	state              flowState
	attempts           uint8  // number of times that the client sent the last packet
	requestAccepted    bool   // a host accepted the request of the tap
	countedRunTwice    bool   // already counted in Result.RunTwice
	countedFalseNotRun bool   // already counted in Result.FalseNotRun
	refusedNotRun      bool   // a balancer refused the opening as NotRun
	awaitingAck        bool   // the last packet is not yet acknowledged
	firstHost          int32  // the first host that received the opening, or none
	acknowledged       int32  // number of acknowledged packets
	timerGeneration    uint32 // generation of the armed timer; timers of an older generation are ignored
	openedAt           time.Duration
	closesAt           time.Duration // when a feed closes
}

// Retransmission by clients. The timeout starts at the minimum of RFC 6298, one second, and doubles
// with each retransmission.
const (
	initialRetransmitTimeout = time.Second
	maxOpeningAttempts       = 5
	maxEstablishedAttempts   = 6
)

// virtualAddress returns the front-end address of the service with the given index.
func virtualAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(service >> 8), byte(service)}), 443)
}

// hostAddress returns the Geneve endpoint of the host with the given index.
func hostAddress(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(host >> 8), byte(host)}), 6081)
}

// clientAddress returns the client address and port of the flow with the given index. No two flows
// share them.
func clientAddress(index int) netip.AddrPort {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 0x0a000000|uint32(index>>10))
	return netip.AddrPortFrom(netip.AddrFrom4(address), uint16(1024+index&0x3ff))
}

// newFlow adds a flow and returns its index.
func (run *run) newFlow(service, traffic int32) int32 {
	index := int32(len(run.flows))
	run.flows = append(run.flows, flow{
		key:       lb.NewFlowKey(clientAddress(int(index)), virtualAddress(int(service)), lb.TCP),
		openingID: run.workloadRandom.Uint32() | 1,
		service:   service,
		traffic:   traffic,
		firstHost: none,
		openedAt:  run.queue.Now(),
	})
	return index
}

// exponential draws a duration from an exponential distribution with the given mean.
func (run *run) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * run.workloadRandom.ExpFloat64())
}

// handleArrival opens a new flow and schedules the next arrival. Arrivals are open-loop: their rate
// does not depend on the answers.
func (run *run) handleArrival(service, traffic int32) {
	spec := &run.services[service].spec.Traffic[traffic]
	gap := time.Duration(float64(time.Second) / spec.OpensPerSecond * run.workloadRandom.ExpFloat64())
	if run.queue.Now()+gap < run.scenario.Duration {
		run.queue.After(gap, event{kind: eventArrival, index: service, other: traffic})
	}
	run.openFlow(run.newFlow(service, traffic))
}

// openFlow sends the opening of a flow.
func (run *run) openFlow(index int32) {
	run.result.Opened++
	run.flows[index].attempts = 1
	run.send(index, core.PacketOpening)
	run.armTimer(index, initialRetransmitTimeout)
}

// prefill establishes the feeds that are open at the start of the run: the steady-state number of
// flows, on the hosts that the first placement selects. Other kinds of traffic start without open
// flows.
func (run *run) prefill(service, traffic int32) {
	spec := &run.services[service].spec.Traffic[traffic]
	if spec.Kind != Feed {
		return
	}
	count := int(math.Round(spec.OpensPerSecond * spec.MeanDuration.Seconds()))
	for range count {
		index := run.newFlow(service, traffic)
		flow := &run.flows[index]
		flow.state = flowEstablished
		host := run.initialHost(index)
		flow.firstHost = host
		run.hosts[host].flows[index] = struct{}{}
		flow.closesAt = run.exponential(spec.MeanDuration)
		run.result.Opened++
		run.result.Established++
		run.openFlows++
		run.armTimer(index, time.Duration(run.workloadRandom.Float64()*float64(spec.PacketEvery)))
	}
}

// armTimer sets the timer of a flow. A flow has one timer, so an earlier timer is cancelled.
func (run *run) armTimer(index int32, after time.Duration) {
	flow := &run.flows[index]
	flow.timerGeneration++
	run.queue.After(after, event{kind: eventTimer, index: index, generation: flow.timerGeneration})
}

// handleTimer handles the expiry of a flow's timer: it retransmits the last packet, or sends the
// next packet of a feed.
func (run *run) handleTimer(index int32, generation uint32) {
	flow := &run.flows[index]
	if flow.timerGeneration != generation {
		return
	}
	switch flow.state {
	case flowOpening:
		run.retransmitOpening(index)
	case flowEstablished, flowClosing:
		if flow.awaitingAck {
			run.retransmit(index)
			return
		}
		run.nextPacket(index)
	case flowCompleted, flowBroken, flowRefused, flowFailed:
	}
}

// retransmitOpening sends the opening again, or ends the flow as failed after the last attempt.
func (run *run) retransmitOpening(index int32) {
	flow := &run.flows[index]
	if flow.attempts >= maxOpeningAttempts {
		flow.state = flowFailed
		run.result.OpeningFailed++
		return
	}
	run.send(index, core.PacketOpening)
	run.armTimer(index, initialRetransmitTimeout<<flow.attempts)
	flow.attempts++
}

// retransmit sends the unacknowledged packet again, or ends the flow as broken after the last
// attempt.
func (run *run) retransmit(index int32) {
	flow := &run.flows[index]
	if flow.attempts >= maxEstablishedAttempts {
		run.breakFlow(index, CauseUnanswered)
		return
	}
	run.sendUnacknowledged(index)
	run.armTimer(index, initialRetransmitTimeout<<flow.attempts)
	flow.attempts++
}

// sendUnacknowledged sends the packet that awaits an acknowledgement.
func (run *run) sendUnacknowledged(index int32) {
	kind := core.PacketMiddle
	if run.flows[index].state == flowClosing {
		kind = core.PacketClosing
	}
	run.send(index, kind)
}

// nextPacket sends the next packet of an established flow, or closes it.
func (run *run) nextPacket(index int32) {
	flow := &run.flows[index]
	spec := run.trafficOf(flow)
	finished := false
	switch spec.Kind {
	case Feed:
		finished = run.queue.Now() >= flow.closesAt
	case Upload:
		finished = flow.acknowledged >= int32(spec.Segments)
	case Tap:
		finished = flow.acknowledged >= 1
	}
	if finished {
		flow.state = flowClosing
	}
	flow.awaitingAck = true
	flow.attempts = 0
	run.sendUnacknowledged(index)
	run.armTimer(index, initialRetransmitTimeout)
	flow.attempts = 1
}

// trafficOf returns the traffic to which a flow belongs.
func (run *run) trafficOf(flow *flow) Traffic {
	return run.services[flow.service].spec.Traffic[flow.traffic]
}

// answerKind is the kind of a packet that reaches the client.
type answerKind uint8

const (
	answerAccepted     answerKind = iota + 1 // SYN-ACK
	answerAcknowledged                       // acknowledgement of a middle packet
	answerResponse                           // response to the request of a tap
	answerClosed                             // acknowledgement of a closing packet
	answerReset                              // RST from a host
	answerNotRun                             // refusal by a balancer with the verdict lb.NotRun
	answerMayHaveRun                         // refusal by a balancer with the verdict lb.MayHaveRun
)

// handleAnswer handles an answer that reaches the client of a flow. Answers to a flow that has
// ended are ignored.
func (run *run) handleAnswer(index int32, kind answerKind, retryAfter time.Duration) {
	flow := &run.flows[index]
	switch {
	case flow.state == flowOpening:
		run.handleAnswerToOpening(index, kind, retryAfter)
	case flow.state == flowEstablished || flow.state == flowClosing:
		run.handleAnswerOnEstablished(index, kind)
	}
}

// handleAnswerToOpening handles an answer to a flow in the opening state. After a refusal with the
// verdict NotRun, the client opens a new flow.
func (run *run) handleAnswerToOpening(index int32, kind answerKind, retryAfter time.Duration) {
	flow := &run.flows[index]
	switch kind {
	case answerAccepted:
		flow.state = flowEstablished
		run.result.Established++
		run.openFlows++
		run.result.FlowsOpenPeak = max(run.result.FlowsOpenPeak, run.openFlows)
		if spec := run.trafficOf(flow); spec.Kind == Feed {
			flow.closesAt = run.queue.Now() + run.exponential(spec.MeanDuration)
			run.recordLatency(flow, Feed)
		}
		run.nextPacket(index)
	case answerNotRun:
		flow.state = flowRefused
		run.result.Refused[lb.NotRun.String()]++
		service, traffic := flow.service, flow.traffic
		run.queue.After(retryAfter, event{kind: eventRetry, index: service, other: traffic})
	case answerMayHaveRun:
		flow.state = flowRefused
		run.result.Refused[lb.MayHaveRun.String()]++
	case answerReset:
		flow.state = flowFailed
		run.result.OpeningFailed++
	case answerAcknowledged, answerResponse, answerClosed:
	}
}

// handleAnswerOnEstablished handles an answer to an established or closing flow.
func (run *run) handleAnswerOnEstablished(index int32, kind answerKind) {
	flow := &run.flows[index]
	switch kind {
	case answerReset:
		run.breakFlow(index, CauseReset)
	case answerNotRun, answerMayHaveRun:
		run.breakFlow(index, CauseRefused)
	case answerAcknowledged, answerResponse:
		run.handleAcknowledgement(index, kind)
	case answerClosed:
		if flow.state == flowClosing {
			flow.state = flowCompleted
			run.result.Completed++
			run.openFlows--
		}
	case answerAccepted:
	}
}

// handleAcknowledgement handles the acknowledgement of the last packet of an established flow.
func (run *run) handleAcknowledgement(index int32, kind answerKind) {
	flow := &run.flows[index]
	if !flow.awaitingAck || flow.state != flowEstablished {
		return
	}
	spec := run.trafficOf(flow)
	if spec.Kind == Tap && kind != answerResponse {
		return // the host accepted the request and has not responded yet
	}
	flow.awaitingAck = false
	flow.acknowledged++
	switch spec.Kind {
	case Feed:
		gap := time.Duration((0.5 + run.workloadRandom.Float64()) * float64(spec.PacketEvery))
		run.armTimer(index, gap)
	case Tap:
		run.recordLatency(flow, Tap)
		run.nextPacket(index)
	case Upload:
		if flow.acknowledged == int32(spec.Segments) {
			run.recordLatency(flow, Upload)
		}
		run.nextPacket(index)
	}
}

// recordLatency records the time since the flow was opened in the histogram of its kind.
func (run *run) recordLatency(flow *flow, kind FlowKind) {
	elapsed := int64((run.queue.Now() - flow.openedAt) / time.Microsecond)
	_ = run.latency[kind].RecordValue(min(max(elapsed, minLatencyMicros), maxLatencyMicros))
}

// breakFlow ends an established flow as broken and counts it by cause.
func (run *run) breakFlow(index int32, cause Cause) {
	flow := &run.flows[index]
	flow.state = flowBroken
	run.openFlows--
	run.result.Broken[cause]++
	run.result.BrokenTotal++
}
