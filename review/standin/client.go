package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// client is one machine of clients. It opens flows from ports of its own.
type client struct {
	zone   string
	addr   netip.Addr
	port   uint16 // where packets for the client go
	socket *net.UDPConn
	router *router
	rec    *recorder

	mutex    sync.Mutex
	nextPort uint16
	flows    map[uint16]*clientFlow
}

// clientFlow is one flow of a client.
type clientFlow struct {
	client *client
	key    flowKey
	seq    uint32 // of the SYN
	sent   uint32 // bytes of answered requests
	opened time.Time

	mutex sync.Mutex
	echo  uint32
	ack   uint32
	state string // "", "open", or how the flow ended
	// resetBy says who sent a reset: "system" for one with sum 0, else "host".
	resetBy string
	synAck  chan struct{}
	reset   chan struct{}
	answers chan string
	sentBy  netip.Addr // the machine that got the last packet
}

func startClient(rec *recorder, zone string, addr netip.Addr, port uint16, router *router) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	c := &client{zone: zone, addr: addr, port: port, socket: socket, router: router, rec: rec, nextPort: 20000, flows: map[uint16]*clientFlow{}}
	go c.run()
	return c, nil
}

func (c *client) run() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decode(buffer[:size])
		own := p.has(flagRST) && p.sum == 0 && len(p.data) == 0
		if !valid && !own {
			c.rec.log("client %s got a forged packet", c.addr)
			continue
		}
		c.mutex.Lock()
		flow := c.flows[p.dst.port]
		c.mutex.Unlock()
		if flow != nil && flow.key.route == p.src {
			flow.receive(&p, own)
		}
	}
}

// open starts a flow to a route. It sends the SYN and its copies until the flow is open, and
// returns the outcome: "open", "reset" or "silent".
func (c *client) open(route end) (*clientFlow, string) {
	c.mutex.Lock()
	c.nextPort++
	flow := &clientFlow{
		client: c, key: flowKey{client: end{c.addr, c.nextPort}, route: route}, seq: rand.Uint32(), opened: time.Now(),
		synAck: make(chan struct{}), reset: make(chan struct{}), answers: make(chan string, 16),
	}
	c.flows[c.nextPort] = flow
	c.mutex.Unlock()
	sent := time.Now()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		if outcome := flow.wait(time.Until(sent.Add(at))); outcome != "" {
			return flow, outcome
		}
		if copies < 3 {
			flow.send(&packet{flags: flagSYN, seq: flow.seq, ack: uint32(copies)})
		}
	}
	flow.mutex.Lock()
	flow.state = "silent"
	flow.mutex.Unlock()
	return flow, "silent"
}

// wait waits for the outcome of the opening, at most for the given time.
func (f *clientFlow) wait(limit time.Duration) string {
	if limit <= 0 {
		return ""
	}
	select {
	case <-f.synAck:
		return "open"
	case <-f.reset:
		return "reset"
	case <-time.After(limit):
		return ""
	}
}

func (f *clientFlow) receive(p *packet, own bool) {
	f.mutex.Lock()
	if !own {
		f.echo = p.echo
	}
	switch {
	case p.has(flagRST):
		if f.resetBy == "" {
			f.resetBy = "host"
			if own {
				f.resetBy = "system"
			}
			close(f.reset)
		}
		f.mutex.Unlock()
	case p.has(flagSYN):
		if f.state != "" {
			f.mutex.Unlock()
			return
		}
		f.state, f.ack = "open", p.seq+1
		close(f.synAck)
		f.mutex.Unlock()
	case len(p.data) > 0:
		fresh := p.seq == f.ack
		if fresh {
			f.ack += uint32(len(p.data))
		}
		f.mutex.Unlock()
		f.send(&packet{flags: flagACK, seq: f.seq + 1 + f.sent})
		if fresh {
			f.answers <- requestID(p.data)
		}
	default:
		f.mutex.Unlock()
	}
}

// send sends a packet of the flow through the router.
func (f *clientFlow) send(p *packet) {
	p.src, p.dst = f.key.client, f.key.route
	f.mutex.Lock()
	if !p.has(flagSYN) {
		p.echo, p.ack = f.echo, f.ack
	}
	f.mutex.Unlock()
	node := f.client.router.pick(f.client.zone, f.key)
	if node == nil {
		return
	}
	f.mutex.Lock()
	f.sentBy = node.addr
	f.mutex.Unlock()
	f.client.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(node.addr, f.client.port))
}

// request sends one request on an open flow, with copies until it is answered. It returns "served",
// "reset", "silent" or "foreign answer".
func (f *clientFlow) request(id string, limit time.Duration) string {
	data := fmt.Appendf(nil, "POST / HTTP/1.1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	deadline := time.Now().Add(limit)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(&packet{flags: flagACK, seq: f.seq + 1 + f.sent, data: data})
		select {
		case answered := <-f.answers:
			if answered != id {
				return "foreign answer"
			}
			f.sent += uint32(len(data))
			return "served"
		case <-f.reset:
			return "reset"
		case <-time.After(min(wait, time.Until(deadline))):
		}
	}
	return "silent"
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(&packet{flags: flagACK | flagFIN, seq: f.seq + 1 + f.sent})
	time.AfterFunc(time.Second, func() {
		f.client.mutex.Lock()
		delete(f.client.flows, f.key.client.port)
		f.client.mutex.Unlock()
	})
}
