package dataplane

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// testTimeout bounds each wait; it is reached only if a test fails.
const testTimeout = 10 * time.Second

const testVNI = 42

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	client   = netip.MustParseAddrPort("198.51.100.7:40001")
	service  = netip.MustParseAddrPort("192.0.2.1:443")
)

// testDatagramSize is the maximum size of a UDP datagram.
const testDatagramSize = 1 << 16

// endpoint is a socket of the test: the fabric, a host or a peer.
type endpoint struct {
	t      testing.TB
	socket *net.UDPConn
	buffer [testDatagramSize]byte
}

func newEndpoint(t testing.TB, address netip.AddrPort) *endpoint {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return &endpoint{t: t, socket: socket}
}

func (endpoint *endpoint) address() netip.AddrPort { return localAddress(endpoint.socket) }

func (endpoint *endpoint) send(datagram []byte, to netip.AddrPort) {
	endpoint.t.Helper()
	if _, err := endpoint.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		endpoint.t.Fatal(err)
	}
}

// receive waits for a datagram and decodes it.
func (endpoint *endpoint) receive() *packet.Packet {
	endpoint.t.Helper()
	if err := endpoint.socket.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		endpoint.t.Fatal(err)
	}
	length, _, err := endpoint.socket.ReadFromUDPAddrPort(endpoint.buffer[:])
	if err != nil {
		endpoint.t.Fatal(err)
	}
	received := new(packet.Packet)
	if err := packet.Decode(append([]byte{}, endpoint.buffer[:length]...), received); err != nil {
		endpoint.t.Fatal(err)
	}
	return received
}

// testbed is a running plane with the endpoints around it.
type testbed struct {
	plane   *Plane
	fabric  *endpoint
	host    *endpoint
	peer    *endpoint
	stopped chan error
}

const peerID lb.NodeID = "peer"

// startPlane starts a plane with one reader whose decisions are made by decide.
func startPlane(t testing.TB, listen netip.AddrPort, decide func(*testbed, *core.Packet) core.Decision) *testbed {
	t.Helper()
	return startPlaneWith(t, Options{Listen: listen}, decide)
}

// startPlaneWith starts a plane with the given options; it sets the functions and the addresses of
// the endpoints.
func startPlaneWith(t testing.TB, options Options, decide func(*testbed, *core.Packet) core.Decision) *testbed {
	t.Helper()
	testbed := &testbed{
		fabric:  newEndpoint(t, options.Listen),
		host:    newEndpoint(t, options.Listen),
		peer:    newEndpoint(t, options.Listen),
		stopped: make(chan error, 1),
	}
	options.Decide = func(input *core.Packet) core.Decision { return decide(testbed, input) }
	options.PeerAddress = func(node lb.NodeID) (netip.AddrPort, bool) {
		return testbed.peer.address(), node == peerID
	}
	options.ReplyTo = []netip.AddrPort{testbed.fabric.address()}
	plane, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	testbed.plane = plane
	go func() { testbed.stopped <- plane.Run(context.Background()) }()
	t.Cleanup(func() { _ = plane.Close() })
	return testbed
}

// stop stops the plane and returns its final counters.
func (testbed *testbed) stop(t testing.TB) Counters {
	t.Helper()
	testbed.plane.StopReceiving(0)
	if err := <-testbed.stopped; err != nil {
		t.Fatal(err)
	}
	return testbed.plane.Counters()
}

func openingPacket(t testing.TB) []byte {
	t.Helper()
	segment := packet.Segment{Flags: packet.FlagSYN, Sequence: 1000}
	inner, err := packet.BuildTCP(nil, client, service, &segment)
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

func encapsulate(t testing.TB, inner []byte, relay lb.Relay) []byte {
	t.Helper()
	datagram, err := packet.Encode(nil, inner, &packet.Header{VNI: testVNI, Relay: relay})
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

func forwardToHost(testbed *testbed, _ *core.Packet) core.Decision {
	return core.Decision{Action: core.ActionForward, Host: testbed.host.address()}
}

// waitUntil waits until the condition is true and fails the test after testTimeout.
func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}
