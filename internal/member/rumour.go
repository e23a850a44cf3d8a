package member

import (
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// rumour is an update that this node still disseminates.
type rumour struct {
	update    message.MemberUpdate
	remaining int // number of remaining transmissions
}

// These constants limit the updates in one message. Compression reduces them to about a quarter
// (transport.Pack), so that a message stays below 1,000 bytes.
const (
	maxUpdateBytes = 2400
	maxUpdates     = 24
	// updateBytes is the size of an update's JSON without its texts: keys, quotes and an
	// incarnation in milliseconds.
	updateBytes = 55
	// minCompressionRatio is the minimum ratio by which compression shrinks a message with many
	// updates.
	minCompressionRatio = 5
	// pingBytes is the size of a Ping without updates, headers included.
	pingBytes = 160
)

func sizeOf(update *message.MemberUpdate) int {
	return updateBytes + len(update.Node) + len(update.Zone) + len(update.Control) + len(update.Data) + len(update.State)
}

// transmissions returns how often a node sends one rumour. An epidemic in which each node sends
// ln(n) times reaches all nodes with high probability. Twice as many transmissions compensate for
// loss and duplicates.
func (core *Core) transmissions() int {
	return 2*int(math.Ceil(math.Log(float64(len(core.entries)+2)))) + 2
}

// queueRumour puts an update at the front of the rumours and removes older updates about the same
// node.
func (core *Core) queueRumour(update message.MemberUpdate) {
	core.rumours = slices.DeleteFunc(core.rumours, func(older *rumour) bool { return older.update.Node == update.Node })
	core.rumours = slices.Insert(core.rumours, 0, &rumour{update: update, remaining: core.transmissions()})
}

// noticeFor returns the update that a node receives about itself: that it is suspect or dead, so
// that it can refute this, or, once, that it had been declared dead.
func (core *Core) noticeFor(id lb.NodeID) (message.MemberUpdate, bool) {
	target := core.entries[id]
	switch {
	case target == nil:
		return message.MemberUpdate{}, false
	case target.suspect() || !target.live():
		return target.update(), true
	case target.deadIncarnation != 0 && !core.noDeathNotices:
		update := message.MemberUpdate{Node: id, State: message.MemberDead, Incarnation: target.deadIncarnation}
		target.deadIncarnation = 0
		return update, true
	}
	return message.MemberUpdate{}, false
}

// updatesFor returns the updates to piggyback on a message to one node, within the rumour budget.
func (core *Core) updatesFor(id lb.NodeID) []message.MemberUpdate {
	var updates []message.MemberUpdate
	bytes := 0
	if update, ok := core.noticeFor(id); ok {
		updates = append(updates, update)
		bytes += sizeOf(&update)
	}
	included := 0
	for _, rumour := range core.rumours {
		size := sizeOf(&rumour.update)
		if bytes+size > maxUpdateBytes || len(updates) >= maxUpdates || !core.spendRumourTokens(float64(size)/minCompressionRatio) {
			break
		}
		bytes += size
		included++
		rumour.remaining--
		if len(updates) > 0 && rumour.update.Node == id && updates[0].Node == id {
			continue
		}
		updates = append(updates, rumour.update)
	}
	core.rotateRumours(included)
	return updates
}

// rotateRumours moves the rumours just sent behind the others and removes those without remaining
// transmissions.
func (core *Core) rotateRumours(count int) {
	if count == 0 {
		return
	}
	sent := slices.Clone(core.rumours[:count])
	rest := append(core.rumours[:0], core.rumours[count:]...)
	for _, rumour := range sent {
		if rumour.remaining > 0 {
			rest = append(rest, rumour)
		}
	}
	clear(core.rumours[len(rest):])
	core.rumours = rest
}

// refillRumourTokens adds the bytes for the elapsed time, up to the bytes of two seconds.
func (core *Core) refillRumourTokens(elapsed time.Duration) {
	rate := float64(core.settings.RumourBytesPerSecond)
	core.rumourTokens = min(core.rumourTokens+rate*elapsed.Seconds(), 2*rate)
}

// sendRumours sends rumours to a few nodes in addition to the probes, and notifies suspects of
// their suspicion, within the byte budget.
func (core *Core) sendRumours(effects *Effects) {
	for _, suspect := range core.suspects {
		if suspect.suspicionNotices > 0 && core.spendRumourTokens(pingBytes) {
			suspect.suspicionNotices--
			core.ping(&suspect.machine, 0, effects)
		}
	}
	for range core.settings.RumourFanout {
		if len(core.rumours) == 0 || core.rumourTokens < core.fullMessageCost() || !core.spendRumourTokens(pingBytes) {
			return
		}
		if target := core.rumourTarget(); target != nil {
			core.ping(&target.machine, 0, effects)
		}
	}
}

// fullMessageCost returns the cost of a message with as many rumours as there are, up to the
// limits. A separate message is worth its overhead only if it is full.
func (core *Core) fullMessageCost() float64 {
	bytes := 0
	for index, rumour := range core.rumours {
		if index == maxUpdates || bytes > maxUpdateBytes {
			break
		}
		bytes += sizeOf(&rumour.update)
	}
	return pingBytes + float64(min(bytes, maxUpdateBytes))/minCompressionRatio
}

// spendRumourTokens spends bytes of the rumour budget and reports whether there were enough.
func (core *Core) spendRumourTokens(bytes float64) bool {
	if core.rumourTokens < bytes {
		return false
	}
	core.rumourTokens -= bytes
	return true
}

// rumourTarget returns a random node, or nil: with a probability of at least two thirds one of the
// local zone, if that has other nodes.
func (core *Core) rumourTarget() *entry {
	zone := core.ownZone
	if core.random.IntN(3) == 0 || len(zone.live) == 0 {
		zone = core.zones[core.random.IntN(len(core.zones))]
	}
	return core.randomIn(zone)
}
