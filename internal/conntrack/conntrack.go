// Package conntrack remembers at which back end a flow is open, for the few flows whose
// opening more than one back end may answer: a caller repeats an opening that is not
// answered in time, and the copy may be placed elsewhere. Caller and back ends echo the
// last token that they received, so that a late answer to an earlier copy would lead an
// open flow to a back end which does not hold it. The back end of the first later packet
// is the one that the caller accepted. The package has no I/O and no clock.
package conntrack

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Token names a back end in the packets of a flow.
type Token uint32

// Settings of a table. See DefaultSettings.
type Settings struct {
	// IdleTimeout is how long a flow is remembered after its last packet.
	IdleTimeout time.Duration
	// MaxFlows bounds the flows that are remembered; further ones go by their packets' tokens.
	MaxFlows int
	// AckWindow is how many bytes a packet with another token may be ahead of, or behind, the last
	// acknowledgement. One farther away belongs to a new flow of the same addresses and ports.
	AckWindow uint32
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{IdleTimeout: 5 * time.Minute, MaxFlows: 1 << 14, AckWindow: 1 << 20}
}

// flow is a flow that is remembered.
type flow struct {
	openingID    uint32
	open         bool // token and acknowledged are known
	token        Token
	acknowledged uint32
	seenAt       time.Duration
}

// Stats counts what a table did, and what it holds.
type Stats struct {
	// Corrected are packets that carried the token of a back end at which their flow is not open.
	Corrected uint64
	// Untracked are flows that were not remembered for want of room.
	Untracked uint64
	// Flows are those that are remembered now.
	Flows int
}

// Table is what one balancer remembers. It is not safe for concurrent use.
type Table struct {
	settings Settings
	flows    map[lb.FlowID]flow
	sweepAt  time.Duration
	stats    Stats
}

// New gives an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, flows: make(map[lb.FlowID]flow)}
}

// Opening takes an opening, which is tracked if it is a copy: earlier ones may have been placed
// elsewhere. id is that of the flow, openingID tells copies of one opening from a new opening.
func (t *Table) Opening(now time.Duration, id lb.FlowID, openingID, copies uint32) {
	known, found := t.flows[id]
	if found && known.openingID != openingID {
		delete(t.flows, id)
		known, found = flow{}, false
	}
	if copies == 0 && !found {
		return
	}
	known.openingID = openingID
	t.track(now, id, known)
}

// Open takes a later packet of a flow whose opening was placed at another back end than the one
// that its token names.
func (t *Table) Open(now time.Duration, id lb.FlowID, token Token, acknowledged uint32) {
	t.track(now, id, flow{open: true, token: token, acknowledged: acknowledged})
}

func (t *Table) track(now time.Duration, id lb.FlowID, known flow) {
	if _, found := t.flows[id]; !found && len(t.flows) >= t.settings.MaxFlows {
		t.stats.Untracked++
		return
	}
	known.seenAt = now
	t.flows[id] = known
}

// Resolve gives the token that a later packet goes by: its own, unless the flow is known to be
// open at another back end.
func (t *Table) Resolve(now time.Duration, id lb.FlowID, token Token, acknowledged uint32) Token {
	if len(t.flows) == 0 {
		return token
	}
	known, found := t.flows[id]
	if !found {
		return token
	}
	if known.open && known.token != token {
		if !t.near(known.acknowledged, acknowledged) {
			delete(t.flows, id)
			return token
		}
		t.stats.Corrected++
	}
	if !known.open {
		known.open, known.token = true, token
	}
	known.acknowledged, known.seenAt = acknowledged, now
	t.flows[id] = known
	return known.token
}

// near tells whether two acknowledgements belong to one flow. Numbers wrap around.
func (t *Table) near(a, b uint32) bool {
	return a-b <= t.settings.AckWindow || b-a <= t.settings.AckWindow
}

// sweepInterval is the time between looks for idle flows.
const sweepInterval = time.Second

// Tick forgets idle flows.
func (t *Table) Tick(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepInterval
	for id, known := range t.flows {
		if now-known.seenAt > t.settings.IdleTimeout {
			delete(t.flows, id)
		}
	}
}

// Stats gives the counters.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Flows = len(t.flows)
	return stats
}
