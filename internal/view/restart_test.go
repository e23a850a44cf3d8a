package view_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// updates are the ways in which changes of back ends reach a replica.
var updates = map[string]func(t *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store){
	"listing": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		replica.ApplyListing(now, store.List())
	},
	"changes": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		replica.ApplyChanges(now, store.Changes(replica.Revision()))
	},
	"delta": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		peer := watchingPeer(replica, now, store)
		replica.ApplyDelta(now, peer.Delta(now, replica.Revision()))
	},
	"whole view": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		peer := watchingPeer(replica, now, store)
		replica.ApplyDelta(now, peer.Delta(now, 0))
	},
	"snapshot": func(t *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		packed, err := watchingPeer(replica, now, store).Snapshot(now).Pack()
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := view.UnpackSnapshot(packed)
		if err != nil {
			t.Fatal(err)
		}
		replica.ApplySnapshot(now, snapshot)
	},
}

// watchingPeer returns a peer that starts with the content of a replica and has watched the store
// since.
func watchingPeer(replica *view.Replica, now time.Duration, store *viewtest.Store) *view.Replica {
	peer := view.NewReplica()
	peer.ApplyDelta(now, replica.Delta(now, 0))
	peer.ApplyChanges(now, store.Changes(peer.Revision()))
	return peer
}

func TestInstancesOfABackendHaveDifferentIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := view.Backend{Identity: rapid.Uint64().Draw(t, "identity"), StartUnixMillis: rapid.Int64Range(0, 1<<52).Draw(t, "born")}
		second := first
		if second.InstanceID() != first.InstanceID() {
			t.Fatal("one instance has two IDs")
		}
		second.StartUnixMillis = rapid.Int64Range(0, 1<<52).Filter(func(startMillis int64) bool { return startMillis != first.StartUnixMillis }).Draw(t, "other")
		if second.InstanceID() == first.InstanceID() {
			t.Fatalf("two instances, started at %d and %d, have one ID", first.StartUnixMillis, second.StartUnixMillis)
		}
	})
}

// TestRestartedBackendIsANewInstance checks, for each kind of update, that no state of the old
// instance remains after a restart, such as the end of its cold period.
func TestRestartedBackendIsANewInstance(t *testing.T) {
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80)
			store.PutInstance("a", 1000, 0)
			replica := view.NewReplica()
			replica.ApplyListing(0, store.List())
			oldInstance := replica.Backends()[0].Backend.InstanceID()
			delayed := store.Changes(0)
			store.PutInstance("a", 2000, 3*time.Second)
			update(t, replica, time.Second, store)
			check := func() {
				known := replica.Backends()
				is.Equal(len(known), 1)
				is.Equal(known[0].Backend.StartUnixMillis, int64(2000))
				is.True(known[0].Backend.InstanceID() != oldInstance)
				is.Equal(known[0].ColdUntil, 4*time.Second)
			}
			check()
			replica.ApplyChanges(2*time.Second, delayed) // delayed changes of the old instance
			check()
		})
	}
}

// TestBackendWithUnreadableEntryIsDrained checks, for each kind of update, that a back end whose
// entry becomes unreadable receives no new flows but is not deleted, because it may be alive, and
// that it becomes active again with a readable entry.
func TestBackendWithUnreadableEntryIsDrained(t *testing.T) {
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80)
			store.Put("a", lb.BackendActive)
			store.Put("b", lb.BackendActive)
			replica := view.NewReplica()
			replica.ApplyListing(0, store.List())
			store.PutUnreadable("a")
			update(t, replica, 0, store)
			is.Equal(describe(replica), "version 1 tcp://192.0.2.1:80 a=draining b=active")
			is.Equal(replica.Revision(), store.Revision())
			store.Put("a", lb.BackendActive)
			update(t, replica, 0, store)
			is.Equal(describe(replica), "version 1 tcp://192.0.2.1:80 a=active b=active")
		})
	}
}

// TestUnreadableEntriesActivateNoBackend updates replicas in any order from a store with readable
// and unreadable entries. A replica at the store's revision must send new flows only to the
// instances that the store's readable entries describe.
func TestUnreadableEntriesActivateNoBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		replicas := []*view.Replica{view.NewReplica(), view.NewReplica(), view.NewReplica()}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			replica := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.PutInstance(drawName(t), rapid.Int64Range(1, 3).Draw(t, "born"), 0)
			case 2:
				store.PutUnreadable(drawName(t))
			case 3:
				store.Remove(drawName(t))
			case 4:
				replica.ApplyListing(0, store.List())
			case 5:
				if replica.Revision() > 0 {
					replica.ApplyChanges(0, store.Changes(replica.Revision()))
				}
			case 6:
				peer := replicas[rapid.IntRange(0, 2).Draw(t, "peer")]
				replica.ApplyDelta(0, peer.Delta(0, replica.Revision()))
			}
			for _, replica := range replicas {
				if replica.Revision() == store.Revision() {
					checkInstances(t, store, replica)
				}
			}
		}
	})
}

// checkInstances fails unless the replica sends new flows to exactly the instances that the store's
// readable entries describe.
func checkInstances(t *rapid.T, store *viewtest.Store, replica *view.Replica) {
	active := map[lb.BackendName]bool{}
	for _, known := range replica.Backends() {
		if known.Deleted || known.Backend.State != lb.BackendActive {
			continue
		}
		active[known.Backend.Name] = true
		entry, found := store.Entry(known.Backend.Name)
		if !found || entry.InstanceID() != known.Backend.InstanceID() {
			t.Fatalf("%s started at %d receives new flows; store entry found: %t, started at %d", known.Backend.Name, known.Backend.StartUnixMillis, found, entry.StartUnixMillis)
		}
	}
	for _, name := range []lb.BackendName{"a", "b", "c"} {
		if _, found := store.Entry(name); found && !active[name] {
			t.Fatalf("%s has a readable entry but receives no new flows", name)
		}
	}
}
