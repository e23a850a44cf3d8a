package placement_test

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rapidseed"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }

func stamp(revision int64) placement.WriteStamp {
	return placement.WriteStamp{WriteID: fmt.Sprintf("write-%d", revision), ConfigRevision: revision}
}

// target returns the target with the given number.
func target(number int, weight uint16) placement.Target {
	return placement.Target{
		Name:   lb.BackendName(fmt.Sprintf("host-%d", number)),
		Host:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(number / 250), byte(number%250 + 1)}), 6081),
		Weight: weight,
	}
}

func targets(count int) []placement.Target {
	list := make([]placement.Target, count)
	for index := range list {
		list[index] = target(index+1, 100)
	}
	return list
}

func frontend() lb.Frontend {
	return lb.Frontend{Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: lb.TCP}
}

func newDocument(t *testing.T, count int) *lb.Placement {
	t.Helper()
	document, err := placement.New("wallet-core", stamp(1),
		placement.SetFrontends([]lb.Frontend{frontend()}), placement.Prepare(targets(count)), placement.Commit())
	is.New(t).NoErr(err)
	return document
}

func next(t *testing.T, document *lb.Placement, changes ...placement.Change) *lb.Placement {
	t.Helper()
	is := is.New(t)
	following, err := placement.Next(document, stamp(int64(document.Version)+1), changes...)
	is.NoErr(err)
	is.Equal(following.Version, document.Version+1)
	return following
}

func compile(t *testing.T, document *lb.Placement) *placement.Table {
	t.Helper()
	table, err := placement.Compile(document)
	is.New(t).NoErr(err)
	return table
}

func TestFirstDocumentHasNoMotion(t *testing.T) {
	is := is.New(t)
	table := compile(t, newDocument(t, 14))
	is.Equal(table.MovingBuckets(), 0)
	is.True(!table.Prepared())
	is.True(table.HasFrontend(frontend()))
	is.True(!table.HasFrontend(lb.Frontend{Address: frontend().Address, Protocol: lb.UDP}))
	for bucket := range uint16(lb.BucketCount) {
		is.Equal(table.Current(bucket), table.Base(bucket))
		_, found := table.Backend(table.Current(bucket))
		is.True(found)
	}
	_, found := table.Backend(15)
	is.True(!found)
}

// TestBackendRemovalFromPrepareToForget follows the removal of one back end through all versions of
// the document.
func TestBackendRemovalFromPrepareToForget(t *testing.T) {
	is := is.New(t)
	first := newDocument(t, 4)
	before := compile(t, first)

	prepared := next(t, first, placement.Prepare(targets(3)))
	table := compile(t, prepared)
	is.True(table.Prepared())
	is.True(table.MovingBuckets() >= lb.BucketCount/4)
	for bucket := range uint16(lb.BucketCount) {
		is.Equal(table.Current(bucket), before.Current(bucket)) // new flows move only at the commit
	}
	leaving, _ := table.Backend(4)
	is.Equal(leaving.State, lb.BackendActive)

	committed := next(t, prepared, placement.Commit())
	table = compile(t, committed)
	is.True(!table.Prepared())
	leaving, _ = table.Backend(4)
	is.Equal(leaving.State, lb.BackendDraining)
	for bucket := range uint16(lb.BucketCount) {
		is.Equal(table.Base(bucket), before.Base(bucket))
		is.True(table.Current(bucket) != 4)
	}
	is.True(!placement.CanForget(committed, 4))

	settled := next(t, committed, placement.Settle(prepared.Version))
	moved := table
	table = compile(t, settled)
	is.Equal(table.MovingBuckets(), 0)
	history := []uint16{}
	for bucket := range uint16(lb.BucketCount) {
		is.Equal(table.HasHistory(bucket), moved.InMotion(bucket))
		is.Equal(table.Base(bucket), moved.Current(bucket))
		if table.HasHistory(bucket) {
			history = append(history, bucket)
		}
	}
	is.True(!placement.CanForget(settled, 4)) // the back end may still have flows

	cleared := next(t, settled, placement.Clear(history))
	is.Equal(len(cleared.History), 0)
	is.True(placement.CanForget(cleared, 4))
	forgotten := next(t, cleared, placement.Forget(4))
	is.Equal(len(forgotten.Backends), 3)

	again := next(t, forgotten, placement.Prepare(targets(4)))
	is.Equal(again.Backends[3].ID, lb.BackendID(5)) // IDs are not reused
}

func TestReturningBackendKeepsItsIDUnlessItsHostChanged(t *testing.T) {
	is := is.New(t)
	document := next(t, newDocument(t, 3), placement.Prepare(targets(2)), placement.Commit())
	returned := next(t, document, placement.Prepare(targets(3)), placement.Commit())
	is.Equal(len(returned.Backends), 3)
	is.Equal(returned.Backends[2].State, lb.BackendActive)

	replaced := targets(3)
	replaced[2].Host = netip.MustParseAddrPort("127.9.9.9:6081")
	moved := next(t, document, placement.Prepare(replaced), placement.Commit())
	is.Equal(len(moved.Backends), 4)
	is.Equal(moved.Backends[2].State, lb.BackendDraining)
}

func TestFailCommitsImmediatelyAndDropsPreparedGeneration(t *testing.T) {
	is := is.New(t)
	prepared := next(t, newDocument(t, 4), placement.Prepare(targets(5)))
	failed := next(t, prepared, placement.Fail(2))
	is.Equal(len(failed.Generations), 2)
	is.Equal(failed.Current, 1)
	table := compile(t, failed)
	backend, _ := table.Backend(2)
	is.Equal(backend.State, lb.BackendFailed)
	for bucket := range uint16(lb.BucketCount) {
		is.True(table.Current(bucket) >= 1 && table.Current(bucket) <= 4)
		is.True(table.Current(bucket) != 2)
	}
	_, err := placement.Next(prepared, stamp(9), placement.Fail(77))
	is.True(err != nil)
}

func TestEmptyBaseIsDroppedAtCommit(t *testing.T) {
	is := is.New(t)
	document, err := placement.New("album", stamp(1), placement.SetFrontends([]lb.Frontend{frontend()}))
	is.NoErr(err)
	is.Equal(compile(t, document).Current(0), lb.NoBackend)
	prepared := next(t, document, placement.Prepare(targets(2)))
	is.Equal(compile(t, prepared).MovingBuckets(), lb.BucketCount) // nodes query the heads from now on
	committed := next(t, prepared, placement.Commit())
	is.Equal(len(committed.Generations), 1)
	is.Equal(compile(t, committed).MovingBuckets(), 0)
}

func TestDeletedServiceKeepsVersionAndNextID(t *testing.T) {
	is := is.New(t)
	deleted := next(t, newDocument(t, 3), placement.Delete())
	is.True(deleted.Deleted)
	is.Equal(compile(t, deleted).Current(5), lb.NoBackend)
	is.Equal(len(deleted.Backends), 3) // existing flows stay on them
	purged := next(t, deleted, placement.Purge())
	is.Equal(len(purged.Backends), 0)
	revived := next(t, purged, placement.Prepare(targets(1)))
	is.True(!revived.Deleted)
	is.Equal(revived.Backends[0].ID, lb.BackendID(4))
	_, err := placement.Next(revived, stamp(9), placement.Purge())
	is.True(err != nil)
}

func TestCollapseKeepsOldestAndCurrent(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 2)
	for count := 3; len(document.Generations) < placement.MaxGenerations; count++ {
		document = next(t, document, placement.Prepare(targets(count)), placement.Commit())
	}
	second := document.Generations[1].Version
	collapsed := next(t, document, placement.Prepare(targets(20)))
	is.True(len(collapsed.Generations) < placement.MaxGenerations)
	is.Equal(collapsed.Generations[0].Version, document.Generations[0].Version)
	is.Equal(collapsed.Generations[1].Version, second)
	is.Equal(collapsed.Generations[collapsed.Current].Version, document.Generations[document.Current].Version)
	is.True(len(collapsed.History) != 0)
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 2)
	document.Version = 0
	document.WriteID = ""
	document.Frontends[0].Protocol = 99
	document.Backends[1].State = "asleep"
	document.Backends[0].ID = 9
	document.Generations[0].Backends[1].Weight = 1001
	document.Current = 3
	document.History = []byte{1}
	_, err := placement.Compile(document)
	is.True(err != nil)
	for _, part := range []string{
		"version: 0", "write_id", "frontends[0].protocol: \"protocol(99)\"", "backends[1].state: \"asleep\"",
		"backends[0].id: 9", "generations[0].b[1].w: 1001", "current: 3", "history: bitmap has 1 bytes",
	} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error does not name %q: %v", part, err)
		}
	}
}

func TestDrainingBackendIsRejectedInTheCurrentGeneration(t *testing.T) {
	is := is.New(t)
	document := newDocument(t, 2)
	document.Backends[1].State = lb.BackendDraining
	_, err := placement.Compile(document)
	is.True(err != nil)
}
