package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
)

// directory holds the members, this node included. Readers need no lock, because the data plane
// reads it for each relayed packet.
type directory struct {
	members atomic.Pointer[map[lb.NodeID]member.Member]
}

// set replaces all members.
func (directory *directory) set(list []member.Member) {
	members := make(map[lb.NodeID]member.Member, len(list))
	for _, entry := range list {
		members[entry.ID] = entry
	}
	directory.members.Store(&members)
}

// all returns the members by ID. The caller must not change the map.
func (directory *directory) all() map[lb.NodeID]member.Member {
	members := directory.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// member returns the member with an ID.
func (directory *directory) member(id lb.NodeID) (member.Member, bool) {
	found, ok := directory.all()[id]
	return found, ok
}

// dataAddress returns the Geneve endpoint of a node.
func (directory *directory) dataAddress(id lb.NodeID) (netip.AddrPort, bool) {
	found, ok := directory.member(id)
	return found.Data, ok
}

// controlAddress returns the control endpoint of a node.
func (directory *directory) controlAddress(id lb.NodeID) (netip.AddrPort, bool) {
	found, ok := directory.member(id)
	return found.Control, ok
}

// peersByZone returns the members of each zone, without self.
func (directory *directory) peersByZone(self lb.NodeID) map[lb.Zone][]member.Member {
	zones := make(map[lb.Zone][]member.Member)
	for _, entry := range directory.list() {
		if entry.ID != self {
			zones[entry.Zone] = append(zones[entry.Zone], entry)
		}
	}
	return zones
}

// list returns all members, ordered by ID.
func (directory *directory) list() []member.Member {
	return slices.SortedFunc(maps.Values(directory.all()), func(a, b member.Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
