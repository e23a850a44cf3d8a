// Package viewtest provides a model of the platform's store for tests of replicas and followers.
package viewtest

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

// Store is an in-memory model of the store that records its present state and all changes.
type Store struct {
	revision      int64
	configuration *view.StoredConfiguration
	backends      map[lb.BackendName]view.StoredBackend
	evacuations   map[lb.Zone]int64        // revisions of the entries
	unreadable    map[lb.BackendName]int64 // revisions of entries that cannot be read
	history       []view.Change
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{
		revision:    1,
		backends:    make(map[lb.BackendName]view.StoredBackend),
		evacuations: make(map[lb.Zone]int64),
		unreadable:  make(map[lb.BackendName]int64),
	}
}

// Configure writes a configuration that routes front ends at the given ports to service web.
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

// PutCold writes the entry of a back end that has just started and stays cold for a time.
func (store *Store) PutCold(name lb.BackendName, cold time.Duration) {
	backend := Backend(name, lb.BackendActive)
	backend.ColdMillis = cold.Milliseconds()
	store.put(backend)
}

// PutInstance writes the entry of a back end with its start time.
func (store *Store) PutInstance(name lb.BackendName, startMillis int64, cold time.Duration) {
	backend := Backend(name, lb.BackendActive)
	backend.StartUnixMillis = startMillis
	backend.ColdMillis = cold.Milliseconds()
	store.put(backend)
}

// PutUnreadable writes an unreadable entry under the name of a back end.
func (store *Store) PutUnreadable(name lb.BackendName) {
	store.revision++
	delete(store.backends, name)
	store.unreadable[name] = store.revision
	store.history = append(store.history, view.Change{Revision: store.revision, Unreadable: name})
}

// Entry returns the entry of a back end; the second result is false if there is no readable one.
func (store *Store) Entry(name lb.BackendName) (view.Backend, bool) {
	stored, found := store.backends[name]
	return stored.Backend, found
}

// put writes the entry of a back end. It keeps the creation revision of an existing entry.
func (store *Store) put(backend view.Backend) {
	store.revision++
	delete(store.unreadable, backend.Name)
	created := store.revision
	if existing, found := store.backends[backend.Name]; found {
		created = existing.Backend.Created
	}
	backend.Created = created
	store.backends[backend.Name] = view.StoredBackend{Revision: store.revision, Backend: backend}
	store.history = append(store.history, view.Change{Revision: store.revision, Backend: &backend})
}

// Remove deletes the entry of a back end if there is one.
func (store *Store) Remove(name lb.BackendName) {
	_, found := store.backends[name]
	if _, isUnreadable := store.unreadable[name]; !found && !isUnreadable {
		return
	}
	store.revision++
	delete(store.backends, name)
	delete(store.unreadable, name)
	store.history = append(store.history, view.Change{Revision: store.revision, Deleted: name})
}

// Evacuate writes the entry that evacuates a zone.
func (store *Store) Evacuate(zone lb.Zone) {
	store.revision++
	store.evacuations[zone] = store.revision
	store.history = append(store.history, view.Change{Revision: store.revision, Evacuated: zone})
}

// Restore deletes the entry that evacuates a zone if there is one.
func (store *Store) Restore(zone lb.Zone) {
	if _, found := store.evacuations[zone]; !found {
		return
	}
	store.revision++
	delete(store.evacuations, zone)
	store.history = append(store.history, view.Change{Revision: store.revision, Restored: zone})
}

// WriteUnrelated writes an entry that is not part of any view, and returns its revision.
func (store *Store) WriteUnrelated() int64 {
	store.revision++
	return store.revision
}

// LastChange returns the revision of the last change that affects views.
func (store *Store) LastChange() int64 {
	if len(store.history) == 0 {
		return 0
	}
	return store.history[len(store.history)-1].Revision
}

// Revision returns the revision of the last write.
func (store *Store) Revision() int64 { return store.revision }

// List returns a listing of the present state.
func (store *Store) List() *view.Listing {
	listing := &view.Listing{Revision: store.revision, Configuration: store.configuration}
	for _, name := range slices.Sorted(maps.Keys(store.backends)) {
		listing.Backends = append(listing.Backends, store.backends[name])
	}
	for _, name := range slices.Sorted(maps.Keys(store.unreadable)) {
		rejected := view.Rejection{Key: string(name), Backend: name, Revision: store.unreadable[name]}
		listing.Rejected = append(listing.Rejected, rejected)
	}
	for _, zone := range slices.Sorted(maps.Keys(store.evacuations)) {
		listing.Evacuations = append(listing.Evacuations, view.StoredEvacuation{Revision: store.evacuations[zone], Zone: zone})
	}
	return listing
}

// ListPaged returns a listing of two pages and calls between after the first page. The revision and
// the back ends whose names sort before split are as before that call.
func (store *Store) ListPaged(split lb.BackendName, between func()) *view.Listing {
	listing := store.List()
	between()
	later := store.List()
	listing.Backends = append(
		slices.DeleteFunc(listing.Backends, func(b view.StoredBackend) bool { return b.Backend.Name >= split }),
		slices.DeleteFunc(later.Backends, func(b view.StoredBackend) bool { return b.Backend.Name < split })...)
	return listing
}

// Changes returns the changes after a revision.
func (store *Store) Changes(after int64) *view.Changes {
	changes := &view.Changes{Revision: store.revision}
	for _, change := range store.history {
		if change.Revision > after {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes
}

// Route returns a route from a port of a fixed address to a service.
func Route(port uint16, service lb.ServiceName) view.Route {
	address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
	return view.Route{
		Frontend: lb.Frontend{Address: address, Protocol: lb.TCP},
		Targets:  []view.Target{{Service: service, Weight: 1}},
	}
}

// Backend returns a back end of service web.
func Backend(name lb.BackendName, state lb.BackendState) view.Backend {
	return view.Backend{
		Name: name, Identity: 7, Service: "web", State: state,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}
