// Package viewtest models the platform's store for tests of those who follow it.
package viewtest

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

// Store is the store as replicas see it: the present state, and all changes.
type Store struct {
	revision      int64
	configuration *view.StoredConfiguration
	backends      map[lb.BackendName]view.StoredBackend
	evacuations   map[lb.Zone]int64        // revisions of the entries
	spoiled       map[lb.BackendName]int64 // revisions of entries that cannot be read
	history       []view.Change
}

// NewStore gives a store at revision 1 that holds nothing.
func NewStore() *Store {
	return &Store{
		revision:    1,
		backends:    make(map[lb.BackendName]view.StoredBackend),
		evacuations: make(map[lb.Zone]int64),
		spoiled:     make(map[lb.BackendName]int64),
	}
}

// Configure writes a configuration whose front ends, at these ports, go to service web.
func (store *Store) Configure(version uint64, ports ...uint16) {
	store.revision++
	configuration := view.Configuration{Version: version}
	for _, port := range ports {
		configuration.Routes = append(configuration.Routes, Route(port, "web"))
	}
	store.configuration = &view.StoredConfiguration{Revision: store.revision, Configuration: configuration}
	store.history = append(store.history, view.Change{Revision: store.revision, Configuration: &configuration})
}

// Put writes the entry of a back end of service web.
func (store *Store) Put(name lb.BackendName, state lb.BackendState) {
	store.put(Backend(name, state))
}

// PutCold writes the entry of a back end that has just started.
func (store *Store) PutCold(name lb.BackendName, cold time.Duration) {
	backend := Backend(name, lb.BackendActive)
	backend.ColdMillis = cold.Milliseconds()
	store.put(backend)
}

// PutBorn writes the entry of a back end that says when it has started.
func (store *Store) PutBorn(name lb.BackendName, born int64, cold time.Duration) {
	backend := Backend(name, lb.BackendActive)
	backend.Born = born
	backend.ColdMillis = cold.Milliseconds()
	store.put(backend)
}

// Spoil writes an entry that cannot be read under the name of a back end.
func (store *Store) Spoil(name lb.BackendName) {
	store.revision++
	delete(store.backends, name)
	store.spoiled[name] = store.revision
	store.history = append(store.history, view.Change{Revision: store.revision, Withdrawn: name})
}

// Entry gives the entry of a back end; false: there is none that can be read.
func (store *Store) Entry(name lb.BackendName) (view.Backend, bool) {
	stored, found := store.backends[name]
	return stored.Backend, found
}

func (store *Store) put(backend view.Backend) {
	store.revision++
	delete(store.spoiled, backend.Name)
	created := store.revision
	if known, found := store.backends[backend.Name]; found {
		created = known.Backend.Created
	}
	backend.Created = created
	store.backends[backend.Name] = view.StoredBackend{Revision: store.revision, Backend: backend}
	store.history = append(store.history, view.Change{Revision: store.revision, Backend: &backend})
}

// Remove removes the entry of a back end, if there is one.
func (store *Store) Remove(name lb.BackendName) {
	_, found := store.backends[name]
	if _, spoiled := store.spoiled[name]; !found && !spoiled {
		return
	}
	store.revision++
	delete(store.backends, name)
	delete(store.spoiled, name)
	store.history = append(store.history, view.Change{Revision: store.revision, Gone: name})
}

// Evacuate takes a zone out of use.
func (store *Store) Evacuate(zone lb.Zone) {
	store.revision++
	store.evacuations[zone] = store.revision
	store.history = append(store.history, view.Change{Revision: store.revision, Evacuated: zone})
}

// Restore takes a zone back, if it is out of use.
func (store *Store) Restore(zone lb.Zone) {
	if _, found := store.evacuations[zone]; !found {
		return
	}
	store.revision++
	delete(store.evacuations, zone)
	store.history = append(store.history, view.Change{Revision: store.revision, Restored: zone})
}

// Touch writes an entry that concerns no view, and gives its revision.
func (store *Store) Touch() int64 {
	store.revision++
	return store.revision
}

// LastChange is the revision of the last change of a view.
func (store *Store) LastChange() int64 {
	if len(store.history) == 0 {
		return 0
	}
	return store.history[len(store.history)-1].Revision
}

// Revision is that of the last change.
func (store *Store) Revision() int64 { return store.revision }

// List gives the present state.
func (store *Store) List() *view.Listing {
	listing := &view.Listing{Revision: store.revision, Configuration: store.configuration}
	for _, name := range slices.Sorted(maps.Keys(store.backends)) {
		listing.Backends = append(listing.Backends, store.backends[name])
	}
	for _, name := range slices.Sorted(maps.Keys(store.spoiled)) {
		rejected := view.Rejection{Key: string(name), Backend: name, Revision: store.spoiled[name]}
		listing.Rejected = append(listing.Rejected, rejected)
	}
	for _, zone := range slices.Sorted(maps.Keys(store.evacuations)) {
		listing.Evacuations = append(listing.Evacuations, view.StoredEvacuation{Revision: store.evacuations[zone], Zone: zone})
	}
	return listing
}

// ListPaged gives a listing of two pages, between which something happens: back ends whose
// names come before the middle are as they were, and so is the revision.
func (store *Store) ListPaged(middle lb.BackendName, between func()) *view.Listing {
	listing := store.List()
	between()
	later := store.List()
	listing.Backends = append(
		slices.DeleteFunc(listing.Backends, func(b view.StoredBackend) bool { return b.Backend.Name >= middle }),
		slices.DeleteFunc(later.Backends, func(b view.StoredBackend) bool { return b.Backend.Name < middle })...)
	return listing
}

// Changes gives what has changed after a revision.
func (store *Store) Changes(after int64) *view.Changes {
	changes := &view.Changes{Revision: store.revision}
	for _, change := range store.history {
		if change.Revision > after {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes
}

// Route sends a port of one address to a service.
func Route(port uint16, service lb.ServiceName) view.Route {
	address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
	return view.Route{
		Frontend: lb.Frontend{Address: address, Protocol: lb.TCP},
		Targets:  []view.Target{{Service: service, Weight: 1}},
	}
}

// Backend is a back end of service web.
func Backend(name lb.BackendName, state lb.BackendState) view.Backend {
	return view.Backend{
		Name: name, Identity: 7, Service: "web", State: state,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}
