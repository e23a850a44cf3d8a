package core

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// node is a balancer that this core knows.
type node struct {
	rendezvous.Candidate
	member   bool // considered alive
	eligible bool // may be in chains: alive and not leaving
}

// memberList is the membership in the form from which chains are computed.
type memberList struct {
	all      []*node // sorted by ID
	eligible []*node // sorted by ID
	// candidates are the rendezvous candidates of eligible, at the same indexes.
	candidates []rendezvous.Candidate
}

// alone reports whether there is no other member.
func (list *memberList) alone() bool { return len(list.all) < 2 }

// node returns the node with the ID and adds it if it is unknown.
func (core *Core) node(id lb.NodeID) *node {
	if known := core.nodes[id]; known != nil {
		return known
	}
	added := &node{Candidate: rendezvous.Candidate{ID: id, Hash: id.Hash()}}
	core.nodes[id] = added
	core.byHash[added.Hash] = added
	return added
}

// setMembers applies a new membership and updates the chains that it changes.
func (core *Core) setMembers(members []Member) {
	previous := core.members.eligible
	core.members = core.newMemberList(members)
	core.forgetNodes()
	core.updateMissing(previous)
	core.updateChains(symmetricDifference(previous, core.members.eligible))
	core.handover.dropAbsent()
	if core.members.alone() {
		core.viewVerified = true
		core.unverifiedSincePause = false
	}
}

// missingHoldFactor is the multiple of OpeningHold for which a vanished node counts as missing,
// because it may be alive behind a network partition. After that it counts as dead.
const missingHoldFactor = 10

// updateMissing records the nodes that vanished without a planned stop, and shortens the remaining
// time for nodes that have returned.
func (core *Core) updateMissing(previous []*node) {
	for _, known := range previous {
		if !known.member && known != core.self {
			core.missingNodes[known.ID] = core.now
		}
	}
	for id, since := range core.missingNodes {
		known := core.nodes[id]
		if known != nil && known.member {
			// While away, it may have forwarded openings that clients still retransmit.
			core.missingNodes[id] = min(since, core.now-(missingHoldFactor-1)*core.settings.OpeningHold)
		}
	}
	if core.joinedAt == 0 && !core.members.alone() {
		core.joinedAt = max(core.now, 1)
	}
}

// isNodeMissing reports whether some node may be alive and forwarding packets without this node's
// knowledge.
func (core *Core) isNodeMissing() bool {
	if core.disabled.noVouchOnlyComplete {
		return false
	}
	for id, since := range core.missingNodes {
		if core.now-since < missingHoldFactor*core.settings.OpeningHold {
			return true
		}
		delete(core.missingNodes, id)
	}
	return false
}

// newMemberList returns the member list and updates the flags of the nodes. A node whose zone has
// changed becomes a new node, because chains depend on zones.
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

// forgetNodes removes nodes that are no longer members.
func (core *Core) forgetNodes() {
	for id, known := range core.nodes {
		if !known.member && known != core.self {
			delete(core.nodes, id)
			delete(core.byHash, known.Hash)
		}
	}
}

// symmetricDifference returns the nodes that are in exactly one of the lists.
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
