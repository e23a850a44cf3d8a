// Package tree places the nodes of a fleet in trees, one over each zone, by
// which they sum up what they have seen and are told what follows from it. Who
// is first is not agreed on: each node goes by its own list of members, and
// messages between two that differ are lost or counted twice for moments.
package tree

import (
	"net/netip"

	"robinpulley.example/robinpulley/internal/lb"
)

// Width is how many nodes report to one: a zone of a thousand nodes is four
// levels deep, and no node hears more than eight reports in a window.
const Width = 8

// Node is one node of the fleet.
type Node struct {
	ID      lb.NodeID
	Control netip.AddrPort
}

// Place is where a node is in the tree over its zone.
type Place struct {
	// First: this node decides for its zone. Parent is invalid then.
	First    bool
	Parent   netip.AddrPort
	Children []netip.AddrPort
	// Nodes is how many nodes the fleet has, and ZoneNodes the zone.
	Nodes, ZoneNodes int
	// Heads are the first nodes of the other zones, for the first one.
	Heads []netip.AddrPort
}

// Neighbours gives the nodes that this one exchanges messages with, all but one: the sender of
// what is passed on.
func (p *Place) Neighbours(but netip.AddrPort) []netip.AddrPort {
	var neighbours []netip.AddrPort
	for _, nodes := range [][]netip.AddrPort{{p.Parent}, p.Children, p.Heads} {
		for _, node := range nodes {
			if node.IsValid() && node != but {
				neighbours = append(neighbours, node)
			}
		}
	}
	return neighbours
}

// PlaceOf gives the place of a node in the tree over its zone's nodes, which are
// in order of rank. heads are the first nodes of the other zones, and nodes is
// how many the fleet has. A node that is not in its zone's list, taken for dead by its own
// membership, has no place: it hears of decisions again when it is back.
func PlaceOf(self lb.NodeID, zone, heads []Node, nodes int) Place {
	rank := -1
	for index := range zone {
		if zone[index].ID == self {
			rank = index
		}
	}
	place := Place{First: rank == 0, Nodes: nodes, ZoneNodes: len(zone)}
	if rank < 0 {
		return place
	}
	if rank > 0 {
		place.Parent = zone[(rank-1)/Width].Control
	} else {
		for index := range heads {
			place.Heads = append(place.Heads, heads[index].Control)
		}
	}
	for child := rank*Width + 1; child <= (rank+1)*Width && child < len(zone); child++ {
		place.Children = append(place.Children, zone[child].Control)
	}
	return place
}
