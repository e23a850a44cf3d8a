package member

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// probe is a pending probe of a node.
type probe struct {
	sequence     uint64
	target       lb.NodeID
	zone         *zone
	started      time.Duration
	indirectSent bool // other nodes have been requested to probe
	followUp     bool // sent to distinguish a dead node from an unreachable zone
	done         bool
}

// forwardedProbe is a probe on behalf of another node.
type forwardedProbe struct {
	sequence       uint64
	origin         Machine
	originSequence uint64
	expires        time.Duration
}

// maxForwarded is the maximum number of pending probes on behalf of other nodes.
const maxForwarded = 64

// startProbes sends the probes of one interval: to the successor on the ring, to a random node of
// the local zone, and to a node of another zone, with the zones in turn.
func (core *Core) startProbes(effects *Effects) {
	first := core.ringSuccessor()
	if first != nil {
		core.startProbe(first, false, effects)
	}
	if len(core.ownZone.live) > 1 {
		core.startProbe(core.randomOf(core.ownZone), false, effects)
	}
	if other := core.nextOtherZone(); other != nil {
		core.startProbe(core.randomOf(other), false, effects)
	}
}

// ringSuccessor returns the next node of the local zone, or of all zones if this node is alone in
// its zone.
func (core *Core) ringSuccessor() *entry {
	self := core.settings.Self.ID.Hash()
	if next := core.ownZone.successor(self); next != nil {
		return next
	}
	var best *entry
	for _, zone := range core.zones {
		next := zone.successor(self)
		if next != nil && (best == nil || next.hash-self < best.hash-self) {
			best = next
		}
	}
	return best
}

func (core *Core) randomOf(zone *zone) *entry {
	return zone.live[core.random.IntN(len(zone.live))]
}

// nextOtherZone returns the next zone with live nodes in round-robin order, including unreachable
// zones, or nil if there is no other zone.
func (core *Core) nextOtherZone() *zone {
	for range core.zones {
		core.zoneIndex = (core.zoneIndex + 1) % len(core.zones)
		candidate := core.zones[core.zoneIndex]
		if candidate != core.ownZone && len(candidate.live) > 0 {
			return candidate
		}
	}
	return nil
}

func (core *Core) startProbe(target *entry, followUp bool, effects *Effects) {
	pending := slices.ContainsFunc(core.probes, func(probe probe) bool {
		return probe.target == target.machine.ID && !probe.done
	})
	if pending {
		return
	}
	core.sequence++
	core.probes = append(core.probes, probe{
		sequence: core.sequence,
		target:   target.machine.ID,
		zone:     target.zone,
		started:  core.now,
		followUp: followUp,
	})
	core.ping(&target.machine, core.sequence, effects)
}

// ping sends a Ping with the updates for the target.
func (core *Core) ping(target *Machine, sequence uint64, effects *Effects) {
	core.send(effects, target, message.Ping{
		Sequence:    sequence,
		Incarnation: core.incarnation,
		Updates:     core.updatesFor(target.ID),
		Digest:      core.digest,
		View:        core.viewHash,
	})
}

// advanceProbes sends indirect probes if a direct answer is overdue, and lets a probe fail if the
// indirect answers are overdue as well.
func (core *Core) advanceProbes(effects *Effects) {
	for index := 0; index < len(core.probes); index++ { // probeFailed may append
		current := &core.probes[index]
		age := core.now - current.started
		switch {
		case current.done:
		case age >= core.settings.ProbeTimeout+core.settings.IndirectTimeout:
			current.done = true
			failed := *current
			core.probeFailed(&failed, effects)
		case age >= core.settings.ProbeTimeout && !current.indirectSent:
			current.indirectSent = true
			core.sendIndirectProbes(current.target, current.sequence, effects)
		}
	}
	core.probes = slices.DeleteFunc(core.probes, func(probe probe) bool { return probe.done })
	core.forwarded = slices.DeleteFunc(core.forwarded, func(forwarded forwardedProbe) bool {
		return core.now >= forwarded.expires
	})
}

// sendIndirectProbes requests that a few nodes probe the target: one of the target's zone, one of
// the local zone, and others of other zones, or of any zone if there are no others.
func (core *Core) sendIndirectProbes(id lb.NodeID, sequence uint64, effects *Effects) {
	target := core.entries[id]
	if target == nil {
		return
	}
	used := []*entry{target}
	for attempt := range 2 * core.settings.IndirectProbes {
		var helper *entry
		switch attempt {
		case 0:
			helper = core.randomIn(target.zone)
		case 1:
			helper = core.randomIn(core.ownZone)
		default:
			helper = core.randomIn(core.relayZone(target.zone))
		}
		if helper == nil || slices.Contains(used, helper) {
			continue
		}
		used = append(used, helper)
		core.send(effects, &helper.machine, message.PingReq{Sequence: sequence, Target: id, Updates: core.updatesFor(helper.machine.ID)})
		if len(used) > core.settings.IndirectProbes {
			return
		}
	}
}

// relayZone returns a random zone with live nodes that is neither the local nor the other zone, or
// any zone if there is none.
func (core *Core) relayZone(other *zone) *zone {
	offset := core.random.IntN(len(core.zones))
	for index := range core.zones {
		candidate := core.zones[(offset+index)%len(core.zones)]
		if candidate != core.ownZone && candidate != other && len(candidate.live) > 0 {
			return candidate
		}
	}
	return core.zones[offset]
}

// randomIn returns a random live node of a reachable zone, or nil if there is none.
func (core *Core) randomIn(zone *zone) *entry {
	if zone.unreachable || len(zone.live) == 0 {
		return nil
	}
	return core.randomOf(zone)
}

// receive handles one message.
func (core *Core) receive(event *PeerEvent, effects *Effects) {
	if core.stopped || event.From == core.settings.Self.ID {
		return
	}
	switch received := event.Message.(type) {
	case message.Ping:
		core.applyAll(received.Updates)
		core.recordAlive(event.From, received.Incarnation)
		core.compareView(event, received.View, effects)
		core.answer(event, &received, effects)
	case message.PingAck:
		core.applyAll(received.Updates)
		core.recordAlive(event.From, received.Incarnation)
		core.compareView(event, received.View, effects)
		core.acknowledge(event.From, received.Sequence, effects)
	case message.PingReq:
		core.applyAll(received.Updates)
		core.recordAlive(event.From, 0)
		core.forward(event, &received, effects)
	case message.Members:
		core.recordAlive(event.From, 0)
		core.handleMembers(&received, effects)
	}
}

// sender returns the machine to which answers to a message are sent, and false if its address is
// unknown.
func (core *Core) sender(event *PeerEvent) (Machine, bool) {
	address := event.Address
	if !address.IsValid() {
		address, _ = core.Resolve(event.From)
	}
	return Machine{ID: event.From, Control: address}, address.IsValid()
}

func (core *Core) answer(event *PeerEvent, ping *message.Ping, effects *Effects) {
	sender, ok := core.sender(event)
	if !ok {
		return
	}
	sameViewJoin := ping.Sequence == 0 && ping.View == core.viewHash
	if ping.RequestMembers && !sameViewJoin {
		core.handleListRequest(sender, effects)
	}
	if ping.Sequence == 0 {
		return
	}
	core.send(effects, &sender, message.PingAck{
		Sequence:    ping.Sequence,
		Incarnation: core.incarnation,
		Updates:     core.updatesFor(event.From),
		Digest:      core.digest,
		View:        core.viewHash,
	})
}

// acknowledge ends the probe that an answer belongs to, or forwards the answer to the node on whose
// behalf the probe was sent.
func (core *Core) acknowledge(from lb.NodeID, sequence uint64, effects *Effects) {
	for index := range core.probes {
		if core.probes[index].sequence != sequence || core.probes[index].done {
			continue
		}
		core.probes[index].done = true
		if answered := core.probes[index]; answered.target != from {
			core.probeAnsweredIndirectly(&answered, effects)
		}
		return
	}
	for index := range core.forwarded {
		forwarded := core.forwarded[index]
		if forwarded.sequence != sequence {
			continue
		}
		core.forwarded = slices.Delete(core.forwarded, index, index+1)
		core.send(effects, &forwarded.origin, message.PingAck{
			Sequence:    forwarded.originSequence,
			Incarnation: core.incarnation,
			Updates:     core.updatesFor(forwarded.origin.ID),
			Digest:      core.digest,
			View:        core.viewHash,
		})
		return
	}
}

// forward sends a probe on behalf of another node.
func (core *Core) forward(event *PeerEvent, request *message.PingReq, effects *Effects) {
	origin, ok := core.sender(event)
	target := core.entries[request.Target]
	if !ok || target == nil || len(core.forwarded) >= maxForwarded {
		return
	}
	core.sequence++
	core.forwarded = append(core.forwarded, forwardedProbe{
		sequence:       core.sequence,
		origin:         origin,
		originSequence: request.Sequence,
		expires:        core.now + core.settings.IndirectTimeout,
	})
	core.ping(&target.machine, core.sequence, effects)
}
