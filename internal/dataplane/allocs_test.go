package dataplane_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
	"robinpulley.example/robinpulley/platform"
)

// leastAllocs gives the least that one of many runs allocates. Pools may lose
// what they hold at any time (with the race detector they do so by chance), so
// that single runs may allocate; what each packet costs is in all of them.
func leastAllocs(run func()) float64 {
	const runs = 50
	least := testing.AllocsPerRun(1, run)
	for range runs {
		least = min(least, testing.AllocsPerRun(1, run))
	}
	return least
}

// TestHandleAllocatesNothing: the way of a packet through a reader leaves
// nothing to the collector, whatever is decided, with both codecs.
func TestHandleAllocatesNothing(t *testing.T) {
	is := is.New(t)
	peer := netip.MustParseAddrPort("127.0.0.1:6082")
	segment := packet.Segment{Flags: packet.FlagSYN}
	inner, err := packet.BuildTCP(nil, netip.MustParseAddrPort("198.51.100.7:40001"), netip.MustParseAddrPort("192.0.2.1:443"), &segment)
	is.NoErr(err)
	geneve, err := packet.Encode(nil, inner, &packet.Header{VNI: 42})
	is.NoErr(err)
	platformHead := make([]byte, 34)
	platformHead[4] = 64 // SYN
	codecs := []struct {
		name     string
		new      func() dataplane.Codec
		datagram []byte
	}{
		{"geneve", func() dataplane.Codec { return dataplane.NewGeneveCodec([]netip.AddrPort{peer}) }, geneve},
		{"platform", func() dataplane.Codec { return platform.NewCodec(8172) }, platformHead},
	}
	decisions := map[string]core.Decision{
		"forward": {Action: core.ActionForward, Host: peer, Identity: 7, Token: 9},
		"relay":   {Action: core.ActionRelay, Peer: "n2", Relay: lb.Relay{Hop: lb.HopTail}},
		"refuse":  {Action: core.ActionRefuse, Refusal: lb.Refusal{Verdict: lb.NotRun}},
		"hold":    {Action: core.ActionHold},
		"drop":    {Action: core.ActionDrop, Reason: core.ReasonUnknownToken},
	}
	for _, codec := range codecs {
		for name, decision := range decisions {
			t.Run(codec.name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				plane, err := dataplane.New(dataplane.Options{
					Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
					Decide:      func(*core.Packet) core.Decision { return decision },
					PeerAddress: func(lb.NodeID) (netip.AddrPort, bool) { return peer, true },
					NewCodec:    codec.new,
				})
				is.NoErr(err)
				defer func() { is.NoErr(plane.Close()) }()
				handle := dataplane.Handler(plane)
				is.Equal(leastAllocs(func() { handle(codec.datagram) }), 0.0)
				for _, count := range plane.Counters().Malformed {
					is.Equal(count, uint64(0))
				}
			})
		}
	}
}
