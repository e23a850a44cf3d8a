package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// Times between join requests to the seeds.
const (
	seedInterval       = time.Second      // interval while no other member is known
	joinedSeedInterval = 10 * time.Second // interval while other members are known
)

// contactSeeds sends join requests to the seeds of the settings until ctx ends: to all of them
// while this node knows no other member, and then, at a longer interval, to those that are not
// members. The later requests merge two parts of a fleet that lost each other.
func (node *Node) contactSeeds(ctx context.Context) {
	for {
		members := node.directory.list()
		for _, seed := range node.settings.Seeds {
			if !hasControlAddress(members, seed) {
				node.transmit(seed, node.engine.joinRequest())
			}
		}
		interval := seedInterval
		if len(members) > 1 {
			interval = joinedSeedInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// hasControlAddress reports whether one of the members has the control address.
func hasControlAddress(members []member.Member, address netip.AddrPort) bool {
	return slices.ContainsFunc(members, func(entry member.Member) bool { return entry.Control == address })
}

// joinRequest returns a request that announces this node and requests the whole membership.
func (engine *engine) joinRequest() message.Ping {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.member.JoinRequest()
}
