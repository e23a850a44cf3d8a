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

// assemble requests the parts of a delta in order until it is complete. nextSender returns the
// replica that answers the next request.
func assemble(nextSender func() *view.Replica, after int64) (delta *view.Delta, parts int) {
	var assembly view.Assembly
	for delta == nil {
		part := nextSender().DeltaPart(0, after, assembly.NextBucket())
		parts++
		if part.Part == nil {
			return part, parts
		}
		delta = assembly.Add(part)
	}
	return delta, parts
}

func TestWholeViewIsSentInParts(t *testing.T) {
	for _, count := range []int{10, 1000, 1001, 10000, 20000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			store := viewtest.NewStore()
			store.Configure(1, 80, 81)
			putMany(store, count)
			store.Evacuate("zone-a")
			sender, receiver := view.NewReplica(), view.NewReplica()
			sender.ApplyListing(0, store.List())
			delta, parts := assemble(func() *view.Replica { return sender }, 0)
			is.True(parts <= 1+count/800)
			applied, changed := receiver.ApplyDelta(0, delta)
			is.True(applied && changed)
			is.Equal(describe(receiver), expected(store))
			is.Equal(receiver.Revision(), sender.Revision())
		})
	}
}

// TestSinglePartIsNotApplied checks that a replica that receives only one part deletes nothing, and
// that an Assembly accepts only the next part of the same delta.
func TestSinglePartIsNotApplied(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	putMany(store, 3000)
	sender, receiver := view.NewReplica(), view.NewReplica()
	receiver.ApplyListing(0, store.List())
	store.Put("new", lb.BackendActive)
	sender.ApplyListing(0, store.List())
	applied, _ := receiver.ApplyDelta(0, sender.DeltaPart(0, 0, 0))
	is.Equal(applied, false)
	var assembly view.Assembly
	second := sender.DeltaPart(0, 0, sender.DeltaPart(0, 0, 0).Part.To)
	is.True(assembly.Add(second) == nil) // not the next part
	is.Equal(assembly.NextBucket(), 0)
	first := sender.DeltaPart(0, 0, 0)
	is.True(assembly.Add(first) == nil)
	is.Equal(assembly.NextBucket(), first.Part.To)
	is.True(assembly.Add(first) == nil) // a duplicate
	is.Equal(assembly.NextBucket(), first.Part.To)
	other := *second
	other.After = 7
	is.True(assembly.Add(&other) == nil) // from a peer whose delta starts at another revision
	is.Equal(assembly.NextBucket(), 0)
}

// TestPartsOfAMovingView assembles parts from several senders, each at its own revision, while back
// ends are created and deleted. The assembled delta, followed by the changes since its oldest part,
// must equal the store.
func TestPartsOfAMovingView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := viewtest.NewStore()
		store.Configure(1, 80)
		putMany(store, 2500)
		senders := []*view.Replica{view.NewReplica(), view.NewReplica()}
		for _, sender := range senders {
			sender.ApplyListing(0, store.List())
		}
		step := 0
		delta, parts := assemble(func() *view.Replica {
			step++
			store.Remove(lb.BackendName(fmt.Sprintf("i-%08x", uint32(step)*2654435761)))
			store.Put(lb.BackendName(fmt.Sprintf("new-%d", rapid.IntRange(0, 3).Draw(t, "new"))), lb.BackendActive)
			store.Remove(lb.BackendName(fmt.Sprintf("new-%d", rapid.IntRange(0, 3).Draw(t, "gone"))))
			sender := senders[rapid.IntRange(0, 1).Draw(t, "sender")]
			sender.ApplyChanges(0, store.Changes(sender.Revision()))
			return sender
		}, 0)
		if parts < 3 {
			t.Fatalf("got %d parts, want at least 3", parts)
		}
		receiver := view.NewReplica()
		receiver.ApplyDelta(0, delta)
		sender := senders[0]
		sender.ApplyChanges(0, store.Changes(sender.Revision()))
		receiver.ApplyDelta(0, sender.Delta(0, receiver.Revision()))
		if describe(receiver) != expected(store) {
			t.Fatal("the received view differs from the store")
		}
	})
}

func TestInvalidPartsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, part := range []view.Part{{From: -1, To: 3}, {From: 3, To: 3}, {From: 0, To: 257}} {
		delta := &view.Delta{Revision: 2, Part: &part}
		is.True(delta.Validate() != nil)
	}
	is.True(view.ValidatePartStart(256) != nil)
	is.True(view.ValidatePartStart(-1) != nil)
	is.NoErr(view.ValidatePartStart(255))
}

// BenchmarkDeltaPart measures the time to answer one request for a whole view. The node holds the
// lock that packet processing waits for during this time.
func BenchmarkDeltaPart(b *testing.B) {
	for _, count := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			store := viewtest.NewStore()
			store.Configure(1, 80)
			putMany(store, count)
			replica := view.NewReplica()
			replica.ApplyListing(0, store.List())
			b.ReportAllocs()
			for b.Loop() {
				replica.DeltaPart(time.Second, 0, 0)
			}
		})
	}
}
