package platformsim

import (
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// identityBytes is the size of the prefix of each packet to a host, which holds the identity of
// the host that the packet is for.
const identityBytes = 8

// HostCounts holds the counters of a host.
type HostCounts struct {
	Opened      uint64 // flows
	Requests    uint64 // requests, without their copies
	UnknownFlow uint64 // packets of flows that the host does not have, other than openings
	OtherHost   uint64 // packets for another host at the same address
	Forged      uint64 // packets that are malformed or have a wrong checksum
	NoToken     uint64 // openings without a token
	Openings    uint64 // openings received, copies included
}

// HostEvent is an event at a host that is reported to its observer.
type HostEvent struct {
	Host *Host
	Kind HostEventKind
	// Node is the address that the packet was sent from.
	Node netip.AddrPort
	// Frontend is the flow's front end, and Client its client's address.
	Frontend, Client netip.AddrPort
	// Request is the id of the request, for HostRequestRan.
	Request uint64
}

// HostEventKind is the kind of a HostEvent.
type HostEventKind string

// The kinds of host events.
const (
	HostOpening    HostEventKind = "opening" // an opening or a copy of it arrived
	HostRequestRan HostEventKind = "ran"     // a request ran
)

// hostFlow is the state of one flow at its host.
type hostFlow struct {
	initial uint32 // the host's own first sequence number
	open    bool
	answers map[uint32][]byte    // by the sequence number of the request
	readyAt map[uint32]time.Time // when each answer is ready
}

// Host is one back-end host. It receives packets in the format that the platform calls echo.
type Host struct {
	ID            string
	Service       string
	Zone          string
	identity      uint64
	socket        *net.UDPConn
	replyPort     uint16
	responsive    atomic.Bool  // false: the host answers nothing
	coldUntil     atomic.Int64 // Unix time in nanoseconds, until which each packet takes coldDelay
	work          atomic.Int64 // time of a request in a slot, in nanoseconds
	handlingMutex sync.Mutex   // locked while the host handles a packet or is stalled

	mutex       sync.Mutex
	flows       map[flowKey]*hostFlow
	slotsFreeAt []time.Time // by slot
	counts      HostCounts
	observe     func(HostEvent) // nil: no observer
	done        chan struct{}
}

// NewHost starts a host at a loopback address. Port 0 selects a free port. The host sends packets
// for a client to replyPort at the client's address.
func NewHost(id, service, zone string, listen netip.AddrPort, replyPort uint16) (*Host, error) {
	identity, err := strconv.ParseUint(id[len("i-"):], 16, 64)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	host := &Host{
		ID: id, Service: service, Zone: zone, identity: identity, socket: socket, replyPort: replyPort,
		flows: map[flowKey]*hostFlow{}, slotsFreeAt: make([]time.Time, defaultSlots), done: make(chan struct{}),
	}
	host.responsive.Store(true)
	go host.run()
	return host, nil
}

// defaultSlots is the number of requests that a host serves concurrently by default.
const defaultSlots = 2

// SetSlots sets the number of requests that the host serves concurrently. It must be called before
// Announce.
func (host *Host) SetSlots(slots int) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.slotsFreeAt = make([]time.Time, slots)
}

// slots returns the number of requests that the host serves concurrently.
func (host *Host) slots() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return len(host.slotsFreeAt)
}

// SetWork sets the time that each new request occupies one of the host's slots, after it has
// waited for a free slot. With the initial value, 0, requests are answered immediately.
func (host *Host) SetWork(work time.Duration) { host.work.Store(int64(work)) }

// coldDelay is the time that a host takes for each packet after a cold start.
const coldDelay = 5 * time.Millisecond

// StartCold makes the host slow for a duration from now on.
func (host *Host) StartCold(duration time.Duration) {
	host.coldUntil.Store(time.Now().Add(duration).UnixNano())
}

// IsCold reports whether the host is slow at a time because of StartCold.
func (host *Host) IsCold(now time.Time) bool { return now.UnixNano() < host.coldUntil.Load() }

// Address returns the address at which the host receives packets.
func (host *Host) Address() netip.AddrPort { return host.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Announce writes the host's entry, with the given state, into the store.
func (host *Host) Announce(store *Store, state string) {
	store.Put("servers/"+host.ID, map[string]any{
		"service": host.Service, "address": host.Address().String(), "zone": host.Zone,
		"version": "v1", "slots": host.slots(), "state": state, "cold_remaining_ms": max(0, time.Until(time.Unix(0, host.coldUntil.Load())).Milliseconds()), "call_seq": 1,
	})
}

// SetUnresponsive makes the host ignore all packets, or handle them again.
func (host *Host) SetUnresponsive(unresponsive bool) { host.responsive.Store(!unresponsive) }

// Observe sets the function that is called for each event at the host from now on. The function
// must not block and must not call methods of the host.
func (host *Host) Observe(observe func(HostEvent)) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.observe = observe
}

// notify reports an event about a packet to the observer, if there is one.
func (host *Host) notify(kind HostEventKind, packet *wirePacket, request uint64) {
	if host.observe == nil {
		return
	}
	flow := packet.flow()
	host.observe(HostEvent{Host: host, Kind: kind, Node: packet.from, Frontend: flow.frontend, Client: flow.client, Request: request})
}

// Counts returns the host's counters.
func (host *Host) Counts() HostCounts {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.counts
}

// Close closes the host's socket and waits for its goroutine to end.
func (host *Host) Close() {
	_ = host.socket.Close()
	<-host.done
}

func (host *Host) run() {
	defer close(host.done)
	buffer := make([]byte, 2048)
	for {
		size, from, err := host.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if host.IsCold(time.Now()) {
			time.Sleep(coldDelay)
		}
		if size >= identityBytes && host.responsive.Load() {
			host.handlingMutex.Lock()
			host.receive(from, binary.BigEndian.Uint64(buffer), buffer[identityBytes:size])
			host.handlingMutex.Unlock()
		}
	}
}

// Stall stops the host from handling packets until resume is called. Packets that arrive meanwhile
// stay in the socket's buffer, as when a process is paused.
func (host *Host) Stall() (resume func()) {
	host.handlingMutex.Lock()
	return host.handlingMutex.Unlock
}

func (host *Host) receive(from netip.AddrPort, identity uint64, datagram []byte) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	packet, forged, ok := decode(datagram)
	packet.from = from
	switch {
	case !ok || forged:
		host.counts.Forged++
	case identity != 0 && identity != host.identity:
		host.counts.OtherHost++
	case packet.has(flagSYN):
		host.open(&packet)
	default:
		host.receiveMiddle(&packet)
	}
}

func (host *Host) open(packet *wirePacket) {
	host.counts.Openings++
	host.notify(HostOpening, packet, 0)
	if packet.Echo == 0 {
		host.counts.NoToken++
	}
	flow := host.flows[packet.flow()]
	if flow == nil {
		flow = &hostFlow{initial: uint32(host.identity)<<8 | 1, answers: map[uint32][]byte{}, readyAt: map[uint32]time.Time{}}
		host.flows[packet.flow()] = flow
	}
	answer := packet.newAnswer(flagSYN | flagACK)
	answer.Sequence = flow.initial
	answer.Acknowledgment = packet.Sequence + 1
	host.send(packet, &answer)
}

func (host *Host) receiveMiddle(packet *wirePacket) {
	flow := host.flows[packet.flow()]
	if flow == nil || !flow.open && packet.Acknowledgment != flow.initial+1 {
		host.counts.UnknownFlow++
		answer := packet.newAnswer(flagRST)
		answer.Sequence = packet.Acknowledgment
		host.send(packet, &answer)
		return
	}
	if !flow.open {
		flow.open = true
		host.counts.Opened++
	}
	if packet.has(flagFIN) {
		delete(host.flows, packet.flow())
		answer := packet.newAnswer(flagFIN | flagACK)
		host.send(packet, &answer)
		return
	}
	if len(packet.Data) > 0 {
		host.answer(flow, packet)
	}
}

// answer runs a request when it arrives for the first time, and sends the same answer again for
// each copy. Copies that arrive while the request is in a slot are ignored.
func (host *Host) answer(flow *hostFlow, packet *wirePacket) {
	data, known := flow.answers[packet.Sequence]
	if !known {
		host.counts.Requests++
		if len(packet.Data) == requestBytes {
			host.notify(HostRequestRan, packet, binary.BigEndian.Uint64(packet.Data))
		}
		data = append([]byte(host.ID+" "), packet.Data...)
		flow.answers[packet.Sequence] = data
	}
	now := time.Now()
	ready := flow.readyAt[packet.Sequence]
	if !known {
		ready = host.claimSlot(now)
		flow.readyAt[packet.Sequence] = ready
	}
	if ready.After(now) && known {
		return // the request is still in its slot
	}
	answer := packet.newAnswer(flagACK)
	answer.Sequence = packet.Acknowledgment
	answer.Acknowledgment = packet.Sequence + uint32(len(packet.Data))
	answer.Data = data
	if !ready.After(now) {
		host.send(packet, &answer)
		return
	}
	request := *packet
	time.AfterFunc(ready.Sub(now), func() {
		host.handlingMutex.Lock()
		defer host.handlingMutex.Unlock()
		host.send(&request, &answer)
	})
}

// claimSlot assigns a request that arrives now to the slot that is free first and returns the time
// at which the request is done.
func (host *Host) claimSlot(now time.Time) time.Time {
	work := time.Duration(host.work.Load())
	first := 0
	for index := range host.slotsFreeAt {
		if host.slotsFreeAt[index].Before(host.slotsFreeAt[first]) {
			first = index
		}
	}
	begin := now
	if host.slotsFreeAt[first].After(now) {
		begin = host.slotsFreeAt[first]
	}
	host.slotsFreeAt[first] = begin.Add(work)
	return host.slotsFreeAt[first]
}

func (host *Host) send(request, answer *wirePacket) {
	client := netip.AddrPortFrom(netip.AddrFrom4(request.Source), host.replyPort)
	// If the answer is lost, the client sends the request again.
	_, _ = host.socket.WriteToUDPAddrPort(answer.encode(nil), client)
}
