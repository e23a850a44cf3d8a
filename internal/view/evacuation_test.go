package view_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// TestEvacuationReachesAReplicaByEveryWay: listing, watch, delta, whole view and snapshot, each way back, too.
func TestEvacuationReachesAReplicaByEveryWay(t *testing.T) {
	type way func(replica, teller *view.Replica, store *viewtest.Store)
	ways := map[string]way{
		"listing": func(replica, _ *view.Replica, store *viewtest.Store) { replica.ApplyListing(0, store.List()) },
		"watch": func(replica, _ *view.Replica, store *viewtest.Store) {
			replica.ApplyChanges(0, store.Changes(replica.Revision()))
		},
		"delta": func(replica, teller *view.Replica, _ *viewtest.Store) {
			replica.ApplyDelta(0, teller.Delta(0, replica.Revision()))
		},
		"whole view": func(replica, teller *view.Replica, _ *viewtest.Store) {
			replica.ApplyDelta(0, teller.Delta(0, 0))
		},
		"snapshot": func(replica, teller *view.Replica, _ *viewtest.Store) {
			replica.ApplySnapshot(0, teller.Snapshot(0))
		},
	}
	for name, hear := range ways {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Put("a", lb.BackendActive)
			replica, teller := view.NewReplica(), view.NewReplica()
			replica.ApplyListing(0, store.List())
			teller.ApplyListing(0, store.List())

			store.Evacuate("zone-a")
			teller.ApplyChanges(0, store.Changes(teller.Revision()))
			hear(replica, teller, store)
			is.Equal(replica.Evacuated(), []lb.Zone{"zone-a"})
			is.Equal(replica.LastNews(), store.Revision())

			store.Restore("zone-a")
			teller.ApplyChanges(0, store.Changes(teller.Revision()))
			hear(replica, teller, store)
			is.Equal(len(replica.Evacuated()), 0)
		})
	}
}

// TestOlderWordOfAZoneIsIgnored: a delta that was on the way while the zone was restored.
func TestOlderWordOfAZoneIsIgnored(t *testing.T) {
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

func TestRestoredZonesAreForgottenWhenMany(t *testing.T) {
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
	is.Equal(delta.After, int64(0)) // the whole view, since restorations are forgotten
	is.Equal(len(delta.Evacuations), 1)
	is.Equal(replica.Evacuated(), []lb.Zone{"zone-0"})
}

func TestEvacuationWithoutAZoneIsRefused(t *testing.T) {
	is := is.New(t)
	delta := &view.Delta{Revision: 2, Evacuations: []view.EvacuationEntry{{Revision: 2}}}
	err := delta.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "evacuations[0]: zone: is missing")
}
