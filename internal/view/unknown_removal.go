package view

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// unknownRemoval is the deletion of a back end that this replica never contained: the back end was
// deleted after the revision of a listing, but before the listing reached its page. Replicas as old
// as that listing may contain the back end, and must learn of the deletion.
type unknownRemoval struct {
	revision int64
	at       time.Duration // when this replica learned of the deletion
}

// recordUnknownRemoval records the deletion of a back end that is not in the replica.
func (r *Replica) recordUnknownRemoval(now time.Duration, revision int64, name lb.BackendName) {
	if revision <= r.unknownRemovals[name].revision {
		return
	}
	r.unknownRemovals[name] = unknownRemoval{revision: revision, at: now}
	r.lastChange = max(r.lastChange, revision)
}

// unknownRemovalsAfter returns the unknown removals after a revision, sorted by name.
func (r *Replica) unknownRemovalsAfter(after int64) []RemovalEntry {
	var removals []RemovalEntry
	for name, removal := range r.unknownRemovals {
		if removal.revision > after {
			removals = append(removals, RemovalEntry{Revision: removal.revision, Name: name})
		}
	}
	slices.SortFunc(removals, func(left, right RemovalEntry) int { return cmp.Compare(left.Name, right.Name) })
	return removals
}

// applyUnknownRemovals applies the unknown removals of a peer, which may concern back ends that
// this replica contains.
func (r *Replica) applyUnknownRemovals(now time.Duration, delta *Delta) {
	for _, removal := range delta.UnknownRemovals {
		r.removeBackend(now, removal.Revision, removal.Name)
	}
}

// pruneUnknownRemovals drops unknown removals that are older than TombstoneRetention.
func (r *Replica) pruneUnknownRemovals(now time.Duration) {
	for name, removal := range r.unknownRemovals {
		if now-removal.at > TombstoneRetention {
			r.history.compactedRevision = max(r.history.compactedRevision, removal.revision)
			delete(r.unknownRemovals, name)
		}
	}
}
