// Package callersim is a stand-in for the callers of one service: feeds, taps,
// uploads and UDP flows in an open loop. It retransmits openings and data,
// tries again only what was refused as not run, and records what went wrong.
package callersim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"robinpulley.example/robinpulley/internal/lab/stream"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
)

// Settings are the load of a caller.
type Settings struct {
	Name        string // begins each request id
	Service     string
	Frontend    netip.AddrPort // virtual address of the service
	Fabric      netip.AddrPort // UDP address that takes packets
	Port        uint16         // UDP port of this process, on 127.0.0.1
	Feeds       int            // kept open
	UDPFlows    int            // kept open
	TapRate     float64        // taps a second
	UploadRate  float64        // uploads a second
	UploadBytes int
	StallLimit  time.Duration // an open flow without progress for this long is broken
	OpenLimit   time.Duration // an opening is given up after this long
	Seed        uint64
}

// Times of a caller.
const (
	keepInterval  = 250 * time.Millisecond // keepalives on feeds and UDP flows
	lingerLimit   = 2 * time.Second        // wait for the last acknowledgement
	firstPort     = 1024
	openedAtOnce  = 5 // feeds and UDP flows opened in one tick
	uploadMinimum = 1
)

// call is one request on its flow.
type call struct {
	id       string // request
	attempt  int
	kind     wire.Kind
	udp      bool
	local    netip.AddrPort
	endpoint *stream.Endpoint // nil for UDP
	lines    wire.Lines
	request  wire.Request
	started  time.Time // of this try
	progress time.Time // UDP only
	keepAt   time.Time
	opened   bool
	answered time.Time // zero: not yet
	host     string
}

// name identifies the try.
func (open *call) name() string { return fmt.Sprintf("%s/%d", open.id, open.attempt) }

// retry is a request that waits for its time to come back.
type retry struct {
	at   time.Time
	call *call
}

// Caller runs the load. All methods may be called from several goroutines.
type Caller struct {
	mutex     sync.Mutex
	settings  Settings
	send      wire.Sender
	random    *rand.Rand
	calls     map[netip.AddrPort]*call
	retries   []retry
	nextID    int
	nextPort  uint16
	nextIndex uint8
	tapAt     time.Time
	uploadAt  time.Time
	feeds     int // open or waiting
	udpFlows  int
	stopped   bool
	report    Report
	opening   *hdrhistogram.Histogram
	answer    *hdrhistogram.Histogram
}

// New gives a caller that begins its load with the first tick.
func New(settings Settings, send wire.Sender) *Caller {
	return &Caller{
		settings: settings,
		send:     send,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		calls:    map[netip.AddrPort]*call{},
		nextPort: firstPort,
		report:   Report{Service: settings.Service},
		opening:  newLatencies(),
		answer:   newLatencies(),
	}
}

// Stop opens nothing more and closes the feeds; taps and uploads go on to their answers.
func (caller *Caller) Stop(now time.Time) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.stopped = true
	caller.retries = nil
	for _, open := range caller.calls {
		if open.kind == wire.KindFeed {
			caller.closeCall(now, open)
		}
	}
}

// Tick opens what is due, sends keepalives, retransmits and gives up.
func (caller *Caller) Tick(now time.Time) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if !caller.stopped {
		caller.arrivals(now)
		caller.retryDue(now)
	}
	for _, open := range caller.calls {
		caller.tickCall(now, open)
	}
}

// arrivals opens what is due by the rates and the flows that are to be open.
func (caller *Caller) arrivals(now time.Time) {
	for range openedAtOnce {
		if caller.feeds < caller.settings.Feeds {
			caller.feeds++
			caller.start(now, wire.KindFeed, 0, false)
		}
		if caller.udpFlows < caller.settings.UDPFlows {
			caller.udpFlows++
			caller.start(now, wire.KindFeed, 0, true)
		}
	}
	for caller.due(now, &caller.tapAt, caller.settings.TapRate) {
		caller.start(now, wire.KindTap, 0, false)
	}
	for caller.due(now, &caller.uploadAt, caller.settings.UploadRate) {
		caller.start(now, wire.KindUpload, caller.settings.UploadBytes, false)
	}
}

// due tells whether one more arrival of a Poisson process is due.
func (caller *Caller) due(now time.Time, at *time.Time, rate float64) bool {
	if rate <= 0 {
		return false
	}
	if at.IsZero() {
		*at = now
	}
	if now.Before(*at) {
		return false
	}
	*at = at.Add(time.Duration(caller.random.ExpFloat64() / rate * float64(time.Second)))
	return true
}

func (caller *Caller) start(now time.Time, kind wire.Kind, size int, udp bool) {
	caller.nextID++
	caller.report.Started++
	started := &call{id: fmt.Sprintf("%s-%d", caller.settings.Name, caller.nextID), kind: kind, udp: udp}
	started.request = wire.Request{Kind: kind}
	if size > 0 {
		started.request.Body = caller.body(max(size, uploadMinimum))
	}
	caller.try(now, started)
}

func (caller *Caller) body(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(caller.random.Uint32())
	}
	return body
}

// try opens a flow for a request: each try has its own address and id.
func (caller *Caller) try(now time.Time, open *call) {
	open.attempt++
	open.request.ID = open.name()
	open.started = now
	open.progress = now
	open.keepAt = now.Add(keepInterval)
	open.local = caller.nextLocal()
	caller.calls[open.local] = open
	if open.udp {
		caller.sendUDP(open)
		return
	}
	line := wire.Line(open.request)
	first := line[:min(len(line), stream.MaxPayload)]
	open.endpoint = stream.Dial(now, open.local, caller.settings.Frontend, caller.random.Uint32(), first)
	open.endpoint.Send(now, line[len(first):])
	caller.flush(open)
}

// nextLocal gives an inner address and port that was never used.
func (caller *Caller) nextLocal() netip.AddrPort {
	caller.nextPort++
	if caller.nextPort < firstPort {
		caller.nextPort = firstPort
		caller.nextIndex++
	}
	ipv6 := caller.settings.Frontend.Addr().Is6()
	return netip.AddrPortFrom(wire.CallerAddress(caller.settings.Port, caller.nextIndex, ipv6), caller.nextPort)
}

func (caller *Caller) retryDue(now time.Time) {
	waiting := caller.retries[:0]
	for _, r := range caller.retries {
		if now.Before(r.at) {
			waiting = append(waiting, r)
			continue
		}
		caller.report.Retried++
		caller.try(now, r.call)
	}
	caller.retries = waiting
}

func (caller *Caller) tickCall(now time.Time, open *call) {
	if open.udp {
		caller.tickUDP(now, open)
		return
	}
	endpoint := open.endpoint
	if open.kind == wire.KindFeed && open.opened && !now.Before(open.keepAt) && open.answered.IsZero() {
		open.keepAt = now.Add(keepInterval)
		endpoint.Send(now, wire.Line(wire.Request{ID: open.request.ID, Kind: wire.KindKeep}))
	}
	endpoint.Tick(now)
	caller.flush(open)
	switch {
	case !open.answered.IsZero():
		if endpoint.Finished() || now.Sub(open.answered) > lingerLimit {
			delete(caller.calls, open.local)
		}
	case !open.opened && now.Sub(open.started) > caller.settings.OpenLimit:
		caller.fail(now, open, CauseUnopened)
	case open.opened && now.Sub(endpoint.Progress) > caller.settings.StallLimit:
		endpoint.Abort() // cancels the request at the host
		caller.flush(open)
		caller.fail(now, open, CauseStall)
	}
}

func (caller *Caller) tickUDP(now time.Time, open *call) {
	if !now.Before(open.keepAt) {
		open.keepAt = now.Add(keepInterval)
		caller.sendUDP(open)
	}
	if now.Sub(open.progress) > caller.settings.StallLimit {
		caller.fail(now, open, CauseStall)
	}
}

func (caller *Caller) sendUDP(open *call) {
	segment := wire.Segment{Source: open.local, Destination: caller.settings.Frontend, Protocol: lb.UDP}
	segment.Payload = wire.Line(open.request)
	caller.emit(&segment)
}

func (caller *Caller) closeCall(now time.Time, open *call) {
	if open.udp {
		delete(caller.calls, open.local)
		return
	}
	if open.answered.IsZero() {
		open.answered = now
	}
	open.endpoint.Close(now)
	caller.flush(open)
}

// fail records a lost flow; feeds and UDP flows are replaced by new ones.
func (caller *Caller) fail(now time.Time, open *call, cause Cause) {
	failure := Failure{
		ID: open.name(), Kind: open.kind, Local: open.local.String(),
		Host: open.host, Cause: cause, UnixMillis: now.UnixMilli(),
	}
	if open.opened {
		caller.report.Broken = append(caller.report.Broken, failure)
	} else {
		caller.report.Unanswered = append(caller.report.Unanswered, failure)
	}
	caller.forget(open)
}

func (caller *Caller) forget(open *call) {
	delete(caller.calls, open.local)
	if open.udp {
		caller.udpFlows--
	} else if open.kind == wire.KindFeed {
		caller.feeds--
	}
}

func (caller *Caller) flush(open *call) {
	for _, segment := range open.endpoint.Output() {
		caller.emit(&segment)
	}
}

func (caller *Caller) emit(segment *wire.Segment) {
	if datagram, err := wire.Encode(segment); err == nil {
		caller.send(caller.settings.Fabric, datagram)
	}
}
