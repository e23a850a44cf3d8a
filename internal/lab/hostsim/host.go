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

// shedRetryMillis is the time to come back given with a shed request.
const shedRetryMillis = 100

// job is a request that waits for a slot or is in one.
type job struct {
	flow     *flow
	request  wire.Request
	deadline time.Time // zero: none
	finish   time.Time // zero: waiting
}

// flow is one connection.
type flow struct {
	endpoint *stream.Endpoint
	lines    wire.Lines
	feed     string // request id of the feed, if it is one
	pushes   int
	pushAt   time.Time
}

// Host is one back-end host. All methods may be called from several goroutines.
type Host struct {
	mutex    sync.Mutex
	settings Settings
	send     wire.Sender
	random   *rand.Rand
	started  time.Time
	flows    map[lb.FlowKey]*flow
	jobs     []*job
	record   Report
	opened   map[string]bool // flows seen, so that a late copy of an opening does not open again
	health   healthState
}

// New gives a host that sends by send.
func New(now time.Time, settings Settings, send wire.Sender) *Host {
	return &Host{
		settings: settings,
		send:     send,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		started:  now,
		flows:    map[lb.FlowKey]*flow{},
		opened:   map[string]bool{},
		record: Report{
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
		host.record.WrongService++
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
		host.unknown(segment)
		return
	}
	host.deliver(now, held, held.endpoint.Receive(now, &segment.Segment))
	host.flush(held)
	if held.endpoint.State == stream.Reset {
		host.cancel(held)
		delete(host.flows, decoded.Key)
	}
}

// unknown answers a packet of a flow that is not here by a reset, unless it is one itself.
func (host *Host) unknown(segment *wire.Segment) {
	if segment.Flags.Has(packet.FlagRST) || host.opened[openingKey(segment.Source)] {
		return // a late packet of a flow that has ended here
	}
	host.record.Resets++
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
	if host.opened[name] {
		return
	}
	if len(host.flows) >= host.settings.Conns {
		host.record.Shed++
		host.reset(segment)
		return
	}
	host.opened[name] = true
	host.record.Openings[name] = now.UnixMilli()
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
			host.record.Malformed++
			continue
		}
		host.request(now, held, request)
	}
}

func (host *Host) request(now time.Time, held *flow, request wire.Request) {
	switch request.Kind {
	case wire.KindKeep:
		return
	case wire.KindFeed:
		held.feed = request.ID
		held.pushAt = now
		host.record.Runs[request.ID]++
		return
	}
	if host.waiting() >= host.settings.Queue {
		host.record.Shed++
		answer := host.answer(request.ID)
		answer.NotRun = true
		answer.RetryMillis = shedRetryMillis
		held.endpoint.Send(now, wire.Line(answer))
		return
	}
	added := &job{flow: held, request: request}
	if request.DeadlineMillis > 0 {
		added.deadline = now.Add(time.Duration(request.DeadlineMillis) * time.Millisecond)
	}
	host.jobs = append(host.jobs, added)
	host.fillSlots(now)
}

func (host *Host) answer(id string) wire.Answer {
	return wire.Answer{ID: id, Host: host.settings.Name, Service: host.settings.Service}
}

func (host *Host) waiting() int {
	waiting := 0
	for _, j := range host.jobs {
		if j.finish.IsZero() {
			waiting++
		}
	}
	return waiting
}

// fillSlots starts waiting requests, and forgets those past their deadline.
func (host *Host) fillSlots(now time.Time) {
	busy := len(host.jobs) - host.waiting()
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		expired := j.finish.IsZero() && !j.deadline.IsZero() && now.After(j.deadline)
		if expired {
			host.record.Expired++
		}
		return expired
	})
	for _, j := range host.jobs {
		if busy >= host.settings.Slots {
			return
		}
		if j.finish.IsZero() {
			j.finish = now.Add(host.serviceTime(now))
			host.record.Runs[j.request.ID]++
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
		cancelled := j.flow == ended && j.finish.IsZero()
		if cancelled {
			host.record.Cancelled++
		}
		return cancelled
	})
}

// Tick finishes requests, pushes on feeds and retransmits.
func (host *Host) Tick(now time.Time) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.jobs = slices.DeleteFunc(host.jobs, func(j *job) bool {
		done := !j.finish.IsZero() && !now.Before(j.finish)
		if done {
			host.finish(now, j)
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

func (host *Host) finish(now time.Time, done *job) {
	answer := host.answer(done.request.ID)
	answer.Length = len(done.request.Body)
	answer.Hash = xxhash.Sum64(done.request.Body)
	done.flow.endpoint.Send(now, wire.Line(answer))
}

func (host *Host) push(now time.Time, held *flow) {
	if held.feed == "" || now.Before(held.pushAt) || held.endpoint.RemoteClosed() {
		return
	}
	held.pushAt = now.Add(host.settings.PushEvery)
	held.pushes++
	answer := host.answer(held.feed)
	answer.Push = held.pushes
	held.endpoint.Send(now, wire.Line(answer))
}

// receiveUDP echoes who answered; the caller sees when its flow moves.
func (host *Host) receiveUDP(now time.Time, segment *wire.Segment) {
	var request wire.Request
	if json.Unmarshal(segment.Payload, &request) != nil {
		host.record.Malformed++
		return
	}
	name := openingKey(segment.Source)
	if _, seen := host.record.Openings[name]; !seen {
		host.record.Openings[name] = now.UnixMilli()
	}
	answer := wire.Segment{Source: segment.Destination, Destination: segment.Source, Protocol: lb.UDP}
	answer.Payload = wire.Line(host.answer(request.ID))
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
		host.record.Malformed++
		return
	}
	host.send(wire.CallerSocket(segment.Destination.Addr()), datagram)
}
