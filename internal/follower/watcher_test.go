package follower

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// refusedDivisor defines the nodes whose reads the store refuses: one in refusedDivisor.
const refusedDivisor = 3

// largeFleet returns a settled fleet of three zones with 40 nodes each.
func largeFleet(t *testing.T) *fleet { return settledFleet(t, 3, 40, 1) }

// announceLeaving passes the live nodes to every node, with one of them leaving.
func (fleet *fleet) announceLeaving(leaving *fleetNode) {
	var peers []Peer
	for _, node := range fleet.nodes {
		if !node.dead {
			peers = append(peers, Peer{ID: node.id, Zone: node.zone, Control: node.address, Leaving: node == leaving})
		}
	}
	for _, node := range fleet.nodes {
		fleet.step(node, &Event{Peers: peers})
	}
}

// restart replaces a node's core by a new one.
func (fleet *fleet) restart(node *fleetNode, seed uint64) {
	node.core = New(fleet.settingsOf(node, seed))
	node.read = nil
	node.dead = false
}

// oldest returns the age of the oldest view of a live node.
func (fleet *fleet) oldest() time.Duration {
	oldest := time.Duration(0)
	for _, node := range fleet.nodes {
		if age, _ := node.core.Age(fleet.now); !node.dead {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// TestLeavingWatcherIsReplaced checks that exactly one node, the next in the takeover order, reads
// the store before the views become old.
func TestLeavingWatcherIsReplaced(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	leaving := fleet.watchers()[0]
	before := fleet.calls()
	fleet.announceLeaving(leaving)
	fleet.run(500 * time.Millisecond)
	watchers := fleet.watchers()
	is.Equal(len(watchers), 1)
	is.True(watchers[0] != leaving)
	is.True(fleet.oldest() < 500*time.Millisecond)
	fleet.run(3 * time.Second)
	is.True(fleet.calls()-before <= 8)
}

// TestFailedWatcherIsReplaced covers a designated watcher that fails without notice: the membership
// detects the failure only after two seconds.
func TestFailedWatcherIsReplaced(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.watchers()[0].dead = true
	before := fleet.calls()
	fleet.run(2 * time.Second)
	fleet.announce()
	fleet.run(time.Second)
	is.Equal(len(fleet.watchers()), 2) // including the dead one
	is.True(fleet.oldest() < fleet.nodes[0].core.settings.TakeoverAge)
	is.True(fleet.calls()-before <= 8)
}

// TestRefusedNodesRarelyRetry lets the store refuse the reads of every third node, including the
// designated watcher. The other nodes must read for them.
func TestRefusedNodesRarelyRetry(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.watchers()[0].fault = faultRefused
	for index, node := range fleet.nodes {
		if index%refusedDivisor == 0 {
			node.fault = faultRefused
		}
	}
	before := fleet.calls()
	fleet.run(9 * time.Second)
	is.True(fleet.calls()-before <= 25) // watches of 1.4 s each, and the takeover
	is.True(fleet.oldest() < fleet.nodes[0].core.settings.TakeoverAgeLimit)
	fleet.store.Configure(2, 81)
	fleet.run(inForceLimit)
	is.Equal(fleet.behind(), 0)
}

// TestOutageDoesNotCauseReadsByAllNodes checks that during an outage, most nodes rely on the
// failing attempts of the others.
func TestOutageDoesNotCauseReadsByAllNodes(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	for _, node := range fleet.nodes {
		node.fault = faultRefused
	}
	before := fleet.calls()
	fleet.run(9 * time.Second)
	is.True(fleet.calls()-before <= 120)
	for _, node := range fleet.nodes {
		node.fault = faultNone
	}
	fleet.store.Configure(2, 81)
	fleet.run(2 * time.Second)
	is.Equal(fleet.behind(), 0)
	fleet.run(2 * time.Second)
	is.Equal(len(fleet.watchers()), 1)
}

// TestPeersVerifyAStaleFirstView checks that a node that joins a running fleet starts from an
// outdated listing, receives the later changes from peers, and makes no other read.
func TestPeersVerifyAStaleFirstView(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.staleListing = fleet.store.List()
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	fleet.run(time.Second)
	node := fleet.nodes[7]
	fleet.restart(node, 9)
	fleet.announce()
	before := node.calls
	fleet.run(30 * time.Millisecond)
	_, verified := node.core.Age(fleet.now)
	is.Equal(verified, false) // a stale listing does not verify the view
	fleet.run(300 * time.Millisecond)
	_, verified = node.core.Age(fleet.now)
	is.True(verified)
	is.Equal(fleet.behind(), 0)
	is.True(node.core.Replica().Revision() >= fleet.store.Revision())
	fleet.run(3 * time.Second)
	is.Equal(node.calls, before)
}

// TestStaleStartOfTheFleet covers a start of all nodes at which no node has more than an outdated
// listing.
func TestStaleStartOfTheFleet(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.staleListing = fleet.store.List()
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	before := fleet.calls()
	for index, node := range fleet.nodes {
		fleet.restart(node, uint64(index))
	}
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(2 * time.Second)
	is.Equal(fleet.behind(), 0)
	fleet.run(time.Second)
	is.Equal(len(fleet.watchers()), 1)
	is.True(fleet.calls()-before <= 12)
}

// TestPartitionedZoneReadsForItself checks that a zone without contact to the others has its own
// watcher, and that there is only one watcher again after the partition.
func TestPartitionedZoneReadsForItself(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	zone := fleet.nodes[0].zone
	if fleet.watchers()[0].zone == zone {
		zone = fleet.nodes[len(fleet.nodes)-1].zone
	}
	fleet.partitionedZone = zone
	before := fleet.calls()
	fleet.run(10 * time.Second)
	is.Equal(len(fleet.watchers()), 2)
	fleet.store.Configure(2, 81)
	fleet.run(inForceLimit)
	is.Equal(fleet.behind(), 0)
	is.True(fleet.calls()-before <= 30)
	fleet.partitionedZone = ""
	fleet.run(2 * time.Second)
	is.Equal(len(fleet.watchers()), 1)
}

// TestPausedWatcherYields covers a designated watcher that is paused and finds another watcher when
// it resumes.
func TestPausedWatcherYields(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	paused := fleet.watchers()[0]
	paused.dead = true
	fleet.run(4 * time.Second)
	fleet.store.Put("b", lb.BackendActive)
	fleet.run(time.Second)
	paused.dead = false
	fleet.run(3 * time.Second)
	is.Equal(len(fleet.watchers()), 1)
	is.Equal(fleet.behind(), 0)
}

// TestSnapshotReplacesListingAtStart checks that a snapshot is written after the view has changed,
// but rarely, and that a node that starts reads it instead of a listing.
func TestSnapshotReplacesListingAtStart(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	is.True(fleet.snapshot != nil)
	for version := range uint64(20) {
		fleet.store.Configure(version+2, 81)
		fleet.run(100 * time.Millisecond)
	}
	fleet.run(publishInterval)
	is.Equal(fleet.snapshot.View.Version, uint64(21))
	before := fleet.calls()
	latest := fleet.snapshot
	fleet.run(20 * time.Second)
	is.Equal(fleet.snapshot, latest) // the view has not changed
	is.True(fleet.calls()-before <= 16)
	node := fleet.nodes[7]
	stale, listed := node.stale, node.listed
	fleet.restart(node, 9)
	fleet.announce()
	fleet.run(30 * time.Millisecond)
	is.Equal(node.stale, stale+1) // the read of the snapshot
	is.Equal(node.listed, listed)
	is.True(node.core.Replica().Configured())
	fleet.run(300 * time.Millisecond)
	_, verified := node.core.Age(fleet.now)
	is.True(verified)
}

// TestSnapshotBeforeCompactedHistory lets all nodes start from a snapshot after which the store has
// compacted its history.
func TestSnapshotBeforeCompactedHistory(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	fleet.compacted = fleet.store.Revision()
	for index, node := range fleet.nodes {
		fleet.restart(node, uint64(index))
	}
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(3 * time.Second)
	is.Equal(fleet.behind(), 0)
}

// TestSettingsScaleWithTheLimit checks that times are shortened and extended in proportion to the
// limit, up to maxLimit, and that retries never become slower.
func TestSettingsScaleWithTheLimit(t *testing.T) {
	is := is.New(t)
	defaults := DefaultSettings("n", "zone", 1)
	short, long := defaults.ScaledTo(defaultLimit/2), defaults.ScaledTo(time.Minute)
	is.Equal(short.TakeoverAge, defaults.TakeoverAge/2)
	is.Equal(long, defaults.ScaledTo(maxLimit))
	is.Equal(long.TakeoverAge.Round(time.Millisecond), 3117*time.Millisecond) // 1.7 s for a limit of 3 s, scaled to 5.5 s
	is.Equal(long.BackoffLimit, defaults.BackoffLimit)
}

// TestListingVerifiesAsOfItsStart checks that a listing verifies the view as of its first page,
// because it may lack later changes.
func TestListingVerifiesAsOfItsStart(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	core := New(DefaultSettings("n", "zone", 1))
	var effects Effects
	core.Step(0, &Event{}, &effects)
	read := Read{Kind: ReadList, Reason: ReasonCompacted}
	core.Step(time.Second, &Event{Read: &ReadResult{Read: read, Listing: store.List()}}, &effects)
	age, verified := core.Age(time.Second)
	is.True(verified)
	is.Equal(age, time.Second)
}

// TestStartBeforeTheMembershipIsKnown starts a fleet in which, for three seconds, no node knows any
// other node except the seed, which reads for all of them.
func TestStartBeforeTheMembershipIsKnown(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.staleListing = fleet.store.List()
	fleet.snapshot = nil
	before := fleet.calls()
	for index, node := range fleet.nodes {
		fleet.restart(node, uint64(index))
	}
	fleet.run(time.Second)
	verified := 0
	for _, node := range fleet.nodes {
		if _, known := node.core.Age(fleet.now); known {
			verified++
		}
	}
	is.Equal(verified, len(fleet.nodes))
	fleet.run(2 * time.Second)
	fleet.announce()
	fleet.run(2 * time.Second)
	is.Equal(len(fleet.watchers()), 1)
	is.True(fleet.calls()-before <= 10)
}

// TestWholeViewsForOutdatedNodesAreBounded checks that nodes whose revisions precede this node's
// history receive whole views, a few per tick.
func TestWholeViewsForOutdatedNodesAreBounded(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	store.Put("a", lb.BackendActive)
	core := New(DefaultSettings("n", "zone", 1))
	var effects Effects
	core.Step(0, &Event{}, &effects)
	core.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList}, Listing: store.List()}}, &effects)
	for requester := range 20 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(requester)}), 7946)
		request := &PeerMessage{From: "asker", Address: address, Message: message.ViewRequest{After: 1}}
		core.Step(time.Second, &Event{Message: request}, &effects)
		is.Equal(len(effects.Messages), 0)
	}
	core.Step(time.Second, &Event{}, &effects)
	answered := 0
	for _, outgoing := range effects.Messages {
		if _, found := outgoing.Message.(message.ViewDelta); found {
			answered += len(outgoing.To)
		}
	}
	is.Equal(answered, maxLargeAnswers)
}

// TestMissingSnapshotIsNoOutage checks which failures count as answers of the store, so that the
// log does not report an answer as lost contact.
func TestMissingSnapshotIsNoOutage(t *testing.T) {
	is := is.New(t)
	for _, failure := range []Failure{FailureNone, FailureCompacted, FailureMissing, FailureConflict} {
		is.True(failure.Answered())
	}
	for _, failure := range []Failure{FailureLost, FailureThrottled, FailureUnavailable, FailureRejected} {
		is.True(!failure.Answered())
	}
}

// TestNodeWithoutUpdatesSendsRequests checks that a node that the trees omit learns all changes
// from the peers to which it sends requests, and makes no reads.
func TestNodeWithoutUpdatesSendsRequests(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	fleet.requestsOnly = fleet.nodes[70]
	is.True(!fleet.requestsOnly.core.IsWatcher())
	before := fleet.requestsOnly.calls
	for version := range uint64(15) {
		fleet.store.Configure(version+2, 81)
		fleet.run(2 * time.Second)
	}
	is.Equal(fleet.requestsOnly.calls, before)
	is.Equal(fleet.behind(), 0)
}

// TestRefusedWatcherResigns checks that a designated watcher whose reads are refused announces
// this, so that another node takes over before the views become old.
func TestRefusedWatcherResigns(t *testing.T) {
	is := is.New(t)
	fleet := largeFleet(t)
	refused := fleet.watchers()[0]
	refused.fault = faultRefused
	fleet.run(2500 * time.Millisecond) // its watch ends, and two reads fail
	watchers := fleet.watchers()
	is.Equal(len(watchers), 1)
	is.True(watchers[0] != refused)
	is.True(fleet.oldest() < fleet.nodes[0].core.settings.TakeoverAge)
}

// TestUnverifiedViewDoesNotVerifyOthers checks that a view received from a peer that has itself
// just started, and does not know the age of its view, does not count as verified.
func TestUnverifiedViewDoesNotVerifyOthers(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	address := netip.MustParseAddrPort("10.0.0.1:7946")
	peer := New(DefaultSettings("peer", "zone", 1))
	var effects Effects
	peer.Step(0, &Event{}, &effects)
	peer.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList, Stale: true}, Listing: store.List()}}, &effects)
	peer.Step(0, &Event{Message: &PeerMessage{From: "n", Address: address, Message: message.ViewRequest{}}}, &effects)
	peer.Step(time.Second, &Event{}, &effects)
	var received message.Message
	for _, outgoing := range effects.Messages {
		if _, found := outgoing.Message.(message.ViewDelta); found {
			received = outgoing.Message
		}
	}
	is.True(received != nil)
	core := New(DefaultSettings("n", "zone", 2))
	core.Step(time.Second, &Event{Message: &PeerMessage{From: "peer", Message: received}}, &effects)
	is.True(core.Replica().Configured())
	_, verified := core.Age(time.Second)
	is.Equal(verified, false)
}
