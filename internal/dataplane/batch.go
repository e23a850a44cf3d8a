package dataplane

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// Sizes of a batch.
const (
	// batchSize is the most datagrams read or written by one system call.
	batchSize = 32
	// outputSize is what an output buffer starts with, in bytes; it grows as needed.
	outputSize = 2048
)

// batchConn is the part of ipv4.PacketConn and ipv6.PacketConn that is used;
// their Message is one type.
type batchConn interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

// batch holds the datagrams of one round of reading and writing: each one
// read leads to at most one written. Reading allocates twice for each
// datagram, in x/net, for the source address; all else allocates nothing.
type batch struct {
	connection batchConn
	inputs     [batchSize]ipv4.Message
	outputs    [batchSize]ipv4.Message
	addresses  [batchSize]net.UDPAddr
	queued     int
}

// newBatch gives a batch for datagrams of at most size bytes.
func newBatch(socket *net.UDPConn, size int) *batch {
	batch := &batch{connection: newBatchConn(socket)}
	for index := range batchSize {
		batch.inputs[index].Buffers = [][]byte{make([]byte, size)}
		batch.outputs[index].Buffers = [][]byte{make([]byte, 0, outputSize)}
		batch.outputs[index].Addr = &batch.addresses[index]
		batch.addresses[index].IP = make(net.IP, 0, net.IPv6len)
	}
	return batch
}

func newBatchConn(socket *net.UDPConn) batchConn {
	if localAddress(socket).Addr().Is4() {
		return ipv4.NewPacketConn(socket)
	}
	return ipv6.NewPacketConn(socket)
}

// read waits for datagrams and gives how many there are.
func (batch *batch) read() (int, error) {
	return batch.connection.ReadBatch(batch.inputs[:], 0)
}

// datagram gives the datagram of an index below what read gave.
func (batch *batch) datagram(index int) []byte {
	message := &batch.inputs[index]
	return message.Buffers[0][:message.N]
}

// output gives the empty buffer for the next datagram to be written.
func (batch *batch) output() []byte { return batch.outputs[batch.queued].Buffers[0][:0] }

// queue takes the datagram that was built in the buffer of output.
func (batch *batch) queue(datagram []byte, to netip.AddrPort) {
	batch.outputs[batch.queued].Buffers[0] = datagram
	address := &batch.addresses[batch.queued]
	address.IP = appendAddress(address.IP[:0], to.Addr())
	address.Port = int(to.Port())
	batch.queued++
}

func appendAddress(dst net.IP, address netip.Addr) net.IP {
	address = address.Unmap()
	if address.Is4() {
		bytes := address.As4()
		return append(dst, bytes[:]...)
	}
	bytes := address.As16()
	return append(dst, bytes[:]...)
}

// write writes what is queued and gives how many datagrams failed. A failed
// one is passed over; the system call reports it only when it is the first.
func (batch *batch) write() (failed int) {
	rest := batch.outputs[:batch.queued]
	batch.queued = 0
	for len(rest) > 0 {
		written, err := batch.connection.WriteBatch(rest, 0)
		written = max(written, 0)
		if err != nil || written == 0 {
			failed++
			written++
		}
		rest = rest[min(written, len(rest)):]
	}
	return failed
}
