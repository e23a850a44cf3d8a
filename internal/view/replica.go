package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// GoneRetention is how long a back end that has gone from the store is
// remembered: some serve their flows on without an entry.
const GoneRetention = 75 * time.Second

// Replica is one balancer's copy. It is not safe for concurrent use.
type Replica struct {
	revision int64
	// changed is the revision of the last change of a route, back end or zone.
	changed               int64
	history               history
	version               uint64
	configurationRevision int64
	routes                map[lb.Frontend]*RouteEntry
	backends              map[lb.BackendName]*backendEntry
	evacuations           map[lb.Zone]*EvacuationEntry
	coldRates             ColdRates
	// away: what is applied next comes after a time without word of the store.
	away bool
	// fading are the back ends of which something is remembered for a while only.
	fading map[lb.BackendName]bool
	// strangers are back ends of which only the removal is known; see GoneEntry.
	strangers map[lb.BackendName]stranger
	// touched are the back ends that have changed since Touched was called; nil: it never was.
	touched map[lb.BackendName]bool
}

type backendEntry struct {
	BackendEntry
	goneAt time.Duration
	// away: it went while nothing was heard of the store.
	away bool
	// coldUntil is when it has warmed up, at the latest.
	coldUntil time.Duration
	// earlier is the run before this one; nil: none is remembered.
	earlier *EarlierRun
}

// EarlierRun is the run of a back end that ended when the present one began. Callers may
// still send on its flows.
type EarlierRun struct {
	Born    int64 // as in Backend
	EndedAt time.Duration
}

// earlierThan gives the run before a back end's, of what is known under its name. One of
// another service is not remembered: its packets must not get there.
func (e *backendEntry) earlierThan(now time.Duration, next *Backend) *EarlierRun {
	switch {
	case e == nil || e.Backend.Service != next.Service:
		return nil
	case e.Backend.Run() == next.Run():
		return e.earlier
	}
	return &EarlierRun{Born: e.Backend.Born, EndedAt: now}
}

// NewReplica gives a replica that knows nothing.
func NewReplica() *Replica {
	return &Replica{
		routes:      make(map[lb.Frontend]*RouteEntry),
		backends:    make(map[lb.BackendName]*backendEntry),
		evacuations: make(map[lb.Zone]*EvacuationEntry),
		fading:      make(map[lb.BackendName]bool),
		strangers:   make(map[lb.BackendName]stranger),
	}
}

// Revision is the store's revision up to which everything is known; 0: nothing is.
func (r *Replica) Revision() int64 { return r.revision }

// LastNews is the revision from which on another replica lacks nothing that
// this one knows, and has nothing that this one knows as removed. It is at most
// Revision: what a listing of several pages told of later changes comes again.
func (r *Replica) LastNews() int64 {
	return min(r.revision, max(r.changed, r.history.floor, r.history.lastJump()))
}

// Version is that of the configuration; 0: there is none.
func (r *Replica) Version() uint64 { return r.version }

// ConfigurationRevision is the store's revision of the configuration; 0: there is none.
func (r *Replica) ConfigurationRevision() int64 { return r.configurationRevision }

// Touched gives the back ends that have changed since the last call, in no particular
// order; all: it is the first call, and all may have.
func (r *Replica) Touched() (names []lb.BackendName, all bool) {
	all = r.touched == nil
	names = slices.Collect(maps.Keys(r.touched))
	r.touched = make(map[lb.BackendName]bool)
	return names, all
}

// put takes an entry in place of what was known under its name.
func (r *Replica) put(entry *backendEntry) {
	name := entry.Backend.Name
	r.backends[name] = entry
	delete(r.strangers, name)
	r.touch(name)
	delete(r.fading, name)
	if entry.Gone || entry.earlier != nil {
		r.fading[name] = true
	}
}

// touch notes that a back end has changed.
func (r *Replica) touch(name lb.BackendName) {
	if r.touched != nil {
		r.touched[name] = true
	}
}

// Backend gives a back end that is known; found is false if none has the name.
func (r *Replica) Backend(name lb.BackendName) (known Known, found bool) {
	entry := r.backends[name]
	if entry == nil {
		return Known{}, false
	}
	return entry.known(), true
}

// Configured tells whether a configuration is known.
func (r *Replica) Configured() bool { return r.configurationRevision > 0 }

// awayAge is the age of a view from which on the store is taken to have been
// away: readers that fail leave no view this old.
const awayAge = 2500 * time.Millisecond

// NoteAge says, before something is applied, how old the view is by then.
func (r *Replica) NoteAge(age time.Duration) { r.away = age >= awayAge }

// Advance notes that nothing has changed up to revision.
func (r *Replica) Advance(revision int64) {
	r.revision = max(r.revision, revision)
}

// ApplyListing takes a listing and tells whether anything changed. One older
// than the replica is ignored.
func (r *Replica) ApplyListing(now time.Duration, listing *Listing) bool {
	if listing.Revision < r.revision {
		return false
	}
	before, known := r.changed, r.revision
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
		r.withdraw(rejected.Revision, rejected.Backend)
	}
	for name, entry := range r.backends {
		if !listed[name] && !entry.Gone && entry.Revision <= listing.Revision {
			r.removeBackend(now, listing.Revision, name)
		}
	}
	r.listEvacuations(listing)
	r.Advance(listing.Revision)
	r.history.jump(known, listing.Revision)
	return r.changed != before
}

// ApplyChanges takes changes that begin at or before the replica's revision
// and tells whether anything changed.
func (r *Replica) ApplyChanges(now time.Duration, changes *Changes) bool {
	before := r.changed
	for index := range changes.Changes {
		change := &changes.Changes[index]
		switch {
		case change.Configuration != nil:
			r.setConfiguration(change.Revision, change.Configuration)
		case change.Backend != nil:
			r.setBackend(now, change.Revision, change.Backend)
		case change.Withdrawn != "":
			r.withdraw(change.Revision, change.Withdrawn)
		case change.Evacuated != "":
			r.setEvacuation(EvacuationEntry{Revision: change.Revision, Zone: change.Evacuated})
		case change.Restored != "":
			r.restore(change.Revision, change.Restored)
		default:
			r.removeBackend(now, change.Revision, change.Gone)
		}
	}
	r.Advance(changes.Revision)
	return r.changed != before
}

func (r *Replica) setConfiguration(revision int64, configuration *Configuration) {
	if revision <= r.configurationRevision {
		return
	}
	r.configurationRevision = revision
	r.version = configuration.Version
	r.changed = max(r.changed, revision)
	r.setColdRates(revision, configuration.ColdRates)
	present := make(map[lb.Frontend]bool, len(configuration.Routes))
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if present[route.Frontend] {
			continue // the first route of a front end counts
		}
		present[route.Frontend] = true
		r.setRoute(revision, route)
	}
	for frontend, entry := range r.routes {
		if !present[frontend] && !entry.Gone {
			entry.Gone = true
			entry.Revision = revision
		}
	}
}

func (r *Replica) setRoute(revision int64, route *Route) {
	known := r.routes[route.Frontend]
	if known != nil && !known.Gone && known.Route.equal(route) {
		return
	}
	r.routes[route.Frontend] = &RouteEntry{Revision: revision, Route: *route}
}

func (r *Replica) setBackend(now time.Duration, revision int64, backend *Backend) {
	known := r.backends[backend.Name]
	if known != nil && known.Revision >= revision {
		return
	}
	r.put(&backendEntry{
		BackendEntry: BackendEntry{Revision: revision, Backend: *backend},
		coldUntil:    now + time.Duration(backend.ColdMillis)*time.Millisecond,
		earlier:      known.earlierThan(now, backend),
	})
	r.changed = max(r.changed, revision)
}

// withdraw takes a back end whose entry says nothing that can be used from those that
// get new flows, as if it drained: it may well live, and keeps the flows that it has.
// One that was not known stays so.
func (r *Replica) withdraw(revision int64, name lb.BackendName) {
	known := r.backends[name]
	if known == nil || known.Revision >= revision {
		return
	}
	drains := known.Backend
	drains.State = lb.BackendDraining
	r.put(&backendEntry{
		BackendEntry: BackendEntry{Revision: revision, Backend: drains},
		earlier:      known.earlier,
	})
	r.changed = max(r.changed, revision)
}

func (r *Replica) removeBackend(now time.Duration, revision int64, name lb.BackendName) {
	known := r.backends[name]
	if known == nil {
		r.noteStranger(now, revision, name)
		return
	}
	if known.Gone || known.Revision > revision {
		return
	}
	known.Gone = true
	known.Revision = revision
	known.goneAt = now
	known.away = r.away
	r.fading[name] = true
	r.touch(name)
	r.changed = max(r.changed, revision)
}

// Routes gives the routes in force, by front end.
func (r *Replica) Routes() []Route {
	routes := make([]Route, 0, len(r.routes))
	for _, entry := range r.routes {
		if !entry.Gone {
			routes = append(routes, entry.Route)
		}
	}
	slices.SortFunc(routes, func(left, right Route) int { return compareFrontends(left.Frontend, right.Frontend) })
	return routes
}

// Known is a back end as the replica knows it.
type Known struct {
	Backend Backend
	// Gone: it has no entry any more. GoneAt is when that was learned.
	Gone   bool
	GoneAt time.Duration
	// Away: it went while nothing was heard of the store, which drops the
	// entries of back ends that cannot reach it meanwhile.
	Away bool
	// ColdUntil is when it has warmed up, at the latest.
	ColdUntil time.Duration
	// Earlier is the run before this one, if it ended a short time ago; else nil.
	Earlier *EarlierRun
}

// Backends gives all back ends that are known, those that have gone included, by name.
func (r *Replica) Backends() []Known {
	known := make([]Known, 0, len(r.backends))
	for _, entry := range r.backends {
		known = append(known, entry.known())
	}
	slices.SortFunc(known, func(left, right Known) int {
		return strings.Compare(string(left.Backend.Name), string(right.Backend.Name))
	})
	return known
}

func (e *backendEntry) known() Known {
	return Known{
		Backend: e.Backend, Gone: e.Gone, GoneAt: e.goneAt, Away: e.away, ColdUntil: e.coldUntil, Earlier: e.earlier,
	}
}
