package follower

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// readerKey ranks the nodes of a zone for reading the store.
var readerKey = rendezvous.NewKey("readers")

// setPeers ranks the nodes of each zone.
func (core *Core) setPeers(peers []Peer) {
	core.peers = core.peers[:0]
	core.ranked = nil
	core.leaves = false
	for _, peer := range peers {
		if peer.ID != core.settings.Self {
			core.peers = append(core.peers, peer)
		} else {
			core.leaves = peer.Leaving
		}
		if peer.Zone == core.settings.Zone {
			core.ranked = append(core.ranked, peer)
		}
	}
	slices.SortFunc(core.ranked, compareRank)
	core.rank = core.position(core.settings.Self)
	if core.rank < 0 {
		core.rank = len(core.ranked) // it has been taken for dead: others read first
	}
	core.setHeads()
	core.checkReader()
}

// Zone gives the nodes of the own zone by rank, this one included. It holds until
// the next step.
func (core *Core) Zone() []Peer { return core.ranked }

// Heads gives the first nodes of the other zones. It holds until the next step.
func (core *Core) Heads() []Peer { return core.heads }

// position is the place of a node of the own zone by rank; -1: it is not there.
func (core *Core) position(id lb.NodeID) int {
	return slices.IndexFunc(core.ranked, func(peer Peer) bool { return peer.ID == id })
}

// setHeads finds the first node of each other zone.
func (core *Core) setHeads() {
	first := make(map[lb.Zone]Peer)
	for _, peer := range core.peers {
		head, found := first[peer.Zone]
		if !found || compareRank(peer, head) < 0 {
			first[peer.Zone] = peer
		}
	}
	delete(first, core.settings.Zone)
	core.zoneRank = 0
	for _, head := range first {
		if len(core.ranked) == 0 || compareRank(head, core.ranked[0]) < 0 {
			core.zoneRank++
		}
	}
	core.heads = slices.SortedFunc(maps.Values(first), func(left, right Peer) int {
		return left.Control.Compare(right.Control)
	})
}

// compareRank orders nodes by rank, those that leave behind the others.
func compareRank(left, right Peer) int {
	if left.Leaving != right.Leaving {
		if right.Leaving {
			return -1
		}
		return 1
	}
	first, second := candidateOf(&left), candidateOf(&right)
	if rendezvous.Before(readerKey, &first, &second) {
		return -1
	}
	return 1
}

func candidateOf(peer *Peer) rendezvous.Candidate {
	return rendezvous.Candidate{ID: peer.ID, Hash: peer.ID.Hash()}
}
