package member

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// zone is the state of one zone as known to this node. The nodes of a zone that is cut off are not
// suspected one by one: when a probe fails and no message has arrived from the zone since it
// started, two more nodes of the zone are probed at once. If these probes fail too, the whole zone
// is unreachable, in this node's view only, until a message arrives from it again. A zone that
// answers only through other zones also becomes unreachable, when no direct message has arrived for
// directContactTimeout, because packets could not be relayed to it.
type zone struct {
	name lb.Zone
	live []*entry // live entries sorted by hash, without this node
	// lastDirectMessage is the time of the last message that arrived directly from a node of the
	// zone.
	lastDirectMessage time.Duration
	// failedProbes contains the failed probes for which it is not yet decided whether the node or
	// the whole zone is unreachable.
	failedProbes     []failedProbe
	unreachable      bool
	unreachableSince time.Duration // set while unreachable
}

// failedProbe is a probe without a direct answer.
type failedProbe struct {
	target lb.NodeID
	// answeredIndirectly is set if an answer arrived through another node, so that the target is
	// alive.
	answeredIndirectly bool
}

// directContactTimeout is how long a zone that answers only through others may send no direct
// message. It covers several lost probes.
const directContactTimeout = 3 * time.Second

// followUpProbes is the number of further nodes that are probed before a zone counts as
// unreachable.
const followUpProbes = 2

// zoneOf returns the zone with a name, and adds it if it is new.
func (core *Core) zoneOf(name lb.Zone) *zone {
	index, found := slices.BinarySearchFunc(core.zones, name, func(zone *zone, name lb.Zone) int {
		return cmp.Compare(zone.name, name)
	})
	if !found {
		core.zones = slices.Insert(core.zones, index, &zone{name: name, lastDirectMessage: core.now})
	}
	return core.zones[index]
}

// ZoneContact is the state of this node's contact with one zone.
type ZoneContact struct {
	Zone lb.Zone
	// At is the time of the last message that arrived directly from a node of the zone, or the time
	// at which the zone became known.
	At time.Duration
	// Lost is set if the zone is unreachable, in this node's view.
	Lost bool
}

// ZoneContacts appends the state of the contact with each zone to buffer.
func (core *Core) ZoneContacts(buffer []ZoneContact) []ZoneContact {
	for _, zone := range core.zones {
		buffer = append(buffer, ZoneContact{Zone: zone.name, At: zone.lastDirectMessage, Lost: zone.unreachable})
	}
	return buffer
}

func compareHash(left, right *entry) int {
	return cmp.Or(cmp.Compare(left.hash, right.hash), cmp.Compare(left.machine.ID, right.machine.ID))
}

func (zone *zone) insert(added *entry) {
	index, found := slices.BinarySearchFunc(zone.live, added, compareHash)
	if !found {
		zone.live = slices.Insert(zone.live, index, added)
	}
}

func (zone *zone) remove(removed *entry) {
	if index, found := slices.BinarySearchFunc(zone.live, removed, compareHash); found {
		zone.live = slices.Delete(zone.live, index, index+1)
	}
}

// successor returns the first live entry after a hash on the ring that is not suspect, or the first
// live entry if all are suspect.
func (zone *zone) successor(hash lb.NodeHash) *entry {
	count := len(zone.live)
	if count == 0 {
		return nil
	}
	start, _ := slices.BinarySearchFunc(zone.live, hash, func(entry *entry, hash lb.NodeHash) int {
		return cmp.Compare(entry.hash, hash)
	})
	for offset := range count {
		if next := zone.live[(start+offset)%count]; !next.suspect() {
			return next
		}
	}
	return zone.live[start%count]
}

// recordZoneContact records a message that arrived directly from a node of the zone. Since the zone
// is reachable, the targets of its failed probes become suspect individually.
func (core *Core) recordZoneContact(zone *zone, from lb.NodeID) {
	zone.lastDirectMessage = core.now
	if zone.unreachable {
		zone.unreachable = false
		core.changed = true
		core.rejoined = true
	}
	for _, failed := range zone.failedProbes {
		if target := core.entries[failed.target]; target != nil && failed.target != from && !failed.answeredIndirectly {
			core.suspect(target)
		}
	}
	zone.failedProbes = zone.failedProbes[:0]
}

// probeFailed evaluates a probe that received neither a direct nor an indirect answer.
func (core *Core) probeFailed(failed *probe, effects *Effects) {
	target := core.entries[failed.target]
	if target == nil || !target.live() || target.suspect() {
		return
	}
	zone := target.zone
	switch {
	case zone.unreachable:
		return
	case zone.lastDirectMessage > failed.started || len(zone.live) < 2:
		core.suspect(target)
		return
	}
	core.addFailedProbe(failed, false, effects)
	switch {
	case zone.hasIndirectAnswer():
		core.checkDirectContact(zone)
	case !core.followingUp(zone):
		core.markUnreachable(zone)
	}
}

// probeAnsweredIndirectly evaluates a probe that was answered only through another node.
func (core *Core) probeAnsweredIndirectly(answered *probe, effects *Effects) {
	target := core.entries[answered.target]
	if target == nil || !target.live() {
		return // the target was declared dead meanwhile, and its zone may be empty
	}
	zone := answered.zone
	if zone == core.ownZone || zone.unreachable || zone.lastDirectMessage > answered.started {
		return
	}
	core.addFailedProbe(answered, true, effects)
	core.checkDirectContact(zone)
}

// checkDirectContact marks a zone that answers only through others as unreachable, if enough of its
// nodes have failed probes and no direct message has arrived for directContactTimeout.
func (core *Core) checkDirectContact(zone *zone) {
	enough := len(zone.failedProbes) >= min(1+followUpProbes, len(zone.live))
	if enough && core.now-zone.lastDirectMessage >= directContactTimeout {
		core.markUnreachable(zone)
	}
}

// addFailedProbe records a probe without a direct answer and probes other nodes of the zone.
func (core *Core) addFailedProbe(unanswered *probe, answeredIndirectly bool, effects *Effects) {
	zone := unanswered.zone
	if !zone.hasFailedProbe(unanswered.target) {
		zone.failedProbes = append(zone.failedProbes, failedProbe{target: unanswered.target, answeredIndirectly: answeredIndirectly})
	}
	if !unanswered.followUp && !core.followingUp(zone) {
		core.followUp(zone, effects)
	}
}

// markUnreachable marks a zone as unreachable.
func (core *Core) markUnreachable(zone *zone) {
	zone.failedProbes = zone.failedProbes[:0]
	zone.unreachable = true
	zone.unreachableSince = core.now
	core.changed = true
}

// hasIndirectAnswer reports whether a node of the zone was recently found alive, but only through
// others.
func (zone *zone) hasIndirectAnswer() bool {
	return slices.ContainsFunc(zone.failedProbes, func(failed failedProbe) bool { return failed.answeredIndirectly })
}

// followUp probes nodes of a zone that have no failed probe yet.
func (core *Core) followUp(zone *zone, effects *Effects) {
	offset := core.random.IntN(len(zone.live))
	started := 0
	for index := range zone.live {
		candidate := zone.live[(offset+index)%len(zone.live)]
		if zone.hasFailedProbe(candidate.machine.ID) || candidate.suspect() {
			continue
		}
		core.startProbe(candidate, true, effects)
		started++
		if started == followUpProbes {
			return
		}
	}
}

func (zone *zone) hasFailedProbe(id lb.NodeID) bool {
	return slices.ContainsFunc(zone.failedProbes, func(failed failedProbe) bool { return failed.target == id })
}

func (core *Core) followingUp(zone *zone) bool {
	return slices.ContainsFunc(core.probes, func(probe probe) bool {
		return probe.followUp && probe.zone == zone && !probe.done
	})
}
