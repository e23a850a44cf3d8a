package dataplane

import (
	"net/netip"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Codec reads the datagrams of one kind of path and writes what is sent on.
// Each reader of a plane has one of its own, which keeps the last packet that
// it decoded; the Append methods are about that one.
type Codec interface {
	// DatagramSize is the size of the largest datagram, in bytes.
	DatagramSize() int
	// Decode reads a datagram. The error is a packet.Cause. The packet and
	// the datagram hold until the next call.
	Decode(datagram []byte) (*core.Packet, error)
	// AppendForward appends the datagram for the decision's host.
	AppendForward(dst []byte, decision *core.Decision) ([]byte, error)
	// AppendRelay appends the datagram for another balancer.
	AppendRelay(dst []byte, relay lb.Relay) ([]byte, error)
	// AppendRefusal appends the answer to the caller and tells where it goes.
	// The error is packet.ErrNoAnswer when the packet must not be answered.
	AppendRefusal(dst []byte, refusal lb.Refusal) ([]byte, netip.AddrPort, error)
}

// geneveCodec is the product's own path: inner IP packets in Geneve.
type geneveCodec struct {
	packet  packet.Packet
	replyTo []netip.AddrPort
}

// NewGeneveCodec gives the codec for Geneve. Refusals go to one of the
// addresses of replyTo, all those of a flow to the same.
func NewGeneveCodec(replyTo []netip.AddrPort) Codec { return &geneveCodec{replyTo: replyTo} }

// DatagramSize is that of the largest UDP datagram: inner packets may be of any size.
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

// replyAddress gives one fabric address to all refusals of a flow.
func (codec *geneveCodec) replyAddress() netip.AddrPort {
	flow := codec.packet.Key.ID()
	return codec.replyTo[uint64(flow)%uint64(len(codec.replyTo))]
}
