package experiment

import (
	"fmt"
	"time"

	"robinpulley.example/robinpulley/internal/baseline"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// node is one simulated balancer.
type node struct {
	id           lb.NodeID
	zone         lb.Zone
	balancer     baseline.Balancer
	alive        bool
	leaving      bool
	pausedUntil  time.Duration // the balancer is paused until this time
	membership   int           // version of the membership that it adopted
	controlBytes uint64        // control bytes sent
	// resyncScheduled is set while a resync of the node is scheduled, because its balancer reported
	// an unverified view.
	resyncScheduled bool
}

// fabricDrainTime is how long a planned stop continues after its handover and fabricUpdateDelay,
// for packets that the fabric sent earlier.
const fabricDrainTime = 2 * time.Second

// addNode adds a balancer, lets the fabric send packets to it and returns its index.
func (run *run) addNode(zone lb.Zone) int32 {
	index := int32(len(run.nodes))
	id := lb.NodeID(fmt.Sprintf("balancer-%d", index))
	settings := core.DefaultSettings(id, zone)
	timings := run.scenario.Timings
	settings.OpeningHold = timings.OpeningHold
	settings.IdleTimeout = timings.IdleTimeout
	settings.PinLifetime = timings.PinLifetime
	run.nodes = append(run.nodes, &node{id: id, zone: zone, alive: true, balancer: run.factory.New(settings)})
	run.nodeByID[id] = index
	run.fabric = append(run.fabric, index)
	return index
}

// startNode passes the current membership and placements to a node and schedules its first tick at
// a random time within a tick interval.
func (run *run) startNode(index int32) {
	run.adoptMembers(index)
	for _, service := range run.services {
		run.adoptPlacement(index, service.document)
	}
	run.queue.After(time.Duration(run.lagRandom.Int64N(int64(core.TickInterval))), event{kind: eventTick, other: index})
}

// step passes run.stepEvent to a node's balancer and sends the messages that the balancer returns.
// The decision on a packet is left in run.effects.
func (run *run) step(index int32) {
	node := run.nodes[index]
	node.balancer.Step(run.queue.Now(), &run.stepEvent, &run.effects)
	run.stepEvent = core.Event{}
	for _, outgoing := range run.effects.Messages {
		run.sendMessage(index, outgoing)
	}
	if run.effects.HandoverDone && node.leaving {
		run.scheduleExit(index)
	}
	if run.effects.Unverified && !node.resyncScheduled {
		node.resyncScheduled = true
		run.schedule(run.randomLag(), func() { run.resync(index) })
	}
}

// resync refreshes a node's unverified view: the node adopts the current membership and placements,
// and regains contact with its peers. A paused node does so when it resumes.
func (run *run) resync(index int32) {
	node := run.nodes[index]
	if !node.alive {
		return
	}
	if node.pausedUntil > run.queue.Now() {
		run.queue.Add(node.pausedUntil, event{kind: eventAction, action: func() { run.resync(index) }})
		return
	}
	run.adoptMembers(index)
	for _, service := range run.services {
		run.adoptPlacement(index, service.document)
	}
	run.stepEvent.Contact = core.ContactRegained
	run.step(index)
	node.resyncScheduled = false
}

// sendMessage sends a control message from one node to another. A Clean message goes to the
// publisher of placements.
func (run *run) sendMessage(from int32, outgoing core.Outgoing) {
	sender := run.nodes[from]
	sender.controlBytes += uint64(encodedSize(sender.id, outgoing.Message))
	if clean, ok := outgoing.Message.(message.Clean); ok {
		run.handleClean(clean)
		return
	}
	to, known := run.nodeByID[outgoing.To]
	if !known {
		return
	}
	peer := &core.PeerEvent{From: sender.id, Message: outgoing.Message}
	run.delays = run.network.Delays(sender.zone, run.nodes[to].zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, event{kind: eventMessageAtNode, other: to, message: peer})
	}
}

// encodedSize returns the size of the message on the wire, in bytes.
func encodedSize(from lb.NodeID, sent message.Message) int {
	line, err := message.Encode(nil, from, sent)
	if err != nil {
		return 0
	}
	return len(line)
}

// acceptsEvent reports whether a node handles the event now. A paused node gets the event again
// when it resumes; a dead node never handles it.
func (run *run) acceptsEvent(index int32, next *event) bool {
	node := run.nodes[index]
	if !node.alive {
		return false
	}
	if node.pausedUntil > run.queue.Now() {
		run.queue.Add(node.pausedUntil, *next)
		return false
	}
	return true
}

// messageAtNode handles a control message that reaches a balancer.
func (run *run) messageAtNode(next *event) {
	if !run.acceptsEvent(next.other, next) {
		return
	}
	run.peerEvent = *next.message
	run.stepEvent.Peer = &run.peerEvent
	run.step(next.other)
}

// tick passes a tick to a balancer and schedules the next one.
func (run *run) tick(next *event) {
	if !run.acceptsEvent(next.other, next) {
		return
	}
	run.stepEvent.Tick = true
	run.step(next.other)
	run.queue.After(core.TickInterval, *next)
}

// packetAtNode handles a packet that reaches a balancer.
func (run *run) packetAtNode(next *event) {
	if !run.acceptsEvent(next.other, next) {
		return
	}
	if next.relay.Hop == lb.HopIngress {
		run.ingressPackets++
	}
	run.packet = core.Packet{
		Key:       run.flows[next.index].key,
		Kind:      next.packetKind,
		OpeningID: next.openingID,
		Relay:     next.relay,
	}
	run.stepEvent.Packet = &run.packet
	run.step(next.other)
	run.applyDecision(next, run.effects.Decision)
}

// applyDecision applies a balancer's decision on a packet.
func (run *run) applyDecision(next *event, decision core.Decision) {
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

// forward sends a packet from a balancer to a host.
func (run *run) forward(next *event, decision core.Decision) {
	host, known := run.hostByAddress[decision.Host]
	if !known {
		return
	}
	run.delays = run.network.Delays(run.nodes[next.other].zone, run.hosts[host].zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, event{kind: eventPacketAtHost, packetKind: next.packetKind, index: next.index, other: host})
	}
}

// relay sends a packet from a balancer to another one.
func (run *run) relay(next *event, decision core.Decision) {
	if next.relay.Hop == lb.HopIngress {
		run.relayedPackets++
	}
	to, known := run.nodeByID[decision.Peer]
	if !known {
		return
	}
	run.delays = run.network.Delays(run.nodes[next.other].zone, run.nodes[to].zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, event{
			kind: eventPacketAtNode, packetKind: next.packetKind, index: next.index, other: to,
			openingID: next.openingID, relay: decision.Relay,
		})
	}
}

// refuse sends a refusal from a balancer to the client.
func (run *run) refuse(next *event, decision core.Decision) {
	flow := &run.flows[next.index]
	answer := answerMayHaveRun
	if decision.Refusal.Verdict == lb.NotRun {
		answer = answerNotRun
		if next.packetKind == core.PacketOpening {
			flow.refusedNotRun = true
			run.countFalseNotRun(flow)
		}
	}
	run.queue.After(run.scenario.Delays.Client, event{
		kind: eventAnswerAtClient, index: next.index, other: int32(answer), retryAfter: decision.Refusal.RetryAfter,
	})
}
