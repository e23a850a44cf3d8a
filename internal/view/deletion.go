package view

import (
	"math"
	"time"
)

// UnknownTime is a time of which only the order is known: it is before all others.
const UnknownTime time.Duration = math.MinInt64

// Contact describes how current a replica is before an update. A deletion that the update contains
// happened after CurrentAt.
type Contact struct {
	// CurrentAt is the latest time at which the replica was known to be current, or UnknownTime.
	CurrentAt time.Duration
	// Outage is set if the store has been unreachable since then.
	Outage bool
	// Delayed is set if the update reaches the replica an unknown time after its creation, so that
	// times in it that are relative to its creation cannot be used.
	Delayed bool
}

// NoContact is the contact of a replica that was never known to be current.
var NoContact = Contact{CurrentAt: UnknownTime}

// SetContact sets the contact. It must be called before an update is applied.
func (r *Replica) SetContact(contact Contact) { r.contact = contact }

// deletion is what a replica knows about the time of a deletion.
type deletion struct {
	learnedAt time.Duration // as KnownBackend.DeletedAt
	// existedAt is the latest time at which the entry is known to have existed, or UnknownTime.
	// learnedAt is no substitute for it: the limits for leaving back ends count from the deletion,
	// and the update may have taken seconds to arrive.
	existedAt    time.Duration
	duringOutage bool // as KnownBackend.DeletedDuringOutage
}

// deletionLearned returns the deletion of an entry that an update no longer contains.
func (c Contact) deletionLearned(now time.Duration) deletion {
	return deletion{learnedAt: now, existedAt: c.CurrentAt, duringOutage: c.Outage}
}

// deletionReceived returns the deletion in an entry of a peer, which may have known the back end
// until later than this replica. existing is this replica's entry, or nil: only if it is present
// does the contact say that the back end existed.
func (c Contact) deletionReceived(now time.Duration, entry *BackendEntry, existing *backendEntry) deletion {
	if existing == nil || existing.Deleted {
		c.CurrentAt = UnknownTime
	}
	received := c.deletionLearned(now - time.Duration(entry.DeletedMillis)*time.Millisecond)
	if entry.ExistedMillis > 0 && !c.Delayed {
		received.existedAt = max(received.existedAt, now-time.Duration(entry.ExistedMillis)*time.Millisecond)
		received.duringOutage = received.duringOutage && entry.DuringOutage
	}
	return received
}

// maxExistedMillis bounds ExistedMillis: one day. All limits that count from a deletion are shorter.
const maxExistedMillis = 24 * 60 * 60 * 1000

// encode sets the fields of an entry that describe its deletion.
func (d *deletion) encode(now time.Duration, entry *BackendEntry) {
	entry.DeletedMillis = (now - d.learnedAt).Milliseconds()
	entry.DuringOutage = d.duringOutage
	if d.existedAt != UnknownTime {
		entry.ExistedMillis = min(max(1, (now-d.existedAt).Milliseconds()), maxExistedMillis)
	}
}
