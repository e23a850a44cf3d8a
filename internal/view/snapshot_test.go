package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

func TestSnapshotGivesTheSameView(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80, 81)
	for index := range 600 {
		store.Put(lb.BackendName(fmt.Sprintf("i-%08x", index*2654435761)), lb.BackendActive)
	}
	replica := view.NewReplica()
	replica.ApplyListing(0, store.List())
	before := replica.Revision()
	store.Remove("i-00000000")
	replica.ApplyChanges(0, store.Changes(before))
	packed, err := replica.Snapshot(time.Second).Pack()
	is.NoErr(err)
	is.True(len(packed) < 32<<10) // listings of as many back ends take about 300 KB
	snapshot, err := view.UnpackSnapshot(packed)
	is.NoErr(err)
	started := view.NewReplica()
	is.True(started.ApplySnapshot(0, snapshot))
	is.Equal(describe(started), describe(replica))
	is.Equal(started.Revision(), replica.Revision())
	is.Equal(len(started.Backends()), 600) // the one that has gone is remembered, too
	is.Equal(started.ApplySnapshot(0, snapshot), false)
}

// packedWithoutZones is a snapshot as it was before views had evacuated zones.
func packedWithoutZones(t *testing.T) []byte {
	t.Helper()
	packed, err := view.NewReplica().Snapshot(0).Pack()
	if err != nil {
		t.Fatal(err)
	}
	packed[0] = 1
	return packed
}

func TestSnapshotThatCannotBeUsed(t *testing.T) {
	whole := view.NewReplica().Snapshot(0)
	whole.View.After, whole.View.Revision = 3, 4
	partial, err := whole.Pack()
	if err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{
		"empty": {}, "other format": {9, 1, 2}, "without zones": packedWithoutZones(t), "broken off": {2, 0xff}, "not whole": partial,
	} {
		if _, err := view.UnpackSnapshot(packed); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
