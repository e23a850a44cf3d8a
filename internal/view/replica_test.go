package view

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
)

// storeModel is the store as replicas see it: the present state, and all changes.
type storeModel struct {
	revision      int64
	configuration *StoredConfiguration
	backends      map[lb.BackendName]StoredBackend
	history       []Change
}

func newStoreModel() *storeModel {
	return &storeModel{revision: 1, backends: make(map[lb.BackendName]StoredBackend)}
}

func (store *storeModel) configure(version uint64, ports ...uint16) {
	store.revision++
	configuration := Configuration{Version: version}
	for _, port := range ports {
		configuration.Routes = append(configuration.Routes, testRoute(port, "web"))
	}
	store.configuration = &StoredConfiguration{Revision: store.revision, Configuration: configuration}
	store.history = append(store.history, Change{Revision: store.revision, Configuration: &configuration})
}

func (store *storeModel) put(name lb.BackendName, state lb.BackendState) {
	store.revision++
	created := store.revision
	if known, found := store.backends[name]; found {
		created = known.Backend.Created
	}
	backend := testBackend(name, state)
	backend.Created = created
	store.backends[name] = StoredBackend{Revision: store.revision, Backend: backend}
	store.history = append(store.history, Change{Revision: store.revision, Backend: &backend})
}

func (store *storeModel) remove(name lb.BackendName) {
	if _, found := store.backends[name]; !found {
		return
	}
	store.revision++
	delete(store.backends, name)
	store.history = append(store.history, Change{Revision: store.revision, Gone: name})
}

func (store *storeModel) list() *Listing {
	listing := &Listing{Revision: store.revision, Configuration: store.configuration}
	for _, name := range slices.Sorted(maps.Keys(store.backends)) {
		listing.Backends = append(listing.Backends, store.backends[name])
	}
	return listing
}

func (store *storeModel) changes(after int64) *Changes {
	changes := &Changes{Revision: store.revision}
	for _, change := range store.history {
		if change.Revision > after {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes
}

func testRoute(port uint16, service lb.ServiceName) Route {
	address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
	return Route{
		Frontend: lb.Frontend{Address: address, Protocol: lb.TCP},
		Targets:  []Target{{Service: service, Weight: 1}},
	}
}

func testBackend(name lb.BackendName, state lb.BackendState) Backend {
	return Backend{
		Name: name, Identity: 7, Service: "web", State: state,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// describe prints what a replica takes as in force.
func describe(replica *Replica) string {
	text := fmt.Sprintf("version %d", replica.Version())
	for _, route := range replica.Routes() {
		text += fmt.Sprintf(" %s", route.Frontend)
	}
	for _, known := range replica.Backends() {
		if !known.Gone {
			text += fmt.Sprintf(" %s=%s", known.Backend.Name, known.Backend.State)
		}
	}
	return text
}

// expected is what a replica of the store's present state prints.
func (store *storeModel) expected() string {
	fresh := NewReplica()
	fresh.ApplyListing(0, store.list())
	return describe(fresh)
}

// TestDeltaOfFreshReplicaRemovesRoutes is the fault behind hunt-644a-39 of
// rdp-central: a node that had just listed the store told a peer what had
// changed since the peer's revision, without the routes that had been removed
// before it listed, of which it had never known.
func TestDeltaOfFreshReplicaRemovesRoutes(t *testing.T) {
	is := is.New(t)
	store := newStoreModel()
	store.configure(7, 80, 81)
	older := NewReplica()
	older.ApplyListing(0, store.list())
	store.configure(10, 81)
	fresh := NewReplica()
	fresh.ApplyListing(0, store.list())

	applied, changed := older.ApplyDelta(0, fresh.Delta(0, older.Revision()))
	is.True(applied)
	is.True(changed)
	is.Equal(describe(older), store.expected()) // the route on port 80 is gone
}

func TestOlderTellingsAreIgnored(t *testing.T) {
	is := is.New(t)
	store := newStoreModel()
	store.configure(1, 80)
	old := store.list()
	older := NewReplica()
	older.ApplyListing(0, old)
	store.configure(2, 81)
	replica := NewReplica()
	replica.ApplyListing(0, store.list())

	is.Equal(replica.ApplyListing(0, old), false)
	applied, _ := replica.ApplyDelta(0, older.Delta(0, 0))
	is.Equal(applied, false)
	is.Equal(describe(replica), store.expected())
}

func TestDeltaWithGapIsNotApplied(t *testing.T) {
	is := is.New(t)
	store := newStoreModel()
	store.configure(1, 80)
	behind := NewReplica()
	behind.ApplyListing(0, store.list())
	store.put("a", lb.BackendActive)
	ahead := NewReplica()
	ahead.ApplyListing(0, store.list())
	after := ahead.Revision()
	store.put("b", lb.BackendActive)
	ahead.ApplyChanges(0, store.changes(after))

	applied, _ := behind.ApplyDelta(0, ahead.Delta(0, after))
	is.Equal(applied, false)
	is.Equal(behind.Revision(), int64(2))
}

func TestRejectedEntryKeepsWhatWasKnown(t *testing.T) {
	is := is.New(t)
	store := newStoreModel()
	store.put("a", lb.BackendActive)
	replica := NewReplica()
	replica.ApplyListing(0, store.list())
	listing := &Listing{Revision: store.revision + 1, Rejected: []Rejection{{Key: "a"}}}
	replica.ApplyListing(0, listing)
	is.Equal(describe(replica), "version 0 a=active")
}

func TestGoneBackendsAreRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	store := newStoreModel()
	store.put("a", lb.BackendActive)
	replica := NewReplica()
	replica.ApplyListing(0, store.list())
	before := replica.Revision()
	store.remove("a")
	replica.ApplyChanges(time.Second, store.changes(before))
	is.Equal(len(replica.Backends()), 1)
	is.True(replica.Backends()[0].Gone)

	is.Equal(replica.Prune(time.Second+GoneRetention), false)
	is.True(replica.Prune(time.Second + GoneRetention + 1))
	is.Equal(len(replica.Backends()), 0)
	is.Equal(replica.Delta(0, before).After, int64(0)) // the whole view, since the removal is forgotten
}

// TestReplicasFollowTheStore has replicas listen to the store and to each
// other in any order. A replica at the store's revision always equals it.
func TestReplicasFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStoreModel()
		replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		now := time.Duration(0)
		version := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			replica := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			revision := replica.Revision()
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				version++
				ports := rapid.SliceOfNDistinct(rapid.Uint16Range(80, 84), 1, 3, rapid.ID[uint16]).Draw(t, "ports")
				store.configure(version, ports...)
			case 1:
				store.put(drawName(t), lb.BackendActive)
			case 2:
				store.put(drawName(t), lb.BackendDraining)
			case 3:
				store.remove(drawName(t))
			case 4:
				replica.ApplyListing(now, store.list())
			case 5:
				if revision > 0 {
					replica.ApplyChanges(now, store.changes(revision))
				}
			case 6:
				peer := replicas[rapid.IntRange(0, 2).Draw(t, "peer")]
				replica.ApplyDelta(now, peer.Delta(now, revision))
			case 7:
				replica.Prune(now)
			}
			if replica.Revision() < revision {
				t.Fatalf("revision went from %d to %d", revision, replica.Revision())
			}
			for index, replica := range replicas {
				if replica.Revision() == store.revision && describe(replica) != store.expected() {
					t.Fatalf("replica %d: %s, the store: %s", index, describe(replica), store.expected())
				}
			}
		}
	})
}

func drawName(t *rapid.T) lb.BackendName {
	return rapid.SampledFrom([]lb.BackendName{"a", "b", "c"}).Draw(t, "name")
}
