package packet

import (
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// IP versions, as in the first four bits of an IP header.
const (
	ipv4Version = 4
	ipv6Version = 6
)

// IPv4 options that contain a source route (RFC 791, section 3.1).
const (
	optionLooseSourceRoute  = 131
	optionStrictSourceRoute = 137
)

// decodeInner decodes the inner packet according to the protocol type in the Geneve header.
func (packet *Packet) decodeInner(payload []byte) error {
	if len(payload) == 0 {
		return CauseTruncated
	}
	switch packet.geneve.Protocol {
	case layers.EthernetTypeIPv4:
		return packet.decodeIPv4(payload)
	case layers.EthernetTypeIPv6:
		return packet.decodeIPv6(payload)
	}
	return CausePayloadType
}

// ipVersion returns the version of an IP header, which must have at least one byte.
func ipVersion(header []byte) uint8 { return header[0] >> 4 }

// decodeIPv4 decodes an inner IPv4 packet.
func (packet *Packet) decodeIPv4(payload []byte) error {
	ip := &packet.ipv4
	if ipVersion(payload) != ipv4Version {
		return CauseIPVersion
	}
	if err := packet.decodeIPv4Header(payload); err != nil {
		return err
	}
	if packet.feedback.truncated {
		return CauseTruncated
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(ip.Contents, 0)) != 0 {
		return CauseIPChecksum
	}
	if ip.Flags&layers.IPv4MoreFragments != 0 || ip.FragOffset != 0 {
		return CauseFragment
	}
	packet.Inner = payload[:ip.Length]
	packet.setAddresses(ip.SrcIP, ip.DstIP)
	return packet.decodeTransport(ip.Protocol, layers.IPProtocolICMPv4, ip.Payload)
}

// decodeIPv4Header decodes an IPv4 header. The payload after it may be truncated, as in an ICMP
// error.
func (packet *Packet) decodeIPv4Header(data []byte) error {
	ip := &packet.ipv4
	err := ip.DecodeFromBytes(data, &packet.feedback)
	if err != nil {
		return packet.feedback.cause(err, CauseIPHeader)
	}
	if ipv4TotalLength(data) == 0 {
		return CauseIPHeader // gopacket interprets zero as "the rest of the data"
	}
	for index := range ip.Options {
		switch ip.Options[index].OptionType {
		case optionLooseSourceRoute, optionStrictSourceRoute:
			return CauseSourceRoute
		}
	}
	return nil
}

// ipv4TotalLength returns the total length field of an IPv4 header.
func ipv4TotalLength(header []byte) int { return int(header[2])<<8 | int(header[3]) }

// decodeIPv6 decodes an inner IPv6 packet.
func (packet *Packet) decodeIPv6(payload []byte) error {
	ip := &packet.ipv6
	if ipVersion(payload) != ipv6Version {
		return CauseIPVersion
	}
	if err := packet.decodeIPv6Header(payload); err != nil {
		return err
	}
	if packet.feedback.truncated {
		return CauseTruncated
	}
	packet.Inner = payload[:len(ip.Contents)+int(ip.Length)]
	packet.setAddresses(ip.SrcIP, ip.DstIP)
	return packet.decodeTransport(ip.NextHeader, layers.IPProtocolICMPv6, ip.Payload)
}

// decodeIPv6Header decodes an IPv6 header. The payload after it may be truncated.
func (packet *Packet) decodeIPv6Header(data []byte) error {
	ip := &packet.ipv6
	err := ip.DecodeFromBytes(data, &packet.feedback)
	if len(data) < ipv6HeaderLength {
		return CauseTruncated
	}
	if ip.NextHeader == layers.IPProtocolIPv6Fragment {
		return CauseFragment
	}
	if isExtensionHeader(ip.NextHeader) {
		return CauseExtensionHeader
	}
	if err != nil {
		return packet.feedback.cause(err, CauseIPHeader)
	}
	return nil
}

// ipv6HeaderLength is the size of an IPv6 header in bytes (RFC 8200, section 3).
const ipv6HeaderLength = 40

// isExtensionHeader reports whether the next-header value denotes an IPv6 extension header (RFC
// 8200, section 4, and the IANA registry of extension header types).
func isExtensionHeader(protocol layers.IPProtocol) bool {
	const (
		mobility      layers.IPProtocol = 135
		hostIdentity  layers.IPProtocol = 139
		shim6         layers.IPProtocol = 140
		experimental1 layers.IPProtocol = 253
		experimental2 layers.IPProtocol = 254
	)
	switch protocol {
	case layers.IPProtocolIPv6HopByHop, layers.IPProtocolIPv6Routing,
		layers.IPProtocolIPv6Destination, layers.IPProtocolAH, layers.IPProtocolESP,
		mobility, hostIdentity, shim6, experimental1, experimental2:
		return true
	}
	return false
}

func (packet *Packet) setAddresses(source, destination net.IP) {
	packet.Key.Source = address16(source)
	packet.Key.Destination = address16(destination)
}

// address16 returns the address in 16 bytes; IPv4 addresses are mapped to IPv6.
func address16(ip net.IP) [16]byte {
	address, _ := netip.AddrFromSlice(ip)
	return address.As16()
}

// decodeTransport decodes the payload of the IP header. icmp is the protocol number of ICMP for
// this IP version.
func (packet *Packet) decodeTransport(protocol, icmp layers.IPProtocol, payload []byte) error {
	switch protocol {
	case layers.IPProtocolTCP:
		return packet.decodeTCP(payload)
	case layers.IPProtocolUDP:
		return packet.decodeUDP(payload)
	case icmp:
		return packet.decodeICMP(protocol, payload)
	}
	return CauseProtocol
}

// decodeTCP decodes a TCP segment.
func (packet *Packet) decodeTCP(payload []byte) error {
	tcp := &packet.tcp
	err := tcp.DecodeFromBytes(payload, &packet.feedback)
	if err := packet.feedback.cause(err, CauseTransportHeader); err != nil {
		return err
	}
	packet.Segment = Segment{
		Flags:           tcpFlags(tcp),
		Sequence:        tcp.Seq,
		Acknowledgement: tcp.Ack,
		Window:          tcp.Window,
		Payload:         tcp.Payload,
	}
	packet.Key.Protocol = lb.TCP
	packet.Key.SourcePort = uint16(tcp.SrcPort)
	packet.Key.DestinationPort = uint16(tcp.DstPort)
	return packet.setTCPKind()
}

// tcpFlags returns the control bits of the TCP header.
func tcpFlags(tcp *layers.TCP) TCPFlags {
	return tcpFlagIf(tcp.FIN, FlagFIN) |
		tcpFlagIf(tcp.SYN, FlagSYN) |
		tcpFlagIf(tcp.RST, FlagRST) |
		tcpFlagIf(tcp.PSH, FlagPSH) |
		tcpFlagIf(tcp.ACK, FlagACK)
}

// tcpFlagIf returns bit if set is true, otherwise 0.
func tcpFlagIf(set bool, bit TCPFlags) TCPFlags {
	if set {
		return bit
	}
	return 0
}

// setTCPKind sets the kind from the control bits. It rejects SYN in combination with FIN or RST: no
// TCP implementation sends such a segment, and it would be an opening and a closing at the same
// time.
func (packet *Packet) setTCPKind() error {
	flags := packet.Segment.Flags
	closing := flags&(FlagFIN|FlagRST) != 0
	if flags.Has(FlagSYN) && closing {
		return CauseTransportHeader
	}
	switch {
	case closing:
		packet.Kind = core.PacketClosing
	case flags.Has(FlagSYN) && !flags.Has(FlagACK):
		packet.Kind = core.PacketOpening
		packet.OpeningID = packet.Segment.Sequence
	default:
		packet.Kind = core.PacketMiddle
	}
	return nil
}

// decodeUDP decodes a UDP datagram.
func (packet *Packet) decodeUDP(payload []byte) error {
	udp := &packet.udp
	err := udp.DecodeFromBytes(payload, &packet.feedback)
	if err := packet.feedback.cause(err, CauseTransportHeader); err != nil {
		return err
	}
	if udp.Length == 0 {
		// A length of zero denotes a jumbogram, which does not fit into a datagram.
		return CauseTransportHeader
	}
	packet.Segment = Segment{Payload: udp.Payload}
	packet.Key.Protocol = lb.UDP
	packet.Key.SourcePort = uint16(udp.SrcPort)
	packet.Key.DestinationPort = uint16(udp.DstPort)
	packet.Kind = core.PacketUnmarked
	return nil
}
