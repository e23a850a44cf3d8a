package packet

import (
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/lb"
)

// defaultTTL is the TTL or hop limit of the packets that this package builds. RFC 1700 recommends
// 64.
const defaultTTL = 64

// BuildTCP appends to dst an inner IP packet that contains the TCP segment, with correct checksums.
// Both addresses must have the same IP version.
func BuildTCP(dst []byte, source, destination netip.AddrPort, segment *Segment) ([]byte, error) {
	builder := builders.Get().(*builder)
	defer builders.Put(builder)
	err := builder.buildTCP(source, destination, segment)
	if err != nil {
		return dst, err
	}
	return append(dst, builder.buffer.Bytes()...), nil
}

// BuildUDP appends to dst an inner IP packet that contains the UDP payload, with correct checksums.
// Both addresses must have the same IP version.
func BuildUDP(dst []byte, source, destination netip.AddrPort, payload []byte) ([]byte, error) {
	builder := builders.Get().(*builder)
	defer builders.Put(builder)
	err := builder.buildUDP(source, destination, payload)
	if err != nil {
		return dst, err
	}
	return append(dst, builder.buffer.Bytes()...), nil
}

var builders = sync.Pool{New: func() any { return newBuilder() }}

// builder holds the buffers and layers for building one inner packet. Builders are pooled to avoid
// allocations.
type builder struct {
	buffer        gopacket.SerializeBuffer
	payload       gopacket.Payload
	ipv4          layers.IPv4
	ipv6          layers.IPv6
	tcp           layers.TCP
	udp           layers.UDP
	icmpv4        layers.ICMPv4
	icmpv6        layers.ICMPv6
	source        [16]byte
	destination   [16]byte
	quote         []byte
	network       gopacket.SerializableLayer
	serializables [3]gopacket.SerializableLayer
}

func newBuilder() *builder {
	return &builder{buffer: gopacket.NewSerializeBuffer()}
}

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

func (builder *builder) buildTCP(source, destination netip.AddrPort, segment *Segment) error {
	network, err := builder.setNetwork(source.Addr(), destination.Addr(), layers.IPProtocolTCP)
	if err != nil {
		return err
	}
	builder.tcp = layers.TCP{
		SrcPort: layers.TCPPort(source.Port()),
		DstPort: layers.TCPPort(destination.Port()),
		Seq:     segment.Sequence,
		Ack:     segment.Acknowledgement,
		Window:  segment.Window,
		FIN:     segment.Flags.Has(FlagFIN),
		SYN:     segment.Flags.Has(FlagSYN),
		RST:     segment.Flags.Has(FlagRST),
		PSH:     segment.Flags.Has(FlagPSH),
		ACK:     segment.Flags.Has(FlagACK),
	}
	if err := builder.tcp.SetNetworkLayerForChecksum(network); err != nil {
		return errors.Wrap(err, "build a TCP packet")
	}
	return builder.serialize(&builder.tcp, segment.Payload)
}

func (builder *builder) buildUDP(source, destination netip.AddrPort, payload []byte) error {
	network, err := builder.setNetwork(source.Addr(), destination.Addr(), layers.IPProtocolUDP)
	if err != nil {
		return err
	}
	builder.udp = layers.UDP{
		SrcPort: layers.UDPPort(source.Port()),
		DstPort: layers.UDPPort(destination.Port()),
	}
	if err := builder.udp.SetNetworkLayerForChecksum(network); err != nil {
		return errors.Wrap(err, "build a UDP packet")
	}
	return builder.serialize(&builder.udp, payload)
}

// setNetwork sets up the IP layer for the addresses.
func (builder *builder) setNetwork(
	source, destination netip.Addr, protocol layers.IPProtocol,
) (gopacket.NetworkLayer, error) {
	source = source.Unmap()
	destination = destination.Unmap()
	if !source.IsValid() || source.BitLen() != destination.BitLen() {
		return nil, errors.Newf("source %s and destination %s have different IP versions", source, destination)
	}
	if source.Is4() {
		return builder.setIPv4(source, destination, protocol), nil
	}
	return builder.setIPv6(source, destination, protocol), nil
}

func (builder *builder) setIPv4(source, destination netip.Addr, protocol layers.IPProtocol) gopacket.NetworkLayer {
	sourceBytes := source.As4()
	destinationBytes := destination.As4()
	copy(builder.source[:], sourceBytes[:])
	copy(builder.destination[:], destinationBytes[:])
	builder.ipv4 = layers.IPv4{
		Version:  ipv4Version,
		Flags:    layers.IPv4DontFragment,
		TTL:      defaultTTL,
		Protocol: protocol,
		SrcIP:    builder.source[:len(sourceBytes)],
		DstIP:    builder.destination[:len(destinationBytes)],
	}
	builder.network = &builder.ipv4
	return &builder.ipv4
}

func (builder *builder) setIPv6(source, destination netip.Addr, protocol layers.IPProtocol) gopacket.NetworkLayer {
	builder.source = source.As16()
	builder.destination = destination.As16()
	builder.ipv6 = layers.IPv6{
		Version:    ipv6Version,
		NextHeader: protocol,
		HopLimit:   defaultTTL,
		SrcIP:      builder.source[:],
		DstIP:      builder.destination[:],
	}
	builder.network = &builder.ipv6
	return &builder.ipv6
}

// serialize writes the IP header, the transport header and the payload into the buffer.
func (builder *builder) serialize(transport gopacket.SerializableLayer, payload []byte) error {
	builder.payload = payload
	builder.serializables = [...]gopacket.SerializableLayer{builder.network, transport, &builder.payload}
	err := gopacket.SerializeLayers(builder.buffer, serializeOptions, builder.serializables[:]...)
	return errors.Wrap(err, "build a packet")
}

// flowAddresses returns the source and destination of a flow key as they appear in a packet.
func flowAddresses(key *lb.FlowKey) (source, destination netip.AddrPort) {
	source = netip.AddrPortFrom(netip.AddrFrom16(key.Source).Unmap(), key.SourcePort)
	destination = netip.AddrPortFrom(netip.AddrFrom16(key.Destination).Unmap(), key.DestinationPort)
	return source, destination
}
