package dataplane

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// Sizes of a batch and its buffers.
const (
	// batchSize is the maximum number of datagrams read or written by one system call.
	batchSize = 32
	// initialOutputSize is the initial capacity of an output buffer in bytes; it grows as needed.
	initialOutputSize = 2048
)

// batchConn is the part of ipv4.PacketConn and ipv6.PacketConn that a batch uses. Both have the
// same Message type.
type batchConn interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

// batch holds the datagrams of one round of reading and writing: each datagram that is read leads
// to at most one that is written. golang.org/x/net allocates twice for the source address of each
// datagram that is read; nothing else allocates.
type batch struct {
	connection batchConn
	inputs     [batchSize]ipv4.Message
	outputs    [batchSize]ipv4.Message
	addresses  [batchSize]net.UDPAddr
	queued     int
}

// newBatch returns a batch for datagrams of at most size bytes.
func newBatch(socket *net.UDPConn, size int) *batch {
	batch := &batch{connection: newBatchConn(socket)}
	for index := range batchSize {
		batch.inputs[index].Buffers = [][]byte{make([]byte, size)}
		batch.outputs[index].Buffers = [][]byte{make([]byte, 0, initialOutputSize)}
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

// read waits for datagrams and returns their number.
func (batch *batch) read() (int, error) {
	return batch.connection.ReadBatch(batch.inputs[:], 0)
}

// datagram returns the datagram with the given index, which must be below the number that read
// returned.
func (batch *batch) datagram(index int) []byte {
	message := &batch.inputs[index]
	return message.Buffers[0][:message.N]
}

// output returns the empty buffer for the next datagram to be written.
func (batch *batch) output() []byte { return batch.outputs[batch.queued].Buffers[0][:0] }

// queue adds a datagram, built in the buffer that output returned, for the next write.
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

// write writes the queued datagrams and returns the number that failed. It skips a datagram that
// fails; the system call reports an error only for the first datagram of a call.
func (batch *batch) write() (failed int) {
	remaining := batch.outputs[:batch.queued]
	batch.queued = 0
	for len(remaining) > 0 {
		written, err := batch.connection.WriteBatch(remaining, 0)
		written = max(written, 0)
		if err != nil || written == 0 {
			failed++
			written++
		}
		remaining = remaining[min(written, len(remaining)):]
	}
	return failed
}
