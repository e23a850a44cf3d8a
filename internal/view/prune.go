package view

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// maxGoneRoutes bounds the removed routes that are remembered.
const maxGoneRoutes = 1 << 12

// Prune forgets what has been gone for long, and removed routes and restored
// zones if they are many, and tells whether a back end, or an earlier run of one, was forgotten.
func (r *Replica) Prune(now time.Duration) bool {
	r.pruneRoutes()
	r.pruneEvacuations()
	r.pruneStrangers(now)
	found := false
	for name := range r.fading {
		found = r.pruneBackend(now, name) || found
	}
	return found
}

// pruneBackend forgets what has been remembered of a back end for long, and tells whether
// it forgot anything.
func (r *Replica) pruneBackend(now time.Duration, name lb.BackendName) bool {
	entry := r.backends[name]
	switch {
	case entry.Gone && now-entry.goneAt > GoneRetention:
		r.history.floor = max(r.history.floor, entry.Revision)
		delete(r.backends, name)
		delete(r.fading, name)
	case entry.earlier != nil && now-entry.earlier.EndedAt > GoneRetention:
		entry.earlier = nil
		if !entry.Gone {
			delete(r.fading, name)
		}
	default:
		return false
	}
	r.touch(name)
	return true
}

func (r *Replica) pruneRoutes() {
	var gone []lb.Frontend
	for frontend, entry := range r.routes {
		if entry.Gone {
			gone = append(gone, frontend)
		}
	}
	if len(gone) <= maxGoneRoutes {
		return
	}
	for _, frontend := range gone {
		r.history.floor = max(r.history.floor, r.routes[frontend].Revision)
		delete(r.routes, frontend)
	}
}
