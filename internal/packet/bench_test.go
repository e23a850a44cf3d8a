package packet

import (
	"testing"
)

// BenchmarkDecode measures decoding for each transport and IP version.
func BenchmarkDecode(b *testing.B) {
	tcp := tcpPacket(b, client4, service4, Segment{Flags: FlagACK, Payload: make([]byte, 512)})
	cases := []struct {
		name     string
		datagram []byte
	}{
		{"tcp4", wrap(b, tcp, Header{})},
		{"tcp4-relayed", wrap(b, tcp, Header{Relay: testRelay})},
		{"tcp6", wrap(b, tcpPacket(b, client6, service6, opening), Header{})},
		{"udp4", wrap(b, udpPacket(b, client4, service4, "query"), Header{})},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			packet := new(Packet)
			b.ReportAllocs()
			for b.Loop() {
				if err := Decode(test.datagram, packet); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEncode measures encoding with and without the relay option.
func BenchmarkEncode(b *testing.B) {
	inner := tcpPacket(b, client4, service4, Segment{Flags: FlagACK, Payload: make([]byte, 512)})
	cases := []struct {
		name   string
		header Header
	}{
		{"forward", Header{}},
		{"relay", Header{Relay: testRelay}},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			output := make([]byte, 0, len(inner)+MaxOverhead)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(output, inner, &test.header); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAppendRefusal measures building both kinds of refusal.
func BenchmarkAppendRefusal(b *testing.B) {
	cases := []struct {
		name  string
		inner []byte
	}{
		{"reset", tcpPacket(b, client4, service4, opening)},
		{"prohibited", udpPacket(b, client4, service4, "query")},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			packet := decode(b, wrap(b, test.inner, Header{}))
			output := make([]byte, 0, icmpv6MaxLength+MaxOverhead)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := AppendRefusal(output, packet, testRefusal); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
