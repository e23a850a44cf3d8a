// Package packet decodes and encodes the packets of the data path: an inner IPv4 or IPv6 packet
// with TCP, UDP or an ICMP error, encapsulated in Geneve over UDP (RFC 8926). It uses the layers of
// gopacket for the protocol headers.
//
// A balancer forwards the bytes of the inner packet without changes. Two Geneve options are
// specific to this project: Relay is sent between balancers, and Refusal is sent by a balancer to
// the fabric.
//
// Decode does not allocate memory for a well-formed packet, except for Multipath TCP options, for
// which gopacket allocates.
package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// Packet is one decoded datagram. Decode overwrites it, so it can be reused for many datagrams. Its
// slices refer to the memory of the datagram.
type Packet struct {
	// Packet contains the fields that the core evaluates.
	core.Packet
	// Inner is the inner IP packet, without any bytes after the length in its header.
	Inner []byte
	// VNI is the virtual network identifier, 24 bits.
	VNI uint32
	// Refusal is set in a refusal that a balancer sends to the fabric. In all other packets its
	// Verdict is zero.
	Refusal lb.Refusal
	// ICMP is the type and code of an ICMP error. It is zero for TCP and UDP.
	ICMP ICMPError
	// Segment is the transport header and payload of a TCP or UDP packet.
	Segment Segment

	feedback    decodeFeedback
	fixedHeader [fixedHeaderLength]byte
	geneve      layers.Geneve
	ipv4        layers.IPv4
	ipv6        layers.IPv6
	tcp         layers.TCP
	udp         layers.UDP
	icmpv4      layers.ICMPv4
	icmpv6      layers.ICMPv6
}

// ICMPError is the type and code of an ICMP or ICMPv6 error message.
type ICMPError struct {
	Type uint8
	Code uint8
}

// TCPFlags is the set of control bits of a TCP header (RFC 9293, section 3.1).
type TCPFlags uint8

// Control bits that a balancer evaluates.
const (
	FlagFIN TCPFlags = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

// Has reports whether all the given bits are set.
func (flags TCPFlags) Has(bits TCPFlags) bool { return flags&bits == bits }

// Segment is the transport header and payload of a packet. For UDP, only Payload is set.
type Segment struct {
	Flags           TCPFlags
	Sequence        uint32
	Acknowledgement uint32
	Window          uint16
	Payload         []byte
}

// Length returns the number of sequence numbers that the segment occupies (SEG.LEN in RFC 9293,
// section 3.4).
func (segment *Segment) Length() uint32 {
	length := uint32(len(segment.Payload))
	if segment.Flags.Has(FlagSYN) {
		length++
	}
	if segment.Flags.Has(FlagFIN) {
		length++
	}
	return length
}

// Source returns the source address and port of the inner packet.
func (packet *Packet) Source() netip.AddrPort {
	source, _ := flowAddresses(&packet.Key)
	return source
}

// Destination returns the destination address and port of the inner packet.
func (packet *Packet) Destination() netip.AddrPort {
	_, destination := flowAddresses(&packet.Key)
	return destination
}

// IsRelayed reports whether another balancer relayed the packet.
func (packet *Packet) IsRelayed() bool { return packet.Relay.Hop != lb.HopIngress }

// Decode decodes a datagram into packet. Errors are always of type Cause. After an error, the
// fields of the packet are undefined.
func Decode(datagram []byte, packet *Packet) error {
	packet.reset()
	payload, err := packet.decodeGeneve(datagram)
	if err != nil {
		return err
	}
	return packet.decodeInner(payload)
}

// reset clears all fields that Decode does not always set.
func (packet *Packet) reset() {
	packet.Packet = core.Packet{}
	packet.Inner = nil
	packet.VNI = 0
	packet.Refusal = lb.Refusal{}
	packet.ICMP = ICMPError{}
	packet.Segment = Segment{}
	packet.feedback.truncated = false
}

// decodeFeedback records whether gopacket has found a layer to be truncated.
type decodeFeedback struct{ truncated bool }

var _ gopacket.DecodeFeedback = (*decodeFeedback)(nil)

// SetTruncated implements gopacket.DecodeFeedback.
func (feedback *decodeFeedback) SetTruncated() { feedback.truncated = true }

// cause returns CauseTruncated if a layer was truncated. Otherwise it returns failureCause if err
// is not nil, and nil if err is nil. gopacket's errors have no types that could be distinguished.
func (feedback *decodeFeedback) cause(err error, failureCause Cause) error {
	if feedback.truncated {
		return CauseTruncated
	}
	if err != nil {
		return failureCause
	}
	return nil
}
