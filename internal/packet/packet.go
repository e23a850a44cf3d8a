// Package packet reads and writes the packets of the data path: an inner IPv4
// or IPv6 packet with TCP, UDP or an ICMP error, in Geneve over UDP (RFC
// 8926). The layers of gopacket are the codec.
//
// A balancer forwards the bytes of the inner packet as it got them. Two
// options of its own travel in the Geneve header: Relay, between balancers,
// and Refusal, from a balancer to the fabric.
//
// Decode allocates nothing for a well-formed packet. Exceptions are TCP
// options of Multipath TCP, for which gopacket allocates.
package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// Packet is one decoded datagram. It is reused from packet to packet, and its
// slices point into the datagram it was decoded from.
type Packet struct {
	// Packet is what the core needs to know.
	core.Packet
	// Inner is the inner IP packet, without bytes behind its stated length.
	Inner []byte
	// VNI is the virtual network identifier, 24 bits.
	VNI uint32
	// Refusal is set in answers to the fabric; its Verdict is zero in all others.
	Refusal lb.Refusal
	// ICMP is the type and code of an ICMP error; zero for TCP and UDP.
	ICMP ICMPError
	// Segment is the transport header and payload of a TCP or UDP packet.
	Segment Segment

	feedback decodeFeedback
	fixed    [fixedHeaderLength]byte
	geneve   layers.Geneve
	ipv4     layers.IPv4
	ipv6     layers.IPv6
	tcp      layers.TCP
	udp      layers.UDP
	icmpv4   layers.ICMPv4
	icmpv6   layers.ICMPv6
}

// ICMPError is the type and code of an ICMP or ICMPv6 error message.
type ICMPError struct {
	Type uint8
	Code uint8
}

// TCPFlags are the control bits of a TCP header (RFC 9293, section 3.1).
type TCPFlags uint8

// The control bits that matter to a balancer.
const (
	FlagFIN TCPFlags = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

// Has tells whether all the given bits are set.
func (flags TCPFlags) Has(bits TCPFlags) bool { return flags&bits == bits }

// Segment is the transport header and payload. A UDP packet has a payload only.
type Segment struct {
	Flags           TCPFlags
	Sequence        uint32
	Acknowledgement uint32
	Window          uint16
	Payload         []byte
}

// Length is the space that the segment takes in the sequence numbers
// (SEG.LEN of RFC 9293, section 3.4).
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

// Source is the address and port that sent the packet.
func (packet *Packet) Source() netip.AddrPort {
	source, _ := flowAddresses(&packet.Key)
	return source
}

// Destination is the address and port that the packet is for.
func (packet *Packet) Destination() netip.AddrPort {
	_, destination := flowAddresses(&packet.Key)
	return destination
}

// Relayed tells whether another balancer relayed the packet.
func (packet *Packet) Relayed() bool { return packet.Relay.Hop != lb.HopIngress }

// Decode reads a datagram into the packet. The error is always a Cause; the
// packet's fields are not to be used then.
func Decode(datagram []byte, packet *Packet) error {
	packet.reset()
	payload, err := packet.decodeGeneve(datagram)
	if err != nil {
		return err
	}
	return packet.decodeInner(payload)
}

func (packet *Packet) reset() {
	packet.Packet = core.Packet{}
	packet.Inner = nil
	packet.VNI = 0
	packet.Refusal = lb.Refusal{}
	packet.ICMP = ICMPError{}
	packet.Segment = Segment{}
	packet.feedback.truncated = false
}

// decodeFeedback takes gopacket's word that a layer is truncated.
type decodeFeedback struct{ truncated bool }

var _ gopacket.DecodeFeedback = (*decodeFeedback)(nil)

// SetTruncated implements gopacket.DecodeFeedback.
func (feedback *decodeFeedback) SetTruncated() { feedback.truncated = true }

// cause gives CauseTruncated when a layer was truncated, else the given
// cause when the layer failed, else nil. gopacket's errors have no types.
func (feedback *decodeFeedback) cause(err error, otherwise Cause) error {
	if feedback.truncated {
		return CauseTruncated
	}
	if err != nil {
		return otherwise
	}
	return nil
}
