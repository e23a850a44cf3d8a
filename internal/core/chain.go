package core

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// ChainGroups is the number of chains. Every bucket of every service belongs to one of them, so
// that neither the cost of a membership change nor the memory for chains grows with the number of
// services (docs/DESIGN.md, "The chain").
const ChainGroups = 4096

// groupsKey is the rendezvous key under which the chains of groups are ranked.
const groupsKey = "chain-groups"

// chain holds the head and the tail of a group in this node's view. Both are nil if no node is
// eligible; only the tail is nil if exactly one node is.
type chain struct {
	head, tail *node
}

func (pair chain) has(member *node) bool {
	return member != nil && (pair.head == member || pair.tail == member)
}

// group is a chain and this node's membership in it. All buckets that hash to the group share it.
type group struct {
	chain            chain
	memberSince      time.Duration // since when this node is in the chain; notInChain outside it
	leftAt           timestamp     // when this node last left the chain
	previouslyLeftAt timestamp     // when this node left the chain before leftAt
	tailSince        timestamp     // answers of the present tail are learned at this time or later
}

// notInChain is the value of group.memberSince outside the chain.
const notInChain = time.Duration(-1)

// newGroups returns groups without chains.
func newGroups() []group {
	groups := make([]group, ChainGroups)
	for index := range groups {
		groups[index].memberSince = notInChain
	}
	return groups
}

// groupOf returns the group of a bucket.
func (core *Core) groupOf(service *service, index uint16) *group {
	return &core.groups[uint64(service.key.BucketKey(index))%ChainGroups]
}

// updateChains recomputes the chains that contain a changed node or may now include one, and hands
// over records to the nodes that enter a chain.
func (core *Core) updateChains(changed []*node) {
	if len(changed) == 0 {
		return
	}
	previous := make(map[*group]chain)
	onlyAdded := !slices.ContainsFunc(changed, func(candidate *node) bool { return !candidate.eligible })
	for index := range core.groups {
		group := &core.groups[index]
		key := core.groupsKey.BucketKey(uint16(index))
		if !group.affectedBy(key, changed) {
			continue
		}
		before, after := group.chain, chain{}
		if onlyAdded && before.spansZones() {
			after = before.rankWith(key, changed)
		} else {
			after = rankChain(key, core.members.eligible, core.members.candidates)
		}
		if core.setChain(group, after) {
			previous[group] = before
		}
	}
	core.chainChanges++
	core.handOverChanged(previous)
}

// handOverChanged hands over the records of all buckets whose chains changed to the nodes that
// enter those chains.
func (core *Core) handOverChanged(previous map[*group]chain) {
	if len(previous) == 0 {
		return
	}
	for _, service := range core.servicesByName {
		service.eachBucket(func(index uint16, bucket *bucket) {
			before, found := previous[bucket.group]
			if found && (before.has(core.self) || bucket.group.chain.has(core.self) || core.leaving) {
				core.handOverToNewMembers(service, index, before, bucket.group.chain)
			}
		})
	}
}

// affectedBy reports whether any of the changed nodes is in the chain or ranks high enough to enter
// it.
func (group *group) affectedBy(key rendezvous.Key, changed []*node) bool {
	pair := group.chain
	if !pair.spansZones() {
		return true
	}
	for _, candidate := range changed {
		if pair.has(candidate) || rendezvous.Before(key, &candidate.Candidate, &pair.tail.Candidate) {
			return true
		}
	}
	return false
}

// spansZones reports whether the chain has a head and a tail in different zones.
func (pair chain) spansZones() bool {
	return pair.head != nil && pair.tail != nil && pair.head.Zone != pair.tail.Zone
}

// rankWith computes the chain after nodes were added. Only the previous head and tail and the added
// nodes can be in it: the head is the first node by rank, and the tail is the first node outside
// the head's zone, which may be the previous head if an added node outranks it.
func (pair chain) rankWith(key rendezvous.Key, added []*node) chain {
	nodes := append([]*node{pair.head, pair.tail}, added...)
	candidates := make([]rendezvous.Candidate, len(nodes))
	for index, candidate := range nodes {
		candidates[index] = candidate.Candidate
	}
	return rankChain(key, nodes, candidates)
}

// rankChain computes a chain from nodes and their candidates, which are at the same indexes.
func rankChain(key rendezvous.Key, nodes []*node, candidates []rendezvous.Candidate) chain {
	head, tail := rendezvous.Chain(key, candidates)
	var pair chain
	if head >= 0 {
		pair.head = nodes[head]
	}
	if tail >= 0 {
		pair.tail = nodes[tail]
	}
	return pair
}

// setChain sets the chain of a group and reports whether it changed.
func (core *Core) setChain(group *group, pair chain) bool {
	previous := group.chain
	if previous == pair {
		return false
	}
	group.chain = pair
	wasMember, isMember := previous.has(core.self), pair.has(core.self)
	if previous.tail != pair.tail || !wasMember {
		group.tailSince = core.timestamp + 1
	}
	switch {
	case isMember && !wasMember:
		group.memberSince = core.now
	case !isMember:
		group.memberSince = notInChain
		if wasMember {
			group.previouslyLeftAt, group.leftAt = group.leftAt, core.timestamp
		}
	}
	return true
}

func (core *Core) handOverToNewMembers(service *service, index uint16, previous, pair chain) {
	if core.disabled.noHandoverToJoined || core.leaving && core.disabled.noHandoverBeforeLeave {
		return
	}
	for _, entrant := range [...]*node{pair.head, pair.tail} {
		if entrant != nil && entrant != core.self && !previous.has(entrant) {
			core.handover.add(bucketRef{service: service, index: index}, entrant)
		}
	}
}

// headedBuckets returns the number of the service's buckets that this node heads. It determines
// this node's fraction of the service's limit of new flows.
func (core *Core) headedBuckets(service *service) int {
	if service.headedAtChange == core.chainChanges {
		return service.headedBuckets
	}
	service.headedAtChange = core.chainChanges
	service.headedBuckets = 0
	for index := range uint16(lb.BucketCount) {
		if core.groupOf(service, index).chain.head == core.self {
			service.headedBuckets++
		}
	}
	return service.headedBuckets
}

// isHead reports whether this node decides openings of the group: it is the head, or no node is
// eligible.
func (core *Core) isHead(group *group) bool {
	return group.chain.head == core.self || group.chain.head == nil
}

// vouches reports whether this node has seen every opening of the bucket that a client may still
// retransmit. That requires that this node has been in the chain for OpeningHold without a pause or
// a loss of contact, and that no node is missing that may have forwarded a copy on the other side
// of a network partition.
func (core *Core) vouches(service *service, group *group) bool {
	if core.disabled.noVouchBeforeNotRun {
		return true
	}
	if !core.viewVerified || group.memberSince == notInChain || core.isNodeMissing() {
		return false
	}
	since := max(group.memberSince, core.viewVerifiedSince, service.frontendsChangedAt)
	return core.now-since >= core.settings.OpeningHold
}
