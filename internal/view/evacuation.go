package view

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// EvacuationEntry is a zone whose back ends receive no new flows because operators have evacuated
// it, or the tombstone of a zone that they have restored. It is separate from the back ends: a
// replica may receive it before or after them, or without any back end of the zone.
type EvacuationEntry struct {
	Revision int64   `json:"revision"`       // of the last change
	Restored bool    `json:"gone,omitempty"` // operators have restored the zone
	Zone     lb.Zone `json:"zone"`
}

// StoredEvacuation is an evacuated zone with the revision of its entry.
type StoredEvacuation struct {
	Revision int64
	Zone     lb.Zone
}

// maxEvacuations bounds the zones in a delta and the number of restored zones that a replica
// remembers. It is far larger than the number of zones of a fleet.
const maxEvacuations = 1 << 8

// Validate returns an error that names the first unusable value.
func (e *EvacuationEntry) Validate() error {
	if e.Zone == "" {
		return errors.New("zone: is missing")
	}
	return nil
}

// Evacuated returns the zones whose back ends receive no new flows, sorted.
func (r *Replica) Evacuated() []lb.Zone {
	var zones []lb.Zone
	for zone, entry := range r.evacuations {
		if !entry.Restored {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// setEvacuation applies an entry unless the replica has one that is at least as new.
func (r *Replica) setEvacuation(entry EvacuationEntry) {
	existing := r.evacuations[entry.Zone]
	if existing != nil && existing.Revision >= entry.Revision {
		return
	}
	r.evacuations[entry.Zone] = &entry
	r.lastChange = max(r.lastChange, entry.Revision)
}

// restoreUnlisted restores the zones that were evacuated after the revision after, up to and
// including revision, and are not listed.
func (r *Replica) restoreUnlisted(after, revision int64, listed map[lb.Zone]bool) {
	for zone, entry := range r.evacuations {
		if !listed[zone] && !entry.Restored && entry.Revision > after && entry.Revision <= revision {
			r.restore(revision, zone)
		}
	}
}

// restore marks a zone as restored unless its entry is newer than the revision.
func (r *Replica) restore(revision int64, zone lb.Zone) {
	existing := r.evacuations[zone]
	if existing == nil || existing.Restored || existing.Revision > revision {
		return
	}
	existing.Restored = true
	existing.Revision = revision
	r.lastChange = max(r.lastChange, revision)
}

// applyListedEvacuations replaces the evacuated zones by those of a listing.
func (r *Replica) applyListedEvacuations(listing *Listing) {
	listed := make(map[lb.Zone]bool, len(listing.Evacuations))
	for _, stored := range listing.Evacuations {
		listed[stored.Zone] = true
		r.setEvacuation(EvacuationEntry{Revision: stored.Revision, Zone: stored.Zone})
	}
	r.restoreUnlisted(0, listing.Revision, listed)
}

// applyEvacuations applies the evacuated and restored zones of a delta.
func (r *Replica) applyEvacuations(delta *Delta) {
	evacuated := make(map[lb.Zone]bool, len(delta.Evacuations))
	for _, entry := range delta.Evacuations {
		evacuated[entry.Zone] = !entry.Restored
		r.setEvacuation(entry)
	}
	r.restoreUnlisted(delta.After, delta.Revision, evacuated)
}

// evacuationsAfter returns the entries that changed after a revision; for revision 0, it returns
// only the zones that are still evacuated.
func (r *Replica) evacuationsAfter(after int64) []EvacuationEntry {
	var entries []EvacuationEntry
	for _, entry := range r.evacuations {
		if entry.Revision > after && (after > 0 || !entry.Restored) {
			entries = append(entries, *entry)
		}
	}
	slices.SortFunc(entries, func(left, right EvacuationEntry) int { return cmp.Compare(left.Zone, right.Zone) })
	return entries
}

// pruneEvacuations drops all restored zones once there are many entries.
func (r *Replica) pruneEvacuations() {
	if len(r.evacuations) <= maxEvacuations {
		return
	}
	maps.DeleteFunc(r.evacuations, func(_ lb.Zone, entry *EvacuationEntry) bool {
		if entry.Restored {
			r.history.compactedRevision = max(r.history.compactedRevision, entry.Revision)
		}
		return entry.Restored
	})
}
