// Package conntrack remembers at which back end a flow is open, for the few flows whose
// opening more than one back end may answer: a caller repeats an opening that is not
// answered in time, and the copy may be placed elsewhere. Caller and back ends echo the
// last token that they received, so that a late answer to an earlier copy would lead an
// open flow to a back end which does not hold it. The back end of the first later packet
// is the one that the caller accepted. Balancers announce these flows to each other, since
// later packets may come to any of them. The package has no I/O and no clock.
package conntrack

import (
	"cmp"
	"slices"
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
	// BatchSize is how many flows are announced to other balancers at once, and MaxAnnouncements how
	// many wait.
	BatchSize, MaxAnnouncements int
	// RepeatTime is the time until a flow is announced once more: the balancer that heard of it
	// first may have been about to end.
	RepeatTime time.Duration
	// RecentTime is how long after its opening a flow is announced to balancers that start: late
	// answers come within seconds.
	RecentTime time.Duration
	// AckWindow is how many bytes a packet with another token may be ahead of, or behind, the last
	// acknowledgement. One farther away belongs to a new flow of the same addresses and ports.
	AckWindow uint32
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{IdleTimeout: 5 * time.Minute, MaxFlows: 1 << 14, BatchSize: 64, MaxAnnouncements: 256, RepeatTime: time.Second, RecentTime: 30 * time.Second, AckWindow: 1 << 20}
}

// Flow is an open flow, as balancers announce it to each other.
type Flow struct {
	ID lb.FlowID
	// OpeningID tells copies of one opening from a new opening of the same addresses and
	// ports; 0: not known.
	OpeningID uint32
	Token     Token
	// Acknowledged is the last acknowledgement of the caller.
	Acknowledged uint32
}

// entry is a flow that is remembered.
type entry struct {
	flow     Flow
	open     bool // its token and acknowledgement are known
	openedAt time.Duration
	seenAt   time.Duration
}

// announcement is a flow that is to be announced at a time.
type announcement struct {
	flow Flow
	at   time.Duration
}

// Stats counts what a table did, and what it holds.
type Stats struct {
	// Corrected are packets that carried the token of a back end at which their flow is not open.
	Corrected uint64
	// Untracked are flows that were not remembered, and Unannounced those that were not
	// announced, for want of room.
	Untracked, Unannounced uint64
	// Flows are those that are remembered now.
	Flows int
}

// Table is what one balancer remembers. It is not safe for concurrent use.
type Table struct {
	settings      Settings
	entries       map[lb.FlowID]entry
	announcements []announcement // in order of time
	sweepAt       time.Duration
	stats         Stats
}

// New gives an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, entries: make(map[lb.FlowID]entry)}
}

// Opening takes an opening. A new one of the same addresses and ports ends what was known of a flow.
func (t *Table) Opening(id lb.FlowID, openingID uint32) {
	if known, found := t.entries[id]; found && known.flow.OpeningID != openingID {
		delete(t.entries, id)
	}
}

// Ambiguous takes an opening of which an earlier copy may have been placed at another back end.
func (t *Table) Ambiguous(now time.Duration, id lb.FlowID, openingID uint32) {
	known := t.entries[id]
	known.flow.ID, known.flow.OpeningID = id, openingID
	t.track(now, known)
}

// Knows tells whether it is known where a flow is open.
func (t *Table) Knows(id lb.FlowID) bool { return t.entries[id].open }

// Open takes a flow that is open at another back end than one which may answer its opening.
func (t *Table) Open(now time.Duration, flow Flow) {
	if t.track(now, entry{flow: flow, open: true}) {
		t.announce(flow, now)
		t.announce(flow, now+t.settings.RepeatTime)
	}
}

// track tells whether a flow is remembered.
func (t *Table) track(now time.Duration, known entry) bool {
	if _, found := t.entries[known.flow.ID]; !found && len(t.entries) >= t.settings.MaxFlows {
		t.stats.Untracked++
		return false
	}
	known.openedAt, known.seenAt = now, now
	t.entries[known.flow.ID] = known
	return true
}

// announce has a flow announced at a time.
func (t *Table) announce(flow Flow, at time.Duration) {
	if len(t.announcements) >= t.settings.MaxAnnouncements {
		t.stats.Unannounced++
		return
	}
	after := func(other announcement, at time.Duration) int { return cmp.Or(cmp.Compare(other.at, at), -1) }
	index, _ := slices.BinarySearchFunc(t.announcements, at, after)
	t.announcements = slices.Insert(t.announcements, index, announcement{flow, at})
}

// Announcements gives the flows that are to be announced now, each once.
func (t *Table) Announcements(now time.Duration) []Flow {
	var announced []Flow
	for _, due := range t.announcements {
		if due.at > now || len(announced) == t.settings.BatchSize {
			break
		}
		announced = append(announced, due.flow)
	}
	t.announcements = slices.Delete(t.announcements, 0, len(announced))
	return announced
}

// Recent gives flows that were opened a short time ago, for a balancer that has just started.
func (t *Table) Recent(now time.Duration) []Flow {
	var recent []Flow
	for _, known := range t.entries {
		if known.open && now-known.openedAt <= t.settings.RecentTime && len(recent) < t.settings.MaxAnnouncements {
			recent = append(recent, known.flow)
		}
	}
	return recent
}

// Learn takes flows that another balancer has announced, and gives those that were not known.
func (t *Table) Learn(now time.Duration, flows []Flow) []Flow {
	var learned []Flow
	for _, flow := range flows {
		if t.entries[flow.ID].open {
			continue
		}
		if t.track(now, entry{flow: flow, open: true}) {
			learned = append(learned, flow)
			t.announce(flow, now+t.settings.RepeatTime)
		}
	}
	return learned
}

// Resolve gives the token that a later packet goes by: its own, unless the flow is known to be
// open at another back end.
func (t *Table) Resolve(now time.Duration, id lb.FlowID, token Token, acknowledged uint32) Token {
	if len(t.entries) == 0 {
		return token
	}
	known, found := t.entries[id]
	if !found {
		return token
	}
	if !known.open {
		known.flow.Token = token
		known.flow.Acknowledged = acknowledged
		t.Open(now, known.flow)
		return token
	}
	if known.flow.Token != token {
		if !t.near(known.flow.Acknowledged, acknowledged) {
			delete(t.entries, id)
			return token
		}
		t.stats.Corrected++
	}
	known.flow.Acknowledged, known.seenAt = acknowledged, now
	t.entries[id] = known
	return known.flow.Token
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
	for id, known := range t.entries {
		if now-known.seenAt > t.settings.IdleTimeout {
			delete(t.entries, id)
		}
	}
}

// Stats gives the counters.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Flows = len(t.entries)
	return stats
}
