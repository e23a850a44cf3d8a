package member

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// Bounds of the answers to nodes that ask for the whole membership. When a fleet
// starts, all nodes ask all seeds twice a second. A list of 300 takes 2.7 KB
// (BenchmarkWholeMembership), and a node may send 128 KB of lists a second
// (transport.Budget): what is more waits in its queue.
const (
	// wholeAnswers is how many are given the whole at a tick, from one encoding.
	wholeAnswers = 8
	// wholeInterval is the shortest time between two answers to one node, which
	// has the first on the way.
	wholeInterval = 500 * time.Millisecond
	// partialMembers is how many members the others are told, so that they ask those.
	partialMembers = 12
)

// Batch is one message for several nodes, to be encoded once.
type Batch struct {
	To      []netip.AddrPort
	Message message.Message
}

// noteAsker answers a node that asks for the whole membership, or remembers it
// until the next tick if another one has just been answered.
func (core *Core) noteAsker(asker Machine, effects *Effects) {
	if answeredAt, answered := core.answeredAt[asker.Control]; answered && core.now-answeredAt < wholeInterval {
		return
	}
	if core.now >= core.nextWhole && len(core.askers) == 0 {
		core.nextWhole = core.now + TickInterval
		core.answeredAt[asker.Control] = core.now
		core.send(effects, &asker, message.Members{Updates: core.allUpdates()})
		return
	}
	if !slices.Contains(core.askers, asker.Control) {
		core.askers = append(core.askers, asker.Control)
	}
}

// answerAskers gives some of those who asked the whole membership, and the
// others a few members of whom they can ask it: those who were just given it first.
func (core *Core) answerAskers(effects *Effects) {
	if len(core.askers) == 0 || core.now < core.nextWhole {
		return
	}
	core.nextWhole = core.now + TickInterval
	maps.DeleteFunc(core.answeredAt, func(_ netip.AddrPort, at time.Duration) bool { return core.now-at >= wholeInterval })
	for _, asker := range core.askers {
		core.answeredAt[asker] = core.now
	}
	count := min(len(core.askers), wholeAnswers)
	whole, rest := core.askers[:count], core.askers[count:]
	effects.Batches = append(effects.Batches, Batch{To: whole, Message: message.Members{Updates: core.allUpdates()}})
	if len(rest) > 0 {
		effects.Batches = append(effects.Batches, Batch{
			To: rest, Message: message.Members{Partial: true, Updates: core.someUpdates(whole)},
		})
	}
	core.askers = nil
}

// someUpdates describes self, the members at these addresses, and others by chance.
func (core *Core) someUpdates(first []netip.AddrPort) []message.MemberUpdate {
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
	for len(updates) < partialMembers && len(others) > 0 {
		index := core.random.IntN(len(others))
		updates = append(updates, others[index].update())
		others = slices.Delete(others, index, index+1)
	}
	slices.SortFunc(updates, compareUpdates)
	return updates
}

// takeMembers takes a peer's membership. Of a partial one it asks a member for the whole.
func (core *Core) takeMembers(received *message.Members, effects *Effects) {
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
		core.attemptOne(&known.machine, true, effects)
	}
}

// askForAll asks a member for the whole membership while none has given it.
func (core *Core) askForAll(effects *Effects) {
	if core.joined || len(core.machines) > 0 {
		return
	}
	if target := core.rumourTarget(); target != nil {
		core.attemptOne(&target.machine, true, effects)
	}
}
