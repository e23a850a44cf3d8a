package view

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Follows tells whether what changed after a revision can be told apart from the whole view.
func (r *Replica) Follows(after int64) bool { return after >= r.pruned && after <= r.revision }

// Delta gives what changed after a revision, or the whole view if that cannot
// be told apart any more.
func (r *Replica) Delta(now time.Duration, after int64) *Delta {
	if !r.Follows(after) {
		after = 0
	}
	delta := &Delta{
		After:                 after,
		Revision:              r.revision,
		Version:               r.version,
		ConfigurationRevision: r.configurationRevision,
		Evacuations:           r.evacuationsAfter(after),
		ColdRates:             r.coldRatesAfter(after),
	}
	for _, entry := range r.routes {
		if entry.Revision > after && (after > 0 || !entry.Gone) {
			delta.Routes = append(delta.Routes, *entry)
		}
	}
	for _, entry := range r.backends {
		if entry.Revision <= after {
			continue
		}
		told := entry.BackendEntry
		told.Backend.ColdMillis = coldMillis(now, entry.coldUntil)
		if told.Gone {
			told.GoneMillis = (now - entry.goneAt).Milliseconds()
		}
		delta.Backends = append(delta.Backends, told)
	}
	slices.SortFunc(delta.Routes, func(left, right RouteEntry) int {
		return compareFrontends(left.Route.Frontend, right.Route.Frontend)
	})
	slices.SortFunc(delta.Backends, func(left, right BackendEntry) int {
		return cmp.Compare(left.Backend.Name, right.Backend.Name)
	})
	return delta
}

func compareFrontends(left, right lb.Frontend) int {
	return cmp.Or(left.Address.Compare(right.Address), cmp.Compare(left.Protocol, right.Protocol))
}

// ApplyDelta takes what a peer tells. applied is false when the delta is no
// newer than the replica, or begins after it, so that something between is missing.
func (r *Replica) ApplyDelta(now time.Duration, delta *Delta) (applied, changed bool) {
	if delta.Revision <= r.revision || delta.After > r.revision {
		return false, false
	}
	before := r.changed
	r.applyRoutes(delta)
	r.applyBackends(now, delta)
	r.applyEvacuations(delta)
	r.applyColdRates(delta)
	r.Advance(delta.Revision)
	if delta.After == 0 {
		r.forgetHistory()
	}
	return true, r.changed != before
}

func (r *Replica) applyRoutes(delta *Delta) {
	if delta.ConfigurationRevision <= r.configurationRevision {
		return
	}
	r.configurationRevision = delta.ConfigurationRevision
	r.version = delta.Version
	r.changed = max(r.changed, delta.ConfigurationRevision)
	told := make(map[lb.Frontend]bool, len(delta.Routes))
	for index := range delta.Routes {
		entry := delta.Routes[index]
		told[entry.Route.Frontend] = true
		r.routes[entry.Route.Frontend] = &entry
	}
	if delta.After > 0 {
		return
	}
	for frontend, entry := range r.routes {
		if !told[frontend] && !entry.Gone {
			entry.Gone = true
			entry.Revision = delta.ConfigurationRevision
		}
	}
}

func (r *Replica) applyBackends(now time.Duration, delta *Delta) {
	present := make(map[lb.BackendName]bool, len(delta.Backends))
	for index := range delta.Backends {
		entry := &delta.Backends[index]
		name := entry.Backend.Name
		present[name] = !entry.Gone
		known := r.backends[name]
		if known != nil && known.Revision >= entry.Revision {
			continue
		}
		r.backends[name] = &backendEntry{
			BackendEntry: BackendEntry{Revision: entry.Revision, Gone: entry.Gone, Backend: entry.Backend},
			goneAt:       now - time.Duration(entry.GoneMillis)*time.Millisecond,
			away:         r.away,
			coldUntil:    now + time.Duration(entry.Backend.ColdMillis)*time.Millisecond,
			earlier:      known.earlierThan(now, &entry.Backend),
		}
		r.changed = max(r.changed, entry.Revision)
	}
	if delta.After > 0 {
		return
	}
	// What the teller knows as gone may have come back and gone again since.
	for name, entry := range r.backends {
		if !present[name] && !entry.Gone && entry.Revision <= delta.Revision {
			r.removeBackend(now, delta.Revision, name)
		}
	}
}
