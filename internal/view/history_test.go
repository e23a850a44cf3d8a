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

// putMany writes the entries of back ends.
func putMany(store *viewtest.Store, count int) {
	for index := range count {
		store.Put(lb.BackendName(fmt.Sprintf("i-%08x", uint32(index)*2654435761)), lb.BackendActive)
	}
}

// TestListingAgainTellsOnlyWhatChanged: the load is that of a store that forgets its
// history, so that the node that reads it for the others lists all entries, again and
// again. They had its view before, and are told what differs from that.
func TestListingAgainTellsOnlyWhatChanged(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80, 81)
	putMany(store, 500)
	reader, other := view.NewReplica(), view.NewReplica()
	reader.ApplyListing(0, store.List())
	other.ApplyListing(0, store.List())
	before := reader.Revision()
	store.Configure(2, 81, 82)
	store.Put("new", lb.BackendActive)
	store.Remove("i-00000000")
	store.Evacuate("zone-a")
	reader.ApplyListing(0, store.List())

	delta := reader.Delta(0, before)
	is.Equal(delta.After, before)
	is.Equal(len(delta.Backends), 2)
	is.Equal(len(delta.Routes), 2)
	is.True(delta.Unseen != nil)
	applied, _ := other.ApplyDelta(0, delta)
	is.True(applied)
	is.Equal(describe(other), expected(store))
}

// TestViewFromBetweenIsMended: a node that listed has never known what was made and
// removed since its view before. One that knows of it is told what the other has seen
// change since then, and takes for gone what is not in it.
func TestViewFromBetweenIsMended(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80, 81)
	putMany(store, 500)
	reader := view.NewReplica()
	reader.ApplyListing(0, store.List())
	before := reader.Revision()
	store.Put("passing", lb.BackendActive)
	store.Evacuate("zone-a")
	store.Configure(2, 80, 82)
	between := view.NewReplica()
	between.ApplyListing(0, store.List())
	store.Remove("passing")
	store.Restore("zone-a")
	store.Configure(3, 80, 81)
	reader.ApplyListing(0, store.List())

	is.Equal(reader.LastNews(), store.Revision()) // who is not as new lacks something
	delta := reader.Delta(0, between.Revision())
	is.Equal(delta.After, before)
	is.True(len(delta.Backends) < 10)
	applied, _ := between.ApplyDelta(0, delta)
	is.True(applied)
	is.Equal(describe(between), expected(store))

	// What it has not seen either it does not vouch for.
	again := between.Delta(0, before+2)
	is.True(again.After < before+2)
}

// TestManyListingsAreRemembered: far more jumps than are kept. Views from between old
// ones are told more than they lack, and end up right.
func TestManyListingsAreRemembered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		putMany(store, 5)
		reader, others := view.NewReplica(), []*view.Replica{}
		for round := range rapid.IntRange(1, 80).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "lists") {
				reader.ApplyListing(0, store.List())
			} else if reader.Revision() > 0 {
				reader.ApplyChanges(0, store.Changes(reader.Revision()))
			}
			name := lb.BackendName(fmt.Sprintf("h-%d", rapid.IntRange(0, 3).Draw(t, "name")))
			store.Put(name, lb.BackendActive)
			if round%7 == 0 {
				other := view.NewReplica()
				other.ApplyListing(0, store.List())
				others = append(others, other)
			}
			if rapid.Bool().Draw(t, "goes") {
				store.Remove(name)
			}
		}
		reader.ApplyListing(0, store.List())
		for _, other := range others {
			other.ApplyDelta(0, reader.Delta(0, other.Revision()))
			if describe(other) != expected(store) {
				t.Fatalf("%s, the store: %s", describe(other), expected(store))
			}
		}
	})
}
