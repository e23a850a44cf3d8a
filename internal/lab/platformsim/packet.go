// Package platformsim is a simulator of the users' platform for tests and for the demo: its store,
// routers, hosts and clients, on loopback addresses. It implements the platform's published
// specification and shares no code with the adapter in platform/, so that a bug in the adapter is
// not hidden by the same bug here.
package platformsim

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// The flag bits in a packet's header.
const (
	flagSYN = 64
	flagACK = 8
	flagFIN = 4
	flagRST = 16
)

// headerSize is the size of a packet's header, in bytes.
const headerSize = 34

// wirePacket is a packet of the platform's protocol with the fields of its header.
type wirePacket struct {
	Checksum                       uint32
	Flags                          uint8
	DestinationPort, SourcePort    uint16
	Destination, Source            [4]byte
	Echo, Sequence, Acknowledgment uint32
	Data                           []byte
	from                           netip.AddrPort // UDP address that sent it to this process
}

// encode appends the encoded packet with its checksum to dst.
func (packet *wirePacket) encode(dst []byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, headerSize)...)
	field := dst[start:]
	field[4] = packet.Flags
	binary.LittleEndian.PutUint16(field[8:], packet.DestinationPort)
	binary.LittleEndian.PutUint16(field[10:], packet.SourcePort)
	putReversed(field[12:16], packet.Destination)
	putReversed(field[16:20], packet.Source)
	binary.LittleEndian.PutUint16(field[20:], uint16(len(packet.Data)))
	binary.LittleEndian.PutUint32(field[26:], packet.Sequence)
	binary.LittleEndian.PutUint32(field[30:], packet.Acknowledgment)
	dst = append(dst, packet.Data...)
	binary.LittleEndian.PutUint32(dst[start:], checksumOf(dst[start:]))
	binary.LittleEndian.PutUint32(dst[start+22:], packet.Echo)
	return dst
}

// checksumOf returns the checksum of a datagram. It covers everything except the checksum itself,
// the padding and the echo.
func checksumOf(datagram []byte) uint32 {
	covered := append([]byte{}, datagram...)
	clear(covered[0:4])
	clear(covered[5:8])
	clear(covered[22:26])
	return uint32(xxhash.Sum64(covered)) | 1 // never 0, which marks a reset by a balancer
}

// decode parses a datagram. ok is false if it is too short, and forged is true if its checksum is
// wrong. A reset by a balancer has no checksum.
func decode(datagram []byte) (packet wirePacket, forged, ok bool) {
	if len(datagram) < headerSize {
		return wirePacket{}, false, false
	}
	packet = wirePacket{
		Checksum:        binary.LittleEndian.Uint32(datagram),
		Flags:           datagram[4],
		DestinationPort: binary.LittleEndian.Uint16(datagram[8:]),
		SourcePort:      binary.LittleEndian.Uint16(datagram[10:]),
		Echo:            binary.LittleEndian.Uint32(datagram[22:]),
		Sequence:        binary.LittleEndian.Uint32(datagram[26:]),
		Acknowledgment:  binary.LittleEndian.Uint32(datagram[30:]),
		Data:            datagram[headerSize:],
	}
	putReversed(packet.Destination[:], [4]byte(datagram[12:16]))
	putReversed(packet.Source[:], [4]byte(datagram[16:20]))
	return packet, packet.Checksum != checksumOf(datagram), true
}

func putReversed(field []byte, address [4]byte) {
	field[0], field[1], field[2], field[3] = address[3], address[2], address[1], address[0]
}

// isNodeReset reports whether the packet is a reset that a balancer wrote.
func (packet *wirePacket) isNodeReset() bool {
	return packet.Checksum == 0 && packet.Flags == flagRST && len(packet.Data) == 0
}

func (packet *wirePacket) has(flags uint8) bool { return packet.Flags&flags == flags }

// newAnswer returns an empty packet in the opposite direction, with the same echo.
func (packet *wirePacket) newAnswer(flags uint8) wirePacket {
	return wirePacket{
		Flags:           flags,
		DestinationPort: packet.SourcePort, SourcePort: packet.DestinationPort,
		Destination: packet.Source, Source: packet.Destination,
		Echo: packet.Echo,
	}
}

// flowKey identifies a flow by its two ends.
type flowKey struct {
	client   netip.AddrPort
	frontend netip.AddrPort
}

func (packet *wirePacket) flow() flowKey {
	return flowKey{
		client:   netip.AddrPortFrom(netip.AddrFrom4(packet.Source), packet.SourcePort),
		frontend: netip.AddrPortFrom(netip.AddrFrom4(packet.Destination), packet.DestinationPort),
	}
}
