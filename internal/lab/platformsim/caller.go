package platformsim

import (
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// What may happen to a flow.
var (
	// ErrNotOpened: no answer to any copy of the opening.
	ErrNotOpened = errors.New("the flow did not open")
	// ErrReset: the flow was reset.
	ErrReset = errors.New("the flow was reset")
	// ErrResetByNode: it was a balancer that reset it. It is an ErrReset as well.
	ErrResetByNode = errors.Wrap(ErrReset, "by a balancer")
	// ErrMixed: the answer is that to another request.
	ErrMixed = errors.New("the answer is that to another request")
	// ErrNoAnswer: no answer to a request, however often it was sent.
	ErrNoAnswer = errors.New("no answer")
)

// openingWaits are the times to the next copy of an opening, and at last to giving up.
var openingWaits = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Resending of later packets.
const (
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	giveUpAfter = 8 * time.Second
)

// Caller is one client machine.
type Caller struct {
	address [4]byte
	port    uint16
	socket  *net.UDPConn
	router  *Router

	mutex  sync.Mutex
	zone   string // whose nodes its packets go to; empty: any
	flows  map[uint16]*Flow
	next   uint16
	forged uint64
	ended  chan struct{}
}

// NewCaller starts a caller at a loopback address; port is that of all data addresses.
func NewCaller(address netip.Addr, port uint16, router *Router) (*Caller, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	caller := &Caller{
		address: address.As4(), port: port, socket: socket, router: router,
		flows: map[uint16]*Flow{}, next: 1024, ended: make(chan struct{}),
	}
	go caller.run()
	return caller, nil
}

// SetZone has the caller's packets go to the nodes of a zone from now on, also those of
// open flows; empty: to any.
func (caller *Caller) SetZone(zone string) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.zone = zone
}

// Close ends the caller.
func (caller *Caller) Close() {
	_ = caller.socket.Close()
	<-caller.ended
}

// Forged counts packets that their sender did not write that way.
func (caller *Caller) Forged() uint64 {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	return caller.forged
}

func (caller *Caller) run() {
	defer close(caller.ended)
	buffer := make([]byte, 2048)
	for {
		size, from, err := caller.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		caller.take(from, append([]byte{}, buffer[:size]...))
	}
}

func (caller *Caller) take(from netip.AddrPort, datagram []byte) {
	packet, forged, ok := decode(datagram)
	packet.from = from
	ownReset := packet.isNodeReset()
	caller.mutex.Lock()
	if !ok || forged && !ownReset {
		caller.forged++
		caller.mutex.Unlock()
		return
	}
	flow := caller.flows[packet.DestinationPort]
	caller.mutex.Unlock()
	if flow == nil {
		return
	}
	select {
	case flow.received <- packet:
	default: // as if lost
	}
}

// Flow is one flow at its caller. One goroutine at a time uses it.
type Flow struct {
	caller   *Caller
	port     uint16
	front    netip.AddrPort
	received chan head
	echo     uint32
	sequence uint32
	ack      uint32 // acknowledges the host's opening, and its answers

	// Copies is how many copies of the opening were sent besides the first.
	Copies int
	// Node is the balancer that the last packet went to, and Opened those that got copies of
	// the opening, in order.
	Node   netip.AddrPort
	Opened []netip.AddrPort
	// Accepting are the hosts that answered the opening, in order.
	Accepting []netip.AddrPort
}

// Open opens a flow to a front end. The flow tells how it was tried also when
// it did not open.
func (caller *Caller) Open(front netip.AddrPort) (*Flow, error) {
	caller.mutex.Lock()
	caller.next++
	flow := &Flow{caller: caller, port: caller.next, front: front, received: make(chan head, 64), sequence: 1000}
	caller.flows[flow.port] = flow
	caller.mutex.Unlock()
	for copies, wait := range openingWaits {
		flow.Copies = copies
		flow.send(flagSYN, uint32(copies), nil)
		flow.Opened = append(flow.Opened, flow.Node)
		answer, err := flow.wait(wait, func(packet *head) bool { return packet.has(flagSYN | flagACK) })
		if errors.Is(err, ErrReset) {
			flow.forget()
			return flow, err
		}
		if err == nil {
			flow.ack = answer.Sequence + 1
			flow.sequence++
			flow.send(flagACK, flow.ack, nil)
			return flow, nil
		}
	}
	flow.forget()
	return flow, ErrNotOpened
}

// requestBytes is the size of a request: its id.
const requestBytes = 8

// Request sends a request and gives the id of the host that answered it.
func (flow *Flow) Request(id uint64) (host string, err error) {
	data := binary.BigEndian.AppendUint64(nil, id)
	end := flow.sequence + uint32(len(data))
	begun := time.Now()
	if err := flow.catchUp(); err != nil {
		return "", err
	}
	for wait := firstResend; time.Since(begun) < giveUpAfter; wait = min(2*wait, lastResend) {
		flow.send(flagACK, flow.ack, data)
		answer, err := flow.wait(wait, func(packet *head) bool { return packet.Acknowledgment == end && len(packet.Data) > 0 })
		if errors.Is(err, ErrReset) {
			return "", err
		}
		if err != nil {
			continue
		}
		flow.sequence = end
		flow.ack = answer.Sequence + uint32(len(answer.Data))
		flow.send(flagACK, flow.ack, nil) // at once, as callers do: balancers see by it that there is an answer
		name, body, _ := strings.Cut(string(answer.Data), " ")
		if body != string(data) {
			return name, errors.Wrapf(ErrMixed, "request %d", id)
		}
		return name, nil
	}
	return "", ErrNoAnswer
}

// Close ends the flow.
func (flow *Flow) Close() {
	flow.send(flagFIN|flagACK, flow.ack, nil)
	_, _ = flow.wait(firstResend, func(packet *head) bool { return packet.has(flagFIN) })
	flow.forget()
}

// Address is the caller's end of the flow.
func (flow *Flow) Address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(flow.caller.address), flow.port)
}

// forget frees the flow's port.
func (flow *Flow) forget() {
	flow.caller.mutex.Lock()
	defer flow.caller.mutex.Unlock()
	delete(flow.caller.flows, flow.port)
}

func (flow *Flow) send(flags uint8, acknowledgment uint32, data []byte) {
	packet := head{
		Flags: flags, Sequence: flow.sequence, Acknowledgment: acknowledgment, Data: data, Echo: flow.echo,
		Source: flow.caller.address, SourcePort: flow.port,
		Destination: flow.front.Addr().As4(), DestinationPort: flow.front.Port(),
	}
	flow.caller.mutex.Lock()
	zone := flow.caller.zone
	flow.caller.mutex.Unlock()
	to, lost := flow.caller.router.pick(packet.flow(), zone)
	flow.Node = to
	if !lost {
		_, _ = flow.caller.socket.WriteToUDPAddrPort(packet.encode(nil), to) // sent again if lost
	}
}

// wait gives the first packet that is wanted. Whatever comes brings its echo.
func (flow *Flow) wait(limit time.Duration, wanted func(*head) bool) (head, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case packet := <-flow.received:
			if err := flow.take(&packet); err != nil {
				return head{}, err
			}
			if wanted(&packet) {
				return packet, nil
			}
		case <-timer.C:
			return head{}, ErrNoAnswer
		}
	}
}

// catchUp takes what came while the caller was not waiting, so that its next packet carries
// the last echo.
func (flow *Flow) catchUp() error {
	for {
		select {
		case packet := <-flow.received:
			if err := flow.take(&packet); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// take notes what any packet brings; a reset is an error.
func (flow *Flow) take(packet *head) error {
	if packet.isNodeReset() {
		return errors.Wrapf(ErrResetByNode, "%s", packet.from)
	}
	if packet.has(flagRST) {
		return errors.Wrapf(ErrReset, "by the host at %s", packet.from)
	}
	flow.echo = packet.Echo
	if packet.has(flagSYN|flagACK) && !slices.Contains(flow.Accepting, packet.from) {
		flow.Accepting = append(flow.Accepting, packet.from)
	}
	return nil
}
