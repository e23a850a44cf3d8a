// Package wire encodes and sends the packets of the simulators: TCP segments and UDP datagrams in
// inner IP packets, which are encapsulated in Geneve over UDP.
//
// Hosts answer clients directly, so they must derive the socket of a client from its inner address.
// Therefore a client process uses inner addresses whose last two bytes are the UDP port of its
// socket on 127.0.0.1.
package wire

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// MaxDatagram is the size of receive buffers, in bytes.
const MaxDatagram = 2048

const (
	timeToLive = 64
	window     = 65535
)

// Segment is one TCP segment or UDP datagram between a client and a service.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    lb.Protocol
	packet.Segment
}

// SegmentOf returns the segment in a decoded packet. Its payload is a copy.
func SegmentOf(decoded *packet.Packet) Segment {
	segment := Segment{
		Source:      decoded.Source(),
		Destination: decoded.Destination(),
		Protocol:    decoded.Key.Protocol,
		Segment:     decoded.Segment,
	}
	segment.Payload = append([]byte(nil), decoded.Segment.Payload...)
	return segment
}

// Encode returns the segment in an inner IP packet that is encapsulated in Geneve.
func Encode(segment *Segment) ([]byte, error) {
	inner, err := encodeInner(segment)
	if err != nil {
		return nil, err
	}
	return packet.Encode(nil, inner, &packet.Header{})
}

func encodeInner(segment *Segment) ([]byte, error) {
	var network gopacket.SerializableLayer
	var checksummed gopacket.NetworkLayer
	source, destination := net.IP(segment.Source.Addr().AsSlice()), net.IP(segment.Destination.Addr().AsSlice())
	protocol := layers.IPProtocol(segment.Protocol)
	if segment.Source.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TTL: timeToLive, Protocol: protocol, SrcIP: source, DstIP: destination}
		network, checksummed = ip, ip
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: timeToLive, NextHeader: protocol, SrcIP: source, DstIP: destination}
		network, checksummed = ip, ip
	}
	transport, err := encodeTransport(segment, checksummed)
	if err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err = gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(segment.Payload))
	return buffer.Bytes(), errors.Wrap(err, "encode the inner packet")
}

func encodeTransport(segment *Segment, network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	if segment.Protocol == lb.UDP {
		udp := &layers.UDP{
			SrcPort: layers.UDPPort(segment.Source.Port()),
			DstPort: layers.UDPPort(segment.Destination.Port()),
		}
		return udp, udp.SetNetworkLayerForChecksum(network)
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(segment.Source.Port()),
		DstPort: layers.TCPPort(segment.Destination.Port()),
		Seq:     segment.Sequence,
		Ack:     segment.Acknowledgement,
		SYN:     segment.Flags.Has(packet.FlagSYN),
		ACK:     segment.Flags.Has(packet.FlagACK),
		FIN:     segment.Flags.Has(packet.FlagFIN),
		RST:     segment.Flags.Has(packet.FlagRST),
		PSH:     segment.Flags.Has(packet.FlagPSH),
		Window:  window,
	}
	return tcp, tcp.SetNetworkLayerForChecksum(network)
}

// ClientSocket returns the UDP address of the client process that uses the inner address.
func ClientSocket(inner netip.Addr) netip.AddrPort {
	bytes := inner.As16()
	port := binary.BigEndian.Uint16(bytes[14:])
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// ClientAddress returns an inner address of the client process whose socket has the port. The index
// selects one of its addresses: 10.index.PORT for IPv4, fd00::index:PORT for IPv6.
func ClientAddress(port uint16, index uint8, ipv6 bool) netip.Addr {
	if ipv6 {
		var address [16]byte
		address[0] = 0xfd
		address[13] = index
		binary.BigEndian.PutUint16(address[14:], port)
		return netip.AddrFrom16(address)
	}
	address := [4]byte{10, index}
	binary.BigEndian.PutUint16(address[2:], port)
	return netip.AddrFrom4(address)
}

// Sender sends a datagram to an address. Network errors count as packet loss.
type Sender func(to netip.AddrPort, datagram []byte)

// Serve reads datagrams from the socket and passes them to handle until the socket is closed. The
// datagram is valid only until handle returns.
func Serve(socket *net.UDPConn, handle func(datagram []byte)) {
	buffer := make([]byte, MaxDatagram)
	for {
		length, _, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(buffer[:length])
		}
	}
}

// SocketSender returns a sender that uses the socket.
func SocketSender(socket *net.UDPConn) Sender {
	return func(to netip.AddrPort, datagram []byte) {
		_, _ = socket.WriteToUDPAddrPort(datagram, to) // the flow retransmits a lost datagram
	}
}
