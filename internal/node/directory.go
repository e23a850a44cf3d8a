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

// directory gives the members, this node included. It is read for each relayed
// packet, so that readers take no lock.
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

func (directory *directory) all() map[lb.NodeID]member.Member {
	members := directory.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// member looks up one node.
func (directory *directory) member(id lb.NodeID) (member.Member, bool) {
	found, ok := directory.all()[id]
	return found, ok
}

// data gives the Geneve endpoint of a node.
func (directory *directory) data(id lb.NodeID) (netip.AddrPort, bool) {
	found, ok := directory.member(id)
	return found.Data, ok
}

// control gives the control endpoint of a node.
func (directory *directory) control(id lb.NodeID) (netip.AddrPort, bool) {
	found, ok := directory.member(id)
	return found.Control, ok
}

// zones gives the members of each zone but one member.
func (directory *directory) zones(self lb.NodeID) map[lb.Zone][]member.Member {
	zones := make(map[lb.Zone][]member.Member)
	for _, entry := range directory.list() {
		if entry.ID != self {
			zones[entry.Zone] = append(zones[entry.Zone], entry)
		}
	}
	return zones
}

// list gives all members by ID.
func (directory *directory) list() []member.Member {
	return slices.SortedFunc(maps.Values(directory.all()), func(a, b member.Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
