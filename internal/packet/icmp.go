package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// portsLength is the size of the two ports that begin a TCP or UDP header.
// An ICMP message holds at least that of the packet it is about (RFC 792).
const portsLength = 4

// icmpv6UnusedLength is the size of what follows type, code and checksum in
// an ICMPv6 error before the packet that it is about (RFC 4443, section 3).
const icmpv6UnusedLength = 4

// decodeICMP reads an ICMP error. Routers on the way from a back end to a
// caller send them to the service's address, for instance "packet too big";
// they belong to the back end that has the flow. The key is the one of the
// flow in the direction in which the ICMP message travels, so that the core
// treats the message like any packet of the flow.
func (packet *Packet) decodeICMP(protocol layers.IPProtocol, payload []byte) error {
	if protocol == layers.IPProtocolICMPv4 {
		return packet.decodeICMPv4(payload)
	}
	return packet.decodeICMPv6(payload)
}

func (packet *Packet) decodeICMPv4(payload []byte) error {
	icmp := &packet.icmpv4
	err := icmp.DecodeFromBytes(payload, &packet.feedback)
	if err := packet.feedback.cause(err, CauseICMP); err != nil {
		return err
	}
	if !icmpv4ErrorType(icmp.TypeCode.Type()) {
		return CauseICMP
	}
	quoted := icmp.Payload
	if len(quoted) == 0 || ipVersion(quoted) != ipv4Version {
		return CauseICMP
	}
	if packet.ipv4Header(quoted) != nil || packet.ipv4.FragOffset != 0 {
		return CauseICMP
	}
	packet.ICMP = ICMPError{Type: icmp.TypeCode.Type(), Code: icmp.TypeCode.Code()}
	packet.Key.Source = address16(packet.ipv4.DstIP)
	return packet.setICMPFlow(packet.ipv4.Protocol, packet.ipv4.SrcIP, packet.ipv4.Payload)
}

func icmpv4ErrorType(kind uint8) bool {
	switch kind {
	case layers.ICMPv4TypeDestinationUnreachable,
		layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
		return true
	}
	return false
}

func (packet *Packet) decodeICMPv6(payload []byte) error {
	icmp := &packet.icmpv6
	err := icmp.DecodeFromBytes(payload, &packet.feedback)
	if err := packet.feedback.cause(err, CauseICMP); err != nil {
		return err
	}
	if !icmpv6ErrorType(icmp.TypeCode.Type()) || len(icmp.Payload) <= icmpv6UnusedLength {
		return CauseICMP
	}
	quoted := icmp.Payload[icmpv6UnusedLength:]
	if ipVersion(quoted) != ipv6Version || packet.ipv6Header(quoted) != nil {
		return CauseICMP
	}
	packet.ICMP = ICMPError{Type: icmp.TypeCode.Type(), Code: icmp.TypeCode.Code()}
	packet.Key.Source = address16(packet.ipv6.DstIP)
	return packet.setICMPFlow(packet.ipv6.NextHeader, packet.ipv6.SrcIP, packet.ipv6.Payload)
}

func icmpv6ErrorType(kind uint8) bool {
	switch kind {
	case layers.ICMPv6TypeDestinationUnreachable,
		layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded,
		layers.ICMPv6TypeParameterProblem:
		return true
	}
	return false
}

// setICMPFlow sets the key and kind from the packet that the message is
// about: its source must be where the message goes to. The source of the
// message itself is any router, so the key's source is the other end.
func (packet *Packet) setICMPFlow(protocol layers.IPProtocol, source []byte, transport []byte) error {
	if address16(source) != packet.Key.Destination || len(transport) < portsLength {
		return CauseICMP
	}
	switch protocol {
	case layers.IPProtocolTCP:
		packet.Key.Protocol = lb.TCP
		packet.Kind = core.PacketMiddle
	case layers.IPProtocolUDP:
		packet.Key.Protocol = lb.UDP
		packet.Kind = core.PacketUnmarked
	default:
		return CauseICMP
	}
	packet.Key.DestinationPort = binary.BigEndian.Uint16(transport)
	packet.Key.SourcePort = binary.BigEndian.Uint16(transport[2:])
	return nil
}
