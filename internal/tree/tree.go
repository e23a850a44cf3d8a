// Package tree arranges the nodes of each zone in a tree, over which they aggregate observations
// upwards and distribute decisions downwards. The nodes do not agree on the tree: each computes it
// from its own membership list. While two lists differ, which is brief, messages may be lost or
// counted twice.
package tree

import (
	"net/netip"

	"robinpulley.example/robinpulley/internal/lb"
)

// Width is the maximum number of children of a node. A zone of a thousand nodes has four levels,
// and no node receives more than eight reports in a window.
const Width = 8

// Node is one node of the fleet.
type Node struct {
	ID      lb.NodeID
	Control netip.AddrPort
}

// Place is the position of a node in the tree over its zone.
type Place struct {
	// IsRoot is set for the root of the tree, which decides for its zone. Parent is then invalid.
	IsRoot   bool
	Parent   netip.AddrPort
	Children []netip.AddrPort
	// Nodes is the number of nodes in the fleet, and ZoneNodes the number in the zone.
	Nodes, ZoneNodes int
	// OtherRoots holds the root nodes of the other zones. It is set only for a root node.
	OtherRoots []netip.AddrPort
}

// Neighbours returns all nodes with which this node exchanges messages, except the given one: the
// sender, when a message is forwarded.
func (p *Place) Neighbours(except netip.AddrPort) []netip.AddrPort {
	var neighbours []netip.AddrPort
	for _, nodes := range [][]netip.AddrPort{{p.Parent}, p.Children, p.OtherRoots} {
		for _, node := range nodes {
			if node.IsValid() && node != except {
				neighbours = append(neighbours, node)
			}
		}
	}
	return neighbours
}

// PlaceOf returns the place of a node in the tree over its zone's nodes, which must be sorted by
// rank. otherRoots holds the root nodes of the other zones, and nodes is the number of nodes in the
// fleet. A node that is missing from its zone's list, because its own membership considers it dead,
// has neither parent nor children, and receives no decisions until it is in the list again.
func PlaceOf(self lb.NodeID, zone, otherRoots []Node, nodes int) Place {
	rank := -1
	for index := range zone {
		if zone[index].ID == self {
			rank = index
		}
	}
	place := Place{IsRoot: rank == 0, Nodes: nodes, ZoneNodes: len(zone)}
	if rank < 0 {
		return place
	}
	if rank > 0 {
		place.Parent = zone[(rank-1)/Width].Control
	} else {
		for index := range otherRoots {
			place.OtherRoots = append(place.OtherRoots, otherRoots[index].Control)
		}
	}
	for child := rank*Width + 1; child <= (rank+1)*Width && child < len(zone); child++ {
		place.Children = append(place.Children, zone[child].Control)
	}
	return place
}
