// Package dataplane moves packets: it reads Geneve datagrams from a UDP
// socket, asks the core what to do with each, and writes the result to a back
// end's host, another balancer or the fabric.
//
// Nothing that arrives stops it. Malformed datagrams and socket errors are
// counted and passed over.
//
// A refusal goes to one of the addresses in Options.ReplyTo, not to the
// address that the datagram came from: the tail that refuses got it from
// another balancer, and the source port of a Geneve datagram is a hash of the
// flow that nobody need listen on (RFC 8926, section 3.3).
package dataplane

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// receiveBufferSize is asked for the socket's receive buffer, in bytes, to hold
// a burst while the reader waits for a processor. The system may give less.
const receiveBufferSize = 4 << 20

// Options are what a Plane needs. All fields are required unless stated otherwise.
type Options struct {
	// Listen is the data address of this node; port 0 takes a free port.
	Listen netip.AddrPort
	// Readers is how many goroutines read the socket; 0 means one. More
	// than one may change the order of a flow's packets.
	Readers int
	// Decide gives the core's decision. It is called from every reader at
	// once, and the packet holds only during the call.
	Decide func(*core.Packet) core.Decision
	// PeerAddress gives the data address of another balancer, false when it
	// is not known. It is called from every reader at once.
	PeerAddress func(lb.NodeID) (netip.AddrPort, bool)
	// ReplyTo are the fabric's addresses that take refusals; see NewGeneveCodec.
	ReplyTo []netip.AddrPort
	// NewCodec gives the codec of one reader; nil means Geneve, which needs ReplyTo.
	NewCodec func() Codec
	// Guard is asked before a packet is written to a host; nil allows all,
	// for callers that have no placements.
	Guard *Guard
}

func (options *Options) validate() error {
	address := options.Listen.Addr()
	if !address.IsValid() || address.IsUnspecified() || address.IsMulticast() {
		return errors.Newf("data address %s is no address of one node", options.Listen)
	}
	if options.Readers < 0 {
		return errors.Newf("number of readers %d is negative", options.Readers)
	}
	if options.Decide == nil || options.PeerAddress == nil {
		return errors.New("options Decide and PeerAddress must be set")
	}
	if options.NewCodec != nil {
		return nil
	}
	if len(options.ReplyTo) == 0 {
		return errors.New("no fabric address to send refusals to")
	}
	options.NewCodec = func() Codec { return NewGeneveCodec(options.ReplyTo) }
	return nil
}

// Plane is the data plane of one balancer.
type Plane struct {
	options Options
	socket  *net.UDPConn
	local   netip.AddrPort
	workers []*worker
	// releaser writes what was held, one call of Release at a time.
	releaser  *worker
	releasing sync.Mutex
}

// New opens the socket. Run must follow, or Close.
func New(options Options) (*Plane, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on data address %s", options.Listen)
	}
	plane := &Plane{options: options, socket: socket, local: localAddress(socket)}
	if err := plane.prepare(); err != nil {
		return nil, errors.CombineErrors(err, plane.Close())
	}
	return plane, nil
}

// prepare does what needs the socket.
func (plane *Plane) prepare() error {
	for _, address := range plane.options.ReplyTo {
		if !plane.sendable(address) {
			return errors.Newf("fabric address %s cannot be sent to from %s", address, plane.local)
		}
	}
	if err := plane.socket.SetReadBuffer(receiveBufferSize); err != nil {
		return errors.Wrapf(err, "set the receive buffer of data address %s", plane.local)
	}
	for range max(plane.options.Readers, 1) {
		plane.workers = append(plane.workers, newWorker(plane))
	}
	plane.releaser = newReleaser(plane)
	return nil
}

func localAddress(socket *net.UDPConn) netip.AddrPort {
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Address is the data address, with the port that was taken.
func (plane *Plane) Address() netip.AddrPort { return plane.local }

// sendable tells whether packets may be sent to the address: an address of
// one host that is not this node's own.
func (plane *Plane) sendable(address netip.AddrPort) bool {
	host := address.Addr()
	if !host.IsValid() || host.IsUnspecified() || host.IsMulticast() || address.Port() == 0 {
		return false
	}
	return address != plane.local
}

// Run moves packets until the context is done or StopReceiving has taken
// effect, then closes the socket. What was read is always answered.
func (plane *Plane) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { plane.StopReceiving(0) })
	defer stop()
	var group sync.WaitGroup
	for _, worker := range plane.workers {
		group.Go(worker.run)
	}
	group.Wait()
	return plane.Close()
}

// StopReceiving ends Run after the duration, during which datagrams that the
// socket holds or that are still under way are moved. It is the last step of a
// planned stop.
func (plane *Plane) StopReceiving(linger time.Duration) {
	// The only error is that of a closed socket, which no one reads any more.
	_ = plane.socket.SetReadDeadline(time.Now().Add(linger))
}

// Release does what was decided on openings that were held (core.ActionHold). It
// may be called at any time until the socket is closed; the slice holds during the call.
func (plane *Plane) Release(released []core.Released) {
	plane.releasing.Lock()
	defer plane.releasing.Unlock()
	plane.releaser.release(released)
}

// Close closes the socket.
func (plane *Plane) Close() error {
	err := plane.socket.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close the data socket")
}
