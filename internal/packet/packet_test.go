package packet

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

var (
	client4  = netip.MustParseAddrPort("198.51.100.7:40001")
	service4 = netip.MustParseAddrPort("192.0.2.1:443")
	client6  = netip.MustParseAddrPort("[2001:db8::7]:40001")
	service6 = netip.MustParseAddrPort("[2001:db8:1::1]:443")

	// testRelay has no zero field; TestRelayOptionCarriesEveryField checks this.
	testRelay = lb.Relay{
		Hop:          lb.HopTail,
		Ingress:      0x0102030405060708,
		Version:      1 << 40,
		Proposal:     513,
		FromRecord:   true,
		Refuse:       true,
		HeadComplete: true,
		Established:  true,
		Rerouted:     true,
	}

	opening = Segment{Flags: FlagSYN, Sequence: 0xfffffff0, Window: 65535}
)

const testVNI = 0xabcdef

func tcpPacket(t testing.TB, source, destination netip.AddrPort, segment Segment) []byte {
	t.Helper()
	inner, err := BuildTCP(nil, source, destination, &segment)
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

func udpPacket(t testing.TB, source, destination netip.AddrPort, payload string) []byte {
	t.Helper()
	inner, err := BuildUDP(nil, source, destination, []byte(payload))
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

func wrap(t testing.TB, inner []byte, header Header) []byte {
	t.Helper()
	datagram, err := Encode(nil, inner, &header)
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

func decode(t testing.TB, datagram []byte) *Packet {
	t.Helper()
	packet := new(Packet)
	if err := Decode(datagram, packet); err != nil {
		t.Fatal(err)
	}
	return packet
}

func TestTCPRoundTrip(t *testing.T) {
	for _, ends := range [][2]netip.AddrPort{{client4, service4}, {client6, service6}} {
		is := is.New(t)
		source, destination := ends[0], ends[1]
		segment := Segment{
			Flags:           FlagACK | FlagPSH,
			Sequence:        7,
			Acknowledgement: 9,
			Window:          1000,
			Payload:         []byte("hello"),
		}
		inner := tcpPacket(t, source, destination, segment)
		packet := decode(t, wrap(t, inner, Header{VNI: testVNI, Relay: testRelay}))
		is.Equal(packet.Key, lb.NewFlowKey(source, destination, lb.TCP))
		is.Equal(packet.Source(), source)
		is.Equal(packet.Destination(), destination)
		is.Equal(packet.Segment, segment)
		is.Equal(packet.Inner, inner)
		is.Equal(packet.VNI, uint32(testVNI))
		is.Equal(packet.Relay, testRelay)
		is.Equal(packet.Refusal, lb.Refusal{})
		is.True(packet.IsRelayed())
	}
}

func TestUDPRoundTrip(t *testing.T) {
	for _, ends := range [][2]netip.AddrPort{{client4, service4}, {client6, service6}} {
		is := is.New(t)
		inner := udpPacket(t, ends[0], ends[1], "query")
		packet := decode(t, wrap(t, inner, Header{}))
		is.Equal(packet.Key, lb.NewFlowKey(ends[0], ends[1], lb.UDP))
		is.Equal(packet.Kind, core.PacketUnmarked)
		is.Equal(string(packet.Segment.Payload), "query")
		is.Equal(packet.Inner, inner)
		is.True(!packet.IsRelayed())
	}
}

func TestKindOfTCPSegments(t *testing.T) {
	cases := []struct {
		flags     TCPFlags
		kind      core.PacketKind
		openingID uint32
	}{
		{FlagSYN, core.PacketOpening, 77},
		{FlagSYN | FlagACK, core.PacketMiddle, 0},
		{FlagACK, core.PacketMiddle, 0},
		{FlagACK | FlagPSH, core.PacketMiddle, 0},
		{FlagACK | FlagFIN, core.PacketClosing, 0},
		{FlagRST, core.PacketClosing, 0},
		{FlagRST | FlagACK, core.PacketClosing, 0},
	}
	for _, test := range cases {
		is := is.New(t)
		segment := Segment{Flags: test.flags, Sequence: 77}
		packet := decode(t, wrap(t, tcpPacket(t, client4, service4, segment), Header{}))
		is.Equal(packet.Kind, test.kind)
		is.Equal(packet.OpeningID, test.openingID)
	}
}

// TestRelayOptionCarriesEveryField fails if lb.Relay gets a new field that the option does not
// contain.
func TestRelayOptionCarriesEveryField(t *testing.T) {
	is := is.New(t)
	fields := reflect.ValueOf(testRelay)
	for index := range fields.NumField() {
		is.True(!fields.Field(index).IsZero()) // testRelay must set every field
	}
	inner := tcpPacket(t, client4, service4, opening)
	packet := decode(t, wrap(t, inner, Header{Relay: testRelay}))
	is.Equal(packet.Relay, testRelay)
}

// TestRelayOptionIsCritical checks the encoded bits, because a host that does not support Relay
// must drop the packet.
func TestRelayOptionIsCritical(t *testing.T) {
	is := is.New(t)
	const criticalBit = 0x40 // in the second byte of the header
	inner := tcpPacket(t, client4, service4, opening)
	relayed := wrap(t, inner, Header{Relay: testRelay, Refusal: testRefusal})
	is.Equal(relayed[1], uint8(criticalBit))
	is.Equal(optionType(relayed[fixedHeaderLength+2])&optionCritical, optionCritical)
	is.Equal(wrap(t, inner, Header{Refusal: testRefusal})[1], uint8(0))
	is.Equal(wrap(t, inner, Header{})[1], uint8(0))
}

// TestRelayFlagsAreIndependent checks each flag separately.
func TestRelayFlagsAreIndependent(t *testing.T) {
	inner := tcpPacket(t, client4, service4, opening)
	for _, relay := range []lb.Relay{
		{Hop: lb.HopHead},
		{Hop: lb.HopHead, FromRecord: true},
		{Hop: lb.HopHead, Refuse: true},
		{Hop: lb.HopHead, HeadComplete: true},
		{Hop: lb.HopHead, Established: true},
		{Hop: lb.HopHead, Rerouted: true},
	} {
		is := is.New(t)
		is.Equal(decode(t, wrap(t, inner, Header{Relay: relay})).Relay, relay)
	}
}

func TestBytesAfterInnerPacketAreDiscarded(t *testing.T) {
	for _, inner := range [][]byte{
		tcpPacket(t, client4, service4, opening),
		tcpPacket(t, client6, service6, opening),
	} {
		is := is.New(t)
		padded := append(append([]byte{}, inner...), 0, 0, 0)
		packet := decode(t, wrap(t, padded, Header{}))
		is.Equal(packet.Inner, inner)
		is.Equal(len(packet.Segment.Payload), 0)
	}
}

func TestPacketIsResetByDecode(t *testing.T) {
	is := is.New(t)
	packet := decode(t, wrap(t, tcpPacket(t, client4, service4, opening),
		Header{VNI: testVNI, Relay: testRelay, Refusal: lb.Refusal{Verdict: lb.NotRun}}))
	is.NoErr(Decode(wrap(t, udpPacket(t, client6, service6, ""), Header{}), packet))
	is.Equal(packet.Packet, core.Packet{
		Key:  lb.NewFlowKey(client6, service6, lb.UDP),
		Kind: core.PacketUnmarked,
	})
	is.Equal(packet.VNI, uint32(0))
	is.Equal(packet.Refusal, lb.Refusal{})
}

func TestRefusalOptionRoundsUp(t *testing.T) {
	inner := tcpPacket(t, client4, service4, opening)
	cases := []struct{ given, want time.Duration }{
		{0, 0},
		{-time.Second, 0},
		{time.Nanosecond, time.Millisecond},
		{750 * time.Millisecond, 750 * time.Millisecond},
		{10000 * time.Hour, (1<<32 - 1) * time.Millisecond},
	}
	for _, test := range cases {
		is := is.New(t)
		refusal := lb.Refusal{Verdict: lb.MayHaveRun, RetryAfter: test.given}
		packet := decode(t, wrap(t, inner, Header{Refusal: refusal}))
		is.Equal(packet.Refusal, lb.Refusal{Verdict: lb.MayHaveRun, RetryAfter: test.want})
	}
}

func TestEncodeRejectsInvalidInput(t *testing.T) {
	is := is.New(t)
	inner := tcpPacket(t, client4, service4, opening)
	before := []byte("before")
	for _, test := range []struct {
		inner []byte
		vni   uint32
	}{
		{nil, 0},
		{[]byte{0x50}, 0},
		{inner, maxVNI + 1},
	} {
		after, err := Encode(before, test.inner, &Header{VNI: test.vni})
		is.True(err != nil)
		is.Equal(after, before)
	}
	_, err := BuildUDP(nil, client4, service6, nil)
	is.True(err != nil) // the addresses have different IP versions
}

func TestMaxOverhead(t *testing.T) {
	is := is.New(t)
	inner := tcpPacket(t, client4, service4, opening)
	header := Header{Relay: testRelay, Refusal: lb.Refusal{Verdict: lb.NotRun}}
	is.Equal(len(wrap(t, inner, header))-len(inner), MaxOverhead)
}

// TestDecodeAndEncodeAllocateNothing uses its own encoder, because the pool of encoders drops
// entries at random under the race detector.
func TestDecodeAndEncodeAllocateNothing(t *testing.T) {
	is := is.New(t)
	datagram := wrap(t, tcpPacket(t, client4, service4, opening), Header{Relay: testRelay})
	packet := new(Packet)
	encoder := newEncoder()
	header := new(Header)
	is.Equal(testing.AllocsPerRun(100, func() {
		_ = Decode(datagram, packet)
		header.Relay = packet.Relay
		_, _ = encoder.encodeHeader(packet.Inner, header)
	}), 0.0)
}
