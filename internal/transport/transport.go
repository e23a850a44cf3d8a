// Package transport carries messages between balancers: lines of up to
// MaxDatagramBytes as UDP datagrams, longer ones over a TCP connection each,
// both on one control address. Long lines are compressed. A byte budget bounds what a node sends;
// membership goes first and hints are dropped first. Errors are counted, never
// fatal: whoever needs an answer asks again.
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

// Incoming is one message from a peer.
type Incoming struct {
	From lb.NodeID
	// Address is the sender's control address; invalid when the message came
	// by TCP from a sender that Resolve does not know.
	Address netip.AddrPort
	Message message.Message
}

// Settings of a transport.
type Settings struct {
	Self lb.NodeID
	// Listen is the control address, for UDP and TCP. Port zero takes a free one.
	Listen netip.AddrPort
	Budget Budget
	// Handle takes each message received. It is called from several goroutines
	// and must not block for long.
	Handle func(Incoming)
	// Resolve gives the control address of a known node. Messages of others
	// share a small allowance. Nil takes everyone as known.
	Resolve func(lb.NodeID) (netip.AddrPort, bool)
	// Blocked cuts a peer off in fault tests, both ways. Nil cuts nobody off.
	Blocked func(netip.AddrPort) bool
}

// Limits of the receiving side.
const (
	// unknownPerSecond bounds the messages taken from unknown senders together;
	// joining nodes need only a few.
	unknownPerSecond = 50
	receiveBytes     = 64 << 10 // the largest UDP datagram
	listenAttempts   = 8        // to find a port that is free for UDP and TCP
)

// Transport sends and receives the messages of one node.
type Transport struct {
	settings Settings
	address  netip.AddrPort
	udp      *net.UDPConn
	tcp      *net.TCPListener
	meter    *meter
	unknown  *rate.Limiter

	mutex sync.Mutex // guards queue
	queue *Queue
	wake  chan struct{}

	outbound chan struct{} // slots of outgoing connections
	inbound  chan struct{} // slots of incoming connections

	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Open listens on the control address and starts sending and receiving.
func Open(settings Settings) (*Transport, error) {
	if settings.Handle == nil {
		return nil, errors.New("transport: Handle is not set")
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
		settings: settings,
		address:  netip.AddrPortFrom(settings.Listen.Addr(), udp.LocalAddr().(*net.UDPAddr).AddrPort().Port()),
		udp:      udp,
		tcp:      tcp,
		meter:    newMeter(),
		unknown:  rate.NewLimiter(unknownPerSecond, unknownPerSecond),
		queue:    NewQueue(settings.Budget),
		wake:     make(chan struct{}, 1),
		outbound: make(chan struct{}, outboundConnections),
		inbound:  make(chan struct{}, inboundConnections),
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

// Address is the control address in use.
func (transport *Transport) Address() netip.AddrPort { return transport.address }

// Counters gives a copy of the counters.
func (transport *Transport) Counters() Counters { return transport.meter.snapshot() }

// Close stops sending and receiving, drops what still waits, and returns when
// all goroutines have ended.
func (transport *Transport) Close() error {
	transport.cancel()
	err := errors.CombineErrors(transport.udp.Close(), transport.tcp.Close())
	transport.running.Wait()
	return err
}

// Send puts a message on its way. It never blocks and reports no error: what
// cannot be sent is counted.
func (transport *Transport) Send(to netip.AddrPort, outgoing message.Message) {
	transport.SendAll([]netip.AddrPort{to}, outgoing)
}

// SendAll puts one message on its way to several peers; it is encoded once.
func (transport *Transport) SendAll(peers []netip.AddrPort, outgoing message.Message) {
	line, err := message.Encode(nil, transport.settings.Self, outgoing)
	if err != nil {
		transport.meter.fault(FaultEncode)
		return
	}
	kind := outgoing.MessageType()
	queued := Queued{Type: kind, Class: ClassOf(outgoing, len(line)), Line: Pack(kind, line)}
	if lifetime := Lifetime(outgoing); lifetime > 0 {
		queued.Until = time.Now().Add(lifetime)
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

// sendLoop sends what the queue lets go and sleeps until there is more.
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

// pop takes the next message and counts those that the queue dropped for it.
func (transport *Transport) pop() (Queued, bool, time.Duration) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	before := transport.queue.droppedInAll()
	item, ready, wait := transport.queue.Pop(time.Now())
	after := transport.queue.droppedInAll()
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
	buffer := make([]byte, receiveBytes)
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
		transport.takeLines(bytes.NewReader(buffer[:size]), source)
	}
}

// takeLines handles the lines of a datagram or connection.
func (transport *Transport) takeLines(data io.Reader, source netip.AddrPort) {
	scanner := bufio.NewScanner(io.LimitReader(unpack(data), streamBytes))
	scanner.Buffer(nil, message.MaxLineBytes+1)
	for scanner.Scan() {
		transport.take(scanner.Bytes(), source)
	}
	if scanner.Err() != nil && transport.context.Err() == nil {
		transport.meter.fault(FaultDecode)
	}
}

// take handles one line. source is invalid for lines that came by TCP, whose
// sender's control address is looked up.
func (transport *Transport) take(line []byte, source netip.AddrPort) {
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
	if !known && !transport.unknown.Allow() {
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
