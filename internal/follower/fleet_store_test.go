package follower

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOneNodeOfTheFleetReads(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 3, 4, 1)
	is.Equal(fleet.behind(), 0)
	is.Equal(len(fleet.readers()), 1)
	before := fleet.calls()
	fleet.run(15 * time.Second)
	is.True(fleet.calls()-before <= 12) // a watch of 1.4 s, nothing else
}

func TestNodesWithoutTheStoreLearnFromOthers(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 2, 3, 1)
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

func TestNodeStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 1, 3, 1)
	for _, node := range fleet.nodes {
		node.fault = faultSilent
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

func TestOutageCostsFewCallsAndEndsQuickly(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 3, 3, 1)
	for _, node := range fleet.nodes {
		node.fault = faultRefused
	}
	before := fleet.calls()
	fleet.run(10 * time.Second)
	is.True(fleet.calls()-before <= 9*14) // about one a second for each node
	fleet.store.Configure(2, 81)
	for _, node := range fleet.nodes {
		node.fault = faultNone
	}
	fleet.run(2 * time.Second)
	is.Equal(fleet.behind(), 0)
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 2, 2, 1)
	reader := fleet.readers()[0]
	reader.fault = faultSilent
	fleet.store.Configure(2, 81)
	fleet.store.Remove("a")
	fleet.compacted = fleet.store.Revision()
	fleet.run(200 * time.Millisecond)
	reader.fault = faultNone
	fleet.run(3 * time.Second)
	is.Equal(fleet.behind(), 0)
	for _, node := range fleet.nodes {
		is.True(node.core.Replica().Backends()[0].Gone)
	}
}

// TestFirstStartOfAFleetListsAtFewNodes: there is no snapshot yet. Whoever reads first leaves
// one, and the others wait for it, or for a view of a peer.
func TestFirstStartOfAFleetListsAtFewNodes(t *testing.T) {
	for _, backends := range []int{1, 6000} { // a peer tells all of it in one message, or in parts
		is := is.New(t)
		fleet := newFleet(t, 3, 40, 1, maxLimit)
		fleet.store.Configure(1, 80, 81)
		fill(fleet.store, backends)
		fleet.run(200 * time.Millisecond)
		fleet.announce()
		fleet.run(4 * time.Second)
		is.Equal(fleet.behind(), 0)
		listed := 0
		for _, node := range fleet.nodes {
			listed += node.listed
			_, confirmed := node.core.Age(fleet.now)
			is.True(confirmed)
		}
		is.True(listed <= 3)
	}
}

// TestFirstStartWithoutSeeds: those that wait for a snapshot that nobody leaves list at last.
func TestFirstStartWithoutSeeds(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3, 10, 1, maxLimit)
	fleet.store.Configure(1, 80, 81)
	fill(fleet.store, 10)
	fleet.nodes[0].dead = true // the seed of all others
	fleet.run(200 * time.Millisecond)
	fleet.announce()
	fleet.run(9 * time.Second)
	is.Equal(fleet.behind(), 0)
}

// TestStartOfAFleetCostsFewCalls: one of the nodes goes on reading before the others lose patience.
func TestStartOfAFleetCostsFewCalls(t *testing.T) {
	is := is.New(t)
	fleet := calm(t, 3, 20, 1)   // 10 s
	is.True(fleet.calls() <= 14) // listings apart, which may be stale
}
