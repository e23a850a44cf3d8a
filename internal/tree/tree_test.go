package tree

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestEveryNodeReportsToTheFirst: the places of all nodes form one tree, of bounded
// width, whose root alone tells the other zones.
func TestEveryNodeReportsToTheFirst(t *testing.T) {
	is := is.New(t)
	heads := []Node{{ID: "head", Control: netip.MustParseAddrPort("10.9.0.1:7946")}}
	for _, count := range []int{1, 2, 9, 10, 300} {
		var zone []Node
		for index := range count {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7946)
			zone = append(zone, Node{ID: lb.NodeID(fmt.Sprintf("n-%d", index)), Control: address})
		}
		parents := map[netip.AddrPort]netip.AddrPort{}
		for _, peer := range zone {
			place := PlaceOf(peer.ID, zone, heads, count)
			is.Equal(place.First, peer.ID == "n-0")
			is.Equal(place.Parent.IsValid(), !place.First)
			is.Equal(len(place.Heads) == 1, place.First)
			is.True(len(place.Children) <= Width)
			for _, child := range place.Children {
				is.Equal(parents[child], netip.AddrPort{}) // one parent
				parents[child] = peer.Control
			}
		}
		is.Equal(len(parents), count-1)
		for _, peer := range zone[1:] {
			is.Equal(PlaceOf(peer.ID, zone, heads, count).Parent, parents[peer.Control])
		}
	}
	unknown := PlaceOf("elsewhere", heads, nil, 1)
	is.Equal(unknown.First, false)
	is.Equal(unknown.Parent.IsValid(), false)
}

// TestNeighboursPassOnToAll: what any node tells its neighbours, and they theirs but the sender,
// comes once to each node of the zone, and to the first nodes of the others.
func TestNeighboursPassOnToAll(t *testing.T) {
	is := is.New(t)
	head := Node{ID: "head", Control: netip.MustParseAddrPort("10.9.0.1:7946")}
	var zone []Node
	byAddress := make(map[netip.AddrPort]lb.NodeID)
	for index := range 100 {
		peer := Node{ID: lb.NodeID(fmt.Sprintf("n-%d", index)), Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 7946)}
		zone = append(zone, peer)
		byAddress[peer.Control] = peer.ID
	}
	for _, start := range []int{0, 1, 57, 99} {
		heard := make(map[netip.AddrPort]int)
		var tell func(self Node, but netip.AddrPort)
		tell = func(self Node, but netip.AddrPort) {
			place := PlaceOf(self.ID, zone, []Node{head}, 101)
			for _, to := range place.Neighbours(but) {
				heard[to]++
				if to != head.Control {
					tell(Node{ID: byAddress[to], Control: to}, self.Control)
				}
			}
		}
		tell(zone[start], netip.AddrPort{})
		is.Equal(len(heard), 100) // all but the sender, and the head
		for _, times := range heard {
			is.Equal(times, 1)
		}
	}
}
