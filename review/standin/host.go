package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flowKey names a flow by its two ends.
type flowKey struct{ client, route end }

// hostFlow is a flow at a host.
type hostFlow struct {
	seq      uint32 // the host's own first sequence number
	open     bool
	echo     uint32 // the last echo that the host got on the flow
	expected uint32 // the client's next sequence number
	sent     uint32 // bytes that the host has sent
	ended    bool
}

// opening is a SYN that reached a host.
type opening struct {
	at   time.Time
	host *host
	via  netip.Addr // the machine that it came through
	key  flowKey
}

// host is one host behind the balancers (PROTOCOL.md, "Hosts").
type host struct {
	id, service, zone string
	address           netip.AddrPort
	identity          uint64
	socket            *net.UDPConn
	replyPort         uint16
	work              time.Duration
	rec               *recorder
	onOpening         func(opening)
	onRun             func(h *host, id string, via netip.Addr)
	onOpen            func(h *host, key flowKey)
	onReset           func(h *host, key flowKey, via netip.Addr)

	stall sync.Mutex // locked while the host stalls: it handles what arrived when it goes on

	mutex    sync.Mutex
	flows    map[flowKey]*hostFlow
	draining bool
	gone     bool // its entry is gone
	callSeq  int
}

func startHost(rec *recorder, id, service, zone string, address netip.AddrPort, replyPort uint16, work time.Duration) (*host, error) {
	identity, err := strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	h := &host{
		id: id, service: service, zone: zone, address: address, identity: identity, socket: socket,
		replyPort: replyPort, work: work, rec: rec, flows: map[flowKey]*hostFlow{},
	}
	go h.run()
	return h, nil
}

// entry returns the host's entry in the store.
func (h *host) entry() []byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := "ready"
	if h.draining {
		state = "draining"
	}
	h.callSeq++
	value, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "slots": 3,
		"state": state, "cold_remaining_ms": 0, "call_seq": h.callSeq,
	})
	return value
}

// drain makes the host say that it drains.
func (h *host) drain() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.draining = true
}

// end ends the host: it forgets its flows and answers nothing.
func (h *host) end() { h.socket.Close() }

func (h *host) run() {
	buffer := make([]byte, 4096)
	for {
		size, from, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < 8 {
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != h.identity {
			continue // silent: not the host meant
		}
		p, valid := decode(buffer[8:size])
		if !valid {
			h.rec.log("host %s got a forged packet from %s", h.id, from)
			continue
		}
		h.stall.Lock()
		h.stall.Unlock()
		h.handle(&p, from.Addr().Unmap())
	}
}

func (h *host) handle(p *packet, via netip.Addr) {
	key := flowKey{client: p.src, route: p.dst}
	h.mutex.Lock()
	flow := h.flows[key]
	switch {
	case p.has(flagSYN):
		isCopy := flow != nil && !flow.open
		if !isCopy {
			flow = &hostFlow{seq: rand.Uint32()}
			h.flows[key] = flow
		}
		flow.echo, flow.expected = p.echo, p.seq+1
		reply := &packet{flags: flagSYN | flagACK, echo: flow.echo, seq: flow.seq, ack: p.seq + 1}
		h.mutex.Unlock()
		if h.onOpening != nil {
			h.onOpening(opening{at: time.Now(), host: h, via: via, key: key})
		}
		h.send(key, reply)
		if !isCopy {
			h.resend(key, flow, reply, firstResend, maxResends)
		}
		return
	case flow == nil || !flow.open && p.ack != flow.seq+1:
		h.mutex.Unlock()
		if !p.has(flagRST) {
			h.rec.log("host %s resets %s, which is not open there; the packet came through %s", h.id, flowName(key), via)
			if h.onReset != nil {
				h.onReset(h, key, via)
			}
			h.send(key, &packet{flags: flagRST, echo: p.echo, seq: p.ack})
		}
		return
	}
	opened := !flow.open
	flow.open, flow.echo = true, p.echo
	if opened && h.onOpen != nil {
		h.onOpen(h, key)
	}
	if p.has(flagRST) {
		delete(h.flows, key)
		h.mutex.Unlock()
		return
	}
	if p.has(flagFIN) {
		flow.ended = true
		reply := &packet{flags: flagACK | flagFIN, echo: flow.echo, seq: flow.seq + 1 + flow.sent, ack: p.seq + 1}
		h.mutex.Unlock()
		h.send(key, reply)
		return
	}
	if len(p.data) == 0 || p.seq != flow.expected {
		// An acknowledgement, or a copy of a request that is being answered.
		h.mutex.Unlock()
		return
	}
	flow.expected += uint32(len(p.data))
	h.mutex.Unlock()
	id := requestID(p.data)
	if h.onRun != nil {
		h.onRun(h, id, via)
	}
	h.rec.log("host %s runs request %s via %s", h.id, id, via)
	time.AfterFunc(h.work, func() { h.answer(key, flow, id) })
}

// Resends of a packet that is not acknowledged (PROTOCOL.md, "Flows").
const (
	firstResend = 200 * time.Millisecond
	maxResend   = 1600 * time.Millisecond
	maxResends  = 8
)

// resend sends the answer to a SYN again until the flow is open, with growing waits.
func (h *host) resend(key flowKey, flow *hostFlow, reply *packet, wait time.Duration, left int) {
	time.AfterFunc(wait, func() {
		h.stall.Lock()
		h.stall.Unlock()
		h.mutex.Lock()
		again := !flow.open && h.flows[key] == flow && left > 0
		h.mutex.Unlock()
		if again {
			h.send(key, reply)
			h.resend(key, flow, reply, min(2*wait, maxResend), left-1)
		}
	})
}

// answer sends the answer to a request, and again until the client has acknowledged it.
func (h *host) answer(key flowKey, flow *hostFlow, id string) {
	body := fmt.Sprintf("answer to %s", id)
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s-%s\r\nContent-Length: %d\r\n\r\n%s", id, h.id, id, len(body), body)
	h.mutex.Lock()
	reply := &packet{flags: flagACK, echo: flow.echo, seq: flow.seq + 1 + flow.sent, ack: flow.expected, data: data}
	flow.sent += uint32(len(data))
	h.mutex.Unlock()
	h.send(key, reply)
}

// send sends a packet of a flow straight to its client.
func (h *host) send(key flowKey, p *packet) {
	p.src, p.dst = key.route, key.client
	h.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.client.addr, h.replyPort))
}

func requestID(data []byte) string {
	for line := range strings.SplitSeq(string(data), "\r\n") {
		if id, found := strings.CutPrefix(line, "Request-Id: "); found {
			return id
		}
	}
	return ""
}

func flowName(key flowKey) string {
	return fmt.Sprintf("%s:%d>%s:%d", key.client.addr, key.client.port, key.route.addr, key.route.port)
}
