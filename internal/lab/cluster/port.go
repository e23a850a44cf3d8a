package cluster

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports given out lie below those that systems choose for outgoing
// connections (32768 and up on Linux), so that none is taken between the check
// and its use. Programs that run a lab at the same time take blocks of ports of their own.
const (
	firstPort  = 10000
	blockPorts = 250
	blockCount = 80
)

// ports are those of this program.
var ports portBlocks

// portBlocks gives out ports of blocks that no other program has.
type portBlocks struct {
	mutex sync.Mutex
	// guards listen on the first port of each block, as long as this program runs.
	guards []net.Listener
	next   int // the next port of the last block
	end    int // that of the block after it
}

// FreeAddress gives an address on loopback whose port is free for UDP and TCP.
func FreeAddress() (string, error) { return ports.freeAddress() }

func (p *portBlocks) freeAddress() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		if p.next == p.end {
			if err := p.claim(); err != nil {
				return "", err
			}
		}
		address := loopback(p.next)
		p.next++
		if isFree(address) {
			return address, nil
		}
	}
}

// claim takes a further block, the first one by the process id.
func (p *portBlocks) claim() error {
	for index := range blockCount {
		first := firstPort + (os.Getpid()+index)%blockCount*blockPorts
		guard, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue // another program has the block
		}
		p.guards = append(p.guards, guard)
		p.next, p.end = first+1, first+blockPorts
		return nil
	}
	return errors.Newf("all %d blocks of ports from %d on are taken", blockCount, firstPort)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree tells whether nobody uses an address, as a program from outside the labs may.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	socket, err := net.ListenPacket("udp", address)
	_ = listener.Close() // it was open to find out only
	if err != nil {
		return false
	}
	_ = socket.Close() // likewise
	return true
}
