package member

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// These constants limit the answers to nodes that request the full member list. When a fleet
// starts, all nodes send requests to all seeds twice a second. A list of 300 members takes 2.7 KB
// (BenchmarkFullMemberList), and a node may send 128 KB of lists per second (transport.Budget).
// Further lists wait in its queue.
const (
	// fullListsPerTick is the number of nodes that receive the full list per tick, from one
	// encoding.
	fullListsPerTick = 8
	// minFullListInterval is the minimum time between two answers to the same node, since the first
	// answer may still be in transit.
	minFullListInterval = 500 * time.Millisecond
	// partialListMembers is the number of members in the list that the other nodes receive, so that
	// they can request the full list from these members.
	partialListMembers = 12
)

// Batch is a message to several nodes that is encoded once.
type Batch struct {
	To      []netip.AddrPort
	Message message.Message
}

// handleListRequest answers a node that requests the full member list. If another request was
// answered in the current tick, or others wait, it queues the request for the next tick.
func (core *Core) handleListRequest(requester Machine, effects *Effects) {
	if answeredAt, answered := core.listSentAt[requester.Control]; answered && core.now-answeredAt < minFullListInterval {
		return
	}
	if core.now >= core.nextFullList && len(core.listRequests) == 0 {
		core.nextFullList = core.now + TickInterval
		core.listSentAt[requester.Control] = core.now
		core.send(effects, &requester, message.Members{Updates: core.fullList()})
		return
	}
	if !slices.Contains(core.listRequests, requester.Control) {
		core.listRequests = append(core.listRequests, requester.Control)
	}
}

// answerListRequests sends the full list to some of the nodes that requested it. The others receive
// a partial list of members from which they can request it, first of all the nodes that have just
// received the full list.
func (core *Core) answerListRequests(effects *Effects) {
	if len(core.listRequests) == 0 || core.now < core.nextFullList {
		return
	}
	core.nextFullList = core.now + TickInterval
	maps.DeleteFunc(core.listSentAt, func(_ netip.AddrPort, at time.Duration) bool { return core.now-at >= minFullListInterval })
	for _, requester := range core.listRequests {
		core.listSentAt[requester] = core.now
	}
	count := min(len(core.listRequests), fullListsPerTick)
	full, rest := core.listRequests[:count], core.listRequests[count:]
	effects.Batches = append(effects.Batches, Batch{To: full, Message: message.Members{Updates: core.fullList()}})
	if len(rest) > 0 {
		effects.Batches = append(effects.Batches, Batch{
			To: rest, Message: message.Members{Partial: true, Updates: core.partialList(full)},
		})
	}
	core.listRequests = nil
}

// partialList returns updates about this node, about the members with the given addresses, and
// about random other members.
func (core *Core) partialList(first []netip.AddrPort) []message.MemberUpdate {
	updates := []message.MemberUpdate{core.selfUpdate()}
	var others []*entry
	for _, entry := range core.entries {
		switch {
		case !entry.live():
		case slices.Contains(first, entry.machine.Control):
			updates = append(updates, entry.update())
		default:
			others = append(others, entry)
		}
	}
	slices.SortFunc(others, func(left, right *entry) int { return cmp.Compare(left.machine.ID, right.machine.ID) })
	for len(updates) < partialListMembers && len(others) > 0 {
		index := core.random.IntN(len(others))
		updates = append(updates, others[index].update())
		others = slices.Delete(others, index, index+1)
	}
	slices.SortFunc(updates, compareUpdates)
	return updates
}

// handleMembers applies a peer's member list. If the list is partial and this node has not joined
// yet, the node requests the full list from a random member of it.
func (core *Core) handleMembers(received *message.Members, effects *Effects) {
	if !received.Partial {
		core.merge(received.Updates)
		return
	}
	for index := range received.Updates {
		core.apply(&received.Updates[index])
	}
	if core.joined || len(received.Updates) == 0 {
		return
	}
	chosen := received.Updates[core.random.IntN(len(received.Updates))].Node
	if known := core.entries[chosen]; known != nil {
		core.pingMachine(&known.machine, true, effects)
	}
}

// requestFullList requests the full member list from a member, unless this node has joined or has a
// list of machines.
func (core *Core) requestFullList(effects *Effects) {
	if core.joined || len(core.machines) > 0 {
		return
	}
	if target := core.rumourTarget(); target != nil {
		core.pingMachine(&target.machine, true, effects)
	}
}
