package dataplane

import (
	"fmt"
	"net/netip"
	"testing"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// window is the number of datagrams in flight in BenchmarkForward. It fits the default receive
// buffer, so that none is lost.
const window = 64

// BenchmarkForward sends packets with 512 bytes of payload through the plane over loopback sockets.
// One operation is one packet. The time includes sender and receiver; "direct" measures these
// alone, without the plane.
func BenchmarkForward(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		testbed := startPlane(b, loopback, forwardToHost)
		benchmarkSend(b, testbed, testbed.host.address())
	})
	for _, readers := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("plane-of-%d", readers), func(b *testing.B) {
			testbed := startPlaneWith(b, Options{Listen: loopback, Readers: readers}, forwardToHost)
			benchmarkSend(b, testbed, testbed.plane.Address())
		})
	}
}

// BenchmarkLatency sends one packet at a time. One operation is the path from the fabric's socket
// to the host's socket. The difference between "one-plane" and "direct" is the latency of one hop,
// and that between "two-planes" and "one-plane" the latency of the next.
func BenchmarkLatency(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		testbed := startPlane(b, loopback, forwardToHost)
		benchmarkOneByOne(b, testbed, testbed.host.address())
	})
	b.Run("one-plane", func(b *testing.B) {
		testbed := startPlane(b, loopback, forwardToHost)
		benchmarkOneByOne(b, testbed, testbed.plane.Address())
	})
	b.Run("two-planes", func(b *testing.B) {
		second := startPlane(b, loopback, forwardToHost)
		first := startPlane(b, loopback, func(*testbed, *core.Packet) core.Decision {
			return core.Decision{Action: core.ActionForward, Host: second.plane.Address()}
		})
		first.host = second.host
		benchmarkOneByOne(b, first, first.plane.Address())
	})
}

func benchmarkOneByOne(b *testing.B, testbed *testbed, to netip.AddrPort) {
	sender := newBatch(testbed.fabric.socket, testDatagramSize)
	receiver := newBatch(testbed.host.socket, testDatagramSize)
	datagram := encapsulate(b, openingPacket(b), lb.Relay{})
	b.ReportAllocs()
	for b.Loop() {
		sendBatches(b, sender, datagram, to, 1)
		receiveBatches(b, receiver, 1)
	}
}

// benchmarkSend sends datagrams, window by window, and receives them at the host.
func benchmarkSend(b *testing.B, testbed *testbed, to netip.AddrPort) {
	segment := packet.Segment{Flags: packet.FlagACK, Payload: make([]byte, 512)}
	inner, err := packet.BuildTCP(nil, client, service, &segment)
	if err != nil {
		b.Fatal(err)
	}
	sender := newBatch(testbed.fabric.socket, testDatagramSize)
	receiver := newBatch(testbed.host.socket, testDatagramSize)
	datagram := encapsulate(b, inner, lb.Relay{})
	b.ReportAllocs()
	b.ResetTimer()
	for remaining := b.N; remaining > 0; remaining -= window {
		count := min(window, remaining)
		sendBatches(b, sender, datagram, to, count)
		receiveBatches(b, receiver, count)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

func sendBatches(b *testing.B, sender *batch, datagram []byte, to netip.AddrPort, count int) {
	for count > 0 {
		size := min(count, batchSize)
		for range size {
			sender.queue(append(sender.output(), datagram...), to)
		}
		if failed := sender.write(); failed != 0 {
			b.Fatalf("%d datagrams failed", failed)
		}
		count -= size
	}
}

func receiveBatches(b *testing.B, receiver *batch, count int) {
	for count > 0 {
		received, err := receiver.read()
		if err != nil {
			b.Fatal(err)
		}
		count -= received
	}
}

// BenchmarkHandle measures the plane's own work for one packet, without sockets.
func BenchmarkHandle(b *testing.B) {
	host := netip.MustParseAddrPort("127.0.0.1:6081")
	decisions := []struct {
		name     string
		decision core.Decision
	}{
		{"forward", core.Decision{Action: core.ActionForward, Host: host}},
		{"relay", core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: lb.Relay{Hop: lb.HopTail}}},
		{"refuse", core.Decision{Action: core.ActionRefuse, Refusal: lb.Refusal{Verdict: lb.NotRun}}},
	}
	for _, test := range decisions {
		b.Run(test.name, func(b *testing.B) {
			testbed := startPlane(b, loopback, func(*testbed, *core.Packet) core.Decision { return test.decision })
			worker := newWorker(testbed.plane)
			datagram := encapsulate(b, openingPacket(b), lb.Relay{})
			b.ReportAllocs()
			for b.Loop() {
				worker.handle(datagram)
				worker.batch.queued = 0
			}
		})
	}
}
