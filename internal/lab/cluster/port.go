package cluster

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// The allocated ports lie below the range that systems use for outgoing connections (32768 and up
// on Linux), so that no outgoing connection takes a port between the check and its use. Each
// program that runs a lab allocates its ports from blocks of its own, so that programs can run at
// the same time.
const (
	firstPort  = 10000
	blockPorts = 250
	blockCount = 80
)

// processPorts allocates the ports of this program.
var processPorts portAllocator

// portAllocator allocates ports from blocks that no other program uses.
type portAllocator struct {
	mutex sync.Mutex
	// guards listen on the first port of each claimed block until the program exits. They prevent
	// other programs from claiming the block.
	guards   []net.Listener
	nextPort int // the next port to allocate
	blockEnd int // the end of the current block
}

// FreeAddress returns a loopback address whose port is free for UDP and TCP.
func FreeAddress() (string, error) { return processPorts.freeAddress() }

func (p *portAllocator) freeAddress() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		if p.nextPort == p.blockEnd {
			if err := p.claimBlock(); err != nil {
				return "", err
			}
		}
		address := loopbackAddress(p.nextPort)
		p.nextPort++
		if isFree(address) {
			return address, nil
		}
	}
}

// claimBlock claims the next free block and makes it the current one. The process ID determines
// where the search starts.
func (p *portAllocator) claimBlock() error {
	for index := range blockCount {
		first := firstPort + (os.Getpid()+index)%blockCount*blockPorts
		guard, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue // another program uses the block
		}
		p.guards = append(p.guards, guard)
		p.nextPort, p.blockEnd = first+1, first+blockPorts
		return nil
	}
	return errors.Newf("all %d blocks of ports from %d on are in use", blockCount, firstPort)
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree reports whether no process uses an address for TCP or UDP. Other
// programs than labs do not observe the blocks.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	socket, err := net.ListenPacket("udp", address)
	_ = listener.Close() // it was opened only for the check
	if err != nil {
		return false
	}
	_ = socket.Close() // it was opened only for the check
	return true
}
