package member

import (
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// rumour is an update that is still being passed on.
type rumour struct {
	update    message.MemberUpdate
	remaining int // how often it is still sent
}

// Bounds of the updates in one message. Compressed they take about a quarter
// of their size (transport.Pack), so that a message stays below 1,000 bytes.
const (
	maxUpdateBytes = 2400
	maxUpdates     = 24
	// updateBytes is the size of an update's JSON without its texts: keys,
	// quotes and an incarnation in milliseconds.
	updateBytes = 55
	// packedRatio is the least that compression saves on many updates.
	packedRatio = 5
	// pingBytes is the size of a Ping without updates, headers included.
	pingBytes = 160
)

func sizeOf(update *message.MemberUpdate) int {
	return updateBytes + len(update.Node) + len(update.Zone) + len(update.Control) + len(update.Data) + len(update.State)
}

// transmissions is how often a node passes one rumour on. An epidemic in which
// each node sends ln(n) times reaches all with high probability; twice that
// allows for loss and duplicates.
func (core *Core) transmissions() int {
	return 2*int(math.Ceil(math.Log(float64(len(core.entries)+2)))) + 2
}

// spread makes an update the next to pass on, in place of older news of the same node.
func (core *Core) spread(update message.MemberUpdate) {
	core.rumours = slices.DeleteFunc(core.rumours, func(older *rumour) bool { return older.update.Node == update.Node })
	core.rumours = slices.Insert(core.rumours, 0, &rumour{update: update, remaining: core.transmissions()})
}

// updateForItself is what a node is told of itself: that it is thought suspect
// or dead, so that it can refute; or once, that it had been.
func (core *Core) updateForItself(id lb.NodeID) (message.MemberUpdate, bool) {
	target := core.entries[id]
	switch {
	case target == nil:
		return message.MemberUpdate{}, false
	case target.suspect() || !target.live():
		return target.update(), true
	case target.buried != 0 && !core.hideDeaths:
		update := message.MemberUpdate{Node: id, State: message.MemberDead, Incarnation: target.buried}
		target.buried = 0
		return update, true
	}
	return message.MemberUpdate{}, false
}

// updatesFor takes the updates that ride on a message to one node, as far as
// the news budget goes.
func (core *Core) updatesFor(id lb.NodeID) []message.MemberUpdate {
	var updates []message.MemberUpdate
	bytes := 0
	if update, ok := core.updateForItself(id); ok {
		updates = append(updates, update)
		bytes += sizeOf(&update)
	}
	taken := 0
	for _, rumour := range core.rumours {
		size := sizeOf(&rumour.update)
		if bytes+size > maxUpdateBytes || len(updates) >= maxUpdates || !core.payRumour(float64(size)/packedRatio) {
			break
		}
		bytes += size
		taken++
		rumour.remaining--
		if len(updates) > 0 && rumour.update.Node == id && updates[0].Node == id {
			continue
		}
		updates = append(updates, rumour.update)
	}
	core.rotate(taken)
	return updates
}

// rotate moves the rumours just sent behind the others and drops those sent often enough.
func (core *Core) rotate(taken int) {
	if taken == 0 {
		return
	}
	sent := slices.Clone(core.rumours[:taken])
	rest := append(core.rumours[:0], core.rumours[taken:]...)
	for _, rumour := range sent {
		if rumour.remaining > 0 {
			rest = append(rest, rumour)
		}
	}
	clear(core.rumours[len(rest):])
	core.rumours = rest
}

// refillRumours grants the bytes of the time that has passed, for two seconds at most.
func (core *Core) refillRumours(elapsed time.Duration) {
	rate := float64(core.settings.RumourBytesPerSecond)
	core.rumourTokens = min(core.rumourTokens+rate*elapsed.Seconds(), 2*rate)
}

// spreadRumours sends news to a few nodes besides the probes, and tells
// suspects that they are, as far as the bytes go.
func (core *Core) spreadRumours(effects *Effects) {
	for _, suspect := range core.suspects {
		if suspect.tells > 0 && core.payRumour(pingBytes) {
			suspect.tells--
			core.ping(&suspect.machine, 0, effects)
		}
	}
	for range core.settings.RumourFanout {
		if len(core.rumours) == 0 || core.rumourTokens < core.fullRumour() || !core.payRumour(pingBytes) {
			return
		}
		if target := core.rumourTarget(); target != nil {
			core.ping(&target.machine, 0, effects)
		}
	}
}

// fullRumour is the cost of a message with as much news as there is: a message
// of its own is worth it only when it is full.
func (core *Core) fullRumour() float64 {
	bytes := 0
	for index, rumour := range core.rumours {
		if index == maxUpdates || bytes > maxUpdateBytes {
			break
		}
		bytes += sizeOf(&rumour.update)
	}
	return pingBytes + float64(min(bytes, maxUpdateBytes))/packedRatio
}

// payRumour takes bytes of the news budget, if it has them.
func (core *Core) payRumour(bytes float64) bool {
	if core.rumourTokens < bytes {
		return false
	}
	core.rumourTokens -= bytes
	return true
}

// rumourTarget picks two times out of three from the own zone.
func (core *Core) rumourTarget() *entry {
	zone := core.ownZone
	if core.random.IntN(3) == 0 || len(zone.live) == 0 {
		zone = core.zones[core.random.IntN(len(core.zones))]
	}
	return core.randomIn(zone)
}
