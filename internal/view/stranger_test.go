package view_test

import (
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// TestRemovalDuringAListingIsToldOn: a back end goes after the first page of a listing and
// before its own page. The node that lists never knows it; one that was as old as the
// first page does, and must learn that it has gone.
func TestRemovalDuringAListingIsToldOn(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	store.Put("a", lb.BackendActive)
	store.Put("z", lb.BackendActive)
	other := view.NewReplica()
	other.ApplyListing(0, store.List())
	reader := view.NewReplica()
	reader.ApplyListing(0, store.ListPaged("m", func() { store.Remove("z") }))
	is.Equal(reader.Revision(), other.Revision())
	reader.ApplyChanges(0, store.Changes(reader.Revision()))
	delta := reader.Delta(0, other.Revision())
	is.True(delta.After > 0)
	is.NoErr(delta.Validate())
	other.ApplyDelta(0, delta)
	is.Equal(describe(other), expected(store))

	reader.Prune(view.GoneRetention + 1)
	is.Equal(reader.Delta(0, delta.After).After, int64(0)) // forgotten: the whole view
}

// TestWhatIsToldCanBeSent: views made of parts of several revisions, with jumps of those who told them.
func TestWhatIsToldCanBeSent(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	putMany(store, 1500)
	tellers := [2]*view.Replica{view.NewReplica(), view.NewReplica()}
	told := view.NewReplica()
	for _, replica := range []*view.Replica{tellers[0], tellers[1], told} {
		replica.ApplyListing(0, store.List())
	}
	putMany(store, 1200)
	tellers[0].ApplyListing(0, store.List())
	store.Put("new", lb.BackendActive)
	store.Put("newer", lb.BackendActive)
	tellers[1].ApplyListing(0, store.List())
	after := told.Revision()
	turn := 0
	delta, parts := assembled(func() *view.Replica {
		turn++
		return tellers[(turn-1)%2]
	}, after)
	is.True(parts > 1)
	applied, _ := told.ApplyDelta(0, delta)
	is.True(applied)
	is.NoErr(told.Delta(0, after).Validate())
	is.NoErr(told.Delta(0, 0).Validate())
}
