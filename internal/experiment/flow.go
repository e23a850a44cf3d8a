package experiment

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// flowState is where a caller is with its flow.
type flowState uint8

const (
	flowOpening flowState = iota
	flowEstablished
	flowClosing
	flowCompleted
	flowBroken
	flowRefused
	flowFailed // the opening was never answered
)

// none marks a host or node that is not set.
const none = int32(-1)

// flow is one flow as its caller, and the run's bookkeeping, see it.
type flow struct {
	key       lb.FlowKey
	openingID uint32
	service   int32
	traffic   int32
	state     flowState
	attempts  uint8
	ran       bool // the tap's request has been taken by its host
	doubled   bool // counted in RunTwice
	falsified bool // counted in FalseNotRun
	notRun    bool // refused as NotRun
	awaiting  bool // a packet is not yet acknowledged
	firstHost int32
	segment   int32
	timer     uint32 // generation: timers of an older one are void
	born      time.Duration
	ends      time.Duration
}

// Retransmission by callers (RFC 6298 minimum of one second, doubled each time).
const (
	firstRetransmit    = time.Second
	openingAttempts    = 5
	establishedRetries = 6
)

// virtualAddress gives the front end of a service, by its index.
func virtualAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(service >> 8), byte(service)}), 443)
}

// hostAddress gives the Geneve endpoint of a host, by its index.
func hostAddress(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(host >> 8), byte(host)}), 6081)
}

// callerAddress gives each flow its own address and port.
func callerAddress(index int) netip.AddrPort {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 0x0a000000|uint32(index>>10))
	return netip.AddrPortFrom(netip.AddrFrom4(address), uint16(1024+index&0x3ff))
}

// newFlow adds a flow and gives its index.
func (run *run) newFlow(service, traffic int32) int32 {
	index := int32(len(run.flows))
	run.flows = append(run.flows, flow{
		key:       lb.NewFlowKey(callerAddress(int(index)), virtualAddress(int(service)), lb.TCP),
		openingID: run.workload.Uint32() | 1,
		service:   service,
		traffic:   traffic,
		firstHost: none,
		born:      run.queue.Now(),
	})
	return index
}

// exponential draws from an exponential distribution.
func (run *run) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * run.workload.ExpFloat64())
}

// arrive opens a new flow and schedules the next arrival (open loop).
func (run *run) arrive(service, traffic int32) {
	spec := &run.services[service].spec.Traffic[traffic]
	gap := time.Duration(float64(time.Second) / spec.OpensPerSecond * run.workload.ExpFloat64())
	if run.queue.Now()+gap < run.scenario.Duration {
		run.queue.After(gap, event{kind: eventArrival, index: service, other: traffic})
	}
	run.open(run.newFlow(service, traffic))
}

func (run *run) open(index int32) {
	run.result.Opened++
	run.flows[index].attempts = 1
	run.send(index, core.PacketOpening)
	run.armTimer(index, firstRetransmit)
}

// prefill sets up the flows that are open at the start: the stationary
// population of each feed, on the hosts of the first placement.
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
		flow.ends = run.exponential(spec.MeanDuration)
		run.result.Opened++
		run.result.Established++
		run.openFlows++
		run.armTimer(index, time.Duration(run.workload.Float64()*float64(spec.PacketEvery)))
	}
}

// armTimer sets the flow's only timer.
func (run *run) armTimer(index int32, after time.Duration) {
	flow := &run.flows[index]
	flow.timer++
	run.queue.After(after, event{kind: eventTimer, index: index, generation: flow.timer})
}

// timer is the flow's timer: a retransmission, or a feed's next packet.
func (run *run) timer(index int32, generation uint32) {
	flow := &run.flows[index]
	if flow.timer != generation {
		return
	}
	switch flow.state {
	case flowOpening:
		run.retransmitOpening(index)
	case flowEstablished, flowClosing:
		if flow.awaiting {
			run.retransmit(index)
			return
		}
		run.nextPacket(index)
	case flowCompleted, flowBroken, flowRefused, flowFailed:
	}
}

func (run *run) retransmitOpening(index int32) {
	flow := &run.flows[index]
	if flow.attempts >= openingAttempts {
		flow.state = flowFailed
		run.result.OpeningFailed++
		return
	}
	run.send(index, core.PacketOpening)
	run.armTimer(index, firstRetransmit<<flow.attempts)
	flow.attempts++
}

func (run *run) retransmit(index int32) {
	flow := &run.flows[index]
	if flow.attempts >= establishedRetries {
		run.breakFlow(index, CauseSilent)
		return
	}
	run.sendAwaiting(index)
	run.armTimer(index, firstRetransmit<<flow.attempts)
	flow.attempts++
}

// sendAwaiting sends the packet that waits for its acknowledgement.
func (run *run) sendAwaiting(index int32) {
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
		finished = run.queue.Now() >= flow.ends
	case Upload:
		finished = flow.segment >= int32(spec.Segments)
	case Tap:
		finished = flow.segment >= 1
	}
	if finished {
		flow.state = flowClosing
	}
	flow.awaiting = true
	flow.attempts = 0
	run.sendAwaiting(index)
	run.armTimer(index, firstRetransmit)
	flow.attempts = 1
}

func (run *run) trafficOf(flow *flow) Traffic {
	return run.services[flow.service].spec.Traffic[flow.traffic]
}

// answerKind is what reaches a caller.
type answerKind uint8

const (
	answerAccepted     answerKind = iota + 1 // SYN-ACK
	answerAcknowledged                       // acknowledgement of a middle packet
	answerReply                              // the tap's answer
	answerClosed
	answerReset // RST of a host
	answerNotRun
	answerMayHaveRun
)

// answered handles what reaches the caller of a flow.
func (run *run) answered(index int32, kind answerKind, retryAfter time.Duration) {
	flow := &run.flows[index]
	switch {
	case flow.state == flowOpening:
		run.answeredOpening(index, kind, retryAfter)
	case flow.state == flowEstablished || flow.state == flowClosing:
		run.answeredEstablished(index, kind)
	}
}

func (run *run) answeredOpening(index int32, kind answerKind, retryAfter time.Duration) {
	flow := &run.flows[index]
	switch kind {
	case answerAccepted:
		flow.state = flowEstablished
		run.result.Established++
		run.openFlows++
		run.result.FlowsOpenPeak = max(run.result.FlowsOpenPeak, run.openFlows)
		if spec := run.trafficOf(flow); spec.Kind == Feed {
			flow.ends = run.queue.Now() + run.exponential(spec.MeanDuration)
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
	case answerAcknowledged, answerReply, answerClosed:
	}
}

func (run *run) answeredEstablished(index int32, kind answerKind) {
	flow := &run.flows[index]
	switch kind {
	case answerReset:
		run.breakFlow(index, CauseReset)
	case answerNotRun, answerMayHaveRun:
		run.breakFlow(index, CauseRefused)
	case answerAcknowledged, answerReply:
		run.acknowledged(index, kind)
	case answerClosed:
		if flow.state == flowClosing {
			flow.state = flowCompleted
			run.result.Completed++
			run.openFlows--
		}
	case answerAccepted:
	}
}

func (run *run) acknowledged(index int32, kind answerKind) {
	flow := &run.flows[index]
	if !flow.awaiting || flow.state != flowEstablished {
		return
	}
	spec := run.trafficOf(flow)
	if spec.Kind == Tap && kind != answerReply {
		return // taken, not yet answered
	}
	flow.awaiting = false
	flow.segment++
	switch spec.Kind {
	case Feed:
		gap := time.Duration((0.5 + run.workload.Float64()) * float64(spec.PacketEvery))
		run.armTimer(index, gap)
	case Tap:
		run.recordLatency(flow, Tap)
		run.nextPacket(index)
	case Upload:
		if flow.segment == int32(spec.Segments) {
			run.recordLatency(flow, Upload)
		}
		run.nextPacket(index)
	}
}

func (run *run) recordLatency(flow *flow, kind FlowKind) {
	elapsed := int64((run.queue.Now() - flow.born) / time.Microsecond)
	_ = run.latency[kind].RecordValue(min(max(elapsed, lowestLatency), highestLatency))
}

func (run *run) breakFlow(index int32, cause Cause) {
	flow := &run.flows[index]
	flow.state = flowBroken
	run.openFlows--
	run.result.Broken[cause]++
	run.result.BrokenTotal++
}
