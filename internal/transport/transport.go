// Package transport sends messages between load balancer nodes: lines of up to MaxDatagramBytes as
// UDP datagrams, and longer ones over one TCP connection each, both to the same control address.
// Long lines are compressed. A byte budget limits what a node sends: membership messages are sent
// first, and hints are dropped first. Errors are counted and never fatal; a node that needs an
// answer repeats its request.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Incoming is a message from a peer.
type Incoming struct {
	From lb.NodeID
	// Address is the sender's control address. It is invalid if the message arrived over TCP from a
	// sender that Resolve does not know.
	Address netip.AddrPort
	Message message.Message
}

// Settings configures a transport.
type Settings struct {
	Self lb.NodeID
	// Listen is the control address, for UDP and TCP. If the port is zero, Open selects a free one.
	Listen netip.AddrPort
	Budget Budget
	// Handle is called with each received message. It is called from several goroutines and must
	// not block for long.
	Handle func(Incoming)
	// Resolve returns the control address of a known node. Messages from unknown nodes share a low
	// rate limit. If Resolve is nil, all nodes count as known.
	Resolve func(lb.NodeID) (netip.AddrPort, bool)
	// Blocked reports whether a fault test cuts off a peer, in both directions. If it is nil, no
	// peer is cut off.
	Blocked func(netip.AddrPort) bool
}

// These are the limits of the receiving side.
const (
	// maxUnknownPerSecond limits the messages accepted from all unknown senders together. Joining
	// nodes need only a few.
	maxUnknownPerSecond = 50
	receiveBufferBytes  = 64 << 10 // maximum size of a UDP datagram
	listenAttempts      = 8        // attempts to find a port that is free for both UDP and TCP
)

// Transport sends and receives the messages of one node.
type Transport struct {
	settings       Settings
	address        netip.AddrPort
	udp            *net.UDPConn
	tcp            *net.TCPListener
	meter          *meter
	unknownLimiter *rate.Limiter

	mutex sync.Mutex // guards queue
	queue *Queue
	wake  chan struct{}

	outboundSlots chan struct{} // slots of outgoing connections
	inboundSlots  chan struct{} // slots of incoming connections

	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Open listens on the control address and starts to send and receive.
func Open(settings Settings) (*Transport, error) {
	if settings.Handle == nil {
		return nil, errors.New("transport: Handle is nil")
	}
	if budget := settings.Budget; budget.BytesPerSecond <= 0 || budget.BurstBytes < MaxDatagramBytes+DatagramOverhead ||
		budget.BulkBytesPerSecond <= 0 || budget.QueueLength <= 0 {
		return nil, errors.Newf("transport: budget %+v has a value that is too low", settings.Budget)
	}
	udp, tcp, err := listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	transport := &Transport{
		settings:       settings,
		address:        netip.AddrPortFrom(settings.Listen.Addr(), udp.LocalAddr().(*net.UDPAddr).AddrPort().Port()),
		udp:            udp,
		tcp:            tcp,
		meter:          newMeter(),
		unknownLimiter: rate.NewLimiter(maxUnknownPerSecond, maxUnknownPerSecond),
		queue:          NewQueue(settings.Budget),
		wake:           make(chan struct{}, 1),
		outboundSlots:  make(chan struct{}, maxOutboundConnections),
		inboundSlots:   make(chan struct{}, maxInboundConnections),
	}
	transport.context, transport.cancel = context.WithCancel(context.Background())
	transport.running.Go(transport.sendLoop)
	transport.running.Go(transport.receiveDatagrams)
	transport.running.Go(transport.acceptLoop)
	return transport, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, *net.TCPListener, error) {
	var failure error
	for range listenAttempts {
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on control address %s/udp", address)
		}
		bound := netip.AddrPortFrom(address.Addr(), udp.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(bound))
		if err == nil {
			return udp, tcp, nil
		}
		udp.Close()
		failure = errors.Wrapf(err, "listen on control address %s/tcp", bound)
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, failure
}

// Address returns the control address in use.
func (transport *Transport) Address() netip.AddrPort { return transport.address }

// Counters returns a copy of the counters.
func (transport *Transport) Counters() Counters { return transport.meter.snapshot() }

// Close stops sending and receiving, drops waiting messages, and returns when all goroutines have
// ended.
func (transport *Transport) Close() error {
	transport.cancel()
	err := errors.CombineErrors(transport.udp.Close(), transport.tcp.Close())
	transport.running.Wait()
	return err
}

// Send queues a message. It never blocks and returns no error: failures are counted.
func (transport *Transport) Send(to netip.AddrPort, outgoing message.Message) {
	transport.SendAll([]netip.AddrPort{to}, outgoing)
}

// SendAll queues one message for several peers. The message is encoded once.
func (transport *Transport) SendAll(peers []netip.AddrPort, outgoing message.Message) {
	line, err := message.Encode(nil, transport.settings.Self, outgoing)
	if err != nil {
		transport.meter.fault(FaultEncode)
		return
	}
	kind := outgoing.MessageType()
	queued := Queued{Type: kind, Class: ClassOf(outgoing, len(line)), Line: Pack(kind, line)}
	if lifetime := Lifetime(outgoing); lifetime > 0 {
		queued.ExpiresAt = time.Now().Add(lifetime)
	}
	for _, to := range peers {
		queued.To = to
		transport.push(queued)
	}
	select {
	case transport.wake <- struct{}{}:
	default:
	}
}

// push queues one message.
func (transport *Transport) push(queued Queued) {
	if transport.blocked(queued.To) {
		transport.meter.fault(FaultBlocked)
		return
	}
	transport.mutex.Lock()
	pushed := transport.queue.Push(queued)
	transport.mutex.Unlock()
	if !pushed {
		transport.meter.fault(FaultQueueFull)
	}
}

func (transport *Transport) blocked(address netip.AddrPort) bool {
	return transport.settings.Blocked != nil && transport.settings.Blocked(address)
}

// sendLoop sends the messages that the queue releases, and sleeps until the next one may be sent.
func (transport *Transport) sendLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		item, ready, wait := transport.pop()
		if ready {
			transport.write(item)
			continue
		}
		if wait == 0 {
			wait = time.Hour
		}
		timer.Reset(wait)
		select {
		case <-transport.context.Done():
			return
		case <-transport.wake:
		case <-timer.C:
		}
	}
}

// pop returns the next message and counts the messages that the queue has dropped meanwhile.
func (transport *Transport) pop() (Queued, bool, time.Duration) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	before := transport.queue.totalDropped()
	item, ready, wait := transport.queue.Pop(time.Now())
	after := transport.queue.totalDropped()
	for range after - before {
		transport.meter.fault(FaultBudget)
	}
	return item, ready, wait
}

func (transport *Transport) write(item Queued) {
	if len(item.Line) > MaxDatagramBytes {
		transport.startStream(item)
		return
	}
	if _, err := transport.udp.WriteToUDPAddrPort(item.Line, item.To); err != nil {
		transport.meter.fault(FaultNetwork)
		return
	}
	transport.meter.count(item.Type, Sent, Cost(len(item.Line)))
}

func (transport *Transport) receiveDatagrams() {
	buffer := make([]byte, receiveBufferBytes)
	for {
		size, source, err := transport.udp.ReadFromUDPAddrPort(buffer)
		if transport.context.Err() != nil {
			return
		}
		if err != nil {
			transport.meter.fault(FaultNetwork)
			continue
		}
		source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		transport.readLines(bytes.NewReader(buffer[:size]), source)
	}
}

// readLines handles the lines of a datagram or connection.
func (transport *Transport) readLines(data io.Reader, source netip.AddrPort) {
	scanner := bufio.NewScanner(io.LimitReader(unpack(data), maxStreamBytes))
	scanner.Buffer(nil, message.MaxLineBytes+1)
	for scanner.Scan() {
		transport.handleLine(scanner.Bytes(), source)
	}
	if scanner.Err() != nil && transport.context.Err() == nil {
		transport.meter.fault(FaultDecode)
	}
}

// handleLine handles one line. source is invalid for a line that arrived over TCP; the control
// address of its sender is looked up.
func (transport *Transport) handleLine(line []byte, source netip.AddrPort) {
	if source.IsValid() && transport.blocked(source) {
		transport.meter.fault(FaultBlocked)
		return
	}
	from, decoded, err := message.Decode(line)
	if err != nil {
		transport.meter.fault(FaultDecode)
		return
	}
	address, known := transport.resolve(from)
	if !known && !transport.unknownLimiter.Allow() {
		transport.meter.fault(FaultUnknownSender)
		return
	}
	if !source.IsValid() {
		source = address
		if source.IsValid() && transport.blocked(source) {
			transport.meter.fault(FaultBlocked)
			return
		}
	}
	transport.meter.count(decoded.MessageType(), Received, len(line))
	transport.settings.Handle(Incoming{From: from, Address: source, Message: decoded})
}

func (transport *Transport) resolve(from lb.NodeID) (netip.AddrPort, bool) {
	if transport.settings.Resolve == nil {
		return netip.AddrPort{}, true
	}
	return transport.settings.Resolve(from)
}
