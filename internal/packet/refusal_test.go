package packet

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

var testRefusal = lb.Refusal{Verdict: lb.NotRun, RetryAfter: 700 * time.Millisecond}

// refuse returns the decoded refusal of a packet with the given inner packet, after checking the
// fields that all refusals have in common.
func refuse(t *testing.T, inner []byte) *Packet {
	t.Helper()
	packet := decode(t, wrap(t, inner, Header{VNI: testVNI, Relay: testRelay}))
	datagram, err := AppendRefusal(nil, packet, testRefusal)
	if err != nil {
		t.Fatal(err)
	}
	answer := decode(t, datagram)
	is := is.New(t)
	is.Equal(answer.Refusal, testRefusal)
	is.Equal(answer.VNI, uint32(testVNI))
	is.True(!answer.IsRelayed())
	is.Equal(answer.Source(), packet.Destination())
	is.Equal(answer.Destination(), packet.Source())
	verifyChecksums(t, answer.Inner)
	return answer
}

// verifyChecksums checks all checksums of the inner packet with gopacket's full decoder.
func verifyChecksums(t *testing.T, inner []byte) {
	t.Helper()
	first := gopacket.Decoder(layers.LayerTypeIPv4)
	if ipVersion(inner) == ipv6Version {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(inner, first, gopacket.Default)
	for _, layer := range decoded.Layers() {
		transport, ok := layer.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		})
		if !ok {
			continue
		}
		if err := transport.SetNetworkLayerForChecksum(decoded.NetworkLayer()); err != nil {
			t.Fatal(err)
		}
	}
	err, mismatches := decoded.VerifyChecksums()
	if err != nil {
		t.Fatal(err)
	}
	if len(mismatches) != 0 {
		t.Fatalf("wrong checksum: %+v", mismatches)
	}
}

// TestResetSequence covers the cases of RFC 9293, section 3.10.7.1.
func TestResetSequence(t *testing.T) {
	cases := []struct {
		name    string
		segment Segment
		reset   Segment
	}{
		{
			"opening",
			Segment{Flags: FlagSYN, Sequence: 0xffffffff},
			Segment{Flags: FlagRST | FlagACK, Acknowledgement: 0},
		},
		{
			"opening with data",
			Segment{Flags: FlagSYN, Sequence: 100, Payload: []byte("fast")},
			Segment{Flags: FlagRST | FlagACK, Acknowledgement: 105},
		},
		{
			"middle",
			Segment{Flags: FlagACK, Sequence: 100, Acknowledgement: 500, Payload: []byte("data")},
			Segment{Flags: FlagRST, Sequence: 500},
		},
		{
			"closing",
			Segment{Flags: FlagACK | FlagFIN, Sequence: 100, Acknowledgement: 500},
			Segment{Flags: FlagRST, Sequence: 500},
		},
		{
			"closing without acknowledgement",
			Segment{Flags: FlagFIN, Sequence: 100},
			Segment{Flags: FlagRST | FlagACK, Acknowledgement: 101},
		},
	}
	for _, test := range cases {
		for _, ends := range [][2]netip.AddrPort{{client4, service4}, {client6, service6}} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				answer := refuse(t, tcpPacket(t, ends[0], ends[1], test.segment))
				is.True(answer.IsReset())
				is.True(!answer.IsAdminProhibited())
				answer.Segment.Payload = nil
				is.Equal(answer.Segment, test.reset)
			})
		}
	}
}

func TestUDPIsRefusedByAdminProhibited(t *testing.T) {
	for _, payload := range []string{"", "query", strings.Repeat("x", 1301)} {
		for _, ends := range [][2]netip.AddrPort{{client4, service4}, {client6, service6}} {
			is := is.New(t)
			inner := udpPacket(t, ends[0], ends[1], payload)
			answer := refuse(t, inner)
			is.True(answer.IsAdminProhibited())
			is.True(!answer.IsReset())
			is.Equal(answer.Key, lb.NewFlowKey(ends[1], ends[0], lb.UDP))
			headers := ipv4HeaderLength + icmpHeaderLength
			maxLength := icmpv4MaxLength
			if ends[0].Addr().Is6() {
				headers = ipv6HeaderLength + icmpHeaderLength
				maxLength = icmpv6MaxLength
			}
			quote := answer.Inner[headers:]
			is.Equal(quote, inner[:min(len(inner), maxLength-headers)])
		}
	}
}

func TestUnanswerablePackets(t *testing.T) {
	multicast := netip.MustParseAddrPort("224.0.0.9:443")
	prohibited := refuse(t, udpPacket(t, client4, service4, "query"))
	for _, inner := range [][]byte{
		tcpPacket(t, client4, service4, Segment{Flags: FlagRST}),
		tcpPacket(t, client4, service4, Segment{Flags: FlagRST | FlagACK}),
		udpPacket(t, client4, multicast, "query"),
		udpPacket(t, multicast, service4, "query"),
		udpPacket(t, netip.MustParseAddrPort("0.0.0.0:9"), service4, "query"),
		prohibited.Inner,
	} {
		is := is.New(t)
		packet := decode(t, wrap(t, inner, Header{}))
		before := []byte("before")
		after, err := AppendRefusal(before, packet, testRefusal)
		is.Equal(err, ErrMustNotAnswer)
		is.Equal(after, before)
	}
}

// TestICMPErrorHasKeyOfItsFlow has a router report to the service that a packet to the client was
// too big. The ICMP error must get the key of the client's flow.
func TestICMPErrorHasKeyOfItsFlow(t *testing.T) {
	is := is.New(t)
	router := netip.MustParseAddr("203.0.113.1")
	quote := tcpPacket(t, service4, client4, Segment{Flags: FlagACK, Payload: make([]byte, 1400)})
	icmp := layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(
		layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)}
	builder := newBuilder()
	_, err := builder.setNetwork(router, service4.Addr(), layers.IPProtocolICMPv4)
	is.NoErr(err)
	is.NoErr(builder.serialize(&icmp, quote[:ipv4HeaderLength+8])) // the minimum that RFC 792 requires
	packet := decode(t, wrap(t, builder.buffer.Bytes(), Header{}))
	is.Equal(packet.Key, lb.NewFlowKey(client4, service4, lb.TCP))
	is.Equal(packet.Kind, core.PacketMiddle)
	is.Equal(packet.ICMP, ICMPError{Type: 3, Code: 4})
	is.True(!packet.IsAdminProhibited())

	_, err = builder.setNetwork(router, client4.Addr(), layers.IPProtocolICMPv4)
	is.NoErr(err)
	is.NoErr(builder.serialize(&icmp, quote))
	err = Decode(wrap(t, builder.buffer.Bytes(), Header{}), new(Packet))
	is.Equal(err, CauseICMP) // the destination is not the source of the quoted packet
}

// TestICMPv6ErrorHasKeyOfItsFlow is the same test for ICMPv6 "packet too big" and UDP.
func TestICMPv6ErrorHasKeyOfItsFlow(t *testing.T) {
	is := is.New(t)
	quote := udpPacket(t, service6, client6, strings.Repeat("x", 1400))
	tooBig := append(make([]byte, icmpv6UnusedLength), quote[:1200]...)
	builder := newBuilder()
	network, err := builder.setNetwork(netip.MustParseAddr("2001:db8:2::1"), service6.Addr(), layers.IPProtocolICMPv6)
	is.NoErr(err)
	icmp := layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0)}
	is.NoErr(icmp.SetNetworkLayerForChecksum(network))
	is.NoErr(builder.serialize(&icmp, tooBig))
	packet := decode(t, wrap(t, builder.buffer.Bytes(), Header{}))
	is.Equal(packet.Key, lb.NewFlowKey(client6, service6, lb.UDP))
	is.Equal(packet.Kind, core.PacketUnmarked)
	is.Equal(packet.ICMP, ICMPError{Type: 2})
}
