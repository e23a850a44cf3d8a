package view_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// putMany writes the entries of many back ends.
func putMany(store *viewtest.Store, count int) {
	for index := range count {
		store.Put(lb.BackendName(fmt.Sprintf("i-%08x", uint32(index)*2654435761)), lb.BackendActive)
	}
}

// TestDeltaAfterListingContainsOnlyChanges guards against sending the whole view after each
// listing. If the store compacts its history often, the watcher of the fleet lists all entries
// again and again. Its peers have the view before the listing and receive only the difference.
func TestDeltaAfterListingContainsOnlyChanges(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80, 81)
	putMany(store, 500)
	watcher, receiver := view.NewReplica(), view.NewReplica()
	watcher.ApplyListing(0, store.List())
	receiver.ApplyListing(0, store.List())
	before := watcher.Revision()
	store.Configure(2, 81, 82)
	store.Put("new", lb.BackendActive)
	store.Remove("i-00000000")
	store.Evacuate("zone-a")
	watcher.ApplyListing(0, store.List())

	delta := watcher.Delta(0, before)
	is.Equal(delta.After, before)
	is.Equal(len(delta.Backends), 2)
	is.Equal(len(delta.Routes), 2)
	is.True(delta.Unseen != nil)
	applied, _ := receiver.ApplyDelta(0, delta)
	is.True(applied)
	is.Equal(describe(receiver), expected(store))
}

// TestReplicaWithinAGapIsCorrected checks a replica whose revision lies in a gap of the sender's
// history. A node that lists never observes entries that were created and deleted since its
// previous view. A replica that contains such an entry receives all changes since the start of the
// gap, and deletes what the delta does not contain.
func TestReplicaWithinAGapIsCorrected(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80, 81)
	putMany(store, 500)
	watcher := view.NewReplica()
	watcher.ApplyListing(0, store.List())
	before := watcher.Revision()
	store.Put("passing", lb.BackendActive)
	store.Evacuate("zone-a")
	store.Configure(2, 80, 82)
	receiver := view.NewReplica()
	receiver.ApplyListing(0, store.List())
	store.Remove("passing")
	store.Restore("zone-a")
	store.Configure(3, 80, 81)
	watcher.ApplyListing(0, store.List())

	is.Equal(watcher.MinCurrentRevision(), store.Revision()) // a replica at a lower revision may lack something
	delta := watcher.Delta(0, receiver.Revision())
	is.Equal(delta.After, before)
	is.True(len(delta.Backends) < 10)
	applied, _ := receiver.ApplyDelta(0, delta)
	is.True(applied)
	is.Equal(describe(receiver), expected(store))

	// The receiver has not observed the changes in the gap either, so its delta starts before it.
	next := receiver.Delta(0, before+2)
	is.True(next.After < before+2)
}

// TestManyGapsAreMerged records far more gaps than a replica keeps. Replicas at revisions within
// old gaps receive more than they lack, and then equal the store.
func TestManyGapsAreMerged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		putMany(store, 5)
		sender, receivers := view.NewReplica(), []*view.Replica{}
		for round := range rapid.IntRange(1, 80).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "lists") {
				sender.ApplyListing(0, store.List())
			} else if sender.Revision() > 0 {
				sender.ApplyChanges(0, store.Changes(sender.Revision()))
			}
			name := lb.BackendName(fmt.Sprintf("h-%d", rapid.IntRange(0, 3).Draw(t, "name")))
			store.Put(name, lb.BackendActive)
			if round%7 == 0 {
				receiver := view.NewReplica()
				receiver.ApplyListing(0, store.List())
				receivers = append(receivers, receiver)
			}
			if rapid.Bool().Draw(t, "removed") {
				store.Remove(name)
			}
		}
		sender.ApplyListing(0, store.List())
		for _, receiver := range receivers {
			receiver.ApplyDelta(0, sender.Delta(0, receiver.Revision()))
			if describe(receiver) != expected(store) {
				t.Fatalf("got %s, store has %s", describe(receiver), expected(store))
			}
		}
	})
}
