package follower

import (
	"maps"
	"net/netip"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/view"
)

// watcherKey is the rendezvous key that ranks the nodes of a zone for the role of the designated
// watcher.
var watcherKey = rendezvous.NewKey("readers")

// setPeers replaces the live nodes and ranks the nodes of each zone.
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
		core.rank = len(core.zoneNodes) // this node has been declared dead: all others come first
	}
	core.setRelays()
	core.checkWatcher()
	core.peersChanged = true
}

// ZoneNodes returns the nodes of the local zone by rank, including this one. The result is valid
// until the next step.
func (core *Core) ZoneNodes() []Peer { return core.zoneNodes }

// ZoneRelays returns the first nodes of the other zones. The result is valid until the next step.
func (core *Core) ZoneRelays() []Peer { return core.relays }

// contacts returns the control addresses that nodes which start may contact: those of the first nodes
// of the zones, and of further nodes of the local zone by rank, including this one.
func (core *Core) contacts() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, peer := range slices.Concat(core.relays, core.zoneNodes) {
		if len(addresses) < view.MaxSnapshotPeers && !peer.Leaving {
			addresses = append(addresses, peer.Control)
		}
	}
	return addresses
}

// position returns the index of a node of the local zone by rank, or -1 if it is not in the zone.
func (core *Core) position(id lb.NodeID) int {
	return slices.IndexFunc(core.zoneNodes, func(peer Peer) bool { return peer.ID == id })
}

// setRelays determines the first node of each other zone, and the rank of the local zone.
func (core *Core) setRelays() {
	first := make(map[lb.Zone]Peer)
	for _, peer := range core.peers {
		candidate, found := first[peer.Zone]
		if !found || compareRank(peer, candidate) < 0 {
			first[peer.Zone] = peer
		}
	}
	delete(first, core.settings.Zone)
	core.zoneRank = 0
	for _, candidate := range first {
		if len(core.zoneNodes) == 0 || compareRank(candidate, core.zoneNodes[0]) < 0 {
			core.zoneRank++
		}
	}
	core.relays = slices.SortedFunc(maps.Values(first), func(left, right Peer) int {
		return left.Control.Compare(right.Control)
	})
}

// compareRank orders nodes by rank, with leaving nodes last.
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

// candidateOf returns a peer as a candidate for rendezvous hashing.
func candidateOf(peer *Peer) rendezvous.Candidate {
	return rendezvous.Candidate{ID: peer.ID, Hash: peer.ID.Hash()}
}
