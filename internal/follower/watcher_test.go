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

// Parts of a fleet that the store turns away.
const turnedAwayParts = 3

// large gives a fleet of three zones with 40 nodes each that has settled.
func large(t *testing.T) *fleet { return calm(t, 3, 40, 1) }

// announceLeaving tells all nodes that one of them leaves.
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

// restart gives a node a new life.
func (fleet *fleet) restart(node *fleetNode, seed uint64) {
	node.core = New(fleet.settingsOf(node, seed))
	node.read = nil
	node.dead = false
}

// oldest gives the age of the oldest view.
func (fleet *fleet) oldest() time.Duration {
	oldest := time.Duration(0)
	for _, node := range fleet.nodes {
		if age, _ := node.core.Age(fleet.now); !node.dead {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// TestReaderThatLeavesIsFollowed: the next one reads before the views grow old,
// and nobody else does.
func TestReaderThatLeavesIsFollowed(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	leaving := fleet.readers()[0]
	before := fleet.calls()
	fleet.announceLeaving(leaving)
	fleet.run(500 * time.Millisecond)
	readers := fleet.readers()
	is.Equal(len(readers), 1)
	is.True(readers[0] != leaving)
	is.True(fleet.oldest() < 500*time.Millisecond)
	fleet.run(3 * time.Second)
	is.True(fleet.calls()-before <= 8)
}

// TestDeadReaderIsFollowed: for two seconds nobody knows that it is dead.
func TestDeadReaderIsFollowed(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	fleet.readers()[0].dead = true
	before := fleet.calls()
	fleet.run(2 * time.Second)
	fleet.announce()
	fleet.run(time.Second)
	is.Equal(len(fleet.readers()), 2) // the dead one included
	is.True(fleet.oldest() < fleet.nodes[0].core.settings.TakeoverAge)
	is.True(fleet.calls()-before <= 8)
}

// TestNodesThatAreTurnedAwayKeepQuiet: the store turns away every third node,
// the reader first; the others read for them.
func TestNodesThatAreTurnedAwayKeepQuiet(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	fleet.readers()[0].fault = faultRefused
	for index, node := range fleet.nodes {
		if index%turnedAwayParts == 0 {
			node.fault = faultRefused
		}
	}
	before := fleet.calls()
	fleet.run(9 * time.Second)
	is.True(fleet.calls()-before <= 25) // a watch of 1.4 s, and what finding a reader took
	is.True(fleet.oldest() < fleet.nodes[0].core.settings.TakeoverAgeLimit)
	fleet.store.Configure(2, 81)
	fleet.run(inForceLimit)
	is.Equal(fleet.behind(), 0)
}

// TestOutageDoesNotCostACallANode: most nodes hear that others try in vain.
func TestOutageDoesNotCostACallANode(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
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
	is.Equal(len(fleet.readers()), 1)
}

// TestStaleStartIsConfirmedByPeers: a node that starts in a running fleet takes
// an old listing, learns from others what has changed since, and makes no other call.
func TestStaleStartIsConfirmedByPeers(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	fleet.older = fleet.store.List()
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	fleet.run(time.Second)
	node := fleet.nodes[7]
	fleet.restart(node, 9)
	fleet.announce()
	before := node.calls
	fleet.run(30 * time.Millisecond)
	_, confirmed := node.core.Age(fleet.now)
	is.Equal(confirmed, false) // an old listing says nothing of the present
	fleet.run(300 * time.Millisecond)
	_, confirmed = node.core.Age(fleet.now)
	is.True(confirmed)
	is.Equal(fleet.behind(), 0)
	is.True(node.core.Replica().Revision() >= fleet.store.Revision())
	fleet.run(3 * time.Second)
	is.Equal(node.calls, before)
}

// TestStaleStartOfAllIsConfirmed: nobody knows more than an old listing.
func TestStaleStartOfAllIsConfirmed(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	fleet.older = fleet.store.List()
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
	is.Equal(len(fleet.readers()), 1)
	is.True(fleet.calls()-before <= 12)
}

// TestZoneThatIsCutOffReadsForItself, and has no reader of its own afterwards.
func TestZoneThatIsCutOffReadsForItself(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	zone := fleet.nodes[0].zone
	if fleet.readers()[0].zone == zone {
		zone = fleet.nodes[len(fleet.nodes)-1].zone
	}
	fleet.cut = zone
	before := fleet.calls()
	fleet.run(10 * time.Second)
	is.Equal(len(fleet.readers()), 2)
	fleet.store.Configure(2, 81)
	fleet.run(inForceLimit)
	is.Equal(fleet.behind(), 0)
	is.True(fleet.calls()-before <= 30)
	fleet.cut = ""
	fleet.run(2 * time.Second)
	is.Equal(len(fleet.readers()), 1)
}

// TestPausedReaderYields: a node that wakes up as a reader finds another one.
func TestPausedReaderYields(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	paused := fleet.readers()[0]
	paused.dead = true
	fleet.run(4 * time.Second)
	fleet.store.Put("b", lb.BackendActive)
	fleet.run(time.Second)
	paused.dead = false
	fleet.run(3 * time.Second)
	is.Equal(len(fleet.readers()), 1)
	is.Equal(fleet.behind(), 0)
}

// TestSnapshotIsLeftForThoseWhoStart: it is written when the view has changed,
// rarely, and a node that starts takes it in place of a listing.
func TestSnapshotIsLeftForThoseWhoStart(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	is.True(fleet.snapshot != nil)
	for version := range uint64(20) {
		fleet.store.Configure(version+2, 81)
		fleet.run(100 * time.Millisecond)
	}
	fleet.run(publishInterval)
	is.Equal(fleet.snapshot.View.Version, uint64(21))
	before := fleet.calls()
	kept := fleet.snapshot
	fleet.run(20 * time.Second)
	is.Equal(fleet.snapshot, kept) // nothing has changed
	is.True(fleet.calls()-before <= 16)
	node := fleet.nodes[7]
	stale, listed := node.stale, node.listed
	fleet.restart(node, 9)
	fleet.announce()
	fleet.run(30 * time.Millisecond)
	is.Equal(node.stale, stale+1) // the snapshot
	is.Equal(node.listed, listed)
	is.True(node.core.Replica().Configured())
	fleet.run(300 * time.Millisecond)
	_, confirmed := node.core.Age(fleet.now)
	is.True(confirmed)
}

// TestSnapshotOfLostHistory: all nodes start from a snapshot after which the
// store has forgotten what changed.
func TestSnapshotOfLostHistory(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
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

// TestTimesFollowTheLimit: shortened and stretched alike, up to a bound, and
// calls that fail are not made again any later.
func TestTimesFollowTheLimit(t *testing.T) {
	is := is.New(t)
	usual := DefaultSettings("n", "zone", 1)
	short, long := usual.ScaledTo(defaultLimit/2), usual.ScaledTo(time.Minute)
	is.Equal(short.TakeoverAge, usual.TakeoverAge/2)
	is.Equal(long, usual.ScaledTo(maxLimit))
	is.Equal(long.TakeoverAge.Round(time.Millisecond), 3117*time.Millisecond) // 1.7 s of 3 s, for 5.5 s
	is.Equal(long.BackoffLimit, usual.BackoffLimit)
}

// TestListingConfirmsAsOfItsStart: what changes after its first page may be missing.
func TestListingConfirmsAsOfItsStart(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	core := New(DefaultSettings("n", "zone", 1))
	var effects Effects
	core.Step(0, &Event{}, &effects)
	read := Read{Kind: ReadList, Reason: ReasonHistoryGone}
	core.Step(time.Second, &Event{Read: &ReadResult{Read: read, Listing: store.List()}}, &effects)
	age, confirmed := core.Age(time.Second)
	is.True(confirmed)
	is.Equal(age, time.Second)
}

// TestStartBeforeTheMembershipIsKnown: for three seconds no node knows another
// one but the seed, which reads for all of them.
func TestStartBeforeTheMembershipIsKnown(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	fleet.older = fleet.store.List()
	fleet.snapshot = nil
	before := fleet.calls()
	for index, node := range fleet.nodes {
		fleet.restart(node, uint64(index))
	}
	fleet.run(time.Second)
	confirmed := 0
	for _, node := range fleet.nodes {
		if _, known := node.core.Age(fleet.now); known {
			confirmed++
		}
	}
	is.Equal(confirmed, len(fleet.nodes))
	fleet.run(2 * time.Second)
	fleet.announce()
	fleet.run(2 * time.Second)
	is.Equal(len(fleet.readers()), 1)
	is.True(fleet.calls()-before <= 10)
}

// TestWholeViewsForOldOnesAreBounded: nodes whose views are older than what this
// one can tell apart are given the whole, a few at a time.
func TestWholeViewsForOldOnesAreBounded(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	store.Put("a", lb.BackendActive)
	core := New(DefaultSettings("n", "zone", 1))
	var effects Effects
	core.Step(0, &Event{}, &effects)
	core.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList}, Listing: store.List()}}, &effects)
	for asker := range 20 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(asker)}), 7946)
		want := &PeerMessage{From: "asker", Address: address, Message: message.ViewWant{After: 1}}
		core.Step(time.Second, &Event{Message: want}, &effects)
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

// TestMissingSnapshotIsNoOutage: the store answers, which the log must not call lost.
func TestMissingSnapshotIsNoOutage(t *testing.T) {
	is := is.New(t)
	for _, failure := range []Failure{FailureNone, FailureCompacted, FailureMissing, FailureConflict} {
		is.True(failure.Answered())
	}
	for _, failure := range []Failure{FailureLost, FailureThrottled, FailureUnavailable, FailureRejected} {
		is.True(!failure.Answered())
	}
}

// TestNodeThatIsNotToldAsks: a node whom the trees leave out learns all from the
// peers that it asks, and makes no call.
func TestNodeThatIsNotToldAsks(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	fleet.deaf = fleet.nodes[70]
	is.True(!fleet.deaf.core.Reads())
	before := fleet.deaf.calls
	for version := range uint64(15) {
		fleet.store.Configure(version+2, 81)
		fleet.run(2 * time.Second)
	}
	is.Equal(fleet.deaf.calls, before)
	is.Equal(fleet.behind(), 0)
}

// TestReaderThatIsTurnedAwaySaysSo, so that another one takes over before the views are old.
func TestReaderThatIsTurnedAwaySaysSo(t *testing.T) {
	is := is.New(t)
	fleet := large(t)
	reader := fleet.readers()[0]
	reader.fault = faultRefused
	fleet.run(2500 * time.Millisecond) // its watch ends, and two calls fail
	readers := fleet.readers()
	is.Equal(len(readers), 1)
	is.True(readers[0] != reader)
	is.True(fleet.oldest() < fleet.nodes[0].core.settings.TakeoverAge)
}

// TestUnconfirmedViewConfirmsNothing: a peer that has just started itself gives
// its view, but cannot say how old it is.
func TestUnconfirmedViewConfirmsNothing(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.Configure(1, 80)
	address := netip.MustParseAddrPort("10.0.0.1:7946")
	peer := New(DefaultSettings("peer", "zone", 1))
	var effects Effects
	peer.Step(0, &Event{}, &effects)
	peer.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList, Stale: true}, Listing: store.List()}}, &effects)
	peer.Step(0, &Event{Message: &PeerMessage{From: "n", Address: address, Message: message.ViewWant{}}}, &effects)
	peer.Step(time.Second, &Event{}, &effects)
	var told message.Message
	for _, outgoing := range effects.Messages {
		if _, found := outgoing.Message.(message.ViewDelta); found {
			told = outgoing.Message
		}
	}
	is.True(told != nil)
	core := New(DefaultSettings("n", "zone", 2))
	core.Step(time.Second, &Event{Message: &PeerMessage{From: "peer", Message: told}}, &effects)
	is.True(core.Replica().Configured())
	_, confirmed := core.Age(time.Second)
	is.Equal(confirmed, false)
}
