package packet

import (
	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// ErrMustNotAnswer means that a packet must not be answered, because it is an RST (RFC 9293,
// section 3.10.7.1) or an ICMP message (RFC 1122, section 3.2.2), or because one of its addresses
// does not identify a single host.
var ErrMustNotAnswer = errors.New("packet must not be answered")

// Codes for "administratively prohibited" (RFC 1812, section 5.2.7.1; RFC 4443, section 3.1).
const (
	icmpv4AdministrativelyProhibited = layers.ICMPv4CodeCommAdminProhibited
	icmpv6AdministrativelyProhibited = layers.ICMPv6CodeAdminProhibited
)

// Maximum length of an ICMP error, including the IP header (RFC 1812, section 4.3.2.3; RFC 4443,
// section 2.4).
const (
	icmpv4MaxLength = 576
	icmpv6MaxLength = 1280
)

// Header sizes in bytes.
const (
	ipv4HeaderLength = 20
	icmpHeaderLength = 8 // of an ICMP or ICMPv6 error, including the unused field
)

// AppendRefusal appends to dst the datagram that reports the refusal of the packet to its sender: a
// TCP RST, or for UDP an ICMP error "administratively prohibited", in Geneve with the refusal as an
// option. The datagram goes to the fabric, which delivers the inner packet to the sender. If the
// packet must not be answered, AppendRefusal returns dst unchanged and ErrMustNotAnswer.
func AppendRefusal(dst []byte, packet *Packet, refusal lb.Refusal) ([]byte, error) {
	if !answerable(packet) {
		return dst, ErrMustNotAnswer
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

// answerable reports whether the packet may be answered; see ErrMustNotAnswer.
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

// buildRefusal builds the inner packet of a refusal.
func (builder *builder) buildRefusal(packet *Packet) error {
	if packet.Key.Protocol == lb.TCP {
		return builder.buildReset(packet)
	}
	return builder.buildAdminProhibited(packet)
}

// buildReset builds the RST that a closed port sends according to RFC 9293, section 3.10.7.1. The
// sender accepts it immediately in every state of its connection.
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

// buildAdminProhibited builds the ICMP error, which quotes as many bytes of the packet as its
// maximum length allows.
func (builder *builder) buildAdminProhibited(packet *Packet) error {
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
	builder.quote = append(builder.quote, quotedPart(packet.Inner, icmpv6MaxLength-ipv6HeaderLength-icmpHeaderLength)...)
	return builder.serialize(&builder.icmpv6, builder.quote)
}

// icmpv6Unused is the unused field of an ICMPv6 error, between the checksum and the quoted packet.
var icmpv6Unused [icmpv6UnusedLength]byte

// buildICMPv4 builds the ICMP error for IPv4.
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
	quote := quotedPart(packet.Inner, icmpv4MaxLength-ipv4HeaderLength-icmpHeaderLength)
	return builder.serialize(&builder.icmpv4, quote)
}

// quotedPart returns the part of the inner packet that an ICMP error quotes.
func quotedPart(inner []byte, maxLength int) []byte { return inner[:min(len(inner), maxLength)] }

// IsAdminProhibited reports whether the packet is the ICMP error with which a balancer refuses UDP.
func (packet *Packet) IsAdminProhibited() bool {
	switch packet.ICMP {
	case ICMPError{Type: layers.ICMPv4TypeDestinationUnreachable, Code: icmpv4AdministrativelyProhibited}:
		return packet.Source().Addr().Is4()
	case ICMPError{Type: layers.ICMPv6TypeDestinationUnreachable, Code: icmpv6AdministrativelyProhibited}:
		return packet.Source().Addr().Is6()
	}
	return false
}

// IsReset reports whether the packet is a TCP RST.
func (packet *Packet) IsReset() bool {
	return packet.Kind == core.PacketClosing && packet.Segment.Flags.Has(FlagRST)
}
