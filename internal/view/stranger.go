package view

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// stranger is a back end that this replica never knew but by its removal: it went after
// the revision of a listing and before its page was read. Replicas as old as that listing
// may know it, and must be told.
type stranger struct {
	revision int64
	at       time.Duration // when that was learned
}

// noteStranger notes the removal of a back end that is not known.
func (r *Replica) noteStranger(now time.Duration, revision int64, name lb.BackendName) {
	if revision <= r.strangers[name].revision {
		return
	}
	r.strangers[name] = stranger{revision: revision, at: now}
	r.changed = max(r.changed, revision)
}

// strangersAfter gives those that were removed after a revision, by name.
func (r *Replica) strangersAfter(after int64) []GoneEntry {
	var gone []GoneEntry
	for name, known := range r.strangers {
		if known.revision > after {
			gone = append(gone, GoneEntry{Revision: known.revision, Name: name})
		}
	}
	slices.SortFunc(gone, func(left, right GoneEntry) int { return cmp.Compare(left.Name, right.Name) })
	return gone
}

// applyStrangers takes removals that a peer tells.
func (r *Replica) applyStrangers(now time.Duration, delta *Delta) {
	for _, gone := range delta.Gone {
		r.removeBackend(now, gone.Revision, gone.Name)
	}
}

// pruneStrangers forgets those that were removed long ago.
func (r *Replica) pruneStrangers(now time.Duration) {
	for name, known := range r.strangers {
		if now-known.at > GoneRetention {
			r.history.floor = max(r.history.floor, known.revision)
			delete(r.strangers, name)
		}
	}
}
