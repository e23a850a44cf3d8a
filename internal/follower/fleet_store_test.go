package follower

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOneNodeReadsForTheFleet(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 3, 4, 1)
	is.Equal(fleet.behind(), 0)
	is.Equal(len(fleet.watchers()), 1)
	before := fleet.calls()
	fleet.run(15 * time.Second)
	is.True(fleet.calls()-before <= 12) // only watches of 1.4 s each
}

func TestNodesWithoutStoreAccessReceiveChanges(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 2, 3, 1)
	for _, node := range fleet.nodes {
		if node.zone == "zone-1" {
			node.fault = faultRefused // the whole zone
		}
	}
	fleet.run(5 * time.Second)
	fleet.store.Configure(2, 81)
	fleet.run(inForceLimit)
	is.Equal(fleet.behind(), 0)
}

func TestNodeStartsFromPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 1, 3, 1)
	for _, node := range fleet.nodes {
		node.fault = faultUnresponsive
	}
	restarted := fleet.nodes[2]
	settings := DefaultSettings(restarted.id, restarted.zone, 9)
	settings.Seeds = []netip.AddrPort{fleet.nodes[0].address}
	restarted.core = New(settings)
	restarted.read = nil
	fleet.run(500 * time.Millisecond)
	is.True(restarted.core.Replica().Configured())
	is.Equal(fleet.behind(), 0)
}

// TestRecoveryFromOutage checks that an outage of the store costs few reads per node, and that all
// nodes have the changes soon after its end.
func TestRecoveryFromOutage(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 3, 3, 1)
	for _, node := range fleet.nodes {
		node.fault = faultRefused
	}
	before := fleet.calls()
	fleet.run(10 * time.Second)
	is.True(fleet.calls()-before <= 9*14) // about one read per second and node
	fleet.store.Configure(2, 81)
	for _, node := range fleet.nodes {
		node.fault = faultNone
	}
	fleet.run(2 * time.Second)
	is.Equal(fleet.behind(), 0)
}

func TestCompactedHistoryIsListedAgain(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 2, 2, 1)
	watcher := fleet.watchers()[0]
	watcher.fault = faultUnresponsive
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	fleet.compacted = fleet.store.Revision()
	fleet.run(200 * time.Millisecond)
	watcher.fault = faultNone
	fleet.run(3 * time.Second)
	is.Equal(fleet.behind(), 0)
	for _, node := range fleet.nodes {
		is.True(node.core.Replica().Backends()[0].Deleted)
	}
}

// TestFewNodesListAtFirstStart starts a fleet without a snapshot. The first nodes to read write
// one, and the others wait for it, or for the view of a peer, instead of listing all entries.
func TestFewNodesListAtFirstStart(t *testing.T) {
	for _, backends := range []int{1, 6000} { // a peer sends the view in one message, or in parts
		is := is.New(t)
		fleet := newFleet(t, 3, 40, 1, maxLimit)
		fleet.store.Configure(1, 80, 81)
		putMany(fleet.store, backends)
		fleet.run(200 * time.Millisecond)
		fleet.announce()
		fleet.run(4 * time.Second)
		is.Equal(fleet.behind(), 0)
		listed := 0
		for _, node := range fleet.nodes {
			listed += node.listed
			_, verified := node.core.Age(fleet.now)
			is.True(verified)
		}
		is.True(listed <= 3)
	}
}

// TestFirstStartWithoutSeeds checks that nodes list all entries eventually if no seed is alive to
// write a snapshot.
func TestFirstStartWithoutSeeds(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3, 10, 1, maxLimit)
	fleet.store.Configure(1, 80, 81)
	putMany(fleet.store, 10)
	fleet.nodes[0].dead = true // the only seed of the others
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(9 * time.Second)
	is.Equal(fleet.behind(), 0)
}

// TestFleetStartTakesFewReads checks that one node continues to read before the other nodes start
// to read as well.
func TestFleetStartTakesFewReads(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 3, 20, 1) // takes 10 s
	is.True(fleet.calls() <= 14)       // excluding listings that may be stale
}

// TestTooLargeWatchLeadsToListing guards against a fleet that stops following the store: if more has
// changed since its views than the answer to a watch may contain, every further watch fails, too.
func TestTooLargeWatchLeadsToListing(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, defaultLimit, maxLimit} {
		for seed := range uint64(20) {
			fleet := settledFleetWithin(t, 1+int(seed%3), 2+int(seed%4), seed, limit)
			fleet.maxChanges = 20
			for _, node := range fleet.watchers() {
				node.dead = true
			}
			for version := range uint64(40) {
				fleet.store.Configure(2+version, 81)
			}
			fleet.run(time.Duration(float64(inForceLimit) * limit.Seconds() / defaultLimit.Seconds()))
			if behind := fleet.behind(); behind > 0 {
				t.Errorf("limit %s, seed %d: %d of %d nodes are behind", limit, seed, behind, len(fleet.nodes))
			}
		}
	}
}

// TestTooLargeListingIsRetriedWithBackoff checks that an answer above the size limit for which there
// is no smaller one is asked for at the rate of other failures.
func TestTooLargeListingIsRetriedWithBackoff(t *testing.T) {
	is := is.New(t)
	core := New(DefaultSettings("n", "z", 1))
	var effects Effects
	read := Read{Kind: ReadList, Reason: ReasonStart}
	core.Step(time.Second, &Event{Read: &ReadResult{Read: read, Failure: FailureTooLarge}}, &effects)
	is.Equal(effects.Read, nil)
	is.True(core.nextRead > core.now)
}

// TestSnapshotNamesLivingNodes guards against a node that starts and finds no other one because its
// seeds are down: the snapshot names other nodes, and is written again when most of those are gone.
func TestSnapshotNamesLivingNodes(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 3, 4, 1)
	is.True(fleet.livingContacts() >= 6) // the first nodes of the zones, and the watcher's zone
	before := fleet.calls()
	fleet.run(20 * time.Second)
	writesNothing := fleet.snapshot
	is.True(fleet.calls()-before <= 16) // watches of 1.4 s each, no write

	watcher := fleet.watchers()[0]
	for _, node := range fleet.nodes {
		node.dead = node != watcher && node.zone == watcher.zone
	}
	fleet.announce()
	fleet.run(6 * time.Second)
	is.True(fleet.snapshot == writesNothing) // of six contacts, three are left
	is.Equal(fleet.livingContacts(), 3)
	for _, node := range fleet.nodes {
		node.dead = node != watcher && node.zone != watcher.zone
	}
	fleet.announce()
	fleet.run(6 * time.Second)
	is.Equal(fleet.livingContacts(), 4) // written again: the watcher's zone

	started := New(DefaultSettings("started", watcher.zone, 1))
	var effects Effects
	read := Read{Kind: ReadSnapshot, Reason: ReasonStart, Stale: true}
	started.Step(fleet.now, &Event{Read: &ReadResult{Read: read, Snapshot: fleet.snapshot}}, &effects)
	is.Equal(effects.Contacts, fleet.snapshot.Peers)
}

// livingContacts counts the nodes that the snapshot names and that are alive.
func (fleet *fleet) livingContacts() int {
	count := 0
	for _, contact := range fleet.snapshot.Peers {
		if node := fleet.nodeAt(contact); node != nil && !node.dead {
			count++
		}
	}
	return count
}

// TestFailedWriteOfContactsIsRepeated checks that a snapshot is written again after a failed write,
// but not after a conflict, which shows that another node has written one.
func TestFailedWriteOfContactsIsRepeated(t *testing.T) {
	for _, test := range []struct {
		failure Failure
		again   bool
	}{{FailureNone, false}, {FailureConflict, false}, {FailureLost, true}} {
		t.Run(string(test.failure), func(t *testing.T) {
			is := is.New(t)
			fleet := settledFleet(t, 1, 3, 1)
			core := fleet.watchers()[0].core
			publication := &Publication{Snapshot: fleet.snapshot}
			core.publishPending, core.peersChanged, core.nextPublish = true, false, 0
			var effects Effects
			core.Step(fleet.now, &Event{Published: &PublishResult{Publication: *publication, Failure: test.failure}}, &effects)
			is.Equal(effects.Publication != nil, test.again)
		})
	}
}
