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
	found := false
	for name, entry := range r.backends {
		if entry.Gone && now-entry.goneAt > GoneRetention {
			r.pruned = max(r.pruned, entry.Revision)
			delete(r.backends, name)
			found = true
		}
		if entry.earlier != nil && now-entry.earlier.EndedAt > GoneRetention {
			entry.earlier = nil
			found = true
		}
	}
	return found
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
		r.pruned = max(r.pruned, r.routes[frontend].Revision)
		delete(r.routes, frontend)
	}
}
