package view

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Follows tells whether what changed after a revision can be told apart from the whole view.
func (r *Replica) Follows(after int64) bool { return after <= r.revision && r.history.base(after) > 0 }

// Delta gives what changed after a revision, or after an earlier one where this replica
// has jumped over that, or the whole view if neither can be told apart any more.
func (r *Replica) Delta(now time.Duration, after int64) *Delta {
	base, allRoutes := r.baseOf(after)
	delta := r.frame(base, allRoutes)
	delta.Backends = r.backendsAfter(now, base, nil)
	return delta
}

// baseOf gives the revision after which a view at a revision is told, and whether of all
// routes: one that has gone and come back in a jump was never seen to change here.
func (r *Replica) baseOf(after int64) (base int64, allRoutes bool) {
	if after <= r.revision {
		base = r.history.base(after)
	}
	return base, base == 0 || base < after
}

// frame gives all but the back ends of a delta.
func (r *Replica) frame(after int64, allRoutes bool) *Delta {
	return &Delta{
		After:                 after,
		Revision:              r.revision,
		Unseen:                r.history.unseen(after),
		AllRoutes:             allRoutes,
		Version:               r.version,
		ConfigurationRevision: r.configurationRevision,
		Routes:                r.routesAfter(after, allRoutes),
		Gone:                  r.strangersAfter(after),
		Evacuations:           r.evacuationsAfter(after),
		ColdRates:             r.coldRatesAfter(after, allRoutes),
	}
}

// backendsAfter gives the back ends that changed after a revision, by name; part: only
// those in it.
func (r *Replica) backendsAfter(now time.Duration, after int64, part *Part) []BackendEntry {
	var entries []BackendEntry
	for name, entry := range r.backends {
		if entry.Revision <= after || part != nil && !part.has(name) {
			continue
		}
		told := entry.BackendEntry
		told.Backend.ColdMillis = coldMillis(now, entry.coldUntil)
		if told.Gone {
			told.GoneMillis = (now - entry.goneAt).Milliseconds()
		}
		entries = append(entries, told)
	}
	slices.SortFunc(entries, func(left, right BackendEntry) int {
		return cmp.Compare(left.Backend.Name, right.Backend.Name)
	})
	return entries
}

// routesAfter gives the routes that changed after a revision, or all that are in force.
func (r *Replica) routesAfter(after int64, all bool) []RouteEntry {
	var routes []RouteEntry
	for _, entry := range r.routes {
		if all && !entry.Gone || !all && entry.Revision > after {
			routes = append(routes, *entry)
		}
	}
	slices.SortFunc(routes, func(left, right RouteEntry) int {
		return compareFrontends(left.Route.Frontend, right.Route.Frontend)
	})
	return routes
}

func compareFrontends(left, right lb.Frontend) int {
	return cmp.Or(left.Address.Compare(right.Address), cmp.Compare(left.Protocol, right.Protocol))
}

// ApplyDelta takes what a peer tells. applied is false when the delta is no
// newer than the replica, or begins after it, so that something between is missing, or
// is a part, which an Assembly takes.
func (r *Replica) ApplyDelta(now time.Duration, delta *Delta) (applied, changed bool) {
	if delta.Revision <= r.revision || delta.After > r.revision || delta.Part != nil {
		return false, false
	}
	before, known := r.changed, r.revision
	r.applyRoutes(delta)
	r.applyBackends(now, delta)
	r.applyStrangers(now, delta)
	if before > delta.After {
		r.removeUntold(now, delta)
	}
	r.applyEvacuations(delta)
	r.applyColdRates(delta)
	r.Advance(delta.Revision)
	if delta.After == 0 {
		r.history.jump(known, delta.Revision)
	} else if delta.Unseen != nil {
		// Parts may be of later revisions than the delta that was made of them.
		r.history.jump(delta.Unseen.From, min(delta.Unseen.To, delta.Revision))
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
	if !delta.AllRoutes {
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
	for index := range delta.Backends {
		entry := &delta.Backends[index]
		name := entry.Backend.Name
		known := r.backends[name]
		if known != nil && known.Revision >= entry.Revision {
			continue
		}
		r.put(&backendEntry{
			BackendEntry: BackendEntry{Revision: entry.Revision, Gone: entry.Gone, Backend: entry.Backend},
			goneAt:       now - time.Duration(entry.GoneMillis)*time.Millisecond,
			away:         r.away,
			coldUntil:    now + time.Duration(entry.Backend.ColdMillis)*time.Millisecond,
			earlier:      known.earlierThan(now, &entry.Backend),
		})
		r.changed = max(r.changed, entry.Revision)
	}
}

// removeUntold removes the back ends that changed after the delta's beginning and are not
// told as present: the teller knows all that is there, and may never have known these, or
// that they came back after they had gone.
func (r *Replica) removeUntold(now time.Duration, delta *Delta) {
	present := make(map[lb.BackendName]bool, len(delta.Backends))
	for index := range delta.Backends {
		present[delta.Backends[index].Backend.Name] = !delta.Backends[index].Gone
	}
	for name, entry := range r.backends {
		if !present[name] && !entry.Gone && entry.Revision > delta.After && entry.Revision <= delta.Revision {
			r.removeBackend(now, delta.Revision, name)
		}
	}
}
