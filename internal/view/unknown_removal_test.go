package view_test

import (
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// TestRemovalDuringAListingIsForwarded guards against a back end that stays in a replica after its
// deletion. The back end is deleted after the first page of a listing and before its own page. The
// node that lists never has it in its replica, but a replica as old as the first page does, and
// must learn of the deletion.
func TestRemovalDuringAListingIsForwarded(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	store.Put("a", lb.BackendActive)
	store.Put("z", lb.BackendActive)
	receiver := view.NewReplica()
	receiver.ApplyListing(0, store.List())
	sender := view.NewReplica()
	sender.ApplyListing(0, store.ListPaged("m", func() { store.Remove("z") }))
	is.Equal(sender.Revision(), receiver.Revision())
	sender.ApplyChanges(0, store.Changes(sender.Revision()))
	delta := sender.Delta(0, receiver.Revision())
	is.True(delta.After > 0)
	is.NoErr(delta.Validate())
	receiver.ApplyDelta(0, delta)
	is.Equal(describe(receiver), expected(store))

	sender.Prune(view.TombstoneRetention + 1)
	is.Equal(sender.Delta(0, delta.After).After, int64(0)) // the whole view, because the removal is no longer remembered
}

// TestDeltasAfterAssemblyAreValid checks that a replica that has applied a delta assembled from
// senders at different revisions, each with a gap in its history, creates deltas that pass
// validation.
func TestDeltasAfterAssemblyAreValid(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	putMany(store, 1500)
	senders := [2]*view.Replica{view.NewReplica(), view.NewReplica()}
	receiver := view.NewReplica()
	for _, replica := range []*view.Replica{senders[0], senders[1], receiver} {
		replica.ApplyListing(0, store.List())
	}
	putMany(store, 1200)
	senders[0].ApplyListing(0, store.List())
	store.Put("new", lb.BackendActive)
	store.Put("newer", lb.BackendActive)
	senders[1].ApplyListing(0, store.List())
	after := receiver.Revision()
	step := 0
	delta, parts := assemble(func() *view.Replica {
		step++
		return senders[(step-1)%2]
	}, after)
	is.True(parts > 1)
	applied, _ := receiver.ApplyDelta(0, delta)
	is.True(applied)
	is.NoErr(receiver.Delta(0, after).Validate())
	is.NoErr(receiver.Delta(0, 0).Validate())
}
