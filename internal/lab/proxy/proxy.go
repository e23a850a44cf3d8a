// Package proxy passes TCP connections on over loopback and harms them on
// demand: delays, resets, silence and cuts of one direction.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how connections are treated.
type Mode string

// The modes.
const (
	Pass    Mode = "pass"
	Delay   Mode = "delay"   // each piece is passed on late
	Reset   Mode = "reset"   // connections are reset, new ones too
	Silence Mode = "silence" // nothing is passed on, in either direction
	OneWay  Mode = "one_way" // what the server says is not passed on
	// SilenceOpen: connections that are open when the mode is set pass nothing on any
	// more, for good and without a reset; those that come later work.
	SilenceOpen Mode = "silence_open"
)

// DelayTime is how late pieces are in the mode Delay.
const DelayTime = 300 * time.Millisecond

// Proxy passes connections on to one server.
type Proxy struct {
	// Address is where it listens.
	Address string

	server   string
	listener *net.TCPListener

	mutex       sync.Mutex
	mode        Mode
	connections map[*net.TCPConn]*pair
	running     sync.WaitGroup
}

// pair is a client's connection and the one to the server for it.
type pair struct{ silent atomic.Bool }

// New starts a proxy of the server at a loopback address. The function ends it.
func New(server string) (*Proxy, func(), error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{
		Address: listener.Addr().String(), server: server, listener: listener,
		mode: Pass, connections: make(map[*net.TCPConn]*pair),
	}
	p.running.Go(p.accept)
	return p, p.end, nil
}

func (p *Proxy) end() {
	_ = p.listener.Close()
	p.SetMode(Reset) // whatever waits is woken
	p.running.Wait()
}

// SetMode treats connections so from now on, those that are open too.
func (p *Proxy) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	for c, both := range p.connections {
		switch mode {
		case Reset:
			reset(c)
		case SilenceOpen:
			both.silent.Store(true)
		}
	}
}

// reset closes the connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		p.running.Go(func() { p.serve(client) })
	}
}

// serve passes one connection on in both directions until either ends.
func (p *Proxy) serve(client *net.TCPConn) {
	defer client.Close()
	both := &pair{}
	if !p.add(client, both) {
		return
	}
	defer p.remove(client)
	dialled, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(client)
		return
	}
	server := dialled.(*net.TCPConn)
	defer server.Close()
	if !p.add(server, both) {
		return
	}
	defer p.remove(server)
	var back sync.WaitGroup
	back.Go(func() {
		p.copy(client, server, both, OneWay)
		client.Close()
	})
	p.copy(server, client, both, Pass)
	server.Close()
	back.Wait()
}

// add remembers a connection; false: it was reset at once.
func (p *Proxy) add(c *net.TCPConn, both *pair) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == Reset {
		reset(c)
		return false
	}
	p.connections[c] = both
	return true
}

func (p *Proxy) remove(c *net.TCPConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

// pieceBytes is how much is passed on at once.
const pieceBytes = 32 << 10

// copy passes one direction on, which is cut in the mode cut besides Silence.
// What comes while it is cut is lost, as is the rest of that connection.
func (p *Proxy) copy(to, from *net.TCPConn, both *pair, cut Mode) {
	buffer := make([]byte, pieceBytes)
	lost := false
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
		lost = lost || both.silent.Load() || mode == Silence || mode == cut && cut != Pass
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}
