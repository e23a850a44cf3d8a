// Package platformsim stands in for the users' platform in tests and in the
// demo: its store, its routers, hosts and callers, on loopback addresses. It
// follows the platform's published pages and shares no code with the adapter
// in platform/, so that a fault there is not hidden by the same fault here.
package platformsim

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// The flags of a packet.
const (
	flagSYN = 64
	flagACK = 8
	flagFIN = 4
	flagRST = 16
)

// headSize is the size of a packet's head, in bytes.
const headSize = 34

// head is a packet.
type head struct {
	Sum                            uint32
	Flags                          uint8
	DestinationPort, SourcePort    uint16
	Destination, Source            [4]byte
	Echo, Sequence, Acknowledgment uint32
	Data                           []byte
	from                           netip.AddrPort // who sent it here
}

// encode appends the packet with its sum.
func (packet *head) encode(dst []byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, headSize)...)
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
	binary.LittleEndian.PutUint32(dst[start:], sumOf(dst[start:]))
	binary.LittleEndian.PutUint32(dst[start+22:], packet.Echo)
	return dst
}

// sumOf covers everything but the sum itself, the padding and the echo.
func sumOf(datagram []byte) uint32 {
	covered := append([]byte{}, datagram...)
	clear(covered[0:4])
	clear(covered[5:8])
	clear(covered[22:26])
	return uint32(xxhash.Sum64(covered)) | 1 // 0 is for resets of the balancers
}

// decode reads a packet. forged tells that its sum is wrong; a reset of a
// balancer has none.
func decode(datagram []byte) (packet head, forged, ok bool) {
	if len(datagram) < headSize {
		return head{}, false, false
	}
	packet = head{
		Sum:             binary.LittleEndian.Uint32(datagram),
		Flags:           datagram[4],
		DestinationPort: binary.LittleEndian.Uint16(datagram[8:]),
		SourcePort:      binary.LittleEndian.Uint16(datagram[10:]),
		Echo:            binary.LittleEndian.Uint32(datagram[22:]),
		Sequence:        binary.LittleEndian.Uint32(datagram[26:]),
		Acknowledgment:  binary.LittleEndian.Uint32(datagram[30:]),
		Data:            datagram[headSize:],
	}
	putReversed(packet.Destination[:], [4]byte(datagram[12:16]))
	putReversed(packet.Source[:], [4]byte(datagram[16:20]))
	return packet, packet.Sum != sumOf(datagram), true
}

func putReversed(field []byte, address [4]byte) {
	field[0], field[1], field[2], field[3] = address[3], address[2], address[1], address[0]
}

// isNodeReset tells whether it is a reset that a balancer wrote.
func (packet *head) isNodeReset() bool {
	return packet.Sum == 0 && packet.Flags == flagRST && len(packet.Data) == 0
}

func (packet *head) has(flags uint8) bool { return packet.Flags&flags == flags }

// answer gives a packet back to the sender of this one.
func (packet *head) answer(flags uint8) head {
	return head{
		Flags:           flags,
		DestinationPort: packet.SourcePort, SourcePort: packet.DestinationPort,
		Destination: packet.Source, Source: packet.Destination,
		Echo: packet.Echo,
	}
}

// flowKey names a flow at its ends.
type flowKey struct {
	caller netip.AddrPort
	front  netip.AddrPort
}

func (packet *head) flow() flowKey {
	return flowKey{
		caller: netip.AddrPortFrom(netip.AddrFrom4(packet.Source), packet.SourcePort),
		front:  netip.AddrPortFrom(netip.AddrFrom4(packet.Destination), packet.DestinationPort),
	}
}
