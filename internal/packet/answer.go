package packet

import (
	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// ErrNoAnswer says that a packet must not be answered: it is an RST (RFC
// 9293, section 3.10.7.1) or an ICMP message (RFC 1122, section 3.2.2), or its
// source is no address of one host.
var ErrNoAnswer = errors.New("packet must not be answered")

// Codes of "administratively prohibited" (RFC 1812, section 5.2.7.1; RFC
// 4443, section 3.1).
const (
	icmpv4AdministrativelyProhibited = layers.ICMPv4CodeCommAdminProhibited
	icmpv6AdministrativelyProhibited = layers.ICMPv6CodeAdminProhibited
)

// The most that an ICMP error may measure, IP header included (RFC 1812,
// section 4.3.2.3; RFC 4443, section 2.4).
const (
	icmpv4MaxLength = 576
	icmpv6MaxLength = 1280
)

// Header sizes in bytes.
const (
	ipv4HeaderLength = 20
	icmpHeaderLength = 8 // both versions, for errors
)

// AppendRefusal appends to dst the datagram that tells the caller of the
// packet about its refusal: a TCP RST, or for UDP an ICMP error
// "administratively prohibited", in Geneve with the refusal as option. It goes
// to the fabric, which delivers the inner packet to the caller. The error is
// ErrNoAnswer when the packet must not be answered; dst is then unchanged.
func AppendRefusal(dst []byte, packet *Packet, refusal lb.Refusal) ([]byte, error) {
	if !answerable(packet) {
		return dst, ErrNoAnswer
	}
	builder := builders.Get().(*builder)
	defer builders.Put(builder)
	err := builder.buildRefusal(packet)
	if err != nil {
		return dst, err
	}
	header := Header{VNI: packet.VNI, Refusal: refusal}
	return Encode(dst, builder.buffer.Bytes(), &header)
}

func answerable(packet *Packet) bool {
	if packet.ICMP != (ICMPError{}) || packet.Segment.Flags.Has(FlagRST) {
		return false
	}
	source := packet.Source().Addr()
	destination := packet.Destination().Addr()
	if source.IsUnspecified() || source.IsMulticast() || destination.IsMulticast() {
		return false
	}
	return true
}

func (builder *builder) buildRefusal(packet *Packet) error {
	if packet.Key.Protocol == lb.TCP {
		return builder.buildReset(packet)
	}
	return builder.buildProhibited(packet)
}

// buildReset builds the RST that RFC 9293, section 3.10.7.1, has a closed
// port send: the caller takes it at once, whatever the state of its flow.
func (builder *builder) buildReset(packet *Packet) error {
	source, destination := flowAddresses(&packet.Key)
	segment := &packet.Segment
	reset := Segment{Flags: FlagRST, Sequence: segment.Acknowledgement}
	if !segment.Flags.Has(FlagACK) {
		reset = Segment{
			Flags:           FlagRST | FlagACK,
			Acknowledgement: segment.Sequence + segment.Length(),
		}
	}
	return builder.buildTCP(destination, source, &reset)
}

// buildProhibited builds the ICMP error, which quotes as much of the packet
// as it may.
func (builder *builder) buildProhibited(packet *Packet) error {
	source, destination := flowAddresses(&packet.Key)
	if source.Addr().Is4() {
		return builder.buildICMPv4(packet)
	}
	network, err := builder.setNetwork(destination.Addr(), source.Addr(), layers.IPProtocolICMPv6)
	if err != nil {
		return err
	}
	builder.icmpv6 = layers.ICMPv6{
		TypeCode: layers.CreateICMPv6TypeCode(
			layers.ICMPv6TypeDestinationUnreachable, icmpv6AdministrativelyProhibited),
	}
	if err := builder.icmpv6.SetNetworkLayerForChecksum(network); err != nil {
		return errors.Wrap(err, "build an ICMPv6 packet")
	}
	builder.quote = append(builder.quote[:0], icmpv6Unused[:]...)
	builder.quote = append(builder.quote, quoted(packet.Inner, icmpv6MaxLength-ipv6HeaderLength-icmpHeaderLength)...)
	return builder.serialize(&builder.icmpv6, builder.quote)
}

// icmpv6Unused stands between an ICMPv6 error's checksum and the packet it quotes.
var icmpv6Unused [icmpv6UnusedLength]byte

func (builder *builder) buildICMPv4(packet *Packet) error {
	source, destination := flowAddresses(&packet.Key)
	_, err := builder.setNetwork(destination.Addr(), source.Addr(), layers.IPProtocolICMPv4)
	if err != nil {
		return err
	}
	builder.icmpv4 = layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, icmpv4AdministrativelyProhibited),
	}
	quote := quoted(packet.Inner, icmpv4MaxLength-ipv4HeaderLength-icmpHeaderLength)
	return builder.serialize(&builder.icmpv4, quote)
}

func quoted(inner []byte, most int) []byte { return inner[:min(len(inner), most)] }

// Prohibited tells whether the packet is the ICMP error with which a balancer
// refuses UDP.
func (packet *Packet) Prohibited() bool {
	switch packet.ICMP {
	case ICMPError{Type: layers.ICMPv4TypeDestinationUnreachable, Code: icmpv4AdministrativelyProhibited}:
		return packet.Source().Addr().Is4()
	case ICMPError{Type: layers.ICMPv6TypeDestinationUnreachable, Code: icmpv6AdministrativelyProhibited}:
		return packet.Source().Addr().Is6()
	}
	return false
}

// Reset tells whether the packet is a TCP RST.
func (packet *Packet) Reset() bool {
	return packet.Kind == core.PacketClosing && packet.Segment.Flags.Has(FlagRST)
}
