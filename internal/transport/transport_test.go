package transport_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/transport"
)

// peer is a transport that collects the messages that it receives.
type peer struct {
	*transport.Transport
	received chan transport.Incoming
}

func open(t *testing.T, self lb.NodeID, change func(*transport.Settings)) *peer {
	t.Helper()
	peer := &peer{received: make(chan transport.Incoming, 1024)}
	settings := transport.Settings{
		Self:   self,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Budget: transport.DefaultBudget(),
		Handle: func(incoming transport.Incoming) { peer.received <- incoming },
	}
	if change != nil {
		change(&settings)
	}
	opened, err := transport.Open(settings)
	if err != nil {
		t.Fatal(err)
	}
	peer.Transport = opened
	t.Cleanup(func() { opened.Close() })
	return peer
}

// waitFault waits until the fault has been counted that often. The deadline of the test binary
// limits the wait.
func (peer *peer) waitFault(fault transport.Fault, count uint64) {
	for {
		for _, counted := range peer.Counters().Faults {
			if counted.Fault == fault && counted.Count >= count {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// incompressible returns random bytes, which compression does not shorten.
func incompressible(size int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	data := make([]byte, size)
	for index := range data {
		data[index] = byte(random.Uint32())
	}
	return data
}

func TestDatagramAndStream(t *testing.T) {
	is := is.New(t)
	one, two := open(t, "one", nil), open(t, "two", nil)
	one.Send(two.Address(), message.Ping{Sequence: 7})
	incoming := <-two.received
	is.Equal(incoming.From, lb.NodeID("one"))
	is.Equal(incoming.Address, one.Address())
	is.Equal(incoming.Message, message.Ping{Sequence: 7})

	large := message.Placements{Placements: []lb.Placement{{Service: "s", History: incompressible(100 << 10)}}}
	two.Send(one.Address(), large)
	incoming = <-one.received
	is.Equal(incoming.Message, large)
	is.True(!incoming.Address.IsValid()) // TCP, and no Resolve function for the sender
	for _, traffic := range one.Counters().Traffic {
		is.Equal(traffic.Messages, uint64(1))
		is.True(traffic.Bytes > 0)
	}
}

func TestSeveralLinesInOneDatagram(t *testing.T) {
	is := is.New(t)
	receiver := open(t, "receiver", nil)
	connection, err := net.Dial("udp", receiver.Address().String())
	is.NoErr(err)
	defer connection.Close()
	lines, err := message.Encode(nil, "x", message.Ping{Sequence: 1})
	is.NoErr(err)
	lines = append(lines, "not json\n"...)
	lines, err = message.Encode(lines, "x", message.Ping{Sequence: 2})
	is.NoErr(err)
	_, err = connection.Write(lines)
	is.NoErr(err)
	is.Equal((<-receiver.received).Message, message.Ping{Sequence: 1})
	// The invalid line does not affect the next one.
	is.Equal((<-receiver.received).Message, message.Ping{Sequence: 2})
	receiver.waitFault(transport.FaultDecode, 1)
}

func TestBlockedPeerIsCutOffInBothDirections(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	cut.Store(true)
	one := open(t, "one", func(settings *transport.Settings) {
		settings.Blocked = func(netip.AddrPort) bool { return cut.Load() }
	})
	two := open(t, "two", nil)
	one.Send(two.Address(), message.Ping{Sequence: 1})
	one.waitFault(transport.FaultBlocked, 1)
	two.Send(one.Address(), message.Ping{Sequence: 1})
	one.waitFault(transport.FaultBlocked, 2)
	cut.Store(false)
	two.Send(one.Address(), message.Ping{Sequence: 2})
	is.Equal((<-one.received).Message, message.Ping{Sequence: 2})
}

func TestUnknownSendersAreLimited(t *testing.T) {
	one := open(t, "one", func(settings *transport.Settings) {
		settings.Resolve = func(lb.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	})
	two := open(t, "two", nil)
	for sequence := range uint64(200) {
		two.Send(one.Address(), message.Ping{Sequence: sequence})
	}
	one.waitFault(transport.FaultUnknownSender, 1)
}

func TestSendCountsFaults(t *testing.T) {
	one := open(t, "one", nil)
	one.Send(netip.MustParseAddrPort("127.0.0.1:1"), message.Clean{Service: "bad name"})
	one.waitFault(transport.FaultEncode, 1)
	one.Send(netip.MustParseAddrPort("127.0.0.1:1"), message.Placements{Placements: []lb.Placement{{Service: "s", History: incompressible(2000)}}})
	one.waitFault(transport.FaultNetwork, 1) // no process listens on the port
}

func TestOpenRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	_, err := transport.Open(transport.Settings{Budget: transport.DefaultBudget()})
	is.True(err != nil)
	_, err = transport.Open(transport.Settings{Handle: func(transport.Incoming) {}})
	is.True(err != nil)
}
