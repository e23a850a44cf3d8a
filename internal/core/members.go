package core

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// node is one balancer that this core has heard of.
type node struct {
	rendezvous.Candidate
	member   bool // thought alive
	eligible bool // may be in chains: alive and not leaving
}

// memberList is the membership in the form that chains are computed from.
type memberList struct {
	all      []*node // members, by ID
	eligible []*node // by ID
	// candidates are those of eligible, at the same indexes.
	candidates []rendezvous.Candidate
}

// alone tells whether there is no other member.
func (list *memberList) alone() bool { return len(list.all) < 2 }

// node finds or adds a node.
func (core *Core) node(id lb.NodeID) *node {
	if known := core.nodes[id]; known != nil {
		return known
	}
	added := &node{Candidate: rendezvous.Candidate{ID: id, Hash: id.Hash()}}
	core.nodes[id] = added
	core.byHash[added.Hash] = added
	return added
}

// setMembers takes a new view of the membership and mends the chains that it changes.
func (core *Core) setMembers(members []Member) {
	previous := core.members.eligible
	core.members = core.newMemberList(members)
	core.forgetNodes()
	core.noteMissing(previous)
	core.updateChains(symmetricDifference(previous, core.members.eligible))
	core.handover.dropAbsent()
	if core.members.alone() {
		core.sure = true
		core.resumed = false
	}
}

// missingHold is how many times OpeningHold a node that vanished counts as
// missing: it may be alive behind a cut. After that it is taken as dead.
const missingHold = 10

// noteMissing notes the nodes that have vanished without leaving by plan, and
// those that are back.
func (core *Core) noteMissing(previous []*node) {
	for _, known := range previous {
		if !known.member && known != core.self {
			core.missing[known.ID] = core.now
		}
	}
	for id, since := range core.missing {
		known := core.nodes[id]
		if known != nil && known.member {
			// It may have forwarded openings meanwhile, for as long as they are retransmitted.
			core.missing[id] = min(since, core.now-(missingHold-1)*core.settings.OpeningHold)
		}
	}
	if core.joinedAt == 0 && !core.members.alone() {
		core.joinedAt = max(core.now, 1)
	}
}

// isNodeMissing tells whether some node may be alive, and forward, unseen by this one.
func (core *Core) isNodeMissing() bool {
	if core.off.noVouchOnlyComplete {
		return false
	}
	for id, since := range core.missing {
		if core.now-since < missingHold*core.settings.OpeningHold {
			return true
		}
		delete(core.missing, id)
	}
	return false
}

// newMemberList marks the nodes. A node whose zone changes is taken for
// another one: chains depend on it.
func (core *Core) newMemberList(members []Member) memberList {
	for _, known := range core.nodes {
		known.member = false
		known.eligible = false
	}
	var list memberList
	for index := range members {
		member := &members[index]
		current := core.node(member.ID)
		if current.Zone != member.Zone && current != core.self {
			current = core.replaceNode(current, member.Zone)
		}
		current.member = true
		current.eligible = !member.Leaving && !(current == core.self && core.leaving)
		list.all = append(list.all, current)
	}
	byID := func(a, b *node) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(list.all, byID)
	list.all = slices.Compact(list.all)
	for _, member := range list.all {
		if member.eligible {
			list.eligible = append(list.eligible, member)
			list.candidates = append(list.candidates, member.Candidate)
		}
	}
	return list
}

func (core *Core) replaceNode(old *node, zone lb.Zone) *node {
	replacement := &node{Candidate: old.Candidate}
	replacement.Zone = zone
	core.nodes[old.ID] = replacement
	core.byHash[old.Hash] = replacement
	return replacement
}

// forgetNodes drops nodes that are no longer members.
func (core *Core) forgetNodes() {
	for id, known := range core.nodes {
		if !known.member && known != core.self {
			delete(core.nodes, id)
			delete(core.byHash, known.Hash)
		}
	}
}

// symmetricDifference gives the nodes of one list that are not in the other.
func symmetricDifference(before, after []*node) []*node {
	var changed []*node
	for _, candidate := range before {
		if !slices.Contains(after, candidate) {
			changed = append(changed, candidate)
		}
	}
	for _, candidate := range after {
		if !slices.Contains(before, candidate) {
			changed = append(changed, candidate)
		}
	}
	return changed
}
