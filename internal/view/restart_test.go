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

// ways are those by which news of back ends comes to a replica.
var ways = map[string]func(t *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store){
	"listing": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		replica.ApplyListing(now, store.List())
	},
	"changes": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		replica.ApplyChanges(now, store.Changes(replica.Revision()))
	},
	"delta": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		peer := followed(replica, now, store)
		replica.ApplyDelta(now, peer.Delta(now, replica.Revision()))
	},
	"whole view": func(_ *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		peer := followed(replica, now, store)
		replica.ApplyDelta(now, peer.Delta(now, 0))
	},
	"snapshot": func(t *testing.T, replica *view.Replica, now time.Duration, store *viewtest.Store) {
		packed, err := followed(replica, now, store).Snapshot(now).Pack()
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

// followed gives a peer that knows what a replica knows, and has watched the store since.
func followed(replica *view.Replica, now time.Duration, store *viewtest.Store) *view.Replica {
	peer := view.NewReplica()
	peer.ApplyDelta(now, replica.Delta(now, 0))
	peer.ApplyChanges(now, store.Changes(peer.Revision()))
	return peer
}

func TestRunsOfOneBackendDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := view.Backend{Identity: rapid.Uint64().Draw(t, "identity"), Born: rapid.Int64Range(0, 1<<52).Draw(t, "born")}
		second := first
		if second.Run() != first.Run() {
			t.Fatal("one run has two numbers")
		}
		second.Born = rapid.Int64Range(0, 1<<52).Filter(func(born int64) bool { return born != first.Born }).Draw(t, "other")
		if second.Run() == first.Run() {
			t.Fatalf("two runs have one number: %d and %d", first.Born, second.Born)
		}
	})
}

// TestRestartedBackendIsAnotherRun, by whatever way it is learned: nothing of the old
// run is left, such as how long it stays cold.
func TestRestartedBackendIsAnotherRun(t *testing.T) {
	for way, learn := range ways {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80)
			store.PutBorn("a", 1000, 0)
			replica := view.NewReplica()
			replica.ApplyListing(0, store.List())
			old := replica.Backends()[0].Backend.Run()
			late := store.Changes(0)
			store.PutBorn("a", 2000, 3*time.Second)
			learn(t, replica, time.Second, store)
			check := func() {
				known := replica.Backends()
				is.Equal(len(known), 1)
				is.Equal(known[0].Backend.Born, int64(2000))
				is.True(known[0].Backend.Run() != old)
				is.Equal(known[0].ColdUntil, 4*time.Second)
			}
			check()
			replica.ApplyChanges(2*time.Second, late) // of the old run, and late
			check()
		})
	}
}

// TestUnreadableEntryGetsNoNewFlows, by whatever way it is learned: the back end may
// live, so that it keeps its flows, until an entry that can be read comes.
func TestUnreadableEntryGetsNoNewFlows(t *testing.T) {
	for way, learn := range ways {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80)
			store.Put("a", lb.BackendActive)
			store.Put("b", lb.BackendActive)
			replica := view.NewReplica()
			replica.ApplyListing(0, store.List())
			store.Spoil("a")
			learn(t, replica, 0, store)
			is.Equal(describe(replica), "version 1 tcp://192.0.2.1:80 a=draining b=active")
			is.Equal(replica.Revision(), store.Revision())
			store.Put("a", lb.BackendActive)
			learn(t, replica, 0, store)
			is.Equal(describe(replica), "version 1 tcp://192.0.2.1:80 a=active b=active")
		})
	}
}

// TestUnreadableEntriesNameNoBackend has replicas learn in any order of entries that can
// be read and entries that cannot: one at the store's revision gives new flows to none
// but the runs that the store names.
func TestUnreadableEntriesNameNoBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		replicas := []*view.Replica{view.NewReplica(), view.NewReplica(), view.NewReplica()}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			replica := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.PutBorn(drawName(t), rapid.Int64Range(1, 3).Draw(t, "born"), 0)
			case 2:
				store.Spoil(drawName(t))
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
					checkRuns(t, store, replica)
				}
			}
		}
	})
}

// checkRuns fails unless the replica gives new flows to just those runs that the store names.
func checkRuns(t *rapid.T, store *viewtest.Store, replica *view.Replica) {
	active := map[lb.BackendName]bool{}
	for _, known := range replica.Backends() {
		if known.Gone || known.Backend.State != lb.BackendActive {
			continue
		}
		active[known.Backend.Name] = true
		entry, found := store.Entry(known.Backend.Name)
		if !found || entry.Run() != known.Backend.Run() {
			t.Fatalf("%s born %d gets new flows; its entry: %t, born %d", known.Backend.Name, known.Backend.Born, found, entry.Born)
		}
	}
	for _, name := range []lb.BackendName{"a", "b", "c"} {
		if _, found := store.Entry(name); found && !active[name] {
			t.Fatalf("%s has an entry and gets no new flows", name)
		}
	}
}
