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

// minAllocs returns the minimum number of allocations over many runs. A sync.Pool may drop its
// contents at any time (under the race detector it does so at random), so single runs may allocate.
// An allocation made for every packet occurs in all runs.
func minAllocs(run func()) float64 {
	const runs = 50
	minimum := testing.AllocsPerRun(1, run)
	for range runs {
		minimum = min(minimum, testing.AllocsPerRun(1, run))
	}
	return minimum
}

// TestHandleAllocatesNothing checks that handling a packet does not allocate, for every decision
// and both codecs.
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
				is.Equal(minAllocs(func() { handle(codec.datagram) }), 0.0)
				for _, count := range plane.Counters().Malformed {
					is.Equal(count, uint64(0))
				}
			})
		}
	}
}
