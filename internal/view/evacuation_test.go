package view_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// TestEveryUpdateTransfersEvacuations checks that a listing, changes from a watch, a delta, a whole
// view and a snapshot each transfer the evacuation of a zone, and its restoration.
func TestEveryUpdateTransfersEvacuations(t *testing.T) {
	type update func(replica, peer *view.Replica, store *viewtest.Store)
	updates := map[string]update{
		"listing": func(replica, _ *view.Replica, store *viewtest.Store) { replica.ApplyListing(0, store.List()) },
		"watch": func(replica, _ *view.Replica, store *viewtest.Store) {
			replica.ApplyChanges(0, store.Changes(replica.Revision()))
		},
		"delta": func(replica, peer *view.Replica, _ *viewtest.Store) {
			replica.ApplyDelta(0, peer.Delta(0, replica.Revision()))
		},
		"whole view": func(replica, peer *view.Replica, _ *viewtest.Store) {
			replica.ApplyDelta(0, peer.Delta(0, 0))
		},
		"snapshot": func(replica, peer *view.Replica, _ *viewtest.Store) {
			replica.ApplySnapshot(0, peer.Snapshot(0))
		},
	}
	for name, apply := range updates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Put("a", lb.BackendActive)
			replica, peer := view.NewReplica(), view.NewReplica()
			replica.ApplyListing(0, store.List())
			peer.ApplyListing(0, store.List())

			store.Evacuate("zone-a")
			peer.ApplyChanges(0, store.Changes(peer.Revision()))
			apply(replica, peer, store)
			is.Equal(replica.Evacuated(), []lb.Zone{"zone-a"})
			is.Equal(replica.MinCurrentRevision(), store.Revision())

			store.Restore("zone-a")
			peer.ApplyChanges(0, store.Changes(peer.Revision()))
			apply(replica, peer, store)
			is.Equal(len(replica.Evacuated()), 0)
		})
	}
}

// TestOlderChangeOfAZoneIsIgnored checks that changes delayed in transit do not evacuate a zone
// that has been restored meanwhile.
func TestOlderChangeOfAZoneIsIgnored(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())
	before := replica.Revision()
	store.Evacuate("zone-a")
	late := store.Changes(before)
	store.Restore("zone-a")
	replica.ApplyChanges(0, store.Changes(before))
	replica.ApplyChanges(0, late)
	is.Equal(len(replica.Evacuated()), 0)
}

func TestManyRestoredZonesArePruned(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())
	before := replica.Revision()
	for index := range 300 {
		zone := lb.Zone(fmt.Sprintf("zone-%d", index))
		store.Evacuate(zone)
		if index > 0 {
			store.Restore(zone)
		}
	}
	replica.ApplyChanges(0, store.Changes(before))
	is.Equal(len(replica.Delta(0, before).Evacuations), 300)
	replica.Prune(0)
	delta := replica.Delta(0, before)
	is.Equal(delta.After, int64(0)) // the whole view, because the tombstones are dropped
	is.Equal(len(delta.Evacuations), 1)
	is.Equal(replica.Evacuated(), []lb.Zone{"zone-0"})
}

func TestEvacuationWithoutAZoneIsRejected(t *testing.T) {
	is := is.New(t)
	delta := &view.Delta{Revision: 2, Evacuations: []view.EvacuationEntry{{Revision: 2}}}
	err := delta.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "evacuations[0]: zone: is missing")
}
