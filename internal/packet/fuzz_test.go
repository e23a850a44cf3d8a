package packet

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// FuzzDecode checks that every datagram either fails with a Cause or decodes to a consistent
// packet: encoding it and decoding it again returns the same packet, and a refusal can be built for
// it. More seeds are in testdata/fuzz/FuzzDecode.
func FuzzDecode(f *testing.F) {
	for _, inner := range [][]byte{
		tcpPacket(f, client4, service4, opening),
		tcpPacket(f, client6, service6, opening),
		udpPacket(f, client4, service4, "query"),
		udpPacket(f, client6, service6, "query"),
	} {
		f.Add(wrap(f, inner, Header{}))
		f.Add(wrap(f, inner, Header{VNI: testVNI, Relay: testRelay, Refusal: testRefusal}))
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		first := new(Packet)
		if err := Decode(datagram, first); err != nil {
			requireCause(t, err)
			return
		}
		requireConsistent(t, first, len(datagram))
		requireRoundTrip(t, first)
		requireRefusable(t, first)
	})
}

func requireCause(t *testing.T, err error) {
	t.Helper()
	cause, found := CauseOf(err)
	if !found || cause == 0 || cause >= causeLimit {
		t.Fatalf("error %v is not a valid Cause", err)
	}
}

func requireConsistent(t *testing.T, packet *Packet, length int) {
	t.Helper()
	is := is.New(t)
	is.True(packet.Kind >= core.PacketOpening && packet.Kind <= core.PacketUnmarked)
	is.True(len(packet.Inner) >= ipv4HeaderLength)
	is.True(len(packet.Inner) <= length-fixedHeaderLength)
	is.True(len(packet.Segment.Payload) < len(packet.Inner))
	is.True(packet.Key.Protocol == lb.TCP || packet.Key.Protocol == lb.UDP)
	is.Equal((packet.Kind == core.PacketUnmarked), (packet.Key.Protocol == lb.UDP))
}

func requireRoundTrip(t *testing.T, first *Packet) {
	t.Helper()
	is := is.New(t)
	header := Header{VNI: first.VNI, Relay: first.Relay, Refusal: first.Refusal}
	again := decode(t, wrap(t, first.Inner, header))
	is.Equal(again.Packet, first.Packet)
	is.Equal(again.VNI, first.VNI)
	is.Equal(again.Refusal, first.Refusal)
	is.Equal(again.ICMP, first.ICMP)
	is.True(bytes.Equal(again.Inner, first.Inner))
}

func requireRefusable(t *testing.T, packet *Packet) {
	t.Helper()
	is := is.New(t)
	datagram, err := AppendRefusal(nil, packet, testRefusal)
	if err != nil {
		is.Equal(err, ErrMustNotAnswer)
		return
	}
	answer := decode(t, datagram)
	is.Equal(answer.Refusal, testRefusal)
	is.Equal(answer.Destination(), packet.Source())
	is.True(answer.IsReset() || answer.IsAdminProhibited())
}
