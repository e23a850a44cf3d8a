package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// portsLength is the size of the source and destination ports at the beginning of a TCP or UDP
// header. An ICMP error quotes at least this part of the packet that it refers to (RFC 792).
const portsLength = 4

// icmpv6UnusedLength is the size of the field between the checksum of an ICMPv6 error and the
// quoted packet (RFC 4443, section 3).
const icmpv6UnusedLength = 4

// decodeICMP decodes an ICMP error. Routers between a back end and a client send such errors, for
// instance "packet too big", to the service's address, and they must reach the back end that has
// the flow. decodeICMP therefore sets the key to the flow's key in the direction of the ICMP
// message, so that the core handles the message like any other packet of the flow.
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
	if !isICMPv4Error(icmp.TypeCode.Type()) {
		return CauseICMP
	}
	quoted := icmp.Payload
	if len(quoted) == 0 || ipVersion(quoted) != ipv4Version {
		return CauseICMP
	}
	if packet.decodeIPv4Header(quoted) != nil || packet.ipv4.FragOffset != 0 {
		return CauseICMP
	}
	packet.ICMP = ICMPError{Type: icmp.TypeCode.Type(), Code: icmp.TypeCode.Code()}
	packet.Key.Source = address16(packet.ipv4.DstIP)
	return packet.setICMPFlow(packet.ipv4.Protocol, packet.ipv4.SrcIP, packet.ipv4.Payload)
}

// isICMPv4Error reports whether the ICMP type is an error about another packet.
func isICMPv4Error(kind uint8) bool {
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
	if !isICMPv6Error(icmp.TypeCode.Type()) || len(icmp.Payload) <= icmpv6UnusedLength {
		return CauseICMP
	}
	quoted := icmp.Payload[icmpv6UnusedLength:]
	if ipVersion(quoted) != ipv6Version || packet.decodeIPv6Header(quoted) != nil {
		return CauseICMP
	}
	packet.ICMP = ICMPError{Type: icmp.TypeCode.Type(), Code: icmp.TypeCode.Code()}
	packet.Key.Source = address16(packet.ipv6.DstIP)
	return packet.setICMPFlow(packet.ipv6.NextHeader, packet.ipv6.SrcIP, packet.ipv6.Payload)
}

// isICMPv6Error reports whether the ICMPv6 type is an error about another packet.
func isICMPv6Error(kind uint8) bool {
	switch kind {
	case layers.ICMPv6TypeDestinationUnreachable,
		layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded,
		layers.ICMPv6TypeParameterProblem:
		return true
	}
	return false
}

// setICMPFlow sets the key and kind from the quoted packet, whose source must be the destination of
// the ICMP message. The message may come from any router, so the key's source is the destination of
// the quoted packet.
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
