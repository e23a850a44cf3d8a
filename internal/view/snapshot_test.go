package view_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

func TestSnapshotRestoresTheView(t *testing.T) {
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
	is.True(len(packed) < 12<<10) // a listing of as many back ends takes about 300 KB
	snapshot, err := view.UnpackSnapshot(packed)
	is.NoErr(err)
	started := view.NewReplica()
	is.True(started.ApplySnapshot(0, snapshot))
	is.Equal(describe(started), describe(replica))
	is.Equal(started.Revision(), replica.Revision())
	is.Equal(len(started.Backends()), 600) // the deleted one is included
	is.Equal(started.ApplySnapshot(0, snapshot), false)
}

// packedWithFormat1 returns an encoded snapshot with the format number of an earlier encoding,
// which had no evacuated zones.
func packedWithFormat1(t *testing.T) []byte {
	t.Helper()
	packed, err := view.NewReplica().Snapshot(0).Pack()
	if err != nil {
		t.Fatal(err)
	}
	packed[0] = 1
	return packed
}

func TestUnusableSnapshotsAreRejected(t *testing.T) {
	whole := view.NewReplica().Snapshot(0)
	whole.View.After, whole.View.Revision = 3, 4
	partial, err := whole.Pack()
	if err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{
		"empty": {}, "other format": {9, 1, 2}, "format 1": packedWithFormat1(t), "truncated": {3, 0xff}, "partial view": partial,
	} {
		if _, err := view.UnpackSnapshot(packed); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// sizedSnapshot returns a snapshot with many back ends, most of which started long ago. Names are
// hexadecimal numbers and addresses are from a few networks, as platforms assign them.
func sizedSnapshot(count int) *view.Snapshot {
	delta := view.Delta{Revision: 1 << 20, ConfigurationRevision: 5, Version: 3}
	for index := range count {
		number := uint64(uint32(index)*2654435761 + 1)
		backend := view.Backend{
			Name: lb.BackendName(fmt.Sprintf("i-%08x", number)), Identity: number, State: lb.BackendActive, Slots: 2,
			Service: lb.ServiceName(fmt.Sprintf("service-%d", index%2)), Zone: lb.Zone(fmt.Sprintf("zone-%d", index%5)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(index >> 8), byte(index)}), uint16(1024+number%60000)),
			Created: int64(2 + index), StartUnixMillis: 1796270000000 + int64(number%5000),
		}
		delta.Backends = append(delta.Backends, view.BackendEntry{Revision: backend.Created, Backend: backend})
	}
	slices.SortFunc(delta.Backends, func(a, b view.BackendEntry) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
	return &view.Snapshot{View: delta}
}

// TestSnapshotsForAWholeFleetFitTheLink checks that the snapshots for 1,000 nodes that start
// together with 10,000 back ends occupy the store's link of 1,000 Mbit/s for little more than a
// second, and those for 2,000 nodes with 20,000 back ends for at most six.
func TestSnapshotsForAWholeFleetFitTheLink(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct {
		nodes, backends int
		seconds         float64
	}{{1000, 10000, 1.5}, {2000, 20000, 6}} {
		packed, err := sizedSnapshot(size.backends).Pack()
		is.NoErr(err)
		const bytesPerSecond = 1e9 / 8
		encoded := float64(len(packed)) * 4 / 3 // the store returns values in base64
		is.True(float64(size.nodes)*encoded/bytesPerSecond < size.seconds)
		is.True(len(packed) < 1<<20) // the store's limit for a value
		unpacked, err := view.UnpackSnapshot(packed)
		is.NoErr(err)
		is.Equal(unpacked.View.Backends, sizedSnapshot(size.backends).View.Backends)
	}
}

// drawEntry returns an arbitrary valid back end.
func drawEntry(t *rapid.T) view.BackendEntry {
	name := rapid.SampledFrom([]string{"i-7f3a91c2", "i-7f3a91c3", "i-00000000", "web", "", "a-b-c", "i-ffffffffffffffff", "é-1"}).Draw(t, "name") + rapid.String().Draw(t, "more")
	return view.BackendEntry{
		Revision: rapid.Int64Range(0, 1<<60).Draw(t, "revision"), Deleted: rapid.Bool().Draw(t, "gone"),
		DeletedMillis: rapid.Int64Range(-5, 1<<40).Draw(t, "gone_ms"),
		ExistedMillis: rapid.Int64Range(0, 24*60*60*1000).Draw(t, "existed_ms"),
		DuringOutage:  rapid.Bool().Draw(t, "gone_in_outage"),
		Backend: view.Backend{
			Name: lb.BackendName("n" + name), Identity: rapid.Uint64().Draw(t, "identity"), Service: "web",
			Address:         netip.AddrPortFrom(netip.MustParseAddr(rapid.SampledFrom([]string{"10.0.0.1", "2001:db8::1"}).Draw(t, "address")), 80),
			Zone:            lb.Zone(rapid.String().Draw(t, "zone")),
			State:           rapid.SampledFrom([]lb.BackendState{lb.BackendActive, lb.BackendDraining}).Draw(t, "state"),
			Created:         rapid.Int64Range(0, 1<<60).Draw(t, "created"),
			Slots:           rapid.IntRange(-1, 1000).Draw(t, "slots"),
			ColdMillis:      rapid.Int64Range(0, 1000).Draw(t, "cold"),
			StartUnixMillis: rapid.Int64Range(0, 1<<50).Draw(t, "born"),
		},
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := &view.Snapshot{View: view.Delta{Revision: 9, Backends: rapid.SliceOfN(rapid.Custom(drawEntry), 0, 20).Draw(t, "backends")}}
		packed, err := snapshot.Pack()
		if err != nil {
			t.Fatal(err)
		}
		unpacked, err := view.UnpackSnapshot(packed)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(unpacked.View.Backends, snapshot.View.Backends) {
			t.Fatalf("read %v, wrote %v", unpacked.View.Backends, snapshot.View.Backends)
		}
	})
}

// FuzzUnpackSnapshot checks that arbitrary content of the snapshot's key is either rejected or can
// be applied.
func FuzzUnpackSnapshot(f *testing.F) {
	packed, err := sizedSnapshot(5).Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		if snapshot, err := view.UnpackSnapshot(data); err == nil {
			view.NewReplica().ApplySnapshot(0, snapshot)
		}
	})
}

// FuzzColumns fuzzes the columns directly, because few inputs of FuzzUnpackSnapshot pass the
// decompression.
func FuzzColumns(f *testing.F) {
	f.Add(view.WriteColumns(sizedSnapshot(3).View.Backends))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := view.ReadColumns(data)
		if err != nil {
			return
		}
		again, err := view.ReadColumns(view.WriteColumns(entries))
		if err != nil || len(again) != len(entries) {
			t.Fatalf("%d back ends became %d after encoding and decoding: %v", len(entries), len(again), err)
		}
	})
}

// BenchmarkSnapshot measures encoding a snapshot, which the watcher of the fleet does, and decoding
// it, which nodes that start do.
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range []int{600, 10000, 20000} {
		snapshot := sizedSnapshot(count)
		packed, err := snapshot.Pack()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("pack/%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = snapshot.Pack()
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
		b.Run(fmt.Sprintf("unpack/%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = view.UnpackSnapshot(packed)
			}
		})
	}
}

// TestSnapshotNamesPeers checks that the peers of a snapshot are read again, also by versions that do
// not know them, and that unusable ones are rejected by position and value.
func TestSnapshotNamesPeers(t *testing.T) {
	is := is.New(t)
	snapshot := view.NewReplica().Snapshot(0)
	snapshot.Peers = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7946"), netip.MustParseAddrPort("[2001:db8::1]:7946")}
	packed, err := snapshot.Pack()
	is.NoErr(err)
	unpacked, err := view.UnpackSnapshot(packed)
	is.NoErr(err)
	is.Equal(unpacked.Peers, snapshot.Peers)

	snapshot.Peers[1] = netip.MustParseAddrPort("0.0.0.0:7946")
	packed, err = snapshot.Pack()
	is.NoErr(err)
	_, err = view.UnpackSnapshot(packed)
	is.True(err != nil)
	is.Equal(err.Error(), `snapshot: peers[1]: address "0.0.0.0:7946" is not the address of a single host`)

	snapshot.Peers = make([]netip.AddrPort, view.MaxSnapshotPeers+1)
	packed, err = snapshot.Pack()
	is.NoErr(err)
	_, err = view.UnpackSnapshot(packed)
	is.True(err != nil)
	is.Equal(err.Error(), "snapshot: 17 peers are too many")
}
