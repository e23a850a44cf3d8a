package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// TombstoneRetention is how long a replica remembers a back end whose entry was deleted: some back
// ends continue to serve their flows without an entry.
const TombstoneRetention = 75 * time.Second

// Replica is a balancer's copy of the store's state. It is not safe for concurrent use.
type Replica struct {
	revision int64
	// lastChange is the revision of the last change of a route, back end or zone.
	lastChange            int64
	history               history
	version               uint64
	configurationRevision int64
	routes                map[lb.Frontend]*RouteEntry
	backends              map[lb.BackendName]*backendEntry
	evacuations           map[lb.Zone]*EvacuationEntry
	coldRates             ColdRates
	// contact describes the replica before the next update.
	contact Contact
	// expiring contains the back ends that are deleted or have a previous instance, both of which
	// are remembered only for a limited time.
	expiring map[lb.BackendName]bool
	// unknownRemovals are back ends of which only the deletion is known; see RemovalEntry.
	unknownRemovals map[lb.BackendName]unknownRemoval
	// changedBackends are the back ends that have changed since the last call of ChangedBackends;
	// it is nil before the first call.
	changedBackends map[lb.BackendName]bool
}

// backendEntry is a back end with the times and the previous instance that the replica tracks.
type backendEntry struct {
	BackendEntry
	deletion
	// coldUntil is the latest time at which the back end has warmed up.
	coldUntil time.Duration
	// previous is the instance before this one; nil if none is remembered.
	previous *PreviousInstance
}

// PreviousInstance is the instance of a back end that ended when the present one started. Clients
// may still send packets on its flows.
type PreviousInstance struct {
	StartUnixMillis int64 // as in Backend
	EndedAt         time.Duration
}

// previousInstance returns the instance before next, based on the present entry e of the same name.
// It returns nil if the old instance belonged to another service, because packets for that service
// must not reach the new instance.
func (e *backendEntry) previousInstance(now time.Duration, next *Backend) *PreviousInstance {
	switch {
	case e == nil || e.Backend.Service != next.Service:
		return nil
	case e.Backend.InstanceID() == next.InstanceID():
		return e.previous
	}
	return &PreviousInstance{StartUnixMillis: e.Backend.StartUnixMillis, EndedAt: now}
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		contact:         NoContact,
		routes:          make(map[lb.Frontend]*RouteEntry),
		backends:        make(map[lb.BackendName]*backendEntry),
		evacuations:     make(map[lb.Zone]*EvacuationEntry),
		expiring:        make(map[lb.BackendName]bool),
		unknownRemovals: make(map[lb.BackendName]unknownRemoval),
	}
}

// Revision returns the store's revision up to which the replica is complete; 0 means that the
// replica is empty.
func (r *Replica) Revision() int64 { return r.revision }

// MinCurrentRevision returns the lowest revision at which another replica is as current as this
// one: it lacks no change that this replica has, and contains nothing that this replica has
// recorded as deleted. The result is at most Revision, because a listing of several pages may
// contain later changes, which the replica receives again.
func (r *Replica) MinCurrentRevision() int64 {
	return min(r.revision, max(r.lastChange, r.history.compactedRevision, r.history.lastGapEnd()))
}

// Version returns the version of the configuration; 0 means that there is none.
func (r *Replica) Version() uint64 { return r.version }

// ConfigurationRevision returns the store's revision of the configuration; 0 means that there is
// none.
func (r *Replica) ConfigurationRevision() int64 { return r.configurationRevision }

// ChangedBackends returns the back ends that have changed since the last call, in no particular
// order. On the first call, all is true, and any back end may have changed.
func (r *Replica) ChangedBackends() (names []lb.BackendName, all bool) {
	all = r.changedBackends == nil
	names = slices.Collect(maps.Keys(r.changedBackends))
	r.changedBackends = make(map[lb.BackendName]bool)
	return names, all
}

// setEntry replaces the entry of a back end.
func (r *Replica) setEntry(entry *backendEntry) {
	name := entry.Backend.Name
	r.backends[name] = entry
	delete(r.unknownRemovals, name)
	r.markChanged(name)
	delete(r.expiring, name)
	if entry.Deleted || entry.previous != nil {
		r.expiring[name] = true
	}
}

// markChanged records that a back end has changed.
func (r *Replica) markChanged(name lb.BackendName) {
	if r.changedBackends != nil {
		r.changedBackends[name] = true
	}
}

// Backend returns the back end with a name; found is false if there is none.
func (r *Replica) Backend(name lb.BackendName) (known KnownBackend, found bool) {
	entry := r.backends[name]
	if entry == nil {
		return KnownBackend{}, false
	}
	return entry.knownBackend(), true
}

// Configured reports whether the replica has a configuration.
func (r *Replica) Configured() bool { return r.configurationRevision > 0 }

// Advance records that nothing has changed up to a revision.
func (r *Replica) Advance(revision int64) {
	r.revision = max(r.revision, revision)
}

// ApplyListing applies a listing and reports whether anything changed. It ignores a listing that is
// older than the replica.
func (r *Replica) ApplyListing(now time.Duration, listing *Listing) bool {
	if listing.Revision < r.revision {
		return false
	}
	previousChange, previousRevision := r.lastChange, r.revision
	if stored := listing.Configuration; stored != nil {
		r.setConfiguration(stored.Revision, &stored.Configuration)
	}
	listed := make(map[lb.BackendName]bool, len(listing.Backends))
	for index := range listing.Backends {
		stored := &listing.Backends[index]
		listed[stored.Backend.Name] = true
		r.setBackend(now, stored.Revision, &stored.Backend)
	}
	for _, rejected := range listing.Rejected {
		listed[rejected.Backend] = true
		r.drainUnreadable(rejected.Revision, rejected.Backend)
	}
	for name, entry := range r.backends {
		if !listed[name] && !entry.Deleted && entry.Revision <= listing.Revision {
			r.removeBackend(now, listing.Revision, name)
		}
	}
	r.applyListedEvacuations(listing)
	r.Advance(listing.Revision)
	r.history.recordGap(previousRevision, listing.Revision)
	return r.lastChange != previousChange
}

// ApplyChanges applies changes that start at or before the replica's revision, and reports whether
// anything changed.
func (r *Replica) ApplyChanges(now time.Duration, changes *Changes) bool {
	previousChange := r.lastChange
	for index := range changes.Changes {
		change := &changes.Changes[index]
		switch {
		case change.Configuration != nil:
			r.setConfiguration(change.Revision, change.Configuration)
		case change.Backend != nil:
			r.setBackend(now, change.Revision, change.Backend)
		case change.Unreadable != "":
			r.drainUnreadable(change.Revision, change.Unreadable)
		case change.Evacuated != "":
			r.setEvacuation(EvacuationEntry{Revision: change.Revision, Zone: change.Evacuated})
		case change.Restored != "":
			r.restore(change.Revision, change.Restored)
		default:
			r.removeBackend(now, change.Revision, change.Deleted)
		}
	}
	r.Advance(changes.Revision)
	return r.lastChange != previousChange
}

// setConfiguration applies a configuration unless the replica has one that is at least as new.
func (r *Replica) setConfiguration(revision int64, configuration *Configuration) {
	if revision <= r.configurationRevision {
		return
	}
	r.configurationRevision = revision
	r.version = configuration.Version
	r.lastChange = max(r.lastChange, revision)
	r.setColdRates(revision, configuration.ColdRates)
	present := make(map[lb.Frontend]bool, len(configuration.Routes))
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if present[route.Frontend] {
			continue // only the first route of a front end is used
		}
		present[route.Frontend] = true
		r.setRoute(revision, route)
	}
	for frontend, entry := range r.routes {
		if !present[frontend] && !entry.Deleted {
			entry.Deleted = true
			entry.Revision = revision
		}
	}
}

// setRoute replaces a route. An unchanged route keeps its revision.
func (r *Replica) setRoute(revision int64, route *Route) {
	existing := r.routes[route.Frontend]
	if existing != nil && !existing.Deleted && existing.Route.equal(route) {
		return
	}
	r.routes[route.Frontend] = &RouteEntry{Revision: revision, Route: *route}
}

// setBackend replaces a back end unless the replica has an entry that is at least as new.
func (r *Replica) setBackend(now time.Duration, revision int64, backend *Backend) {
	existing := r.backends[backend.Name]
	if existing != nil && existing.Revision >= revision {
		return
	}
	r.setEntry(&backendEntry{
		BackendEntry: BackendEntry{Revision: revision, Backend: *backend},
		coldUntil:    now + time.Duration(backend.ColdMillis)*time.Millisecond,
		previous:     existing.previousInstance(now, backend),
	})
	r.lastChange = max(r.lastChange, revision)
}

// drainUnreadable marks a back end as draining because its entry has become unreadable. The back
// end may well be alive, so it keeps its open flows, but it receives no new ones. A back end that
// is not in the replica is not added.
func (r *Replica) drainUnreadable(revision int64, name lb.BackendName) {
	existing := r.backends[name]
	if existing == nil || existing.Revision >= revision {
		return
	}
	drained := existing.Backend
	drained.State = lb.BackendDraining
	r.setEntry(&backendEntry{
		BackendEntry: BackendEntry{Revision: revision, Backend: drained},
		previous:     existing.previous,
	})
	r.lastChange = max(r.lastChange, revision)
}

// removeBackend replaces a back end by its tombstone. The deletion of a back end that is not in the
// replica is recorded as an unknown removal.
func (r *Replica) removeBackend(now time.Duration, revision int64, name lb.BackendName) {
	existing := r.backends[name]
	if existing == nil {
		r.recordUnknownRemoval(now, revision, name)
		return
	}
	if existing.Deleted || existing.Revision > revision {
		return
	}
	existing.Deleted = true
	existing.Revision = revision
	existing.deletion = r.contact.deletionLearned(now)
	r.expiring[name] = true
	r.markChanged(name)
	r.lastChange = max(r.lastChange, revision)
}

// Routes returns the routes in force, ordered by front end.
func (r *Replica) Routes() []Route {
	routes := make([]Route, 0, len(r.routes))
	for _, entry := range r.routes {
		if !entry.Deleted {
			routes = append(routes, entry.Route)
		}
	}
	slices.SortFunc(routes, func(left, right Route) int { return compareFrontends(left.Frontend, right.Frontend) })
	return routes
}

// KnownBackend is a back end with the state that the replica tracks for it.
type KnownBackend struct {
	Backend Backend
	// Deleted is set if the entry was deleted. DeletedAt is the time at which the first replica
	// learned of the deletion.
	Deleted   bool
	DeletedAt time.Duration
	// DeletedAfter is a time at which the entry still existed, or UnknownTime. The deletion
	// happened between DeletedAfter and DeletedAt.
	DeletedAfter time.Duration
	// DeletedDuringOutage is set if the store was unreachable between DeletedAfter and DeletedAt.
	// During an outage, the store drops the entries of back ends that cannot reach it.
	DeletedDuringOutage bool
	// ColdUntil is the latest time at which the back end has warmed up.
	ColdUntil time.Duration
	// Previous is the previous instance if it ended a short time ago, else nil.
	Previous *PreviousInstance
}

// Backends returns all back ends, including deleted ones that are still remembered, sorted by name.
func (r *Replica) Backends() []KnownBackend {
	known := make([]KnownBackend, 0, len(r.backends))
	for _, entry := range r.backends {
		known = append(known, entry.knownBackend())
	}
	slices.SortFunc(known, func(left, right KnownBackend) int {
		return strings.Compare(string(left.Backend.Name), string(right.Backend.Name))
	})
	return known
}

// knownBackend returns the exported form of the entry.
func (e *backendEntry) knownBackend() KnownBackend {
	return KnownBackend{
		Backend: e.Backend, Deleted: e.Deleted, DeletedAt: e.learnedAt, DeletedAfter: e.existedAt, DeletedDuringOutage: e.duringOutage,
		ColdUntil: e.coldUntil, Previous: e.previous,
	}
}
