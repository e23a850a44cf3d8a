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

// The errors with which a flow or a request on it may end.
var (
	// ErrNotOpened means that no copy of the opening was answered.
	ErrNotOpened = errors.New("the flow did not open")
	// ErrReset means that a host or a balancer reset the flow.
	ErrReset = errors.New("the flow was reset")
	// ErrResetByNode means that a balancer reset the flow. It wraps ErrReset.
	ErrResetByNode = errors.Wrap(ErrReset, "by a balancer")
	// ErrWrongAnswer means that the answer belongs to another request.
	ErrWrongAnswer = errors.New("the answer belongs to another request")
	// ErrNoAnswer means that a request was not answered, although it was retransmitted.
	ErrNoAnswer = errors.New("no answer")
)

// openingTimeouts are the times to wait for an answer after each copy of an opening. After the
// last one the client gives up.
var openingTimeouts = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Retransmission of requests: the delay doubles from firstResendDelay up to maxResendDelay, until
// requestTimeout has passed.
const (
	firstResendDelay = 200 * time.Millisecond
	maxResendDelay   = 1600 * time.Millisecond
	requestTimeout   = 8 * time.Second
)

// Client is one client machine. Its flows have different ports at the same address.
type Client struct {
	address [4]byte
	port    uint16
	socket  *net.UDPConn
	router  *Router

	mutex    sync.Mutex
	zone     string // zone of the nodes that get its packets; empty: nodes of any zone
	flows    map[uint16]*Flow
	nextPort uint16
	forged   uint64
	done     chan struct{}
}

// NewClient starts a client at a loopback address. port is the UDP port of all data addresses.
func NewClient(address netip.Addr, port uint16, router *Router) (*Client, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	client := &Client{
		address: address.As4(), port: port, socket: socket, router: router,
		flows: map[uint16]*Flow{}, nextPort: 1024, done: make(chan struct{}),
	}
	go client.run()
	return client, nil
}

// SetZone sets the zone whose nodes get the client's packets from now on, including packets of
// open flows. An empty zone means the nodes of any zone.
func (client *Client) SetZone(zone string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.zone = zone
}

// Close closes the client's socket and waits for its goroutine to end.
func (client *Client) Close() {
	_ = client.socket.Close()
	<-client.done
}

// Forged returns the number of received packets that are malformed or whose checksum is wrong,
// without resets by balancers.
func (client *Client) Forged() uint64 {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.forged
}

func (client *Client) run() {
	defer close(client.done)
	buffer := make([]byte, 2048)
	for {
		size, from, err := client.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		client.receive(from, append([]byte{}, buffer[:size]...))
	}
}

func (client *Client) receive(from netip.AddrPort, datagram []byte) {
	packet, forged, ok := decode(datagram)
	packet.from = from
	nodeReset := packet.isNodeReset()
	client.mutex.Lock()
	if !ok || forged && !nodeReset {
		client.forged++
		client.mutex.Unlock()
		return
	}
	flow := client.flows[packet.DestinationPort]
	client.mutex.Unlock()
	if flow == nil {
		return
	}
	select {
	case flow.received <- packet:
	default: // the queue is full: the packet is lost
	}
}

// Flow is one flow of a client. It must be used by one goroutine at a time.
type Flow struct {
	client   *Client
	port     uint16
	frontend netip.AddrPort
	received chan wirePacket
	echo     uint32
	sequence uint32
	ack      uint32 // acknowledgment number for the host's opening and answers

	// Copies is the number of copies of the opening that were sent after the first one.
	Copies int
	// Node is the balancer to which the last packet was sent. OpeningNodes lists the
	// balancers to which the opening and its copies were sent, in order.
	Node         netip.AddrPort
	OpeningNodes []netip.AddrPort
	// AcceptingHosts lists the hosts that answered the opening, in order.
	AcceptingHosts []netip.AddrPort
}

// Open opens a flow to a front end. It returns the flow with its record of the attempts even if
// the flow did not open.
func (client *Client) Open(frontend netip.AddrPort) (*Flow, error) {
	client.mutex.Lock()
	client.nextPort++
	flow := &Flow{client: client, port: client.nextPort, frontend: frontend, received: make(chan wirePacket, 64), sequence: 1000}
	client.flows[flow.port] = flow
	client.mutex.Unlock()
	for copies, timeout := range openingTimeouts {
		flow.Copies = copies
		flow.send(flagSYN, uint32(copies), nil)
		flow.OpeningNodes = append(flow.OpeningNodes, flow.Node)
		answer, err := flow.waitFor(timeout, func(packet *wirePacket) bool { return packet.has(flagSYN | flagACK) })
		if errors.Is(err, ErrReset) {
			flow.release()
			return flow, err
		}
		if err == nil {
			flow.ack = answer.Sequence + 1
			flow.sequence++
			flow.send(flagACK, flow.ack, nil)
			return flow, nil
		}
	}
	flow.release()
	return flow, ErrNotOpened
}

// requestBytes is the size of a request, which consists of its id.
const requestBytes = 8

// Request sends a request and returns the id of the host that answered it.
func (flow *Flow) Request(id uint64) (host string, err error) {
	data := binary.BigEndian.AppendUint64(nil, id)
	end := flow.sequence + uint32(len(data))
	startedAt := time.Now()
	if err := flow.applyReceived(); err != nil {
		return "", err
	}
	for timeout := firstResendDelay; time.Since(startedAt) < requestTimeout; timeout = min(2*timeout, maxResendDelay) {
		flow.send(flagACK, flow.ack, data)
		answer, err := flow.waitFor(timeout, func(packet *wirePacket) bool { return packet.Acknowledgment == end && len(packet.Data) > 0 })
		if errors.Is(err, ErrReset) {
			return "", err
		}
		if err != nil {
			continue
		}
		flow.sequence = end
		flow.ack = answer.Sequence + uint32(len(answer.Data))
		flow.send(flagACK, flow.ack, nil) // immediately, as clients do: balancers detect the answer by it
		name, body, _ := strings.Cut(string(answer.Data), " ")
		if body != string(data) {
			return name, errors.Wrapf(ErrWrongAnswer, "request %d", id)
		}
		return name, nil
	}
	return "", ErrNoAnswer
}

// Close closes the flow and frees its port.
func (flow *Flow) Close() {
	flow.send(flagFIN|flagACK, flow.ack, nil)
	_, _ = flow.waitFor(firstResendDelay, func(packet *wirePacket) bool { return packet.has(flagFIN) })
	flow.release()
}

// Address returns the client's address and port of the flow.
func (flow *Flow) Address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(flow.client.address), flow.port)
}

// release removes the flow from the client, so that its packets are ignored.
func (flow *Flow) release() {
	flow.client.mutex.Lock()
	defer flow.client.mutex.Unlock()
	delete(flow.client.flows, flow.port)
}

func (flow *Flow) send(flags uint8, acknowledgment uint32, data []byte) {
	packet := wirePacket{
		Flags: flags, Sequence: flow.sequence, Acknowledgment: acknowledgment, Data: data, Echo: flow.echo,
		Source: flow.client.address, SourcePort: flow.port,
		Destination: flow.frontend.Addr().As4(), DestinationPort: flow.frontend.Port(),
	}
	flow.client.mutex.Lock()
	zone := flow.client.zone
	flow.client.mutex.Unlock()
	to, lost := flow.client.router.pick(packet.flow(), zone)
	flow.Node = to
	if !lost {
		// A packet that is not sent counts as lost and is retransmitted.
		_, _ = flow.client.socket.WriteToUDPAddrPort(packet.encode(nil), to)
	}
}

// waitFor returns the first packet for which wanted returns true. It applies every packet that
// arrives meanwhile, so that the next packet sent carries the latest echo.
func (flow *Flow) waitFor(limit time.Duration, wanted func(*wirePacket) bool) (wirePacket, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case packet := <-flow.received:
			if err := flow.apply(&packet); err != nil {
				return wirePacket{}, err
			}
			if wanted(&packet) {
				return packet, nil
			}
		case <-timer.C:
			return wirePacket{}, ErrNoAnswer
		}
	}
}

// applyReceived applies the packets that arrived while the client was not waiting, so that its
// next packet carries the latest echo.
func (flow *Flow) applyReceived() error {
	for {
		select {
		case packet := <-flow.received:
			if err := flow.apply(&packet); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// apply records the echo of a packet and, for an answer to the opening, the host that sent it. It
// returns an error for a reset.
func (flow *Flow) apply(packet *wirePacket) error {
	if packet.isNodeReset() {
		return errors.Wrapf(ErrResetByNode, "%s", packet.from)
	}
	if packet.has(flagRST) {
		return errors.Wrapf(ErrReset, "by the host at %s", packet.from)
	}
	flow.echo = packet.Echo
	if packet.has(flagSYN|flagACK) && !slices.Contains(flow.AcceptingHosts, packet.from) {
		flow.AcceptingHosts = append(flow.AcceptingHosts, packet.from)
	}
	return nil
}
