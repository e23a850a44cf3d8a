package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The packet format of PROTOCOL.md, "Packets".
const (
	headLength = 34
	flagSYN    = 64
	flagACK    = 8
	flagFIN    = 4
	flagRST    = 16
)

// end is one end of a flow: an address and a port.
type end struct {
	addr netip.Addr
	port uint16
}

// packet is one decoded packet.
type packet struct {
	sum      uint32
	flags    byte
	src, dst end
	echo     uint32
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet's bytes. If sum is 0 and own is false, the keyed sum is computed.
func (p *packet) encode() []byte {
	b := make([]byte, headLength+len(p.data))
	b[4] = p.flags
	binary.LittleEndian.PutUint16(b[8:], p.dst.port)
	binary.LittleEndian.PutUint16(b[10:], p.src.port)
	putAddr(b[12:], p.dst.addr)
	putAddr(b[16:], p.src.addr)
	binary.LittleEndian.PutUint16(b[20:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[22:], p.echo)
	binary.LittleEndian.PutUint32(b[26:], p.seq)
	binary.LittleEndian.PutUint32(b[30:], p.ack)
	copy(b[headLength:], p.data)
	binary.LittleEndian.PutUint32(b, keyedSum(b))
	return b
}

// decode decodes a packet. valid reports whether its sum is that of an end of the flow.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headLength || len(b) != headLength+int(binary.LittleEndian.Uint16(b[20:])) {
		return p, false
	}
	p = packet{
		sum:   binary.LittleEndian.Uint32(b),
		flags: b[4] &^ 128,
		dst:   end{getAddr(b[12:]), binary.LittleEndian.Uint16(b[8:])},
		src:   end{getAddr(b[16:]), binary.LittleEndian.Uint16(b[10:])},
		echo:  binary.LittleEndian.Uint32(b[22:]),
		seq:   binary.LittleEndian.Uint32(b[26:]),
		ack:   binary.LittleEndian.Uint32(b[30:]),
		data:  append([]byte(nil), b[headLength:]...),
	}
	return p, p.sum == keyedSum(b)
}

// keyedSum covers everything except sum, pad, echo and BOUNCED.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of both ends"))
	h.Write([]byte{b[4] &^ 128})
	h.Write(b[8:22])
	h.Write(b[26:])
	return max(h.Sum32(), 1)
}

func putAddr(b []byte, addr netip.Addr) {
	a := addr.As4()
	b[0], b[1], b[2], b[3] = a[3], a[2], a[1], a[0]
}

func getAddr(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }
