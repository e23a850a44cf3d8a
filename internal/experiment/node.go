package experiment

import (
	"fmt"
	"time"

	"robinpulley.example/robinpulley/internal/baseline"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// node is one balancer of the run.
type node struct {
	id       lb.NodeID
	zone     lb.Zone
	balancer baseline.Balancer
	alive    bool
	leaving  bool
	frozen   time.Duration // until when it is paused
	view     int           // version of the membership it has
	bytes    uint64        // control bytes sent
	// resyncing: it distrusts its view and is being given what its peers have.
	resyncing bool
}

// fabricDrain is how long a planned stop waits, after its hand-over, for
// packets that the fabric still sends.
const fabricDrain = 2 * time.Second

func (run *run) addNode(zone lb.Zone) int32 {
	index := int32(len(run.nodes))
	id := lb.NodeID(fmt.Sprintf("balancer-%d", index))
	settings := core.DefaultSettings(id, zone)
	timings := run.scenario.Timings
	settings.OpeningHold = timings.OpeningHold
	settings.IdleTimeout = timings.IdleTimeout
	settings.PinLifetime = timings.PinLifetime
	run.nodes = append(run.nodes, &node{id: id, zone: zone, alive: true, balancer: run.factory.New(settings)})
	run.byID[id] = index
	run.fabric = append(run.fabric, index)
	return index
}

// startNode gives a node its first members and placements, and its ticks.
func (run *run) startNode(index int32) {
	run.adoptMembers(index)
	for _, service := range run.services {
		run.adopt(index, service.document)
	}
	run.queue.After(time.Duration(run.views.Int64N(int64(core.TickInterval))), event{kind: eventTick, other: index})
}

// step drives one node and carries out its messages. The packet's decision stays in run.effects.
func (run *run) step(index int32) {
	node := run.nodes[index]
	node.balancer.Step(run.queue.Now(), &run.stepEvent, &run.effects)
	run.stepEvent = core.Event{}
	for _, outgoing := range run.effects.Messages {
		run.sendMessage(index, outgoing)
	}
	if run.effects.HandoverDone && node.leaving {
		run.leaveLater(index)
	}
	if run.effects.Unverified && !node.resyncing {
		node.resyncing = true
		run.act(run.lag(), func() { run.resync(index) })
	}
}

// resync gives a node that distrusts its view what its peers have.
func (run *run) resync(index int32) {
	node := run.nodes[index]
	if !node.alive {
		return
	}
	if node.frozen > run.queue.Now() {
		run.queue.Add(node.frozen, event{kind: eventAction, action: func() { run.resync(index) }})
		return
	}
	run.adoptMembers(index)
	for _, service := range run.services {
		run.adopt(index, service.document)
	}
	run.stepEvent.Contact = core.ContactRegained
	run.step(index)
	node.resyncing = false
}

func (run *run) sendMessage(from int32, outgoing core.Outgoing) {
	sender := run.nodes[from]
	sender.bytes += uint64(encodedSize(sender.id, outgoing.Message))
	if clean, ok := outgoing.Message.(message.Clean); ok {
		run.cleaned(clean)
		return
	}
	to, known := run.byID[outgoing.To]
	if !known {
		return
	}
	peer := &core.PeerEvent{From: sender.id, Message: outgoing.Message}
	run.delays = run.network.Delays(sender.zone, run.nodes[to].zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, event{kind: eventMessage, other: to, message: peer})
	}
}

// encodedSize is the message's size on the wire, in bytes.
func encodedSize(from lb.NodeID, sent message.Message) int {
	line, err := message.Encode(nil, from, sent)
	if err != nil {
		return 0
	}
	return len(line)
}

// ready says whether a node takes the event now; a paused node takes it when it goes on.
func (run *run) ready(index int32, next *event) bool {
	node := run.nodes[index]
	if !node.alive {
		return false
	}
	if node.frozen > run.queue.Now() {
		run.queue.Add(node.frozen, *next)
		return false
	}
	return true
}

func (run *run) messageAtNode(next *event) {
	if !run.ready(next.other, next) {
		return
	}
	run.peerEvent = *next.message
	run.stepEvent.Peer = &run.peerEvent
	run.step(next.other)
}

func (run *run) tick(next *event) {
	if !run.ready(next.other, next) {
		return
	}
	run.stepEvent.Tick = true
	run.step(next.other)
	run.queue.After(core.TickInterval, *next)
}

// packetAtNode handles a packet that reached a balancer.
func (run *run) packetAtNode(next *event) {
	if !run.ready(next.other, next) {
		return
	}
	if next.relay.Hop == lb.HopIngress {
		run.ingress++
	}
	run.packet = core.Packet{
		Key:       run.flows[next.index].key,
		Kind:      next.packet,
		OpeningID: next.opening,
		Relay:     next.relay,
	}
	run.stepEvent.Packet = &run.packet
	run.step(next.other)
	run.carryOut(next, run.effects.Decision)
}

func (run *run) carryOut(next *event, decision core.Decision) {
	switch decision.Action {
	case core.ActionForward:
		run.forward(next, decision)
	case core.ActionRelay:
		run.relay(next, decision)
	case core.ActionRefuse:
		run.refuse(next, decision)
	case core.ActionDrop:
	}
}

func (run *run) forward(next *event, decision core.Decision) {
	host, known := run.byHost[decision.Host]
	if !known {
		return
	}
	run.delays = run.network.Delays(run.nodes[next.other].zone, run.hosts[host].zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, event{kind: eventHost, packet: next.packet, index: next.index, other: host})
	}
}

func (run *run) relay(next *event, decision core.Decision) {
	if next.relay.Hop == lb.HopIngress {
		run.relayed++
	}
	to, known := run.byID[decision.Peer]
	if !known {
		return
	}
	run.delays = run.network.Delays(run.nodes[next.other].zone, run.nodes[to].zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, event{
			kind: eventPacket, packet: next.packet, index: next.index, other: to,
			opening: next.opening, relay: decision.Relay,
		})
	}
}

func (run *run) refuse(next *event, decision core.Decision) {
	flow := &run.flows[next.index]
	answer := answerMayHaveRun
	if decision.Refusal.Verdict == lb.NotRun {
		answer = answerNotRun
		if next.packet == core.PacketOpening {
			flow.notRun = true
			run.checkNotRun(flow)
		}
	}
	run.queue.After(run.scenario.Delays.Client, event{
		kind: eventAnswer, index: next.index, other: int32(answer), retryAfter: decision.Refusal.RetryAfter,
	})
}
