// Package dataplane moves packets: it reads Geneve datagrams from a UDP socket, calls the core for
// a decision on each, and writes the result to a back end's host, another balancer or the fabric.
//
// No input stops it: malformed datagrams and socket errors are counted and skipped.
//
// A refusal goes to one of the addresses in Options.ReplyTo, not to the source address of the
// datagram. The tail, which refuses, receives the datagram from another balancer, and the source
// port of a Geneve datagram is a hash of the flow, on which no process needs to listen (RFC 8926,
// section 3.3).
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

// receiveBufferSize is the requested size of the socket's receive buffer in bytes. The buffer holds
// a burst while a reader waits for a CPU. The operating system may grant less.
const receiveBufferSize = 4 << 20

// Options configure a Plane. All fields are required unless stated otherwise.
type Options struct {
	// Listen is the data address of this node; port 0 selects a free port.
	Listen netip.AddrPort
	// Readers is the number of goroutines that read the socket; 0 means one. With several readers,
	// packets of a flow may be reordered.
	Readers int
	// Decide returns the core's decision. All readers call it concurrently. The packet is valid
	// only during the call.
	Decide func(*core.Packet) core.Decision
	// PeerAddress returns the data address of another balancer, or false if it is not known. All
	// readers call it concurrently.
	PeerAddress func(lb.NodeID) (netip.AddrPort, bool)
	// ReplyTo lists the fabric's addresses for refusals; see NewGeneveCodec.
	ReplyTo []netip.AddrPort
	// NewCodec returns the codec of one reader. If it is nil, Geneve is used, which requires
	// ReplyTo.
	NewCodec func() Codec
	// Guard checks each packet before it is written to a host. If it is nil, every host is allowed,
	// for callers without placements.
	Guard *Guard
}

func (options *Options) validate() error {
	address := options.Listen.Addr()
	if !address.IsValid() || address.IsUnspecified() || address.IsMulticast() {
		return errors.Newf("data address %s is not the address of a single host", options.Listen)
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
		return errors.New("no fabric address for refusals is set")
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
	// releaser writes the held datagrams, for one call of Release at a time.
	releaser  *worker
	releasing sync.Mutex
}

// New opens the socket. The caller must call Run or Close.
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

// prepare performs the initialization that needs the socket.
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

// Address returns the data address with the actual port.
func (plane *Plane) Address() netip.AddrPort { return plane.local }

// sendable reports whether packets may be sent to the address: it must be the address of a single
// host and not this node's own.
func (plane *Plane) sendable(address netip.AddrPort) bool {
	host := address.Addr()
	if !host.IsValid() || host.IsUnspecified() || host.IsMulticast() || address.Port() == 0 {
		return false
	}
	return address != plane.local
}

// Run moves packets until the context is done or StopReceiving has taken effect, and then closes
// the socket. Every datagram that was read is processed.
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

// StopReceiving ends Run after the given duration. Until then, datagrams that the socket holds or
// that are still in transit are processed. It is the last step of a planned stop.
func (plane *Plane) StopReceiving(linger time.Duration) {
	// The only possible error is that the socket is closed, which needs no handling: no goroutine
	// reads it then.
	_ = plane.socket.SetReadDeadline(time.Now().Add(linger))
}

// Release executes the decisions on openings that were held (core.ActionHold). It may be called at
// any time until the socket is closed. It does not keep the slice.
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
