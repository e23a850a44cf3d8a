package member_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/sim"
	"robinpulley.example/robinpulley/internal/transport"
)

// fleet simulates the membership protocol of many nodes in virtual time.
type fleet struct {
	t        testing.TB
	queue    sim.Queue[delivery]
	network  sim.Network
	nodes    []*node
	byID     map[lb.NodeID]*node
	machines []member.Machine
	delays   []time.Duration
	line     []byte
	change   func(*member.Settings)
	// compress counts messages by their compressed size. Compression takes most of the time of a
	// simulation; without it, messages count with their uncompressed size.
	compress bool
}

type node struct {
	machine  member.Machine
	core     *member.Core
	effects  member.Effects
	down     bool
	paused   bool
	backlog  []delivery // deliveries that arrive while the node is paused
	bytes    int
	largest  int
	rejoined int
	view     map[lb.NodeID]member.Member
	instance int // number of the current instance; ticks of earlier instances are ignored
}

// delivery is a message, or a tick if message is nil.
type delivery struct {
	to, from *node
	message  message.Message
	instance int
}

const clockStart = 1_800_000_000_000 // in milliseconds; the base of all incarnations

func newFleet(t testing.TB, size, zones int, change func(*member.Settings)) *fleet {
	fleet := &fleet{t: t, byID: make(map[lb.NodeID]*node), change: change}
	fleet.network = sim.Network{Within: 250 * time.Microsecond, Between: 1500 * time.Microsecond, Jitter: 200 * time.Microsecond, Loss: 0.01}
	fleet.network.Start(sim.NewRandom(11))
	for index := range size {
		fleet.machines = append(fleet.machines, member.Machine{
			ID:      lb.NodeID(fmt.Sprintf("node-%04d", index)),
			Zone:    lb.Zone(fmt.Sprintf("zone-%d", index%zones)),
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 4700),
			Data:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 6081),
		})
	}
	for _, machine := range fleet.machines {
		fleet.add(machine, fleet.machines)
	}
	return fleet
}

// add starts a node, or a new instance of it.
func (fleet *fleet) add(machine member.Machine, listed []member.Machine) *node {
	added := fleet.byID[machine.ID]
	if added == nil {
		added = &node{machine: machine}
		fleet.byID[machine.ID] = added
		fleet.nodes = append(fleet.nodes, added)
	}
	added.down, added.instance = false, added.instance+1
	incarnation := uint64(clockStart + fleet.queue.Now().Milliseconds())
	settings := member.DefaultSettings(machine, incarnation, uint64(added.instance))
	if fleet.change != nil {
		fleet.change(&settings)
	}
	core, err := member.New(settings)
	if err != nil {
		fleet.t.Fatal(err)
	}
	added.core = core
	fleet.step(added, &member.Event{Machines: listed})
	fleet.queue.After(0, delivery{to: added, instance: added.instance})
	return added
}

func (fleet *fleet) step(at *node, event *member.Event) {
	at.core.Step(fleet.queue.Now(), event, &at.effects)
	if at.effects.Changed {
		at.view = make(map[lb.NodeID]member.Member)
		for _, member := range at.core.Members(nil) {
			at.view[member.ID] = member
		}
	}
	if at.effects.Rejoined {
		at.rejoined++
	}
	for _, outgoing := range at.effects.Messages {
		fleet.send(at, fleet.byID[outgoing.To], outgoing.Message)
	}
	for _, batch := range at.effects.Batches {
		for _, address := range batch.To {
			fleet.send(at, fleet.nodeAt(address), batch.Message)
		}
	}
}

// nodeAt returns the node with a control address, or nil.
func (fleet *fleet) nodeAt(address netip.AddrPort) *node {
	for _, candidate := range fleet.byID {
		if candidate.machine.Control == address {
			return candidate
		}
	}
	return nil
}

func (fleet *fleet) send(at, to *node, sent message.Message) {
	line, err := message.Encode(fleet.line[:0], at.machine.ID, sent)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.line = line
	if fleet.compress {
		line = transport.Pack(sent.MessageType(), line)
	}
	at.bytes += transport.Cost(len(line))
	if sent.MessageType() != message.TypeMembers {
		at.largest = max(at.largest, len(line))
	}
	if to == nil {
		return
	}
	fleet.delays = fleet.network.Delays(at.machine.Zone, to.machine.Zone, fleet.delays)
	for _, delay := range fleet.delays {
		fleet.queue.After(delay, delivery{to: to, from: at, message: sent})
	}
}

func (fleet *fleet) deliver(next delivery) {
	at := next.to
	switch {
	case at.down || (next.message == nil && next.instance != at.instance):
	case next.message == nil && at.paused:
		at.backlog = append(at.backlog, next)
	case at.paused:
		at.backlog = append(at.backlog, next)
	case next.message == nil:
		fleet.step(at, &member.Event{})
		fleet.queue.After(member.TickInterval, next)
	default:
		fleet.step(at, &member.Event{Peer: &member.PeerEvent{
			From:    next.from.machine.ID,
			Address: next.from.machine.Control,
			Message: next.message,
		}})
	}
}

// resume resumes a paused node and delivers its backlog.
func (fleet *fleet) resume(at *node) {
	at.paused = false
	for _, next := range at.backlog {
		fleet.queue.After(0, next)
	}
	at.backlog = nil
}

// runFor runs the simulation for a duration.
func (fleet *fleet) runFor(duration time.Duration) {
	until := fleet.queue.Now() + duration
	fleet.runUntil(duration, func() bool { return fleet.queue.Now() >= until })
}

// runUntil runs the simulation until the condition holds, which it checks every 10 ms. It returns
// the elapsed time, and false if the time exceeded the limit.
func (fleet *fleet) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	return fleet.queue.RunUntil(limit, fleet.deliver, condition)
}

// viewedBy reports whether the views of all other running nodes that viewers selects contain the
// node or, if present is false, do not contain it.
func (fleet *fleet) viewedBy(id lb.NodeID, present bool, viewers func(*node) bool) bool {
	for _, viewer := range fleet.nodes {
		if viewer.down || viewer.paused || viewer.machine.ID == id || (viewers != nil && !viewers(viewer)) {
			continue
		}
		if _, found := viewer.view[id]; found != present {
			return false
		}
	}
	return true
}

// agreed reports whether every running node views exactly the running nodes as alive.
func (fleet *fleet) agreed() bool {
	running := 0
	for _, node := range fleet.nodes {
		if !node.down {
			running++
		}
	}
	for _, node := range fleet.nodes {
		if node.down {
			continue
		}
		if len(node.view) != running {
			return false
		}
		for id := range node.view {
			if fleet.byID[id].down {
				return false
			}
		}
	}
	return true
}

// resetBytes starts a new measurement of the traffic.
func (fleet *fleet) resetBytes() {
	for _, node := range fleet.nodes {
		node.bytes = 0
	}
}

// bytesPerSecond returns the mean and the maximum rate of the running nodes.
func (fleet *fleet) bytesPerSecond(duration time.Duration) (mean, highest float64) {
	running := 0.0
	for _, node := range fleet.nodes {
		if node.down {
			continue
		}
		running++
		rate := float64(node.bytes) / duration.Seconds()
		mean += rate
		highest = max(highest, rate)
	}
	return mean / running, highest
}
