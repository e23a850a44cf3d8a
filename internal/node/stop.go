package node

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lifecycle"
	"robinpulley.example/robinpulley/internal/logging"
)

// endLinger is how long a node that has said that it ends still moves packets
// and lets its last messages go.
const endLinger = 300 * time.Millisecond

// endPlanned tells the others that this node ends, and waits for what is still
// under way.
func (node *Node) endPlanned(ctx context.Context, reason lifecycle.Reason) error {
	node.engine.end()
	select {
	case <-ctx.Done():
		return node.life.StoppedAtOnce()
	case <-time.After(endLinger):
	}
	node.life.Stopped(reason)
	return nil
}

// stopAsPlanned announces that this node leaves, hands over its records, and
// goes on relaying and forwarding until the fabric no longer sends to it.
func (node *Node) stopAsPlanned(ctx context.Context) error {
	node.life.Log(logging.EventStopping)
	node.engine.leave()
	limit := time.NewTimer(node.settings.Timings.DrainLimit)
	defer limit.Stop()
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	quietSince := time.Now()
	packets := node.fabricPackets()
	handedOver := false
	for {
		select {
		case <-ctx.Done():
			return node.life.StoppedAtOnce()
		case <-limit.C:
			return node.endPlanned(ctx, lifecycle.DrainLimit)
		case <-ticker.C:
		}
		if now := node.fabricPackets(); now != packets {
			packets = now
			quietSince = time.Now()
		}
		if !handedOver && node.engine.handoverDone() {
			handedOver = true
			node.life.Log(logging.EventHandedOver)
		}
		quiet := time.Since(quietSince) >= node.settings.Timings.DrainGrace
		if quiet && node.engine.handoverDone() {
			return node.endPlanned(ctx, lifecycle.Quiet)
		}
	}
}
