package dataplane

import (
	"net/netip"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Codec decodes the datagrams of one encapsulation and builds the datagrams to be sent. Each reader
// of a plane has its own codec. A codec keeps the last packet that it decoded; the Append methods
// apply to that packet.
type Codec interface {
	// DatagramSize returns the maximum size of a datagram in bytes.
	DatagramSize() int
	// Decode decodes a datagram. The error is a packet.Cause. The packet is valid until the next
	// call; the datagram must not be changed until then.
	Decode(datagram []byte) (*core.Packet, error)
	// AppendForward appends the datagram for the decision's host.
	AppendForward(dst []byte, decision *core.Decision) ([]byte, error)
	// AppendRelay appends the datagram for another balancer.
	AppendRelay(dst []byte, relay lb.Relay) ([]byte, error)
	// AppendRefusal appends the answer to the client and returns the address to which it must be
	// sent. The error is packet.ErrNoAnswer if the packet must not be answered.
	AppendRefusal(dst []byte, refusal lb.Refusal) ([]byte, netip.AddrPort, error)
}

// geneveCodec is the default codec: inner IP packets encapsulated in Geneve.
type geneveCodec struct {
	packet  packet.Packet
	replyTo []netip.AddrPort
}

// NewGeneveCodec returns the codec for Geneve. Refusals are sent to the addresses of replyTo, all
// refusals of a flow to the same address.
func NewGeneveCodec(replyTo []netip.AddrPort) Codec { return &geneveCodec{replyTo: replyTo} }

// DatagramSize returns the maximum size of a UDP datagram, since inner packets may have any size.
func (*geneveCodec) DatagramSize() int { return 1 << 16 }

func (codec *geneveCodec) Decode(datagram []byte) (*core.Packet, error) {
	err := packet.Decode(datagram, &codec.packet)
	return &codec.packet.Packet, err
}

func (codec *geneveCodec) AppendForward(dst []byte, _ *core.Decision) ([]byte, error) {
	header := packet.Header{VNI: codec.packet.VNI}
	return packet.Encode(dst, codec.packet.Inner, &header)
}

func (codec *geneveCodec) AppendRelay(dst []byte, relay lb.Relay) ([]byte, error) {
	header := packet.Header{VNI: codec.packet.VNI, Relay: relay}
	return packet.Encode(dst, codec.packet.Inner, &header)
}

func (codec *geneveCodec) AppendRefusal(dst []byte, refusal lb.Refusal) ([]byte, netip.AddrPort, error) {
	encoded, err := packet.AppendRefusal(dst, &codec.packet, refusal)
	return encoded, codec.replyAddress(), err
}

// replyAddress returns the fabric address for refusals of the packet's flow.
func (codec *geneveCodec) replyAddress() netip.AddrPort {
	flow := codec.packet.Key.ID()
	return codec.replyTo[uint64(flow)%uint64(len(codec.replyTo))]
}
