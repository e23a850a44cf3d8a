package follower

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// watcherKey ranks the nodes of a zone for reading the store.
var watcherKey = rendezvous.NewKey("readers")

// setPeers ranks the nodes of each zone.
func (core *Core) setPeers(peers []Peer) {
	core.peers = core.peers[:0]
	core.zoneNodes = nil
	core.leaving = false
	for _, peer := range peers {
		if peer.ID != core.settings.Self {
			core.peers = append(core.peers, peer)
		} else {
			core.leaving = peer.Leaving
		}
		if peer.Zone == core.settings.Zone {
			core.zoneNodes = append(core.zoneNodes, peer)
		}
	}
	slices.SortFunc(core.zoneNodes, compareRank)
	core.rank = core.position(core.settings.Self)
	if core.rank < 0 {
		core.rank = len(core.zoneNodes) // it has been taken for dead: others read first
	}
	core.setRelays()
	core.checkWatcher()
}

// Zone gives the nodes of the own zone by rank, this one included. It holds until
// the next step.
func (core *Core) Zone() []Peer { return core.zoneNodes }

// Heads gives the first nodes of the other zones. It holds until the next step.
func (core *Core) Heads() []Peer { return core.relays }

// position is the place of a node of the own zone by rank; -1: it is not there.
func (core *Core) position(id lb.NodeID) int {
	return slices.IndexFunc(core.zoneNodes, func(peer Peer) bool { return peer.ID == id })
}

// setRelays finds the first node of each other zone.
func (core *Core) setRelays() {
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
		if len(core.zoneNodes) == 0 || compareRank(head, core.zoneNodes[0]) < 0 {
			core.zoneRank++
		}
	}
	core.relays = slices.SortedFunc(maps.Values(first), func(left, right Peer) int {
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
	if rendezvous.Before(watcherKey, &first, &second) {
		return -1
	}
	return 1
}

func candidateOf(peer *Peer) rendezvous.Candidate {
	return rendezvous.Candidate{ID: peer.ID, Hash: peer.ID.Hash()}
}
