package dataplane

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

var (
	hostA = netip.MustParseAddrPort("192.0.2.10:6081")
	hostB = netip.MustParseAddrPort("192.0.2.11:6081")
)

func placement(name lb.ServiceName, version lb.Version, frontend netip.AddrPort, hosts ...netip.AddrPort) *lb.Placement {
	document := &lb.Placement{
		Service:   name,
		Version:   version,
		Frontends: []lb.Frontend{{Address: frontend, Protocol: lb.TCP}},
	}
	for _, host := range hosts {
		document.Backends = append(document.Backends, lb.PlacedBackend{Host: host})
	}
	return document
}

func TestGuard(t *testing.T) {
	is := is.New(t)
	flow := lb.NewFlowKey(client, service, lb.TCP)
	udpFlow := lb.NewFlowKey(client, service, lb.UDP)
	other := netip.MustParseAddrPort("192.0.2.2:443")
	guard := NewGuard()
	is.True(!guard.Allows(&flow, hostA)) // no services set

	guard.Set(placement("a", 2, service, hostA))
	guard.Set(placement("b", 1, other, hostB))
	is.True(guard.Allows(&flow, hostA))
	is.True(guard.Allows(&flow, netip.MustParseAddrPort("[::ffff:192.0.2.10]:6081")))
	is.True(!guard.Allows(&flow, hostB))    // a host of the other service
	is.True(!guard.Allows(&udpFlow, hostA)) // another protocol
	is.True(!guard.Allows(&flow, netip.AddrPort{}))

	guard.Set(placement("a", 1, service, hostB)) // older version
	is.True(guard.Allows(&flow, hostA))

	// The front end moves from service a to b. The next version of a, which no longer lists it,
	// must not remove it from b.
	guard.Set(placement("b", 2, service, hostB))
	guard.Set(placement("a", 3, other, hostA))
	is.True(guard.Allows(&flow, hostB))
	is.True(!guard.Allows(&flow, hostA))

	deleted := placement("b", 3, service, hostB)
	deleted.Deleted = true
	guard.Set(deleted)
	is.True(!guard.Allows(&flow, hostB))
}

// TestWrongServiceIsNotWritten simulates a faulty core that returns the host of another service.
func TestWrongServiceIsNotWritten(t *testing.T) {
	is := is.New(t)
	guard := NewGuard()
	guard.Set(placement("a", 1, service, hostA))
	testbed := startPlaneWith(t, Options{Listen: loopback, Guard: guard}, forwardToHost)
	datagram := encapsulate(t, openingPacket(t), lb.Relay{})
	testbed.fabric.send(datagram, testbed.plane.Address())
	waitUntil(t, func() bool { return testbed.plane.Counters().WrongService == 1 })
	guard.Set(placement("a", 2, service, hostA, testbed.host.address()))
	testbed.fabric.send(datagram, testbed.plane.Address())
	testbed.host.receive()
	counters := testbed.stop(t)
	is.Equal(counters.Forwarded, uint64(1))
	is.Equal(counters.WrongService, uint64(1))
}

func BenchmarkGuard(b *testing.B) {
	guard := NewGuard()
	guard.Set(placement("a", 1, service, hostA, hostB))
	flow := lb.NewFlowKey(client, service, lb.TCP)
	b.ReportAllocs()
	for b.Loop() {
		if !guard.Allows(&flow, hostB) {
			b.Fatal("host is not allowed")
		}
	}
}
