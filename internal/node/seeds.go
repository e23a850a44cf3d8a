package node

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// seedInterval is the time between attempts to reach the seeds.
const seedInterval = time.Second

// askSeeds asks the seeds of the settings for their membership until this node
// knows another member, or ctx ends.
func (node *Node) askSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for len(node.directory.all()) < 2 {
		request := node.engine.seedRequest()
		for _, seed := range node.settings.Seeds {
			node.transmit(seed, request)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// seedRequest announces this node and asks for the whole membership. Its
// sequence is zero, since no probe waits for an answer.
func (engine *engine) seedRequest() message.Ping {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	self := message.MemberUpdate{
		Node:        engine.settings.Node,
		Zone:        engine.settings.Zone,
		Control:     engine.settings.ControlAddress.String(),
		Data:        engine.settings.DataAddress.String(),
		State:       message.MemberAlive,
		Incarnation: engine.member.Incarnation(),
	}
	return message.Ping{
		Incarnation: self.Incarnation,
		Updates:     []message.MemberUpdate{self},
		Full:        true,
	}
}
