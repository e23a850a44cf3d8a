package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// assembled asks for the parts of a delta in order until all have come.
func assembled(asked func() *view.Replica, after int64) (delta *view.Delta, parts int) {
	var assembly view.Assembly
	for delta == nil {
		told := asked().Tell(0, after, assembly.Next())
		parts++
		if told.Part == nil {
			return told, parts
		}
		delta = assembly.Add(told)
	}
	return delta, parts
}

func TestWholeViewIsToldInParts(t *testing.T) {
	for _, count := range []int{10, 1000, 1001, 10000, 20000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80, 81)
			putMany(store, count)
			store.Evacuate("zone-a")
			teller, told := view.NewReplica(), view.NewReplica()
			teller.ApplyListing(0, store.List())
			delta, parts := assembled(func() *view.Replica { return teller }, 0)
			is.True(parts <= 1+count/800)
			applied, changed := told.ApplyDelta(0, delta)
			is.True(applied && changed)
			is.Equal(describe(told), expected(store))
			is.Equal(told.Revision(), teller.Revision())
		})
	}
}

// TestPartsAreNoWholeView: one that has lost the others removes nothing.
func TestPartsAreNoWholeView(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	putMany(store, 3000)
	teller, told := view.NewReplica(), view.NewReplica()
	told.ApplyListing(0, store.List())
	store.Put("new", lb.BackendActive)
	teller.ApplyListing(0, store.List())
	applied, _ := told.ApplyDelta(0, teller.Tell(0, 0, 0))
	is.Equal(applied, false)
	var assembly view.Assembly
	second := teller.Tell(0, 0, teller.Tell(0, 0, 0).Part.To)
	is.True(assembly.Add(second) == nil) // not the one that is missing
	is.Equal(assembly.Next(), 0)
	first := teller.Tell(0, 0, 0)
	is.True(assembly.Add(first) == nil)
	is.Equal(assembly.Next(), first.Part.To)
	is.True(assembly.Add(first) == nil) // once more
	is.Equal(assembly.Next(), first.Part.To)
	other := *second
	other.After = 7
	is.True(assembly.Add(&other) == nil) // of a peer that tells from another revision on
	is.Equal(assembly.Next(), 0)
}

// TestPartsOfAMovingView: parts come from several nodes, each at its own revision, while
// back ends come and go. What was assembled, and then told what has changed since its
// oldest part, equals the store.
func TestPartsOfAMovingView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		putMany(store, 2500)
		tellers := []*view.Replica{view.NewReplica(), view.NewReplica()}
		for _, teller := range tellers {
			teller.ApplyListing(0, store.List())
		}
		turn := 0
		delta, parts := assembled(func() *view.Replica {
			turn++
			store.Remove(lb.BackendName(fmt.Sprintf("i-%08x", uint32(turn)*2654435761)))
			store.Put(lb.BackendName(fmt.Sprintf("new-%d", rapid.IntRange(0, 3).Draw(t, "new"))), lb.BackendActive)
			store.Remove(lb.BackendName(fmt.Sprintf("new-%d", rapid.IntRange(0, 3).Draw(t, "gone"))))
			teller := tellers[rapid.IntRange(0, 1).Draw(t, "teller")]
			teller.ApplyChanges(0, store.Changes(teller.Revision()))
			return teller
		}, 0)
		if parts < 3 {
			t.Fatalf("%d parts", parts)
		}
		told := view.NewReplica()
		told.ApplyDelta(0, delta)
		teller := tellers[0]
		teller.ApplyChanges(0, store.Changes(teller.Revision()))
		told.ApplyDelta(0, teller.Delta(0, told.Revision()))
		if describe(told) != expected(store) {
			t.Fatal("the view that was told differs from the store")
		}
	})
}

func TestPartsThatAreOutOfOrderAreRefused(t *testing.T) {
	is := is.New(t)
	for _, part := range []view.Part{{From: -1, To: 3}, {From: 3, To: 3}, {From: 0, To: 257}} {
		delta := &view.Delta{Revision: 2, Part: &part}
		is.True(delta.Validate() != nil)
	}
	is.True(view.ValidatePartStart(256) != nil)
	is.True(view.ValidatePartStart(-1) != nil)
	is.NoErr(view.ValidatePartStart(255))
}

// BenchmarkTell is what a node spends on the answer to one question for a whole view,
// under the lock that packets wait for.
func BenchmarkTell(b *testing.B) {
	for _, count := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			store := viewtest.NewStore()
			store.Configure(1, 80)
			putMany(store, count)
			replica := view.NewReplica()
			replica.ApplyListing(0, store.List())
			b.ReportAllocs()
			for b.Loop() {
				replica.Tell(time.Second, 0, 0)
			}
		})
	}
}
