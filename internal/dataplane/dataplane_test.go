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
			bench := start(t, netip.MustParseAddrPort(listen), forwardToHost)
			inner := openingPacket(t)
			bench.fabric.send(wrap(t, inner, lb.Relay{}), bench.plane.Address())
			received := bench.host.receive()
			is.Equal(received.Inner, inner)
			is.Equal(received.VNI, uint32(testVNI))
			is.True(!received.Relayed())
			counters := bench.stop(t)
			is.Equal(counters.FromFabric, uint64(1))
			is.Equal(counters.Forwarded, uint64(1))
		})
	}
}

func TestForwardOfTheLargestPacket(t *testing.T) {
	is := is.New(t)
	bench := start(t, loopback, forwardToHost)
	const most = 65507 - 8 - 20 - 8 // UDP datagram, Geneve, inner IPv4 and UDP
	inner, err := packet.BuildUDP(nil, caller, service, make([]byte, most))
	is.NoErr(err)
	bench.fabric.send(wrap(t, inner, lb.Relay{}), bench.plane.Address())
	is.Equal(bench.host.receive().Inner, inner)
}

func TestRelay(t *testing.T) {
	is := is.New(t)
	relay := lb.Relay{Hop: lb.HopTail, Ingress: 5, Version: 6, Proposal: 7, Vouched: true}
	bench := start(t, loopback, func(_ *bench, input *core.Packet) core.Decision {
		if input.Relay.Hop != lb.HopHead {
			t.Errorf("core saw hop %d", input.Relay.Hop)
		}
		return core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: relay}
	})
	inner := openingPacket(t)
	bench.fabric.send(wrap(t, inner, lb.Relay{Hop: lb.HopHead, Ingress: 5}), bench.plane.Address())
	received := bench.peer.receive()
	is.Equal(received.Relay, relay)
	is.Equal(received.Inner, inner)
	counters := bench.stop(t)
	is.Equal(counters.FromPeers, uint64(1))
	is.Equal(counters.Relayed, uint64(1))
}

func TestRefusalGoesToTheFabric(t *testing.T) {
	is := is.New(t)
	refusal := lb.Refusal{Verdict: lb.NotRun, RetryAfter: time.Second}
	bench := start(t, loopback, func(*bench, *core.Packet) core.Decision {
		return core.Decision{Action: core.ActionRefuse, Reason: core.ReasonAdmission, Refusal: refusal}
	})
	// The datagram comes from a peer, as it does to the tail of a chain.
	bench.peer.send(wrap(t, openingPacket(t), lb.Relay{Hop: lb.HopTail}), bench.plane.Address())
	received := bench.fabric.receive()
	is.Equal(received.Refusal, refusal)
	is.Equal(received.Destination(), caller)
	is.True(received.Reset())
	counters := bench.stop(t)
	is.Equal(counters.Refused, uint64(1))
	is.Equal(counters.Reasons, []ReasonCount{{core.ActionRefuse, core.ReasonAdmission, 1}})
}

// TestWhatIsNotSent has each way in which a well-formed packet ends here.
func TestWhatIsNotSent(t *testing.T) {
	reset, err := packet.BuildTCP(nil, caller, service, &packet.Segment{Flags: packet.FlagRST})
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
			"unknown peer", opening, head, relayTo(tail, "stranger"),
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
			"ingress again", opening,
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
			bench := start(t, loopback, func(*bench, *core.Packet) core.Decision {
				decided <- struct{}{}
				return test.decision
			})
			bench.fabric.send(wrap(t, test.inner, test.incoming), bench.plane.Address())
			<-decided
			counters := bench.stop(t)
			is.Equal(test.count(&counters), uint64(1))
			is.Equal(counters.Forwarded+counters.Relayed+counters.Refused, uint64(0))
		})
	}
}

func TestPacketIsNotSentToItself(t *testing.T) {
	is := is.New(t)
	decided := make(chan struct{}, 1)
	bench := start(t, loopback, func(bench *bench, _ *core.Packet) core.Decision {
		decided <- struct{}{}
		return core.Decision{Action: core.ActionForward, Host: bench.plane.Address()}
	})
	bench.fabric.send(wrap(t, openingPacket(t), lb.Relay{}), bench.plane.Address())
	<-decided
	counters := bench.stop(t)
	is.Equal(counters.Received, uint64(1))
	is.Equal(counters.Unsendable, uint64(1))
}

// TestReroutedOnce lets a head pass a packet on to another head, once.
func TestReroutedOnce(t *testing.T) {
	is := is.New(t)
	rerouted := lb.Relay{Hop: lb.HopHead, Rerouted: true}
	bench := start(t, loopback, func(*bench, *core.Packet) core.Decision {
		return core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: rerouted}
	})
	bench.fabric.send(wrap(t, openingPacket(t), lb.Relay{Hop: lb.HopHead}), bench.plane.Address())
	is.Equal(bench.peer.receive().Relay, rerouted)
}

func TestMalformedIsCountedByCause(t *testing.T) {
	is := is.New(t)
	bench := start(t, loopback, forwardToHost)
	inner := openingPacket(t)
	ethernet := wrap(t, inner, lb.Relay{})
	copy(ethernet[2:], []byte{0x65, 0x58})
	for _, datagram := range [][]byte{{}, {1}, ethernet, wrap(t, inner, lb.Relay{})[:20]} {
		bench.fabric.send(datagram, bench.plane.Address())
	}
	bench.fabric.send(wrap(t, inner, lb.Relay{}), bench.plane.Address())
	is.Equal(bench.host.receive().Inner, inner) // the plane goes on
	counters := bench.stop(t)
	is.Equal(counters.Received, uint64(5))
	is.Equal(counters.Malformed[packet.CauseTruncated], uint64(3))
	is.Equal(counters.Malformed[packet.CausePayloadType], uint64(1))
	is.Equal(counters.Forwarded, uint64(1))
}

// TestErrorsOfTheSocketAreCounted forwards to an address of the other IP
// version, which an IPv4 socket cannot send to, between good packets.
func TestErrorsOfTheSocketAreCounted(t *testing.T) {
	is := is.New(t)
	bench := start(t, loopback, func(bench *bench, input *core.Packet) core.Decision {
		host := bench.host.address()
		if input.OpeningID%2 == 1 {
			host = netip.MustParseAddrPort("[2001:db8::1]:6081")
		}
		return core.Decision{Action: core.ActionForward, Host: host}
	})
	const sent = 20
	for index := range sent {
		segment := packet.Segment{Flags: packet.FlagSYN, Sequence: uint32(index)}
		inner, err := packet.BuildTCP(nil, caller, service, &segment)
		is.NoErr(err)
		bench.fabric.send(wrap(t, inner, lb.Relay{}), bench.plane.Address())
	}
	for index := range sent / 2 {
		is.Equal(bench.host.receive().OpeningID, uint32(2*index))
	}
	bench.plane.StopReceiving(0)
	is.NoErr(<-bench.stopped)
	is.True(bench.plane.Counters().WriteErrors >= sent/2-1) // the last may be unread yet
}

func TestHostThatIsGoneStopsNothing(t *testing.T) {
	is := is.New(t)
	gone := newEndpoint(t, loopback)
	goneAddress := gone.address()
	is.NoErr(gone.socket.Close())
	bench := start(t, loopback, func(bench *bench, input *core.Packet) core.Decision {
		if input.Kind == core.PacketOpening {
			return core.Decision{Action: core.ActionForward, Host: goneAddress}
		}
		return forwardToHost(bench, input)
	})
	middle, err := packet.BuildTCP(nil, caller, service, &packet.Segment{Flags: packet.FlagACK})
	is.NoErr(err)
	for range 10 {
		bench.fabric.send(wrap(t, openingPacket(t), lb.Relay{}), bench.plane.Address())
		bench.fabric.send(wrap(t, middle, lb.Relay{}), bench.plane.Address())
		is.Equal(bench.host.receive().Inner, middle)
	}
}

// TestStopReceivingLingers moves what arrives after the call, until its end.
func TestStopReceivingLingers(t *testing.T) {
	is := is.New(t)
	bench := start(t, loopback, forwardToHost)
	bench.plane.StopReceiving(patience)
	inner := openingPacket(t)
	for range 2 * batchSize {
		bench.fabric.send(wrap(t, inner, lb.Relay{}), bench.plane.Address())
		is.Equal(bench.host.receive().Inner, inner)
	}
	is.Equal(bench.stop(t).Forwarded, uint64(2*batchSize))
}

// TestEveryDatagramIsCountedOnce has three readers do all there is to do.
func TestEveryDatagramIsCountedOnce(t *testing.T) {
	is := is.New(t)
	const kinds = 4
	decide := func(bench *bench, input *core.Packet) core.Decision {
		switch input.OpeningID % kinds {
		case 0:
			return forwardToHost(bench, input)
		case 1:
			return core.Decision{Action: core.ActionRelay, Peer: peerID, Relay: lb.Relay{Hop: lb.HopTail}}
		case 2:
			return core.Decision{Action: core.ActionRefuse, Refusal: lb.Refusal{Verdict: lb.NotRun}}
		}
		return core.Decision{Action: core.ActionDrop, Reason: core.ReasonNoBackend}
	}
	bench := startWith(t, Options{Listen: loopback, Readers: 3}, decide)
	const rounds = 50
	for round := range uint64(rounds) {
		for kind := range uint32(kinds) {
			inner, err := packet.BuildTCP(nil, caller, service, &packet.Segment{Flags: packet.FlagSYN, Sequence: kind})
			is.NoErr(err)
			bench.fabric.send(wrap(t, inner, lb.Relay{}), bench.plane.Address())
		}
		bench.peer.send(wrap(t, openingPacket(t), lb.Relay{Hop: lb.HopHead}), bench.plane.Address())
		bench.fabric.send([]byte{1}, bench.plane.Address())
		waitUntil(t, func() bool { return bench.plane.Counters().Received == (kinds+2)*(round+1) })
	}
	counters := bench.stop(t)
	is.Equal(counters.FromFabric, uint64(kinds*rounds))
	is.Equal(counters.FromPeers, uint64(rounds))
	is.Equal(counters.Malformed[packet.CauseTruncated], uint64(rounds))
	is.Equal(counters.Forwarded, uint64(2*rounds)) // those of the peer too
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
	good := Options{
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
			options := good
			test.change(&options)
			_, err := New(options)
			is.True(err != nil)
		})
	}
}
