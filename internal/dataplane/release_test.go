package dataplane_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/platform"
)

// openings returns distinct opening datagrams of the platform's codec, of 34 bytes each.
func openings(count int) [][]byte {
	datagrams := make([][]byte, count)
	for i := range datagrams {
		datagrams[i] = make([]byte, 34)
		datagrams[i][4] = 64 // SYN
		copy(datagrams[i][16:], []byte{1, 0, 0, 127})
		datagrams[i][26] = byte(i)
	}
	return datagrams
}

// TestReleaseWritesHeldDatagrams checks that held datagrams, more than one batch, are forwarded or
// refused as decided, and that the held copy is sent rather than the reader's buffer.
func TestReleaseWritesHeldDatagrams(t *testing.T) {
	is := is.New(t)
	host, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer func() { is.NoErr(host.Close()) }()
	to := host.LocalAddr().(*net.UDPAddr).AddrPort()
	plane, err := dataplane.New(dataplane.Options{
		Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
		Decide:      func(*core.Packet) core.Decision { return core.Decision{Action: core.ActionHold} },
		PeerAddress: func(lb.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		NewCodec:    func() dataplane.Codec { return platform.NewCodec(to.Port()) },
	})
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- plane.Run(context.Background()) }()
	var released []core.Released
	for i, datagram := range openings(80) {
		_, err := host.WriteToUDPAddrPort(datagram, plane.Address())
		is.NoErr(err)
		entry := core.Released{Decision: core.Decision{Action: core.ActionForward, Host: to, Identity: 7, Token: 9}}
		if i%2 == 1 {
			entry.Decision = core.Decision{Action: core.ActionRefuse, Reason: core.ReasonOverload, Refusal: lb.Refusal{Verdict: lb.NotRun}}
		}
		entry.Held.Set(datagram)
		released = append(released, entry)
	}
	deadline := time.Now().Add(10 * time.Second)
	for plane.Counters().Held < 80 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	counters := plane.Counters()
	is.Equal(counters.Held, uint64(80))
	is.Equal(counters.Forwarded+counters.Refused, uint64(0))
	plane.Release(released)
	counters = plane.Counters()
	is.Equal(counters.Forwarded, uint64(40))
	is.Equal(counters.Refused, uint64(40))
	is.Equal(counters.WriteErrors, uint64(0))
	buffer := make([]byte, 2048)
	forwarded := make(map[byte]bool)
	refused := 0
	is.NoErr(host.SetReadDeadline(time.Now().Add(10 * time.Second)))
	for range 80 {
		length, _, err := host.ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		if length == 34 {
			refused++
			continue
		}
		is.Equal(buffer[8+22], byte(9)) // the token
		forwarded[buffer[8+26]] = true
	}
	is.Equal(refused, 40)
	is.Equal(len(forwarded), 40)
	plane.Release(nil)
	plane.StopReceiving(0)
	is.NoErr(<-stopped)
}
