package dataplane

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

func TestForward(t *testing.T) {
	for _, listen := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(listen, func(t *testing.T) {
			is := is.New(t)
			testbed := startPlane(t, netip.MustParseAddrPort(listen), forwardToHost)
			inner := openingPacket(t)
			testbed.fabric.send(encapsulate(t, inner, lb.Relay{}), testbed.plane.Address())
			received := testbed.host.receive()
			is.Equal(received.Inner, inner)
			is.Equal(received.VNI, uint32(testVNI))
			is.True(!received.IsRelayed())
			counters := testbed.stop(t)
			is.Equal(counters.FromFabric, uint64(1))
			is.Equal(counters.Forwarded, uint64(1))
		})
	}
}

func TestForwardLargestPacket(t *testing.T) {
	is := is.New(t)
	testbed := startPlane(t, loopback, forwardToHost)
	const maxPayload = 65507 - 8 - 20 - 8 // headers: UDP, Geneve, inner IPv4 and inner UDP
	inner, err := packet.BuildUDP(nil, client, service, make([]byte, maxPayload))
	is.NoErr(err)
	testbed.fabric.send(encapsulate(t, inner, lb.Relay{}), testbed.plane.Address())
	is.Equal(testbed.host.receive().Inner, inner)
}

func TestRelay(t *testing.T) {
	is := is.New(t)
	relay := lb.Relay{Hop: lb.HopTail, Ingress: 5, Version: 6, Proposal: 7, HeadComplete: true}
	testbed := startPlane(t, loopback, func(_ *testbed, input *core.Packet) core.Decision {
		if input.Relay.Hop != lb.HopHead {
			t.Errorf("core received hop %d", input.Relay.Hop)
		}
		return core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: relay}
	})
	inner := openingPacket(t)
	testbed.fabric.send(encapsulate(t, inner, lb.Relay{Hop: lb.HopHead, Ingress: 5}), testbed.plane.Address())
	received := testbed.peer.receive()
	is.Equal(received.Relay, relay)
	is.Equal(received.Inner, inner)
	counters := testbed.stop(t)
	is.Equal(counters.FromPeers, uint64(1))
	is.Equal(counters.Relayed, uint64(1))
}

func TestRefusalGoesToTheFabric(t *testing.T) {
	is := is.New(t)
	refusal := lb.Refusal{Verdict: lb.NotRun, RetryAfter: time.Second}
	testbed := startPlane(t, loopback, func(*testbed, *core.Packet) core.Decision {
		return core.Decision{Action: core.ActionRefuse, Reason: core.ReasonAdmission, Refusal: refusal}
	})
	// The datagram comes from a peer, as it does at the tail of a chain.
	testbed.peer.send(encapsulate(t, openingPacket(t), lb.Relay{Hop: lb.HopTail}), testbed.plane.Address())
	received := testbed.fabric.receive()
	is.Equal(received.Refusal, refusal)
	is.Equal(received.Destination(), client)
	is.True(received.IsReset())
	counters := testbed.stop(t)
	is.Equal(counters.Refused, uint64(1))
	is.Equal(counters.Reasons, []ReasonCount{{core.ActionRefuse, core.ReasonAdmission, 1}})
}

// TestPacketsNotSent covers every case in which a well-formed packet is not sent.
func TestPacketsNotSent(t *testing.T) {
	reset, err := packet.BuildTCP(nil, client, service, &packet.Segment{Flags: packet.FlagRST})
	if err != nil {
		t.Fatal(err)
	}
	opening := openingPacket(t)
	head := lb.Relay{Hop: lb.HopHead}
	rerouted := lb.Relay{Hop: lb.HopHead, Rerouted: true}
	tail := lb.Relay{Hop: lb.HopTail}
	relayTo := func(relay lb.Relay, peer lb.NodeID) core.Decision {
		return core.Decision{Action: core.ActionRelay, Peer: peer, Relay: relay}
	}
	cases := []struct {
		name     string
		inner    []byte
		incoming lb.Relay
		decision core.Decision
		count    func(*Counters) uint64
	}{
		{
			"dropped", opening, head,
			core.Decision{Action: core.ActionDrop, Reason: core.ReasonNoBackend},
			func(counters *Counters) uint64 { return counters.Reasons[0].Count },
		},
		{
			"no decision", opening, head,
			core.Decision{},
			func(counters *Counters) uint64 { return counters.Reasons[0].Count },
		},
		{
			"refused reset", reset, head,
			core.Decision{Action: core.ActionRefuse},
			func(counters *Counters) uint64 { return counters.Unanswered },
		},
		{
			"unknown peer", opening, head, relayTo(tail, "unknown"),
			func(counters *Counters) uint64 { return counters.UnknownPeer },
		},
		{
			"no host", opening, head,
			core.Decision{Action: core.ActionForward},
			func(counters *Counters) uint64 { return counters.Unsendable },
		},
		{
			"multicast host", opening, head,
			core.Decision{Action: core.ActionForward, Host: netip.MustParseAddrPort("224.0.0.9:6081")},
			func(counters *Counters) uint64 { return counters.Unsendable },
		},
		{
			"relayed to ingress", opening,
			lb.Relay{},
			relayTo(lb.Relay{}, peerID),
			func(counters *Counters) uint64 { return counters.Loops },
		},
		{
			"head to head", opening, head, relayTo(head, peerID),
			func(counters *Counters) uint64 { return counters.Loops },
		},
		{
			"rerouted twice", opening, rerouted, relayTo(rerouted, peerID),
			func(counters *Counters) uint64 { return counters.Loops },
		},
		{
			"tail to tail", opening, tail, relayTo(tail, peerID),
			func(counters *Counters) uint64 { return counters.Loops },
		},
		{
			"tail to head", opening, tail, relayTo(rerouted, peerID),
			func(counters *Counters) uint64 { return counters.Loops },
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			decided := make(chan struct{}, 1)
			testbed := startPlane(t, loopback, func(*testbed, *core.Packet) core.Decision {
				decided <- struct{}{}
				return test.decision
			})
			testbed.fabric.send(encapsulate(t, test.inner, test.incoming), testbed.plane.Address())
			<-decided
			counters := testbed.stop(t)
			is.Equal(test.count(&counters), uint64(1))
			is.Equal(counters.Forwarded+counters.Relayed+counters.Refused, uint64(0))
		})
	}
}

func TestPacketIsNotSentToThisNode(t *testing.T) {
	is := is.New(t)
	decided := make(chan struct{}, 1)
	testbed := startPlane(t, loopback, func(testbed *testbed, _ *core.Packet) core.Decision {
		decided <- struct{}{}
		return core.Decision{Action: core.ActionForward, Host: testbed.plane.Address()}
	})
	testbed.fabric.send(encapsulate(t, openingPacket(t), lb.Relay{}), testbed.plane.Address())
	<-decided
	counters := testbed.stop(t)
	is.Equal(counters.Received, uint64(1))
	is.Equal(counters.Unsendable, uint64(1))
}

// TestHeadReroutesOnce checks that a head may relay a packet to another head once.
func TestHeadReroutesOnce(t *testing.T) {
	is := is.New(t)
	rerouted := lb.Relay{Hop: lb.HopHead, Rerouted: true}
	testbed := startPlane(t, loopback, func(*testbed, *core.Packet) core.Decision {
		return core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: rerouted}
	})
	testbed.fabric.send(encapsulate(t, openingPacket(t), lb.Relay{Hop: lb.HopHead}), testbed.plane.Address())
	is.Equal(testbed.peer.receive().Relay, rerouted)
}

func TestMalformedIsCountedByCause(t *testing.T) {
	is := is.New(t)
	testbed := startPlane(t, loopback, forwardToHost)
	inner := openingPacket(t)
	ethernet := encapsulate(t, inner, lb.Relay{})
	copy(ethernet[2:], []byte{0x65, 0x58})
	for _, datagram := range [][]byte{{}, {1}, ethernet, encapsulate(t, inner, lb.Relay{})[:20]} {
		testbed.fabric.send(datagram, testbed.plane.Address())
	}
	testbed.fabric.send(encapsulate(t, inner, lb.Relay{}), testbed.plane.Address())
	is.Equal(testbed.host.receive().Inner, inner) // the plane still works
	counters := testbed.stop(t)
	is.Equal(counters.Received, uint64(5))
	is.Equal(counters.Malformed[packet.CauseTruncated], uint64(3))
	is.Equal(counters.Malformed[packet.CausePayloadType], uint64(1))
	is.Equal(counters.Forwarded, uint64(1))
}

// TestSocketErrorsAreCounted sends some packets to an IPv6 address, which an IPv4 socket cannot
// send to, between packets to the host.
func TestSocketErrorsAreCounted(t *testing.T) {
	is := is.New(t)
	testbed := startPlane(t, loopback, func(testbed *testbed, input *core.Packet) core.Decision {
		host := testbed.host.address()
		if input.OpeningID%2 == 1 {
			host = netip.MustParseAddrPort("[2001:db8::1]:6081")
		}
		return core.Decision{Action: core.ActionForward, Host: host}
	})
	const sent = 20
	for index := range sent {
		segment := packet.Segment{Flags: packet.FlagSYN, Sequence: uint32(index)}
		inner, err := packet.BuildTCP(nil, client, service, &segment)
		is.NoErr(err)
		testbed.fabric.send(encapsulate(t, inner, lb.Relay{}), testbed.plane.Address())
	}
	for index := range sent / 2 {
		is.Equal(testbed.host.receive().OpeningID, uint32(2*index))
	}
	testbed.plane.StopReceiving(0)
	is.NoErr(<-testbed.stopped)
	// The last packet may not have been read yet.
	is.True(testbed.plane.Counters().WriteErrors >= sent/2-1)
}

func TestUnreachableHostDoesNotStopThePlane(t *testing.T) {
	is := is.New(t)
	closed := newEndpoint(t, loopback)
	closedAddress := closed.address()
	is.NoErr(closed.socket.Close())
	testbed := startPlane(t, loopback, func(testbed *testbed, input *core.Packet) core.Decision {
		if input.Kind == core.PacketOpening {
			return core.Decision{Action: core.ActionForward, Host: closedAddress}
		}
		return forwardToHost(testbed, input)
	})
	middle, err := packet.BuildTCP(nil, client, service, &packet.Segment{Flags: packet.FlagACK})
	is.NoErr(err)
	for range 10 {
		testbed.fabric.send(encapsulate(t, openingPacket(t), lb.Relay{}), testbed.plane.Address())
		testbed.fabric.send(encapsulate(t, middle, lb.Relay{}), testbed.plane.Address())
		is.Equal(testbed.host.receive().Inner, middle)
	}
}

// TestStopReceivingLingers checks that datagrams that arrive during the linger time are processed.
func TestStopReceivingLingers(t *testing.T) {
	is := is.New(t)
	testbed := startPlane(t, loopback, forwardToHost)
	testbed.plane.StopReceiving(testTimeout)
	inner := openingPacket(t)
	for range 2 * batchSize {
		testbed.fabric.send(encapsulate(t, inner, lb.Relay{}), testbed.plane.Address())
		is.Equal(testbed.host.receive().Inner, inner)
	}
	is.Equal(testbed.stop(t).Forwarded, uint64(2*batchSize))
}

// TestEveryDatagramIsCountedOnce sends datagrams of every kind to a plane with three readers.
func TestEveryDatagramIsCountedOnce(t *testing.T) {
	is := is.New(t)
	const kinds = 4
	decide := func(testbed *testbed, input *core.Packet) core.Decision {
		switch input.OpeningID % kinds {
		case 0:
			return forwardToHost(testbed, input)
		case 1:
			return core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: lb.Relay{Hop: lb.HopTail}}
		case 2:
			return core.Decision{Action: core.ActionRefuse, Refusal: lb.Refusal{Verdict: lb.NotRun}}
		}
		return core.Decision{Action: core.ActionDrop, Reason: core.ReasonNoBackend}
	}
	testbed := startPlaneWith(t, Options{Listen: loopback, Readers: 3}, decide)
	const rounds = 50
	for round := range uint64(rounds) {
		for kind := range uint32(kinds) {
			inner, err := packet.BuildTCP(nil, client, service, &packet.Segment{Flags: packet.FlagSYN, Sequence: kind})
			is.NoErr(err)
			testbed.fabric.send(encapsulate(t, inner, lb.Relay{}), testbed.plane.Address())
		}
		testbed.peer.send(encapsulate(t, openingPacket(t), lb.Relay{Hop: lb.HopHead}), testbed.plane.Address())
		testbed.fabric.send([]byte{1}, testbed.plane.Address())
		waitUntil(t, func() bool { return testbed.plane.Counters().Received == (kinds+2)*(round+1) })
	}
	counters := testbed.stop(t)
	is.Equal(counters.FromFabric, uint64(kinds*rounds))
	is.Equal(counters.FromPeers, uint64(rounds))
	is.Equal(counters.Malformed[packet.CauseTruncated], uint64(rounds))
	is.Equal(counters.Forwarded, uint64(2*rounds)) // including those from the peer
	is.Equal(counters.Relayed, uint64(rounds))
	is.Equal(counters.Refused, uint64(rounds))
	is.Equal(counters.Reasons, []ReasonCount{
		{core.ActionDrop, core.ReasonNoBackend, rounds},
		{core.ActionRefuse, "", rounds},
	})
}

func TestContextEndsRun(t *testing.T) {
	is := is.New(t)
	plane, err := New(Options{
		Listen:      loopback,
		Readers:     3,
		Decide:      func(*core.Packet) core.Decision { return core.Decision{} },
		PeerAddress: func(lb.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		ReplyTo:     []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:6081")},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(plane.Run(ctx))
	is.NoErr(plane.Close())
}

func TestOptionsAreChecked(t *testing.T) {
	valid := Options{
		Listen:      loopback,
		Decide:      func(*core.Packet) core.Decision { return core.Decision{} },
		PeerAddress: func(lb.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		ReplyTo:     []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:6081")},
	}
	cases := []struct {
		name   string
		change func(*Options)
	}{
		{"no address", func(options *Options) { options.Listen = netip.AddrPort{} }},
		{"unspecified address", func(options *Options) { options.Listen = netip.MustParseAddrPort("0.0.0.0:0") }},
		{"negative readers", func(options *Options) { options.Readers = -1 }},
		{"no decide", func(options *Options) { options.Decide = nil }},
		{"no peer address", func(options *Options) { options.PeerAddress = nil }},
		{"no reply address", func(options *Options) { options.ReplyTo = nil }},
		{"reply address without port", func(options *Options) { options.ReplyTo = []netip.AddrPort{loopback} }},
		{"foreign address", func(options *Options) { options.Listen = netip.MustParseAddrPort("192.0.2.1:6081") }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			options := valid
			test.change(&options)
			_, err := New(options)
			is.True(err != nil)
		})
	}
}
