package view_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// describe formats the state that a replica considers in force.
func describe(replica *view.Replica) string {
	text := fmt.Sprintf("version %d", replica.Version())
	for _, route := range replica.Routes() {
		text += fmt.Sprintf(" %s", route.Frontend)
	}
	for _, known := range replica.Backends() {
		if !known.Deleted {
			text += fmt.Sprintf(" %s=%s", known.Backend.Name, known.Backend.State)
		}
	}
	for _, zone := range replica.Evacuated() {
		text += fmt.Sprintf(" evacuated %s", zone)
	}
	return text
}

// expected formats the store's present state as describe does.
func expected(store *viewtest.Store) string {
	fresh := view.NewReplica()
	fresh.ApplyListing(0, store.List())
	return describe(fresh)
}

// TestDeltaOfNewReplicaRemovesRoutes guards against routes that stay in force after their removal.
// A node that has just listed the store never had the routes removed before. A delta for an older
// peer that contains only changed routes would omit the removed ones.
func TestDeltaOfNewReplicaRemovesRoutes(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(7, 80, 81)
	older := view.NewReplica()
	older.ApplyListing(0, store.List())
	store.Configure(10, 81)
	fresh := view.NewReplica()
	fresh.ApplyListing(0, store.List())

	applied, changed := older.ApplyDelta(0, fresh.Delta(0, older.Revision()))
	is.True(applied)
	is.True(changed)
	is.Equal(describe(older), expected(store)) // the route on port 80 is removed
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	outdated := store.List()
	older := view.NewReplica()
	older.ApplyListing(0, outdated)
	store.Configure(2, 81)
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())

	is.Equal(replica.ApplyListing(0, outdated), false)
	applied, _ := replica.ApplyDelta(0, older.Delta(0, 0))
	is.Equal(applied, false)
	is.Equal(describe(replica), expected(store))
}

func TestDeltaWithGapIsNotApplied(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	behind := view.NewReplica()
	behind.ApplyListing(0, store.List())
	store.Put("a", lb.BackendActive)
	ahead := view.NewReplica()
	ahead.ApplyListing(0, store.List())
	after := ahead.Revision()
	store.Put("b", lb.BackendActive)
	ahead.ApplyChanges(0, store.Changes(after))

	applied, _ := behind.ApplyDelta(0, ahead.Delta(0, after))
	is.Equal(applied, false)
	is.Equal(behind.Revision(), int64(2))
}

func TestDeletedBackendsAreRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Put("a", lb.BackendActive)
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())
	before := replica.Revision()
	store.Remove("a")
	replica.ApplyChanges(time.Second, store.Changes(before))
	is.Equal(len(replica.Backends()), 1)
	is.True(replica.Backends()[0].Deleted)

	is.Equal(replica.Prune(time.Second+view.TombstoneRetention), false)
	is.True(replica.Prune(time.Second + view.TombstoneRetention + 1))
	is.Equal(len(replica.Backends()), 0)
	is.Equal(replica.Delta(0, before).After, int64(0)) // the whole view, because the tombstone is dropped
}

// TestReplicasConvergeToTheStore updates replicas from the store and from each other in any order.
// A replica at the store's revision must always equal the store.
func TestReplicasConvergeToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		replicas := []*view.Replica{view.NewReplica(), view.NewReplica(), view.NewReplica()}
		now := time.Duration(0)
		version := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			replica := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			revision := replica.Revision()
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				version++
				ports := rapid.SliceOfNDistinct(rapid.Uint16Range(80, 84), 1, 3, rapid.ID[uint16]).Draw(t, "ports")
				store.Configure(version, ports...)
			case 1:
				store.Put(drawName(t), lb.BackendActive)
			case 2:
				store.Put(drawName(t), lb.BackendDraining)
			case 3:
				store.Remove(drawName(t))
			case 4:
				replica.ApplyListing(now, store.List())
			case 5:
				if revision > 0 {
					replica.ApplyChanges(now, store.Changes(revision))
				}
			case 6:
				peer := replicas[rapid.IntRange(0, 2).Draw(t, "peer")]
				replica.ApplyDelta(now, peer.Delta(now, revision))
			case 7:
				replica.Prune(now)
			case 8:
				peer := replicas[rapid.IntRange(0, 2).Draw(t, "sender")]
				if peer.MinCurrentRevision() <= revision && revision > 0 {
					replica.Advance(peer.Revision()) // as a digest from the peer does
				}
			case 9:
				store.Evacuate(drawZone(t))
			case 10:
				store.Restore(drawZone(t))
			case 11:
				replica.ApplyListing(now, store.ListPaged(drawName(t), func() {
					for range rapid.IntRange(0, 3).Draw(t, "between") {
						if rapid.Bool().Draw(t, "removed") {
							store.Remove(drawName(t))
						} else {
							store.Put(drawName(t), lb.BackendActive)
						}
					}
				}))
			}
			if replica.Revision() < revision {
				t.Fatalf("revision decreased from %d to %d", revision, replica.Revision())
			}
			for index, replica := range replicas {
				if replica.Revision() == store.Revision() && describe(replica) != expected(store) {
					t.Fatalf("replica %d: got %s, store has %s", index, describe(replica), expected(store))
				}
			}
		}
	})
}

func drawName(t *rapid.T) lb.BackendName {
	return rapid.SampledFrom([]lb.BackendName{"a", "b", "c"}).Draw(t, "name")
}

func drawZone(t *rapid.T) lb.Zone {
	return rapid.SampledFrom([]lb.Zone{"zone-a", "zone-b"}).Draw(t, "zone")
}

func TestManyDeletedRoutesArePruned(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	ports := make([]uint16, 5000)
	for index := range ports {
		ports[index] = uint16(index + 1)
	}
	store.Configure(1, ports...)
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())
	before := replica.Revision()
	store.Configure(2, 1)
	replica.ApplyChanges(0, store.Changes(before))
	is.Equal(len(replica.Delta(0, before).Routes), 4999)
	replica.Prune(0)
	is.Equal(replica.Delta(0, before).After, int64(0)) // the whole view
	is.Equal(len(replica.Delta(0, 0).Routes), 1)
}

// TestWholeViewRemovesARecreatedBackend guards against a back end that stays in a replica after its
// deletion. The sender observed the first deletion of the back end, but not that it was created and
// deleted again. The receiver only observed that it was created again.
func TestWholeViewRemovesARecreatedBackend(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	sender, receiver := view.NewReplica(), view.NewReplica()
	store.Put("a", lb.BackendActive)
	sender.ApplyListing(0, store.List())
	before := sender.Revision()
	store.Remove("a")
	sender.ApplyChanges(0, store.Changes(before))
	store.Put("a", lb.BackendActive)
	receiver.ApplyListing(0, store.List())
	store.Remove("a")
	sender.ApplyListing(0, store.List())
	applied, _ := receiver.ApplyDelta(0, sender.Delta(0, receiver.Revision()))
	is.True(applied)
	is.Equal(describe(receiver), expected(store))
}

// TestChangedObjectivesAreSent checks that a delta contains a route of which only the objective has
// changed, and does not contain unchanged routes.
func TestChangedObjectivesAreSent(t *testing.T) {
	is := is.New(t)
	configure := func(revision int64, targets ...uint32) *view.Listing {
		stored := &view.StoredConfiguration{Revision: revision, Configuration: view.Configuration{Version: uint64(revision)}}
		for index, target := range targets {
			address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(80+index))
			stored.Configuration.Routes = append(stored.Configuration.Routes, view.Route{
				Frontend:  lb.Frontend{Address: address, Protocol: lb.TCP},
				Targets:   []view.Target{{Service: "web", Weight: 1}},
				Objective: lb.Objective{Priority: 1, TargetMillis: target},
			})
		}
		return &view.Listing{Revision: revision, Configuration: stored}
	}
	sender, receiver := view.NewReplica(), view.NewReplica()
	sender.ApplyListing(0, configure(1, 100, 200))
	receiver.ApplyListing(0, configure(1, 100, 200))
	sender.ApplyListing(0, configure(2, 100, 300))
	delta := sender.Delta(0, 1)
	is.Equal(delta.After, int64(1)) // the sender sends only the difference after its second listing
	is.Equal(len(delta.Routes), 1)
	is.NoErr(delta.Validate())
	receiver.ApplyDelta(0, delta)
	is.Equal(receiver.Routes(), sender.Routes())
	is.Equal(receiver.Routes()[1].Objective.TargetMillis, uint32(300))

	changes := &view.Changes{Revision: 3, Changes: []view.Change{{Revision: 3, Configuration: &configure(3, 150, 300).Configuration.Configuration}}}
	sender.ApplyChanges(0, changes)
	delta = sender.Delta(0, 2)
	is.Equal(len(delta.Routes), 1)
	is.Equal(delta.Routes[0].Route.Objective.TargetMillis, uint32(150))
	delta.Routes[0].Route.Objective.TargetMillis = lb.MaxTargetMillis + 1
	is.True(delta.Validate() != nil)
}
