// Package conntrack tracks the back end at which a flow is open, for the few flows whose opening
// may be answered by more than one back end: a client retransmits an opening that is not answered
// in time, and the copy may be placed elsewhere. Client and back ends echo the last token that they
// received, so a late answer to an earlier copy would send the packets of an open flow to a back
// end that does not have the flow. The back end of the first packet after the opening is the one
// that the client accepted. Balancers announce these flows to each other, since later packets may
// arrive at any of them. The package has no I/O and no clock.
package conntrack

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Token identifies a back end in the packets of a flow.
type Token uint32

// Settings are the parameters of a table. See DefaultSettings.
type Settings struct {
	// IdleTimeout is how long a flow is tracked after its last packet.
	IdleTimeout time.Duration
	// MaxFlows is the maximum number of tracked flows. Packets of further flows are forwarded by
	// their own tokens.
	MaxFlows int
	// BatchSize is the maximum number of flows in one announcement to other balancers, and
	// MaxAnnouncements the maximum number of flows that wait to be announced.
	BatchSize, MaxAnnouncements int
	// RepeatTime is the time after which a flow is announced a second time, in case the balancer
	// that received the first announcement stopped before passing it on.
	RepeatTime time.Duration
	// RecentTime is how long after its opening a flow is announced to starting balancers. Late
	// answers arrive within seconds.
	RecentTime time.Duration
	// AckWindow is the maximum distance, in bytes, between the last acknowledgement of a flow and
	// the acknowledgement in a packet with another token. A packet farther away belongs to a new
	// flow with the same addresses and ports.
	AckWindow uint32
}

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings {
	return Settings{IdleTimeout: 5 * time.Minute, MaxFlows: 1 << 14, BatchSize: 64, MaxAnnouncements: 256, RepeatTime: time.Second, RecentTime: 30 * time.Second, AckWindow: 1 << 20}
}

// Flow is an open flow, as balancers announce it to each other.
type Flow struct {
	ID lb.FlowID
	// OpeningID distinguishes copies of one opening from a new opening with the same addresses and
	// ports; 0 means unknown.
	OpeningID uint32
	Token     Token
	// Acknowledged is the last acknowledgement number that the client sent.
	Acknowledged uint32
}

// entry is the state of a tracked flow.
type entry struct {
	flow     Flow
	open     bool // the token and the acknowledgement are known
	openedAt time.Duration
	seenAt   time.Duration
}

// announcement is a flow that waits to be announced.
type announcement struct {
	flow Flow
	at   time.Duration
}

// Stats holds the counters of a table and its size.
type Stats struct {
	// Corrected is the number of packets that carried the token of a back end other than the one at
	// which their flow is open.
	Corrected uint64
	// Untracked is the number of flows that were not tracked because the table was full, and
	// Unannounced the number of announcements that were dropped because too many were waiting.
	Untracked, Unannounced uint64
	// Flows is the present number of tracked flows.
	Flows int
}

// Table holds the flows that one balancer tracks. It is not safe for concurrent use.
type Table struct {
	settings      Settings
	entries       map[lb.FlowID]entry
	announcements []announcement // in order of time
	sweepAt       time.Duration
	stats         Stats
}

// New returns an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, entries: make(map[lb.FlowID]entry)}
}

// RecordOpening removes the state of a flow if the given opening is a new one with the same
// addresses and ports.
func (t *Table) RecordOpening(id lb.FlowID, openingID uint32) {
	if e, found := t.entries[id]; found && e.flow.OpeningID != openingID {
		delete(t.entries, id)
	}
}

// TrackAmbiguous tracks a flow whose opening may have been placed at another back end in an earlier
// copy.
func (t *Table) TrackAmbiguous(now time.Duration, id lb.FlowID, openingID uint32) {
	e := t.entries[id]
	e.flow.ID, e.flow.OpeningID = id, openingID
	t.track(now, e)
}

// IsOpen returns true if the back end at which a flow is open is known.
func (t *Table) IsOpen(id lb.FlowID) bool { return t.entries[id].open }

// RecordOpenFlow records a flow that is open at one back end while another one may still answer its
// opening, and schedules its announcements.
func (t *Table) RecordOpenFlow(now time.Duration, flow Flow) {
	if t.track(now, entry{flow: flow, open: true}) {
		t.announce(flow, now)
		t.announce(flow, now+t.settings.RepeatTime)
	}
}

// track adds or replaces an entry. It returns false if the table is full.
func (t *Table) track(now time.Duration, added entry) bool {
	if _, found := t.entries[added.flow.ID]; !found && len(t.entries) >= t.settings.MaxFlows {
		t.stats.Untracked++
		return false
	}
	added.openedAt, added.seenAt = now, now
	t.entries[added.flow.ID] = added
	return true
}

// announce schedules an announcement of a flow.
func (t *Table) announce(flow Flow, at time.Duration) {
	if len(t.announcements) >= t.settings.MaxAnnouncements {
		t.stats.Unannounced++
		return
	}
	after := func(other announcement, at time.Duration) int { return cmp.Or(cmp.Compare(other.at, at), -1) }
	index, _ := slices.BinarySearchFunc(t.announcements, at, after)
	t.announcements = slices.Insert(t.announcements, index, announcement{flow, at})
}

// Announcements returns the flows to announce now, at most BatchSize, and removes them from the
// schedule.
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

// Recent returns flows that were opened within the last RecentTime, for a balancer that has just
// started.
func (t *Table) Recent(now time.Duration) []Flow {
	var recent []Flow
	for _, e := range t.entries {
		if e.open && now-e.openedAt <= t.settings.RecentTime && len(recent) < t.settings.MaxAnnouncements {
			recent = append(recent, e.flow)
		}
	}
	return recent
}

// AddAnnounced adds flows that another balancer announced. It returns the flows that were new.
func (t *Table) AddAnnounced(now time.Duration, flows []Flow) []Flow {
	var added []Flow
	for _, flow := range flows {
		if t.entries[flow.ID].open {
			continue
		}
		if t.track(now, entry{flow: flow, open: true}) {
			added = append(added, flow)
			t.announce(flow, now+t.settings.RepeatTime)
		}
	}
	return added
}

// Resolve returns the token by which a packet after the opening must be forwarded. It is the
// packet's own token, unless the flow is known to be open at another back end.
func (t *Table) Resolve(now time.Duration, id lb.FlowID, token Token, acknowledged uint32) Token {
	if len(t.entries) == 0 {
		return token
	}
	e, found := t.entries[id]
	if !found {
		return token
	}
	if !e.open {
		e.flow.Token = token
		e.flow.Acknowledged = acknowledged
		t.RecordOpenFlow(now, e.flow)
		return token
	}
	if e.flow.Token != token {
		if !t.near(e.flow.Acknowledged, acknowledged) {
			delete(t.entries, id)
			return token
		}
		t.stats.Corrected++
	}
	e.flow.Acknowledged, e.seenAt = acknowledged, now
	t.entries[id] = e
	return e.flow.Token
}

// near returns true if two acknowledgements are close enough to belong to one flow. The numbers
// wrap around.
func (t *Table) near(a, b uint32) bool {
	return a-b <= t.settings.AckWindow || b-a <= t.settings.AckWindow
}

// sweepInterval is the interval between searches for idle flows.
const sweepInterval = time.Second

// Tick removes idle flows.
func (t *Table) Tick(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepInterval
	for id, e := range t.entries {
		if now-e.seenAt > t.settings.IdleTimeout {
			delete(t.entries, id)
		}
	}
}

// Stats returns the counters and the number of tracked flows.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Flows = len(t.entries)
	return stats
}
