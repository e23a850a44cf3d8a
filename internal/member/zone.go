package member

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// zone is what this node knows of one zone. A zone that is cut off is not
// suspected node by node: when a probe fails and nothing has been heard from
// the zone since, two more of its nodes are probed at once; when they fail too
// the whole zone is unreachable, in this node's view only, until it is heard
// again. A zone that answers through other zones only is unreachable as well,
// once it has been silent for directSilence: packets could not be relayed to it.
type zone struct {
	name lb.Zone
	live []*entry // live entries sorted by hash, self not included
	// heard is when a message last came straight from a node of the zone.
	heard time.Duration
	// doubts are failed probes that wait for the verdict on the zone.
	doubts      []doubt
	unreachable bool
	since       time.Duration // start of unreachable
}

// doubt is one probe without a direct answer.
type doubt struct {
	target lb.NodeID
	// bridged: it was answered through another node, so the target is alive.
	bridged bool
}

// directSilence is how long a zone that answers through others may be silent
// itself; it covers several lost probes.
const directSilence = 3 * time.Second

// followUpProbes is the number of further nodes probed before a zone is given up.
const followUpProbes = 2

// zoneOf gives the zone of a name, adding it when it is new.
func (core *Core) zoneOf(name lb.Zone) *zone {
	index, found := slices.BinarySearchFunc(core.zones, name, func(zone *zone, name lb.Zone) int {
		return cmp.Compare(zone.name, name)
	})
	if !found {
		core.zones = slices.Insert(core.zones, index, &zone{name: name, heard: core.now})
	}
	return core.zones[index]
}

// ZoneHeard is what this node has heard of one zone.
type ZoneHeard struct {
	Zone lb.Zone
	// At is when a message last came straight from a node of the zone, or when the
	// zone became known.
	At time.Duration
	// Lost: the zone is unreachable, in this node's view.
	Lost bool
}

// Heard appends what this node has heard of each zone.
func (core *Core) Heard(buffer []ZoneHeard) []ZoneHeard {
	for _, zone := range core.zones {
		buffer = append(buffer, ZoneHeard{Zone: zone.name, At: zone.heard, Lost: zone.unreachable})
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

// successor gives the first live entry after a hash on the ring that is not
// suspect, or the first one after it when all are.
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

// hear notes a message straight from a node of the zone: the zone is there, so
// those in doubt are suspect on their own.
func (core *Core) hear(zone *zone, from lb.NodeID) {
	zone.heard = core.now
	if zone.unreachable {
		zone.unreachable = false
		core.changed = true
		core.rejoined = true
	}
	for _, doubt := range zone.doubts {
		if target := core.entries[doubt.target]; target != nil && doubt.target != from && !doubt.bridged {
			core.suspect(target)
		}
	}
	zone.doubts = zone.doubts[:0]
}

// probeFailed takes the verdict of one probe that got no answer in any way.
func (core *Core) probeFailed(failed *probe, effects *Effects) {
	target := core.entries[failed.target]
	if target == nil || !target.live() || target.suspect() {
		return
	}
	zone := target.zone
	switch {
	case zone.unreachable:
		return
	case zone.heard > failed.started || len(zone.live) < 2:
		core.suspect(target)
		return
	}
	core.addDoubt(failed, false, effects)
	switch {
	case zone.bridged():
		core.giveUpBridged(zone)
	case !core.followingUp(zone):
		core.giveUp(zone)
	}
}

// probeBridged takes a probe that was answered through another node only.
func (core *Core) probeBridged(answered *probe, effects *Effects) {
	target := core.entries[answered.target]
	if target == nil || !target.live() {
		return // it was declared dead since, and its zone may be empty
	}
	zone := answered.zone
	if zone == core.ownZone || zone.unreachable || zone.heard > answered.started {
		return
	}
	core.addDoubt(answered, true, effects)
	core.giveUpBridged(zone)
}

// giveUpBridged gives up a zone that answers through others, when enough of
// its nodes are in doubt and it has been silent itself for long enough.
func (core *Core) giveUpBridged(zone *zone) {
	enough := len(zone.doubts) >= min(1+followUpProbes, len(zone.live))
	if enough && core.now-zone.heard >= directSilence {
		core.giveUp(zone)
	}
}

// addDoubt notes a probe without direct answer and probes others of its zone.
func (core *Core) addDoubt(unanswered *probe, bridged bool, effects *Effects) {
	zone := unanswered.zone
	if !zone.doubted(unanswered.target) {
		zone.doubts = append(zone.doubts, doubt{target: unanswered.target, bridged: bridged})
	}
	if !unanswered.followUp && !core.followingUp(zone) {
		core.followUp(zone, effects)
	}
}

// giveUp takes a zone as unreachable.
func (core *Core) giveUp(zone *zone) {
	zone.doubts = zone.doubts[:0]
	zone.unreachable = true
	zone.since = core.now
	core.changed = true
}

// bridged tells whether a node of the zone has lately been found alive, but only through others.
func (zone *zone) bridged() bool {
	return slices.ContainsFunc(zone.doubts, func(doubt doubt) bool { return doubt.bridged })
}

// followUp probes nodes of a zone that are not in doubt yet.
func (core *Core) followUp(zone *zone, effects *Effects) {
	offset := core.random.IntN(len(zone.live))
	started := 0
	for index := range zone.live {
		candidate := zone.live[(offset+index)%len(zone.live)]
		if zone.doubted(candidate.machine.ID) || candidate.suspect() {
			continue
		}
		core.startProbe(candidate, true, effects)
		started++
		if started == followUpProbes {
			return
		}
	}
}

func (zone *zone) doubted(id lb.NodeID) bool {
	return slices.ContainsFunc(zone.doubts, func(doubt doubt) bool { return doubt.target == id })
}

func (core *Core) followingUp(zone *zone) bool {
	return slices.ContainsFunc(core.probes, func(probe probe) bool {
		return probe.followUp && probe.zone == zone && !probe.done
	})
}
