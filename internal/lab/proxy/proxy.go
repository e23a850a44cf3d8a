// Package proxy implements a TCP proxy on loopback that injects network faults: delay, resets, and
// data loss in one or both directions.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the treatment of connections.
type Mode string

// The modes.
const (
	Forward        Mode = "pass"
	Delay          Mode = "delay"   // data is forwarded after DelayTime
	Reset          Mode = "reset"   // open and new connections are reset
	DropAll        Mode = "silence" // data is dropped in both directions
	DropFromServer Mode = "one_way" // data from the server is dropped
	// DropOpenConnections permanently drops all data, without a reset, on connections that are open
	// when the mode is set. New connections work.
	DropOpenConnections Mode = "silence_open"
)

// DelayTime is the additional latency in the mode Delay.
const DelayTime = 300 * time.Millisecond

// Proxy forwards connections to one server.
type Proxy struct {
	// Address is the address on which the proxy listens.
	Address string

	server   string
	listener *net.TCPListener

	mutex       sync.Mutex
	mode        Mode
	connections map[*net.TCPConn]*connectionPair
	goroutines  sync.WaitGroup
}

// connectionPair is the state that a client's connection shares with its connection to the server.
type connectionPair struct{ dropping atomic.Bool }

// New starts a proxy for a server on a loopback address. The returned function stops the proxy.
func New(server string) (*Proxy, func(), error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{
		Address: listener.Addr().String(), server: server, listener: listener,
		mode: Forward, connections: make(map[*net.TCPConn]*connectionPair),
	}
	p.goroutines.Go(p.accept)
	return p, p.close, nil
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.SetMode(Reset) // unblocks all reads and writes
	p.goroutines.Wait()
}

// SetMode sets the mode for open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	for c, pair := range p.connections {
		switch mode {
		case Reset:
			resetConnection(c)
		case DropOpenConnections:
			pair.dropping.Store(true)
		}
	}
}

// resetConnection closes a connection with a reset.
func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(client) })
	}
}

// serve forwards the data of one client connection in both directions until either end closes.
func (p *Proxy) serve(client *net.TCPConn) {
	defer client.Close()
	pair := &connectionPair{}
	if !p.track(client, pair) {
		return
	}
	defer p.untrack(client)
	dialed, err := net.Dial("tcp", p.server)
	if err != nil {
		resetConnection(client)
		return
	}
	server := dialed.(*net.TCPConn)
	defer server.Close()
	if !p.track(server, pair) {
		return
	}
	defer p.untrack(server)
	var toClient sync.WaitGroup
	toClient.Go(func() {
		p.forward(client, server, pair, DropFromServer)
		client.Close()
	})
	p.forward(server, client, pair, Forward)
	server.Close()
	toClient.Wait()
}

// track adds an open connection. In the mode Reset, it resets the connection and returns false.
func (p *Proxy) track(c *net.TCPConn, pair *connectionPair) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == Reset {
		resetConnection(c)
		return false
	}
	p.connections[c] = pair
	return true
}

func (p *Proxy) untrack(c *net.TCPConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

// bufferBytes is the maximum size of the data that is forwarded at once.
const bufferBytes = 32 << 10

// forward forwards the data of one direction. It drops data in the mode DropAll and in dropMode; a
// dropMode of Forward stands for no additional mode. After the first drop, forward also drops all
// later data of the connection in this direction.
func (p *Proxy) forward(to, from *net.TCPConn, pair *connectionPair, dropMode Mode) {
	buffer := make([]byte, bufferBytes)
	dropping := false
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mutex.Lock()
		mode := p.mode
		p.mutex.Unlock()
		if mode == Delay {
			time.Sleep(DelayTime)
		}
		dropping = dropping || pair.dropping.Load() || mode == DropAll || mode == dropMode && dropMode != Forward
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}
