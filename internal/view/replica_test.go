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

// describe prints what a replica takes as in force.
func describe(replica *view.Replica) string {
	text := fmt.Sprintf("version %d", replica.Version())
	for _, route := range replica.Routes() {
		text += fmt.Sprintf(" %s", route.Frontend)
	}
	for _, known := range replica.Backends() {
		if !known.Gone {
			text += fmt.Sprintf(" %s=%s", known.Backend.Name, known.Backend.State)
		}
	}
	for _, zone := range replica.Evacuated() {
		text += fmt.Sprintf(" evacuated %s", zone)
	}
	return text
}

// expected is what a replica of the store's present state prints.
func expected(store *viewtest.Store) string {
	fresh := view.NewReplica()
	fresh.ApplyListing(0, store.List())
	return describe(fresh)
}

// TestDeltaOfFreshReplicaRemovesRoutes is the fault behind hunt-644a-39 of
// rdp-central: a node that had just listed the store told a peer what had
// changed since the peer's revision, without the routes that had been removed
// before it listed, of which it had never known.
func TestDeltaOfFreshReplicaRemovesRoutes(t *testing.T) {
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
	is.Equal(describe(older), expected(store)) // the route on port 80 is gone
}

func TestOlderTellingsAreIgnored(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	old := store.List()
	older := view.NewReplica()
	older.ApplyListing(0, old)
	store.Configure(2, 81)
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())

	is.Equal(replica.ApplyListing(0, old), false)
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

func TestGoneBackendsAreRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Put("a", lb.BackendActive)
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())
	before := replica.Revision()
	store.Remove("a")
	replica.ApplyChanges(time.Second, store.Changes(before))
	is.Equal(len(replica.Backends()), 1)
	is.True(replica.Backends()[0].Gone)

	is.Equal(replica.Prune(time.Second+view.GoneRetention), false)
	is.True(replica.Prune(time.Second + view.GoneRetention + 1))
	is.Equal(len(replica.Backends()), 0)
	is.Equal(replica.Delta(0, before).After, int64(0)) // the whole view, since the removal is forgotten
}

// TestReplicasFollowTheStore has replicas listen to the store and to each
// other in any order. A replica at the store's revision always equals it.
func TestReplicasFollowTheStore(t *testing.T) {
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
				peer := replicas[rapid.IntRange(0, 2).Draw(t, "teller")]
				if peer.LastNews() <= revision && revision > 0 {
					replica.Advance(peer.Revision()) // as after a digest
				}
			case 9:
				store.Evacuate(drawZone(t))
			case 10:
				store.Restore(drawZone(t))
			case 11:
				replica.ApplyListing(now, store.ListPaged(drawName(t), func() {
					for range rapid.IntRange(0, 3).Draw(t, "between") {
						if rapid.Bool().Draw(t, "goes") {
							store.Remove(drawName(t))
						} else {
							store.Put(drawName(t), lb.BackendActive)
						}
					}
				}))
			}
			if replica.Revision() < revision {
				t.Fatalf("revision went from %d to %d", revision, replica.Revision())
			}
			for index, replica := range replicas {
				if replica.Revision() == store.Revision() && describe(replica) != expected(store) {
					t.Fatalf("replica %d: %s, the store: %s", index, describe(replica), expected(store))
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

func TestRemovedRoutesAreForgottenWhenMany(t *testing.T) {
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

// TestWholeViewRemovesWhatCameBack: one replica knows a back end as gone, and not
// that it came back and went again; another knows only that it came back.
func TestWholeViewRemovesWhatCameBack(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	teller, told := view.NewReplica(), view.NewReplica()
	store.Put("a", lb.BackendActive)
	teller.ApplyListing(0, store.List())
	before := teller.Revision()
	store.Remove("a")
	teller.ApplyChanges(0, store.Changes(before))
	store.Put("a", lb.BackendActive)
	told.ApplyListing(0, store.List())
	store.Remove("a")
	teller.ApplyListing(0, store.List())
	applied, _ := told.ApplyDelta(0, teller.Delta(0, told.Revision()))
	is.True(applied)
	is.Equal(describe(told), expected(store))
}

// TestObjectivesFollowTheConfiguration: a route whose objective alone has
// changed is told to peers, and one that has not is not.
func TestObjectivesFollowTheConfiguration(t *testing.T) {
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
	teller, hearer := view.NewReplica(), view.NewReplica()
	teller.ApplyListing(0, configure(1, 100, 200))
	hearer.ApplyListing(0, configure(1, 100, 200))
	teller.ApplyListing(0, configure(2, 100, 300))
	delta := teller.Delta(0, 1)
	is.Equal(delta.After, int64(1)) // a teller that has listed again tells what differs
	is.Equal(len(delta.Routes), 1)
	is.NoErr(delta.Validate())
	hearer.ApplyDelta(0, delta)
	is.Equal(hearer.Routes(), teller.Routes())
	is.Equal(hearer.Routes()[1].Objective.TargetMillis, uint32(300))

	changes := &view.Changes{Revision: 3, Changes: []view.Change{{Revision: 3, Configuration: &configure(3, 150, 300).Configuration.Configuration}}}
	teller.ApplyChanges(0, changes)
	delta = teller.Delta(0, 2)
	is.Equal(len(delta.Routes), 1)
	is.Equal(delta.Routes[0].Route.Objective.TargetMillis, uint32(150))
	delta.Routes[0].Route.Objective.TargetMillis = lb.MaxTargetMillis + 1
	is.True(delta.Validate() != nil)
}
