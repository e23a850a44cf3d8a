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

// identityBytes stand before a packet for a host: which host is meant.
const identityBytes = 8

// HostCounts is what a host has seen.
type HostCounts struct {
	Opened   uint64 // flows
	Ran      uint64 // requests, each once
	Unknown  uint64 // later packets of flows that it does not hold
	NotMeant uint64 // packets for another host at this address
	Forged   uint64 // packets that their sender did not write that way
	NoToken  uint64 // openings without a token
	Openings uint64 // openings received, copies included
}

// HostEvent is something that a host has seen, for those who check it.
type HostEvent struct {
	Host *Host
	Kind HostEventKind
	// Node is where the packet came from.
	Node netip.AddrPort
	// Front and Caller are the two ends of the flow.
	Front, Caller netip.AddrPort
	// Request is the id of a request that ran.
	Request uint64
}

// HostEventKind is the kind of a HostEvent.
type HostEventKind string

// The kinds.
const (
	HostOpening HostEventKind = "opening" // a packet that opens a flow, or a copy of it
	HostRan     HostEventKind = "ran"     // a request ran
)

// hostFlow is one flow at its host.
type hostFlow struct {
	initial uint32 // the host's own first sequence number
	open    bool
	answers map[uint32][]byte    // answers, by the sequence number of the request
	ready   map[uint32]time.Time // when each is ready
}

// Host is one host that takes packets in the form that the platform calls echo.
type Host struct {
	ID       string
	Service  string
	Zone     string
	identity uint64
	socket   *net.UDPConn
	reply    uint16
	answers  atomic.Bool  // false: it has fallen silent
	cold     atomic.Int64 // nanoseconds since 1970; until then it takes coldAnswer for each packet
	work     atomic.Int64 // nanoseconds that a request takes in one of its slots
	running  sync.Mutex   // held while the host handles a packet, or is stalled

	mutex   sync.Mutex
	flows   map[flowKey]*hostFlow
	busy    []time.Time // when each slot is free again
	counts  HostCounts
	observe func(HostEvent) // nil: nobody
	ended   chan struct{}
}

// NewHost starts a host at a loopback address, port 0 for a free one. Packets
// for callers go to replyPort at the caller's address.
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
		ID: id, Service: service, Zone: zone, identity: identity, socket: socket, reply: replyPort,
		flows: map[flowKey]*hostFlow{}, busy: make([]time.Time, defaultSlots), ended: make(chan struct{}),
	}
	host.answers.Store(true)
	go host.run()
	return host, nil
}

// defaultSlots is how many requests a host works on at once.
const defaultSlots = 2

// SetSlots has the host work on so many requests at once, before it announces itself.
func (host *Host) SetSlots(slots int) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.busy = make([]time.Time, slots)
}

// slots is how many requests the host works on at once.
func (host *Host) slots() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return len(host.busy)
}

// SetWork has each new request take a time in one of the host's slots, and wait for one
// first; 0, as at the start: it is answered at once.
func (host *Host) SetWork(work time.Duration) { host.work.Store(int64(work)) }

// coldAnswer is what a host that has just started takes for each packet.
const coldAnswer = 5 * time.Millisecond

// StartCold has the host be slow for a while from now on.
func (host *Host) StartCold(duration time.Duration) {
	host.cold.Store(time.Now().Add(duration).UnixNano())
}

// Cold tells whether the host is slow at a time.
func (host *Host) Cold(now time.Time) bool { return now.UnixNano() < host.cold.Load() }

// Address is where the host takes packets.
func (host *Host) Address() netip.AddrPort { return host.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Announce writes the host's entry.
func (host *Host) Announce(store *Store, state string) {
	store.Put("servers/"+host.ID, map[string]any{
		"service": host.Service, "address": host.Address().String(), "zone": host.Zone,
		"version": "v1", "slots": host.slots(), "state": state, "cold_remaining_ms": max(0, time.Until(time.Unix(0, host.cold.Load())).Milliseconds()), "call_seq": 1,
	})
}

// Silence has the host answer nothing, or answer again.
func (host *Host) Silence(silent bool) { host.answers.Store(!silent) }

// Observe has a function called for all that the host sees from now on. It must
// not block, nor call the host.
func (host *Host) Observe(observe func(HostEvent)) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.observe = observe
}

// tell tells the observer of a packet.
func (host *Host) tell(kind HostEventKind, packet *head, request uint64) {
	if host.observe == nil {
		return
	}
	flow := packet.flow()
	host.observe(HostEvent{Host: host, Kind: kind, Node: packet.from, Front: flow.front, Caller: flow.caller, Request: request})
}

// Counts gives what the host has seen.
func (host *Host) Counts() HostCounts {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.counts
}

// Close ends the host.
func (host *Host) Close() {
	_ = host.socket.Close()
	<-host.ended
}

func (host *Host) run() {
	defer close(host.ended)
	buffer := make([]byte, 2048)
	for {
		size, from, err := host.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if host.Cold(time.Now()) {
			time.Sleep(coldAnswer)
		}
		if size >= identityBytes && host.answers.Load() {
			host.running.Lock()
			host.take(from, binary.BigEndian.Uint64(buffer), buffer[identityBytes:size])
			host.running.Unlock()
		}
	}
}

// Stall has the host handle nothing until resume is called. What comes meanwhile waits in
// its socket, as while a process is paused.
func (host *Host) Stall() (resume func()) {
	host.running.Lock()
	return host.running.Unlock
}

func (host *Host) take(from netip.AddrPort, meant uint64, datagram []byte) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	packet, forged, ok := decode(datagram)
	packet.from = from
	switch {
	case !ok || forged:
		host.counts.Forged++
	case meant != 0 && meant != host.identity:
		host.counts.NotMeant++
	case packet.has(flagSYN):
		host.open(&packet)
	default:
		host.later(&packet)
	}
}

func (host *Host) open(packet *head) {
	host.counts.Openings++
	host.tell(HostOpening, packet, 0)
	if packet.Echo == 0 {
		host.counts.NoToken++
	}
	flow := host.flows[packet.flow()]
	if flow == nil {
		flow = &hostFlow{initial: uint32(host.identity)<<8 | 1, answers: map[uint32][]byte{}, ready: map[uint32]time.Time{}}
		host.flows[packet.flow()] = flow
	}
	answer := packet.answer(flagSYN | flagACK)
	answer.Sequence = flow.initial
	answer.Acknowledgment = packet.Sequence + 1
	host.send(packet, &answer)
}

func (host *Host) later(packet *head) {
	flow := host.flows[packet.flow()]
	if flow == nil || !flow.open && packet.Acknowledgment != flow.initial+1 {
		host.counts.Unknown++
		answer := packet.answer(flagRST)
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
		answer := packet.answer(flagFIN | flagACK)
		host.send(packet, &answer)
		return
	}
	if len(packet.Data) > 0 {
		host.answer(flow, packet)
	}
}

// answer runs a request once and answers it as often as it comes.
func (host *Host) answer(flow *hostFlow, packet *head) {
	kept, known := flow.answers[packet.Sequence]
	if !known {
		host.counts.Ran++
		if len(packet.Data) == requestBytes {
			host.tell(HostRan, packet, binary.BigEndian.Uint64(packet.Data))
		}
		kept = append([]byte(host.ID+" "), packet.Data...)
		flow.answers[packet.Sequence] = kept
	}
	now := time.Now()
	ready := flow.ready[packet.Sequence]
	if !known {
		ready = host.takeSlot(now)
		flow.ready[packet.Sequence] = ready
	}
	if ready.After(now) && known {
		return // it is being worked on
	}
	answer := packet.answer(flagACK)
	answer.Sequence = packet.Acknowledgment
	answer.Acknowledgment = packet.Sequence + uint32(len(packet.Data))
	answer.Data = kept
	if !ready.After(now) {
		host.send(packet, &answer)
		return
	}
	about := *packet
	time.AfterFunc(ready.Sub(now), func() {
		host.running.Lock()
		defer host.running.Unlock()
		host.send(&about, &answer)
	})
}

// takeSlot gives when a request that comes now is done.
func (host *Host) takeSlot(now time.Time) time.Time {
	work := time.Duration(host.work.Load())
	first := 0
	for index := range host.busy {
		if host.busy[index].Before(host.busy[first]) {
			first = index
		}
	}
	begin := now
	if host.busy[first].After(now) {
		begin = host.busy[first]
	}
	host.busy[first] = begin.Add(work)
	return host.busy[first]
}

func (host *Host) send(about, answer *head) {
	caller := netip.AddrPortFrom(netip.AddrFrom4(about.Source), host.reply)
	_, _ = host.socket.WriteToUDPAddrPort(answer.encode(nil), caller) // a lost answer is asked for again
}
