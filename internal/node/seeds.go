package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// Times between attempts to reach the seeds.
const (
	seedInterval       = time.Second
	joinedSeedInterval = 10 * time.Second // when other members are known
)

// askSeeds asks the seeds of the settings for their membership until ctx ends:
// all of them while this node knows no other member, and later, now and then,
// those that are not members, so that two parts of a fleet that lost each
// other come together again.
func (node *Node) askSeeds(ctx context.Context) {
	for {
		members := node.directory.list()
		for _, seed := range node.settings.Seeds {
			if !hasControl(members, seed) {
				node.transmit(seed, node.engine.seedRequest())
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

// hasControl tells whether one of the members has the control address.
func hasControl(members []member.Member, address netip.AddrPort) bool {
	return slices.ContainsFunc(members, func(entry member.Member) bool { return entry.Control == address })
}

// seedRequest announces this node and asks for the whole membership.
func (engine *engine) seedRequest() message.Ping {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.member.JoinRequest()
}
