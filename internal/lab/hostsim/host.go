// Package hostsim is a simulator of a back-end host. It receives flows in Geneve and answers
// clients directly. It has slots, a connection limit, a bounded queue, drain, a cold start, request
// deadlines and cancellation, and it records which requests ran.
package hostsim

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lab/stream"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Settings configures a host.
type Settings struct {
	Name         string
	Service      string
	Frontends    []netip.AddrPort // virtual addresses that the host serves
	Slots        int              // requests served concurrently
	Queue        int              // maximum number of waiting requests
	Conns        int              // maximum number of flows
	ServiceTime  time.Duration    // time of one request in a slot
	ColdStart    time.Duration    // time after the start with a service time of ServiceTime*coldFactor
	PushInterval time.Duration    // between pushes on a feed
	Seed         uint64
}

// coldFactor is the factor by which a request takes longer while the host is cold.
const coldFactor = 4

// rejectionRetryMillis is the delay after which the client of a rejected request should retry, in
// milliseconds.
const rejectionRetryMillis = 100

// job is a request that waits for a slot or occupies one.
type job struct {
	flow     *hostFlow
	request  wire.Request
	deadline time.Time // zero: none
	finishAt time.Time // zero: waiting for a slot
}

// hostFlow is the state of one TCP flow at the host.
type hostFlow struct {
	endpoint *stream.Endpoint
	lines    wire.LineReader
	feedID   string // request id, if the flow is a feed
	pushes   int
	pushAt   time.Time
}

// Host is one back-end host. Its methods may be called from several goroutines.
type Host struct {
	mutex    sync.Mutex
	settings Settings
	send     wire.Sender
	random   *rand.Rand
	started  time.Time
	flows    map[lb.FlowKey]*hostFlow
	jobs     []*job
	report   Report
	// openedFlows contains all flows ever opened, so that a late copy of an opening does not open a
	// flow again.
	openedFlows map[string]bool
	health      healthState
}

// New returns a host that sends its datagrams with send.
func New(now time.Time, settings Settings, send wire.Sender) *Host {
	return &Host{
		settings:    settings,
		send:        send,
		random:      rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		started:     now,
		flows:       map[lb.FlowKey]*hostFlow{},
		openedFlows: map[string]bool{},
		report: Report{
			Host:     settings.Name,
			Service:  settings.Service,
			Runs:     map[string]int{},
			Openings: map[string]int64{},
		},
	}
}

// Receive handles one datagram from a balancer.
func (host *Host) Receive(now time.Time, datagram []byte) {
	var decoded packet.Packet
	if packet.Decode(datagram, &decoded) != nil {
		return
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	segment := wire.SegmentOf(&decoded)
	if !slices.Contains(host.settings.Frontends, segment.Destination) {
		host.report.WrongService++
		return
	}
	if segment.Protocol == lb.UDP {
		host.receiveUDP(now, &segment)
		return
	}
	host.receiveTCP(now, &segment, &decoded)
}

func (host *Host) receiveTCP(now time.Time, segment *wire.Segment, decoded *packet.Packet) {
	flow := host.flows[decoded.Key]
	if flow == nil && decoded.Kind == core.PacketOpening {
		host.open(now, segment, decoded.Key)
		return
	}
	if flow == nil {
		host.resetUnknown(segment)
		return
	}
	host.deliver(now, flow, flow.endpoint.Receive(now, &segment.Segment))
	host.flush(flow)
	if flow.endpoint.State == stream.Reset {
		host.cancel(flow)
		delete(host.flows, decoded.Key)
	}
}

// resetUnknown answers a packet of an unknown flow with a reset. It ignores resets, and late
// packets of flows that have ended on this host.
func (host *Host) resetUnknown(segment *wire.Segment) {
	if segment.Flags.Has(packet.FlagRST) || host.openedFlows[flowName(segment.Source)] {
		return
	}
	host.report.Resets++
	host.reset(segment)
}

func (host *Host) reset(segment *wire.Segment) {
	answer := wire.Segment{Source: segment.Destination, Destination: segment.Source, Protocol: lb.TCP}
	answer.Flags = packet.FlagRST | packet.FlagACK
	answer.Sequence = segment.Acknowledgement
	answer.Acknowledgement = segment.Sequence + segment.Length()
	host.emit(&answer)
}

// flowName returns a name for the flow from a source. Clients use each address and port only once,
// so the source identifies the flow.
func flowName(source netip.AddrPort) string { return source.String() }

func (host *Host) open(now time.Time, segment *wire.Segment, key lb.FlowKey) {
	name := flowName(segment.Source)
	if host.openedFlows[name] {
		return
	}
	if len(host.flows) >= host.settings.Conns {
		host.report.Shed++
		host.reset(segment)
		return
	}
	host.openedFlows[name] = true
	host.report.Openings[name] = now.UnixMilli()
	endpoint, data := stream.Accept(now, segment, host.random.Uint32())
	flow := &hostFlow{endpoint: endpoint}
	host.flows[key] = flow
	host.deliver(now, flow, data)
	host.flush(flow)
}

func (host *Host) deliver(now time.Time, flow *hostFlow, data []byte) {
	for _, line := range flow.lines.Add(data) {
		var request wire.Request
		if json.Unmarshal(line, &request) != nil {
			host.report.Malformed++
			continue
		}
		host.receiveRequest(now, flow, request)
	}
}

func (host *Host) receiveRequest(now time.Time, flow *hostFlow, request wire.Request) {
	switch request.Kind {
	case wire.KindKeepalive:
		return
	case wire.KindFeed:
		flow.feedID = request.ID
		flow.pushAt = now
		host.report.Runs[request.ID]++
		return
	}
	if host.queued() >= host.settings.Queue {
		host.report.Shed++
		answer := host.newAnswer(request.ID)
		answer.NotRun = true
		answer.RetryMillis = rejectionRetryMillis
		flow.endpoint.Send(now, wire.EncodeLine(answer))
		return
	}
	added := &job{flow: flow, request: request}
	if request.DeadlineMillis > 0 {
		added.deadline = now.Add(time.Duration(request.DeadlineMillis) * time.Millisecond)
	}
	host.jobs = append(host.jobs, added)
	host.fillSlots(now)
}

func (host *Host) newAnswer(id string) wire.Answer {
	return wire.Answer{ID: id, Host: host.settings.Name, Service: host.settings.Service}
}

func (host *Host) queued() int {
	waiting := 0
	for _, j := range host.jobs {
		if j.finishAt.IsZero() {
			waiting++
		}
	}
	return waiting
}

// fillSlots removes waiting requests whose deadline has passed and starts waiting requests in free
// slots.
func (host *Host) fillSlots(now time.Time) {
	busySlots := len(host.jobs) - host.queued()
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		expired := j.finishAt.IsZero() && !j.deadline.IsZero() && now.After(j.deadline)
		if expired {
			host.report.Expired++
		}
		return expired
	})
	for _, j := range host.jobs {
		if busySlots >= host.settings.Slots {
			return
		}
		if j.finishAt.IsZero() {
			j.finishAt = now.Add(host.serviceTime(now))
			host.report.Runs[j.request.ID]++
			busySlots++
		}
	}
}

func (host *Host) serviceTime(now time.Time) time.Duration {
	if now.Sub(host.started) < host.settings.ColdStart {
		return host.settings.ServiceTime * coldFactor
	}
	return host.settings.ServiceTime
}

// cancel removes the waiting requests of a flow that was reset.
func (host *Host) cancel(ended *hostFlow) {
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		cancelled := j.flow == ended && j.finishAt.IsZero()
		if cancelled {
			host.report.Cancelled++
		}
		return cancelled
	})
}

// Tick answers finished requests, starts waiting ones, sends pushes on feeds and retransmits.
func (host *Host) Tick(now time.Time) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		done := !j.finishAt.IsZero() && !now.Before(j.finishAt)
		if done {
			host.sendResult(now, j)
		}
		return done
	})
	host.fillSlots(now)
	for key, flow := range host.flows {
		host.push(now, flow)
		flow.endpoint.Tick(now)
		if flow.endpoint.RemoteClosed() {
			flow.endpoint.Close(now)
		}
		host.flush(flow)
		if flow.endpoint.Finished() {
			delete(host.flows, key)
		}
	}
}

func (host *Host) sendResult(now time.Time, done *job) {
	answer := host.newAnswer(done.request.ID)
	answer.Length = len(done.request.Body)
	answer.Hash = xxhash.Sum64(done.request.Body)
	done.flow.endpoint.Send(now, wire.EncodeLine(answer))
}

func (host *Host) push(now time.Time, flow *hostFlow) {
	if flow.feedID == "" || now.Before(flow.pushAt) || flow.endpoint.RemoteClosed() {
		return
	}
	flow.pushAt = now.Add(host.settings.PushInterval)
	flow.pushes++
	answer := host.newAnswer(flow.feedID)
	answer.Push = flow.pushes
	flow.endpoint.Send(now, wire.EncodeLine(answer))
}

// receiveUDP answers a datagram with the host's name, so that the client detects a flow that moves
// to another host.
func (host *Host) receiveUDP(now time.Time, segment *wire.Segment) {
	var request wire.Request
	if json.Unmarshal(segment.Payload, &request) != nil {
		host.report.Malformed++
		return
	}
	name := flowName(segment.Source)
	if _, seen := host.report.Openings[name]; !seen {
		host.report.Openings[name] = now.UnixMilli()
	}
	answer := wire.Segment{Source: segment.Destination, Destination: segment.Source, Protocol: lb.UDP}
	answer.Payload = wire.EncodeLine(host.newAnswer(request.ID))
	host.emit(&answer)
}

func (host *Host) flush(flow *hostFlow) {
	for _, segment := range flow.endpoint.Output() {
		host.emit(&segment)
	}
}

func (host *Host) emit(segment *wire.Segment) {
	datagram, err := wire.Encode(segment)
	if err != nil {
		host.report.Malformed++
		return
	}
	host.send(wire.ClientSocket(segment.Destination.Addr()), datagram)
}
