package view

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// maxDeletedRoutes bounds the deleted routes that are remembered.
const maxDeletedRoutes = 1 << 12

// Prune drops tombstones older than TombstoneRetention, and deleted routes and restored zones if
// there are many of them. It reports whether it dropped a back end or a previous instance of a back
// end.
func (r *Replica) Prune(now time.Duration) bool {
	r.pruneRoutes()
	r.pruneEvacuations()
	r.pruneUnknownRemovals(now)
	dropped := false
	for name := range r.expiring {
		dropped = r.pruneBackend(now, name) || dropped
	}
	return dropped
}

// pruneBackend drops the tombstone or the previous instance of a back end if it has expired. It
// reports whether it dropped anything.
func (r *Replica) pruneBackend(now time.Duration, name lb.BackendName) bool {
	entry := r.backends[name]
	switch {
	case entry.Deleted && now-entry.learnedAt > TombstoneRetention:
		r.history.compactedRevision = max(r.history.compactedRevision, entry.Revision)
		delete(r.backends, name)
		delete(r.expiring, name)
	case entry.previous != nil && now-entry.previous.EndedAt > TombstoneRetention:
		entry.previous = nil
		if !entry.Deleted {
			delete(r.expiring, name)
		}
	default:
		return false
	}
	r.markChanged(name)
	return true
}

// pruneRoutes drops the tombstones of all routes if there are more than maxDeletedRoutes.
func (r *Replica) pruneRoutes() {
	var deleted []lb.Frontend
	for frontend, entry := range r.routes {
		if entry.Deleted {
			deleted = append(deleted, frontend)
		}
	}
	if len(deleted) <= maxDeletedRoutes {
		return
	}
	for _, frontend := range deleted {
		r.history.compactedRevision = max(r.history.compactedRevision, r.routes[frontend].Revision)
		delete(r.routes, frontend)
	}
}
