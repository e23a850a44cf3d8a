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

// others gives all members but one, by ID.
func (directory *directory) others(self lb.NodeID) []member.Member {
	return slices.DeleteFunc(directory.list(), func(entry member.Member) bool { return entry.ID == self })
}

// list gives all members by ID.
func (directory *directory) list() []member.Member {
	return slices.SortedFunc(maps.Values(directory.all()), func(a, b member.Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
