// Package hostsim is a stand-in for a back-end host: it takes flows in Geneve,
// answers callers directly, and has slots, a connection limit, a bounded
// queue, drain, a cold start, deadlines and cancellation. It records what ran.
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

// Settings are the size of a host.
type Settings struct {
	Name        string
	Service     string
	Frontends   []netip.AddrPort // virtual addresses it serves
	Slots       int              // requests served at once
	Queue       int              // requests waiting at most
	Conns       int              // flows at most
	ServiceTime time.Duration    // time of one request in a slot
	ColdStart   time.Duration    // after start, requests take ColdFactor times as long
	PushEvery   time.Duration    // between pushes on a feed
	Seed        uint64
}

// coldFactor is how much longer a request takes while the host is cold.
const coldFactor = 4

// rejectionRetryMillis is the time to come back given with a shed request.
const rejectionRetryMillis = 100

// job is a request that waits for a slot or is in one.
type job struct {
	flow     *flow
	request  wire.Request
	deadline time.Time // zero: none
	finishAt time.Time // zero: waiting
}

// flow is one connection.
type flow struct {
	endpoint *stream.Endpoint
	lines    wire.LineReader
	feedID   string // request id of the feed, if it is one
	pushes   int
	pushAt   time.Time
}

// Host is one back-end host. All methods may be called from several goroutines.
type Host struct {
	mutex       sync.Mutex
	settings    Settings
	send        wire.Sender
	random      *rand.Rand
	started     time.Time
	flows       map[lb.FlowKey]*flow
	jobs        []*job
	report      Report
	openedFlows map[string]bool // flows seen, so that a late copy of an opening does not open again
	health      healthState
}

// New gives a host that sends by send.
func New(now time.Time, settings Settings, send wire.Sender) *Host {
	return &Host{
		settings:    settings,
		send:        send,
		random:      rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		started:     now,
		flows:       map[lb.FlowKey]*flow{},
		openedFlows: map[string]bool{},
		report: Report{
			Host:     settings.Name,
			Service:  settings.Service,
			Runs:     map[string]int{},
			Openings: map[string]int64{},
		},
	}
}

// Receive takes one datagram of the data path.
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
	held := host.flows[decoded.Key]
	if held == nil && decoded.Kind == core.PacketOpening {
		host.open(now, segment, decoded.Key)
		return
	}
	if held == nil {
		host.resetUnknown(segment)
		return
	}
	host.deliver(now, held, held.endpoint.Receive(now, &segment.Segment))
	host.flush(held)
	if held.endpoint.State == stream.Reset {
		host.cancel(held)
		delete(host.flows, decoded.Key)
	}
}

// resetUnknown answers a packet of a flow that is not here by a reset, unless it is one itself.
func (host *Host) resetUnknown(segment *wire.Segment) {
	if segment.Flags.Has(packet.FlagRST) || host.openedFlows[openingKey(segment.Source)] {
		return // a late packet of a flow that has ended here
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

// openingKey names an opening; callers use each address and port once.
func openingKey(source netip.AddrPort) string { return source.String() }

func (host *Host) open(now time.Time, segment *wire.Segment, key lb.FlowKey) {
	name := openingKey(segment.Source)
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
	opened := &flow{endpoint: endpoint}
	host.flows[key] = opened
	host.deliver(now, opened, data)
	host.flush(opened)
}

func (host *Host) deliver(now time.Time, held *flow, data []byte) {
	for _, line := range held.lines.Add(data) {
		var request wire.Request
		if json.Unmarshal(line, &request) != nil {
			host.report.Malformed++
			continue
		}
		host.receiveRequest(now, held, request)
	}
}

func (host *Host) receiveRequest(now time.Time, held *flow, request wire.Request) {
	switch request.Kind {
	case wire.KindKeepalive:
		return
	case wire.KindFeed:
		held.feedID = request.ID
		held.pushAt = now
		host.report.Runs[request.ID]++
		return
	}
	if host.queued() >= host.settings.Queue {
		host.report.Shed++
		answer := host.newAnswer(request.ID)
		answer.NotRun = true
		answer.RetryMillis = rejectionRetryMillis
		held.endpoint.Send(now, wire.EncodeLine(answer))
		return
	}
	added := &job{flow: held, request: request}
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

// fillSlots starts waiting requests, and forgets those past their deadline.
func (host *Host) fillSlots(now time.Time) {
	busy := len(host.jobs) - host.queued()
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		expired := j.finishAt.IsZero() && !j.deadline.IsZero() && now.After(j.deadline)
		if expired {
			host.report.Expired++
		}
		return expired
	})
	for _, j := range host.jobs {
		if busy >= host.settings.Slots {
			return
		}
		if j.finishAt.IsZero() {
			j.finishAt = now.Add(host.serviceTime(now))
			host.report.Runs[j.request.ID]++
			busy++
		}
	}
}

func (host *Host) serviceTime(now time.Time) time.Duration {
	if now.Sub(host.started) < host.settings.ColdStart {
		return host.settings.ServiceTime * coldFactor
	}
	return host.settings.ServiceTime
}

// cancel forgets the waiting requests of a flow that has ended.
func (host *Host) cancel(ended *flow) {
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		cancelled := j.flow == ended && j.finishAt.IsZero()
		if cancelled {
			host.report.Cancelled++
		}
		return cancelled
	})
}

// Tick finishes requests, pushes on feeds and retransmits.
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
	for key, held := range host.flows {
		host.push(now, held)
		held.endpoint.Tick(now)
		if held.endpoint.RemoteClosed() {
			held.endpoint.Close(now)
		}
		host.flush(held)
		if held.endpoint.Finished() {
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

func (host *Host) push(now time.Time, held *flow) {
	if held.feedID == "" || now.Before(held.pushAt) || held.endpoint.RemoteClosed() {
		return
	}
	held.pushAt = now.Add(host.settings.PushEvery)
	held.pushes++
	answer := host.newAnswer(held.feedID)
	answer.Push = held.pushes
	held.endpoint.Send(now, wire.EncodeLine(answer))
}

// receiveUDP echoes who answered; the caller sees when its flow moves.
func (host *Host) receiveUDP(now time.Time, segment *wire.Segment) {
	var request wire.Request
	if json.Unmarshal(segment.Payload, &request) != nil {
		host.report.Malformed++
		return
	}
	name := openingKey(segment.Source)
	if _, seen := host.report.Openings[name]; !seen {
		host.report.Openings[name] = now.UnixMilli()
	}
	answer := wire.Segment{Source: segment.Destination, Destination: segment.Source, Protocol: lb.UDP}
	answer.Payload = wire.EncodeLine(host.newAnswer(request.ID))
	host.emit(&answer)
}

func (host *Host) flush(held *flow) {
	for _, segment := range held.endpoint.Output() {
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
