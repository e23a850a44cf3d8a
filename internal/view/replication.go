package view

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// HasHistorySince reports whether the replica can compute the changes after a revision, so that it
// need not send the whole view.
func (r *Replica) HasHistorySince(after int64) bool {
	return after <= r.revision && r.history.baseRevision(after) > 0
}

// Delta returns the changes after a revision. If the revision lies in a gap of the replica's
// history, the delta starts at the beginning of the gap. If the history does not reach back that
// far, Delta returns the whole view.
func (r *Replica) Delta(now time.Duration, after int64) *Delta {
	base, allRoutes := r.deltaBase(after)
	delta := r.deltaHeader(base, allRoutes)
	delta.Backends = r.backendsAfter(now, base, nil)
	return delta
}

// deltaBase returns the revision after which a delta for a replica at the given revision starts,
// and whether the delta must contain all routes. All routes are necessary after a gap, because a
// route that was deleted and created again within it seems unchanged here.
func (r *Replica) deltaBase(after int64) (base int64, allRoutes bool) {
	if after <= r.revision {
		base = r.history.baseRevision(after)
	}
	return base, base == 0 || base < after
}

// deltaHeader returns a delta without its back ends.
func (r *Replica) deltaHeader(after int64, allRoutes bool) *Delta {
	return &Delta{
		After:                 after,
		Revision:              r.revision,
		Unseen:                r.history.unseenAfter(after),
		AllRoutes:             allRoutes,
		Version:               r.version,
		ConfigurationRevision: r.configurationRevision,
		Routes:                r.routesAfter(after, allRoutes),
		UnknownRemovals:       r.unknownRemovalsAfter(after),
		Evacuations:           r.evacuationsAfter(after),
		ColdRates:             r.coldRatesAfter(after, allRoutes),
	}
}

// backendsAfter returns the back ends that changed after a revision, sorted by name. If part is not
// nil, it returns only the back ends of that part.
func (r *Replica) backendsAfter(now time.Duration, after int64, part *Part) []BackendEntry {
	var entries []BackendEntry
	for name, entry := range r.backends {
		if entry.Revision <= after || part != nil && !part.contains(name) {
			continue
		}
		current := entry.BackendEntry
		current.Backend.ColdMillis = coldMillis(now, entry.coldUntil)
		if current.Deleted {
			entry.deletion.encode(now, &current)
		}
		entries = append(entries, current)
	}
	slices.SortFunc(entries, func(left, right BackendEntry) int {
		return cmp.Compare(left.Backend.Name, right.Backend.Name)
	})
	return entries
}

// routesAfter returns the routes that changed after a revision, including deleted ones, or, with
// all set, the routes in force.
func (r *Replica) routesAfter(after int64, all bool) []RouteEntry {
	var routes []RouteEntry
	for _, entry := range r.routes {
		if all && !entry.Deleted || !all && entry.Revision > after {
			routes = append(routes, *entry)
		}
	}
	slices.SortFunc(routes, func(left, right RouteEntry) int {
		return compareFrontends(left.Route.Frontend, right.Route.Frontend)
	})
	return routes
}

// compareFrontends orders front ends by address and protocol.
func compareFrontends(left, right lb.Frontend) int {
	return cmp.Or(left.Address.Compare(right.Address), cmp.Compare(left.Protocol, right.Protocol))
}

// ApplyDelta applies an update of a peer. applied is false if the delta is not newer than the
// replica, if it starts after the replica's revision, so that changes in between are missing, or if
// it is only a part, which must be added to an Assembly first.
func (r *Replica) ApplyDelta(now time.Duration, delta *Delta) (applied, changed bool) {
	if delta.Revision <= r.revision || delta.After > r.revision || delta.Part != nil {
		return false, false
	}
	previousChange, previousRevision := r.lastChange, r.revision
	r.applyRoutes(delta)
	r.applyBackends(now, delta)
	r.applyUnknownRemovals(now, delta)
	if previousChange > delta.After {
		r.removeUnlisted(now, delta)
	}
	r.applyEvacuations(delta)
	r.applyColdRates(delta)
	r.Advance(delta.Revision)
	if delta.After == 0 {
		r.history.recordGap(previousRevision, delta.Revision)
	} else if delta.Unseen != nil {
		// The parts of a delta may be newer than the delta assembled from them.
		r.history.recordGap(delta.Unseen.From, min(delta.Unseen.To, delta.Revision))
	}
	return true, r.lastChange != previousChange
}

// applyRoutes applies the routes of a delta if its configuration is newer.
func (r *Replica) applyRoutes(delta *Delta) {
	if delta.ConfigurationRevision <= r.configurationRevision {
		return
	}
	r.configurationRevision = delta.ConfigurationRevision
	r.version = delta.Version
	r.lastChange = max(r.lastChange, delta.ConfigurationRevision)
	listed := make(map[lb.Frontend]bool, len(delta.Routes))
	for index := range delta.Routes {
		entry := delta.Routes[index]
		listed[entry.Route.Frontend] = true
		r.routes[entry.Route.Frontend] = &entry
	}
	if !delta.AllRoutes {
		return
	}
	for frontend, entry := range r.routes {
		if !listed[frontend] && !entry.Deleted {
			entry.Deleted = true
			entry.Revision = delta.ConfigurationRevision
		}
	}
}

// applyBackends applies the back ends of a delta that are newer than the present entries.
func (r *Replica) applyBackends(now time.Duration, delta *Delta) {
	for index := range delta.Backends {
		entry := &delta.Backends[index]
		name := entry.Backend.Name
		existing := r.backends[name]
		if existing != nil && existing.Revision >= entry.Revision {
			continue
		}
		received := &backendEntry{
			BackendEntry: BackendEntry{Revision: entry.Revision, Deleted: entry.Deleted, Backend: entry.Backend},
			coldUntil:    now + time.Duration(entry.Backend.ColdMillis)*time.Millisecond,
			previous:     existing.previousInstance(now, &entry.Backend),
		}
		if entry.Deleted {
			received.deletion = r.contact.deletionReceived(now, entry, existing)
		}
		r.setEntry(received)
		r.lastChange = max(r.lastChange, entry.Revision)
	}
}

// removeUnlisted deletes the back ends that changed after the delta's start, but are not in the
// delta as present. The sender has all back ends of the store; it may never have observed these, or
// not have observed that they were created again after a deletion.
func (r *Replica) removeUnlisted(now time.Duration, delta *Delta) {
	present := make(map[lb.BackendName]bool, len(delta.Backends))
	for index := range delta.Backends {
		present[delta.Backends[index].Backend.Name] = !delta.Backends[index].Deleted
	}
	for name, entry := range r.backends {
		if !present[name] && !entry.Deleted && entry.Revision > delta.After && entry.Revision <= delta.Revision {
			r.removeBackend(now, delta.Revision, name)
		}
	}
}
