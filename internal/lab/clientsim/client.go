// Package clientsim is a simulator of the clients of one service. It generates feeds (long-lived
// flows with pushes), taps (short requests), uploads and UDP flows in an open loop: new requests
// don't wait for earlier ones. It retransmits openings and data, retries only requests that were
// refused as not run, and records failures.
package clientsim

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

// Settings configures the load that a client generates.
type Settings struct {
	Name        string // prefix of each request id
	Service     string
	Frontend    netip.AddrPort // virtual address of the service
	Fabric      netip.AddrPort // UDP address that receives the client's packets
	Port        uint16         // UDP port of this process, on 127.0.0.1
	Feeds       int            // number of feeds to keep open
	UDPFlows    int            // number of UDP flows to keep open
	TapRate     float64        // taps per second
	UploadRate  float64        // uploads per second
	UploadBytes int
	StallLimit  time.Duration // time without progress after which an open flow counts as broken
	OpenLimit   time.Duration // time after which an opening without an answer is given up
	Seed        uint64
}

// Timing and limits of a client.
const (
	keepaliveInterval  = 250 * time.Millisecond // between keepalives on feeds and UDP flows
	closeTimeout       = 2 * time.Second        // maximum wait for the last acknowledgement
	firstPort          = 1024
	maxOpeningsPerTick = 5 // limit for feeds, and for UDP flows
	minUploadBytes     = 1
)

// requestAttempt is one attempt of a request. Each attempt has its own flow.
type requestAttempt struct {
	requestID   string
	number      int
	kind        wire.Kind
	udp         bool
	local       netip.AddrPort
	endpoint    *stream.Endpoint // nil for UDP
	lines       wire.LineReader
	request     wire.Request
	startedAt   time.Time
	progressAt  time.Time // UDP only
	keepaliveAt time.Time
	opened      bool
	answeredAt  time.Time // zero: not answered
	host        string
}

// attemptID returns the id that identifies the attempt.
func (attempt *requestAttempt) attemptID() string {
	return fmt.Sprintf("%s/%d", attempt.requestID, attempt.number)
}

// retry is an attempt that is to be opened at a later time.
type retry struct {
	at      time.Time
	attempt *requestAttempt
}

// Client generates the load. Its methods may be called from several goroutines.
type Client struct {
	mutex            sync.Mutex
	settings         Settings
	send             wire.Sender
	random           *rand.Rand
	attempts         map[netip.AddrPort]*requestAttempt
	retries          []retry
	nextID           int
	nextPort         uint16
	nextIndex        uint8
	tapAt            time.Time
	uploadAt         time.Time
	feeds            int // open, being opened, or waiting for a retry
	udpFlows         int
	stopped          bool
	report           Report
	openingLatencies *hdrhistogram.Histogram
	answerLatencies  *hdrhistogram.Histogram
}

// New returns a client that starts its load with the first tick.
func New(settings Settings, send wire.Sender) *Client {
	return &Client{
		settings:         settings,
		send:             send,
		random:           rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		attempts:         map[netip.AddrPort]*requestAttempt{},
		nextPort:         firstPort,
		report:           Report{Service: settings.Service},
		openingLatencies: newLatencies(),
		answerLatencies:  newLatencies(),
	}
}

// Stop stops opening flows and closes the feeds and UDP flows. Taps and uploads in progress are
// completed.
func (client *Client) Stop(now time.Time) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.stopped = true
	client.retries = nil
	for _, attempt := range client.attempts {
		if attempt.kind == wire.KindFeed {
			client.closeAttempt(now, attempt)
		}
	}
}

// Tick opens due flows, sends keepalives, retransmits, and gives up flows whose time limit has
// passed.
func (client *Client) Tick(now time.Time) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if !client.stopped {
		client.openDue(now)
		client.openDueRetries(now)
	}
	for _, attempt := range client.attempts {
		client.tickAttempt(now, attempt)
	}
}

// openDue opens feeds and UDP flows up to their configured numbers, and the taps and uploads that
// are due at their rates.
func (client *Client) openDue(now time.Time) {
	for range maxOpeningsPerTick {
		if client.feeds < client.settings.Feeds {
			client.feeds++
			client.startRequest(now, wire.KindFeed, 0, false)
		}
		if client.udpFlows < client.settings.UDPFlows {
			client.udpFlows++
			client.startRequest(now, wire.KindFeed, 0, true)
		}
	}
	for client.arrivalDue(now, &client.tapAt, client.settings.TapRate) {
		client.startRequest(now, wire.KindTap, 0, false)
	}
	for client.arrivalDue(now, &client.uploadAt, client.settings.UploadRate) {
		client.startRequest(now, wire.KindUpload, client.settings.UploadBytes, false)
	}
}

// arrivalDue reports whether an arrival of a Poisson process is due, and if so advances at to the
// next arrival.
func (client *Client) arrivalDue(now time.Time, at *time.Time, rate float64) bool {
	if rate <= 0 {
		return false
	}
	if at.IsZero() {
		*at = now
	}
	if now.Before(*at) {
		return false
	}
	*at = at.Add(time.Duration(client.random.ExpFloat64() / rate * float64(time.Second)))
	return true
}

func (client *Client) startRequest(now time.Time, kind wire.Kind, size int, udp bool) {
	client.nextID++
	client.report.Started++
	attempt := &requestAttempt{requestID: fmt.Sprintf("%s-%d", client.settings.Name, client.nextID), kind: kind, udp: udp}
	attempt.request = wire.Request{Kind: kind}
	if size > 0 {
		attempt.request.Body = client.randomBody(max(size, minUploadBytes))
	}
	client.open(now, attempt)
}

func (client *Client) randomBody(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(client.random.Uint32())
	}
	return body
}

// open opens the flow of an attempt. Each attempt has its own client address and id.
func (client *Client) open(now time.Time, attempt *requestAttempt) {
	attempt.number++
	attempt.request.ID = attempt.attemptID()
	attempt.startedAt = now
	attempt.progressAt = now
	attempt.keepaliveAt = now.Add(keepaliveInterval)
	attempt.local = client.nextLocal()
	client.attempts[attempt.local] = attempt
	if attempt.udp {
		client.sendUDP(attempt)
		return
	}
	line := wire.EncodeLine(attempt.request)
	firstData := line[:min(len(line), stream.MaxPayload)]
	attempt.endpoint = stream.Dial(now, attempt.local, client.settings.Frontend, client.random.Uint32(), firstData)
	attempt.endpoint.Send(now, line[len(firstData):])
	client.flush(attempt)
}

// nextLocal returns an inner address and port that this client has not used before.
func (client *Client) nextLocal() netip.AddrPort {
	client.nextPort++
	if client.nextPort < firstPort {
		client.nextPort = firstPort
		client.nextIndex++
	}
	ipv6 := client.settings.Frontend.Addr().Is6()
	return netip.AddrPortFrom(wire.ClientAddress(client.settings.Port, client.nextIndex, ipv6), client.nextPort)
}

func (client *Client) openDueRetries(now time.Time) {
	remaining := client.retries[:0]
	for _, r := range client.retries {
		if now.Before(r.at) {
			remaining = append(remaining, r)
			continue
		}
		client.report.Retried++
		client.open(now, r.attempt)
	}
	client.retries = remaining
}

func (client *Client) tickAttempt(now time.Time, attempt *requestAttempt) {
	if attempt.udp {
		client.tickUDP(now, attempt)
		return
	}
	endpoint := attempt.endpoint
	if attempt.kind == wire.KindFeed && attempt.opened && !now.Before(attempt.keepaliveAt) && attempt.answeredAt.IsZero() {
		attempt.keepaliveAt = now.Add(keepaliveInterval)
		endpoint.Send(now, wire.EncodeLine(wire.Request{ID: attempt.request.ID, Kind: wire.KindKeepalive}))
	}
	endpoint.Tick(now)
	client.flush(attempt)
	switch {
	case !attempt.answeredAt.IsZero():
		if endpoint.Finished() || now.Sub(attempt.answeredAt) > closeTimeout {
			delete(client.attempts, attempt.local)
		}
	case !attempt.opened && now.Sub(attempt.startedAt) > client.settings.OpenLimit:
		client.fail(now, attempt, CauseUnopened)
	case attempt.opened && now.Sub(endpoint.Progress) > client.settings.StallLimit:
		endpoint.Abort() // cancels the request at the host
		client.flush(attempt)
		client.fail(now, attempt, CauseStall)
	}
}

func (client *Client) tickUDP(now time.Time, attempt *requestAttempt) {
	if !now.Before(attempt.keepaliveAt) {
		attempt.keepaliveAt = now.Add(keepaliveInterval)
		client.sendUDP(attempt)
	}
	if now.Sub(attempt.progressAt) > client.settings.StallLimit {
		client.fail(now, attempt, CauseStall)
	}
}

func (client *Client) sendUDP(attempt *requestAttempt) {
	segment := wire.Segment{Source: attempt.local, Destination: client.settings.Frontend, Protocol: lb.UDP}
	segment.Payload = wire.EncodeLine(attempt.request)
	client.emit(&segment)
}

func (client *Client) closeAttempt(now time.Time, attempt *requestAttempt) {
	if attempt.udp {
		delete(client.attempts, attempt.local)
		return
	}
	if attempt.answeredAt.IsZero() {
		attempt.answeredAt = now
	}
	attempt.endpoint.Close(now)
	client.flush(attempt)
}

// fail records a flow as broken, or its request as unanswered, and removes the attempt. Feeds and
// UDP flows are replaced by new ones at the next tick.
func (client *Client) fail(now time.Time, attempt *requestAttempt, cause Cause) {
	failure := Failure{
		ID: attempt.attemptID(), Kind: attempt.kind, Local: attempt.local.String(),
		Host: attempt.host, Cause: cause, UnixMillis: now.UnixMilli(),
	}
	if attempt.opened {
		client.report.Broken = append(client.report.Broken, failure)
	} else {
		client.report.Unanswered = append(client.report.Unanswered, failure)
	}
	client.remove(attempt)
}

func (client *Client) remove(attempt *requestAttempt) {
	delete(client.attempts, attempt.local)
	if attempt.udp {
		client.udpFlows--
	} else if attempt.kind == wire.KindFeed {
		client.feeds--
	}
}

func (client *Client) flush(attempt *requestAttempt) {
	for _, segment := range attempt.endpoint.Output() {
		client.emit(&segment)
	}
}

func (client *Client) emit(segment *wire.Segment) {
	if datagram, err := wire.Encode(segment); err == nil {
		client.send(client.settings.Fabric, datagram)
	}
}
