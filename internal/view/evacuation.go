package view

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// EvacuationEntry is a zone whose back ends get no new flows by the operators'
// word, or what is remembered of one that they have restored. It stands beside
// the back ends, not in them: it may be known before, after and without them.
type EvacuationEntry struct {
	Revision int64   `json:"revision"`       // of the last change
	Gone     bool    `json:"gone,omitempty"` // the zone was restored
	Zone     lb.Zone `json:"zone"`
}

// StoredEvacuation is an evacuated zone with the revision of its entry.
type StoredEvacuation struct {
	Revision int64
	Zone     lb.Zone
}

// maxEvacuations bounds the zones in a delta, and the restored ones that are
// remembered: far more than a fleet has zones.
const maxEvacuations = 1 << 8

// Validate names the first value that cannot be used.
func (e *EvacuationEntry) Validate() error {
	if e.Zone == "" {
		return errors.New("zone: is missing")
	}
	return nil
}

// Evacuated gives the zones whose back ends get no new flows, sorted.
func (r *Replica) Evacuated() []lb.Zone {
	var zones []lb.Zone
	for zone, entry := range r.evacuations {
		if !entry.Gone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// setEvacuation takes an entry, unless one as new is known.
func (r *Replica) setEvacuation(entry EvacuationEntry) {
	known := r.evacuations[entry.Zone]
	if known != nil && known.Revision >= entry.Revision {
		return
	}
	r.evacuations[entry.Zone] = &entry
	r.changed = max(r.changed, entry.Revision)
}

// restoreUnlisted restores the zones that were evacuated between two revisions, of
// which the second is in it, and are not among those listed.
func (r *Replica) restoreUnlisted(after, revision int64, listed map[lb.Zone]bool) {
	for zone, entry := range r.evacuations {
		if !listed[zone] && !entry.Gone && entry.Revision > after && entry.Revision <= revision {
			r.restore(revision, zone)
		}
	}
}

func (r *Replica) restore(revision int64, zone lb.Zone) {
	known := r.evacuations[zone]
	if known == nil || known.Gone || known.Revision > revision {
		return
	}
	known.Gone = true
	known.Revision = revision
	r.changed = max(r.changed, revision)
}

func (r *Replica) listEvacuations(listing *Listing) {
	listed := make(map[lb.Zone]bool, len(listing.Evacuations))
	for _, stored := range listing.Evacuations {
		listed[stored.Zone] = true
		r.setEvacuation(EvacuationEntry{Revision: stored.Revision, Zone: stored.Zone})
	}
	r.restoreUnlisted(0, listing.Revision, listed)
}

func (r *Replica) applyEvacuations(delta *Delta) {
	told := make(map[lb.Zone]bool, len(delta.Evacuations))
	for _, entry := range delta.Evacuations {
		told[entry.Zone] = !entry.Gone
		r.setEvacuation(entry)
	}
	r.restoreUnlisted(delta.After, delta.Revision, told)
}

// evacuationsAfter gives what changed after a revision; after 0, what is in force.
func (r *Replica) evacuationsAfter(after int64) []EvacuationEntry {
	var entries []EvacuationEntry
	for _, entry := range r.evacuations {
		if entry.Revision > after && (after > 0 || !entry.Gone) {
			entries = append(entries, *entry)
		}
	}
	slices.SortFunc(entries, func(left, right EvacuationEntry) int { return cmp.Compare(left.Zone, right.Zone) })
	return entries
}

// pruneEvacuations forgets restored zones if they are many.
func (r *Replica) pruneEvacuations() {
	if len(r.evacuations) <= maxEvacuations {
		return
	}
	maps.DeleteFunc(r.evacuations, func(_ lb.Zone, entry *EvacuationEntry) bool {
		if entry.Gone {
			r.history.floor = max(r.history.floor, entry.Revision)
		}
		return entry.Gone
	})
}
