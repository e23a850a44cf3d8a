package disruption_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/disruption"
	"robinpulley.example/robinpulley/internal/lb"
)

// newZone returns a zone in which the named nodes are known to serve.
func newZone(self lb.NodeID, ids ...lb.NodeID) *disruption.Zone {
	zone := disruption.New(disruption.DefaultSettings(self))
	zone.SetMembers(0, serving(ids...))
	return zone
}

func serving(ids ...lb.NodeID) []disruption.Member {
	var members []disruption.Member
	for _, id := range ids {
		members = append(members, disruption.Member{ID: id})
	}
	return members
}

func leaving(ids ...lb.NodeID) []disruption.Member {
	members := serving(ids...)
	for index := range members {
		members[index].Leaving = true
	}
	return members
}

// TestSingleStopNeedsNoWait checks that a node stops at once if all other nodes serve.
func TestSingleStopNeedsNoWait(t *testing.T) {
	for _, others := range [][]lb.NodeID{nil, {"b"}, {"b", "c"}, {"b", "c", "d", "e"}} {
		is := is.New(t)
		zone := newZone("a", others...)
		zone.Stop(time.Second)
		is.True(zone.MayStop(time.Second))
	}
}

// TestSecondStopOfThreeWaits checks that b, requested to stop while a is still stopping, waits
// until a is back and routers have found it ready.
func TestSecondStopOfThreeWaits(t *testing.T) {
	is := is.New(t)
	zone := newZone("b", "a", "c")
	zone.SetMembers(time.Second, append(serving("c"), leaving("a")...))
	zone.Stop(2 * time.Second)
	is.True(!zone.MayStop(2 * time.Second))
	zone.SetMembers(3*time.Second, serving("c")) // a has terminated
	is.True(!zone.MayStop(3 * time.Second))
	zone.SetMembers(4*time.Second, serving("a", "c"))
	is.True(!zone.MayStop(4 * time.Second)) // routers have not found it ready yet
	is.True(zone.MayStop(4600 * time.Millisecond))
}

// TestFirstStopDoesNotWaitForLaterOnes guards against two nodes that wait for each other.
func TestFirstStopDoesNotWaitForLaterOnes(t *testing.T) {
	is := is.New(t)
	zone := newZone("a", "b", "c")
	zone.Stop(time.Second)
	zone.SetMembers(1100*time.Millisecond, leaving("b", "c"))
	is.True(zone.MayStop(1200 * time.Millisecond))
}

// TestSeveralNodesOfLargeZoneMayStop checks that half of the nodes may be unavailable.
func TestSeveralNodesOfLargeZoneMayStop(t *testing.T) {
	is := is.New(t)
	zone := newZone("a", "b", "c", "d", "e", "f")
	zone.SetMembers(time.Second, append(serving("d", "e", "f"), leaving("b", "c")...))
	zone.Stop(2 * time.Second)
	is.True(zone.MayStop(2 * time.Second)) // 3 of 6 remain
	zone = newZone("a", "b", "c", "d", "e")
	zone.SetMembers(time.Second, append(serving("d", "e"), leaving("b", "c")...))
	zone.Stop(2 * time.Second)
	is.True(!zone.MayStop(2 * time.Second)) // 2 of 5 would remain
}

// TestNodeThatNeverReturnsIsForgotten checks that a removed machine counts as absent only for a
// limited time.
func TestNodeThatNeverReturnsIsForgotten(t *testing.T) {
	is := is.New(t)
	zone := newZone("b", "a", "c")
	zone.SetMembers(time.Second, serving("c"))
	zone.Stop(2 * time.Second)
	is.True(!zone.MayStop(2 * time.Second))
	is.True(zone.MayStop(9100 * time.Millisecond))
}

// TestLastNodesOfAZoneDoNotWait checks that a node stops without waiting if none would be
// available, because routers then use other zones.
func TestLastNodesOfAZoneDoNotWait(t *testing.T) {
	is := is.New(t)
	zone := newZone("b", "a")
	zone.SetMembers(time.Second, leaving("a"))
	zone.Stop(2 * time.Second)
	is.True(zone.MayStop(2 * time.Second))
}
