package member

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// probe is one question whether a node is alive, until answered or failed.
type probe struct {
	sequence uint64
	target   lb.NodeID
	zone     *zone
	started  time.Duration
	indirect bool // other nodes have been asked
	followUp bool // sent to tell a dead node from an unreachable zone
	done     bool
}

// forwardedProbe is one made in the place of another node.
type forwardedProbe struct {
	sequence       uint64
	origin         Machine
	originSequence uint64
	expires        time.Duration
}

// maxForwarded bounds the probes made for others at one time.
const maxForwarded = 64

// startProbes sends the probes of one interval: the successor on the ring, a
// random node of the own zone, and a node of the next other zone in turn.
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

// ringSuccessor is the next node of the own zone, or of all zones when this
// node is alone in its own.
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

// nextOtherZone goes through the zones with live nodes, unreachable ones included.
func (core *Core) nextOtherZone() *zone {
	for range core.zones {
		core.crossZone = (core.crossZone + 1) % len(core.zones)
		candidate := core.zones[core.crossZone]
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

// ping sends a Ping with what the target should know.
func (core *Core) ping(target *Machine, sequence uint64, effects *Effects) {
	core.send(effects, target, message.Ping{
		Sequence:    sequence,
		Incarnation: core.incarnation,
		Updates:     core.updatesFor(target.ID),
		Digest:      core.digest,
		View:        core.viewHash,
	})
}

// advanceProbes asks other nodes when a direct answer is late and gives up
// when theirs is late as well.
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
		case age >= core.settings.ProbeTimeout && !current.indirect:
			current.indirect = true
			core.askOthers(current.target, current.sequence, effects)
		}
	}
	core.probes = slices.DeleteFunc(core.probes, func(probe probe) bool { return probe.done })
	core.forwarded = slices.DeleteFunc(core.forwarded, func(forwarded forwardedProbe) bool {
		return core.now >= forwarded.expires
	})
}

// askOthers asks a few nodes to probe the target: one of its own zone, one of
// this node's zone, and others from other zones, or from anywhere.
func (core *Core) askOthers(id lb.NodeID, sequence uint64, effects *Effects) {
	target := core.entries[id]
	if target == nil {
		return
	}
	asked := []*entry{target}
	for attempt := range 2 * core.settings.IndirectProbes {
		var helper *entry
		switch attempt {
		case 0:
			helper = core.randomIn(target.zone)
		case 1:
			helper = core.randomIn(core.ownZone)
		default:
			helper = core.randomIn(core.bridgeZone(target.zone))
		}
		if helper == nil || slices.Contains(asked, helper) {
			continue
		}
		asked = append(asked, helper)
		core.send(effects, &helper.machine, message.PingReq{Sequence: sequence, Target: id, Updates: core.updatesFor(helper.machine.ID)})
		if len(asked) > core.settings.IndirectProbes {
			return
		}
	}
}

// bridgeZone picks a zone that is neither the own nor the other one, if there is any.
func (core *Core) bridgeZone(other *zone) *zone {
	offset := core.random.IntN(len(core.zones))
	for index := range core.zones {
		candidate := core.zones[(offset+index)%len(core.zones)]
		if candidate != core.ownZone && candidate != other && len(candidate.live) > 0 {
			return candidate
		}
	}
	return core.zones[offset]
}

// randomIn gives a random live node of a reachable zone, or nil.
func (core *Core) randomIn(zone *zone) *entry {
	if zone.unreachable || len(zone.live) == 0 {
		return nil
	}
	return core.randomOf(zone)
}

// receive takes one message.
func (core *Core) receive(event *PeerEvent, effects *Effects) {
	if core.stopped || event.From == core.settings.Self.ID {
		return
	}
	switch received := event.Message.(type) {
	case message.Ping:
		core.applyAll(received.Updates)
		core.heardFrom(event.From, received.Incarnation)
		core.compareView(event, received.View, effects)
		core.answer(event, &received, effects)
	case message.PingAck:
		core.applyAll(received.Updates)
		core.heardFrom(event.From, received.Incarnation)
		core.compareView(event, received.View, effects)
		core.acknowledge(event.From, received.Sequence, effects)
	case message.PingReq:
		core.applyAll(received.Updates)
		core.heardFrom(event.From, 0)
		core.forward(event, &received, effects)
	case message.Members:
		core.heardFrom(event.From, 0)
		core.takeMembers(&received, effects)
	}
}

// sender gives the machine to answer a message to; false when its address is not known.
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
	agreedJoin := ping.Sequence == 0 && ping.View == core.viewHash
	if ping.Full && !agreedJoin {
		core.noteAsker(sender, effects)
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

// acknowledge ends the probe that an answer belongs to, or passes the answer on.
func (core *Core) acknowledge(from lb.NodeID, sequence uint64, effects *Effects) {
	for index := range core.probes {
		if core.probes[index].sequence != sequence || core.probes[index].done {
			continue
		}
		core.probes[index].done = true
		if answered := core.probes[index]; answered.target != from {
			core.probeBridged(&answered, effects)
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

// forward probes in the place of another node.
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
