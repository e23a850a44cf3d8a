package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/sim"
	"robinpulley.example/robinpulley/internal/transport"
)

// fleet simulates the gossip of many nodes in virtual time, each node with the byte budget of
// package transport. Simulated probes with digests replace the membership protocol.
type fleet struct {
	t       testing.TB
	queue   sim.Queue[event]
	network sim.Network
	random  *rand.Rand
	nodes   []*node
	byID    map[lb.NodeID]*node
	delays  []time.Duration
	// sentByLine holds the messages in transit by their packed lines, so that the simulation need
	// not decode them.
	sentByLine map[*byte]message.Message
	change     func(*gossip.Settings)
}

type node struct {
	id             lb.NodeID
	zone           lb.Zone
	core           *gossip.Core
	effects        gossip.Effects
	out            *transport.Queue
	flushScheduled bool
	down           bool
	instance       int
	bytes          int // sent bytes, without probes
	inForce        map[lb.Zone]message.InForce
	downgrades     int // number of adoptions of a version lower than an earlier one
	highest        map[lb.ServiceName]lb.Version
	contacts       []gossip.ContactChange
	synced         bool
}

type eventKind uint8

const (
	eventTick eventKind = iota
	eventProbe
	eventFlush
	eventMessage
)

type event struct {
	kind     eventKind
	to       *node
	from     *node
	message  message.Message
	instance int
}

func newFleet(t testing.TB, size, zones int, change func(*gossip.Settings)) *fleet {
	fleet := &fleet{
		t: t, byID: make(map[lb.NodeID]*node), random: sim.NewRandom(5),
		sentByLine: make(map[*byte]message.Message), change: change,
	}
	fleet.network = sim.Network{Within: 250 * time.Microsecond, Between: 1500 * time.Microsecond, Jitter: 200 * time.Microsecond, Loss: 0.01}
	fleet.network.Start(sim.NewRandom(11))
	for index := range size {
		id := lb.NodeID(fmt.Sprintf("node-%04d", index))
		added := &node{id: id, zone: lb.Zone(fmt.Sprintf("zone-%d", index%zones))}
		fleet.nodes = append(fleet.nodes, added)
		fleet.byID[id] = added
	}
	for _, node := range fleet.nodes {
		fleet.start(node)
	}
	return fleet
}

// start starts a new instance of a node, without placements.
func (fleet *fleet) start(node *node) {
	settings := gossip.DefaultSettings(node.id, node.zone, uint64(node.instance))
	if fleet.change != nil {
		fleet.change(&settings)
	}
	core, err := gossip.New(settings)
	if err != nil {
		fleet.t.Fatal(err)
	}
	node.instance++
	node.core, node.down, node.flushScheduled, node.synced = core, false, false, false
	node.out = transport.NewQueue(transport.DefaultBudget())
	node.inForce = make(map[lb.Zone]message.InForce)
	node.highest = make(map[lb.ServiceName]lb.Version)
	fleet.step(node, &gossip.Event{Members: fleet.members()})
	fleet.queue.After(time.Duration(fleet.random.Int64N(int64(gossip.TickInterval))), event{kind: eventTick, to: node, instance: node.instance})
	fleet.queue.After(time.Duration(fleet.random.Int64N(int64(time.Second))), event{kind: eventProbe, to: node, instance: node.instance})
}

func (fleet *fleet) members() []gossip.Member {
	var members []gossip.Member
	for _, node := range fleet.nodes {
		if !node.down {
			members = append(members, gossip.Member{ID: node.id, Zone: node.zone})
		}
	}
	return members
}

// kill stops a node and immediately updates the member lists of the others.
func (fleet *fleet) kill(node *node) {
	node.down = true
	fleet.updateMembers()
}

func (fleet *fleet) updateMembers() {
	members := fleet.members()
	for _, node := range fleet.nodes {
		if !node.down {
			fleet.step(node, &gossip.Event{Members: members})
		}
	}
}

func (fleet *fleet) step(at *node, input *gossip.Event) {
	at.core.Step(fleet.queue.Now(), input, &at.effects)
	for _, document := range at.effects.Adopted {
		if document.Version < at.highest[document.Service] {
			at.downgrades++
		}
		at.highest[document.Service] = max(at.highest[document.Service], document.Version)
	}
	for _, statement := range at.effects.InForce {
		at.inForce[statement.Zone] = statement
	}
	if at.effects.Contact != gossip.ContactUnchanged {
		at.contacts = append(at.contacts, at.effects.Contact)
	}
	at.synced = at.synced || at.effects.Synced
	for _, outgoing := range at.effects.Messages {
		fleet.push(at, outgoing.To, outgoing.Message)
	}
}

// push encodes a message and queues it in the sender's budget queue.
func (fleet *fleet) push(from *node, to lb.NodeID, sent message.Message) {
	line, err := message.Encode(nil, from.id, sent)
	if err != nil {
		fleet.t.Fatal(err)
	}
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), fleet.index(to))
	kind := sent.MessageType()
	packed := transport.Pack(kind, line)
	fleet.sentByLine[&packed[0]] = sent
	if !from.out.Push(transport.Queued{To: address, Type: kind, Class: transport.ClassOf(sent, len(line)), Line: packed}) {
		delete(fleet.sentByLine, &packed[0])
	}
	fleet.flush(from)
}

// index returns the number of a node, which also serves as its port.
func (fleet *fleet) index(id lb.NodeID) uint16 {
	var number uint16
	if _, err := fmt.Sscanf(string(id), "node-%d", &number); err != nil {
		fleet.t.Fatal(err)
	}
	return number
}

// flush sends the queued messages that the budget permits.
func (fleet *fleet) flush(from *node) {
	for {
		item, ready, wait := from.out.Pop(time.Unix(0, int64(fleet.queue.Now())))
		if !ready {
			if wait > 0 && !from.flushScheduled {
				from.flushScheduled = true
				fleet.queue.After(wait, event{kind: eventFlush, to: from, instance: from.instance})
			}
			return
		}
		if item.Class != transport.ClassMembership {
			from.bytes += transport.Cost(len(item.Line))
		}
		fleet.transmit(from, fleet.nodes[item.To.Port()], item.Line)
	}
}

// transmit sends one line over the simulated network. Long lines travel over TCP and are never
// lost.
func (fleet *fleet) transmit(from, to *node, line []byte) {
	arrival := event{kind: eventMessage, to: to, from: from, message: fleet.sentByLine[&line[0]]}
	delete(fleet.sentByLine, &line[0])
	fleet.delays = fleet.network.Delays(from.zone, to.zone, fleet.delays)
	for len(line) > transport.MaxDatagramBytes && len(fleet.delays) == 0 && !fleet.partitioned(from, to) {
		fleet.delays = fleet.network.Delays(from.zone, to.zone, fleet.delays)
	}
	for _, delay := range fleet.delays {
		if len(line) > transport.MaxDatagramBytes {
			delay *= 3
		}
		fleet.queue.After(delay, arrival)
	}
}

// partitioned reports whether two zones are cut off from each other: ten lost messages in a row are
// no random loss.
func (fleet *fleet) partitioned(from, to *node) bool {
	for range 10 {
		if len(fleet.network.Delays(from.zone, to.zone, nil)) > 0 {
			return false
		}
	}
	return true
}

func (fleet *fleet) deliver(next event) {
	at := next.to
	if at.down || (next.kind != eventMessage && next.instance != at.instance) {
		return
	}
	switch next.kind {
	case eventTick:
		fleet.step(at, &gossip.Event{})
		fleet.queue.After(gossip.TickInterval, next)
	case eventProbe:
		for range 3 {
			if to := fleet.nodes[fleet.random.IntN(len(fleet.nodes))]; to != at {
				fleet.push(at, to.id, message.Ping{Sequence: 1, Incarnation: 1_800_000_000_000, Digest: at.core.Digest()})
			}
		}
		fleet.queue.After(time.Second, next)
	case eventFlush:
		at.flushScheduled = false
		fleet.flush(at)
	case eventMessage:
		fleet.step(at, &gossip.Event{Peer: &gossip.PeerEvent{From: next.from.id, Message: next.message}})
		if _, isPing := next.message.(message.Ping); isPing {
			fleet.push(at, next.from.id, message.PingAck{Sequence: 1, Incarnation: 1_800_000_000_000, Digest: at.core.Digest()})
		}
	}
}

func (fleet *fleet) runFor(duration time.Duration) {
	fleet.runUntil(duration, func() bool { return false })
}

// runUntil runs the simulation until the condition holds, which it checks every 10 ms. It returns
// the elapsed time, and false if the time exceeded the limit.
func (fleet *fleet) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	return fleet.queue.RunUntil(limit, fleet.deliver, condition)
}

// publish passes documents to one node, as its watch of the store would.
func (fleet *fleet) publish(at *node, documents ...*lb.Placement) {
	fleet.step(at, &gossip.Event{Placements: documents})
}

// allNodesHave reports whether all running nodes have at least these versions.
func (fleet *fleet) allNodesHave(documents ...*lb.Placement) bool {
	for _, node := range fleet.nodes {
		if node.down {
			continue
		}
		for _, document := range documents {
			if known := node.core.Placement(document.Service); known == nil || known.Version < document.Version {
				return false
			}
		}
	}
	return true
}

func (fleet *fleet) resetBytes() {
	for _, node := range fleet.nodes {
		node.bytes = 0
	}
}

func (fleet *fleet) bytesPerSecond(duration time.Duration) (mean, highest float64) {
	for _, node := range fleet.nodes {
		rate := float64(node.bytes) / duration.Seconds()
		mean += rate / float64(len(fleet.nodes))
		highest = max(highest, rate)
	}
	return mean, highest
}

// target returns the back end with a number.
func target(number int) placement.Target {
	return placement.Target{
		Name:   lb.BackendName(fmt.Sprintf("host-%d", number)),
		Host:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 6081),
		Weight: 100,
	}
}

func targets(first, count int) []placement.Target {
	list := make([]placement.Target, count)
	for index := range list {
		list[index] = target(first + index)
	}
	return list
}

func stamp(version int) placement.WriteStamp {
	return placement.WriteStamp{WriteID: fmt.Sprintf("node-0000/1/%d", version), ConfigRevision: int64(version)}
}

// newDocument returns version 1 of a service with 14 back ends.
func newDocument(t testing.TB, service int) *lb.Placement {
	document, err := placement.New(lb.ServiceName(fmt.Sprintf("service-%04d", service)), stamp(1),
		placement.SetFrontends([]lb.Frontend{{
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(service >> 8), byte(service)}), 443),
			Protocol: lb.TCP,
		}}),
		placement.Prepare(targets(service, 14)), placement.Commit())
	if err != nil {
		t.Fatal(err)
	}
	return document
}

// nextDocument returns the next version of a document, with a committed generation in which one
// back end is replaced.
func nextDocument(t testing.TB, previous *lb.Placement) *lb.Placement {
	document, err := placement.Next(previous, stamp(int(previous.Version)+1),
		placement.Prepare(targets(int(previous.Version), 14)), placement.Commit())
	if err != nil {
		t.Fatal(err)
	}
	return document
}
