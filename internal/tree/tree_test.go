package tree

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestPlacesFormOneTree checks that the places of all nodes form a single tree of bounded width,
// and that only its root is connected to the other zones.
func TestPlacesFormOneTree(t *testing.T) {
	is := is.New(t)
	otherRoots := []Node{{ID: "other-root", Control: netip.MustParseAddrPort("10.9.0.1:7946")}}
	for _, count := range []int{1, 2, 9, 10, 300} {
		var zone []Node
		for index := range count {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7946)
			zone = append(zone, Node{ID: lb.NodeID(fmt.Sprintf("n-%d", index)), Control: address})
		}
		parents := map[netip.AddrPort]netip.AddrPort{}
		for _, peer := range zone {
			place := PlaceOf(peer.ID, zone, otherRoots, count)
			is.Equal(place.IsRoot, peer.ID == "n-0")
			is.Equal(place.Parent.IsValid(), !place.IsRoot)
			is.Equal(len(place.OtherRoots) == 1, place.IsRoot)
			is.True(len(place.Children) <= Width)
			for _, child := range place.Children {
				is.Equal(parents[child], netip.AddrPort{}) // only one parent
				parents[child] = peer.Control
			}
		}
		is.Equal(len(parents), count-1)
		for _, peer := range zone[1:] {
			is.Equal(PlaceOf(peer.ID, zone, otherRoots, count).Parent, parents[peer.Control])
		}
	}
	unknown := PlaceOf("unknown", otherRoots, nil, 1)
	is.Equal(unknown.IsRoot, false)
	is.Equal(unknown.Parent.IsValid(), false)
}

// TestForwardingToNeighboursReachesEveryNodeOnce checks that a message from any node, which each
// recipient forwards to its neighbours except the sender, reaches each other node of the zone and
// the root nodes of the other zones exactly once.
func TestForwardingToNeighboursReachesEveryNodeOnce(t *testing.T) {
	is := is.New(t)
	otherRoot := Node{ID: "other-root", Control: netip.MustParseAddrPort("10.9.0.1:7946")}
	var zone []Node
	byAddress := make(map[netip.AddrPort]lb.NodeID)
	for index := range 100 {
		peer := Node{ID: lb.NodeID(fmt.Sprintf("n-%d", index)), Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 7946)}
		zone = append(zone, peer)
		byAddress[peer.Control] = peer.ID
	}
	for _, start := range []int{0, 1, 57, 99} {
		received := make(map[netip.AddrPort]int)
		var forward func(self Node, except netip.AddrPort)
		forward = func(self Node, except netip.AddrPort) {
			place := PlaceOf(self.ID, zone, []Node{otherRoot}, 101)
			for _, to := range place.Neighbours(except) {
				received[to]++
				if to != otherRoot.Control {
					forward(Node{ID: byAddress[to], Control: to}, self.Control)
				}
			}
		}
		forward(zone[start], netip.AddrPort{})
		is.Equal(len(received), 100) // all nodes but the sender, and the root of the other zone
		for _, times := range received {
			is.Equal(times, 1)
		}
	}
}
