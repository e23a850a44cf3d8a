package node

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lifecycle"
	"robinpulley.example/robinpulley/internal/logging"
)

// stopLinger is how long a node continues to forward packets and to send its last messages after it
// has announced that it stops.
const stopLinger = 300 * time.Millisecond

// finishStop announces that this node stops, and waits for packets and messages that are still in
// flight.
func (node *Node) finishStop(ctx context.Context, reason lifecycle.Reason) error {
	node.engine.announceStop()
	select {
	case <-ctx.Done():
		return node.lifecycle.StoppedImmediately()
	case <-time.After(stopLinger):
	}
	node.lifecycle.LogStopped(reason)
	return nil
}

// runPlannedStop runs a planned stop. The node announces that it leaves, hands over its records,
// and continues to relay and forward packets until the fabric no longer sends any to it.
func (node *Node) runPlannedStop(ctx context.Context) error {
	node.lifecycle.LogEvent(logging.EventStopping)
	node.engine.beginLeave()
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
			return node.lifecycle.StoppedImmediately()
		case <-limit.C:
			return node.finishStop(ctx, lifecycle.DrainLimit)
		case <-ticker.C:
		}
		if received := node.fabricPackets(); received != packets {
			packets = received
			quietSince = time.Now()
		}
		if !handedOver && node.engine.handoverDone() {
			handedOver = true
			node.lifecycle.LogEvent(logging.EventHandedOver)
		}
		quiet := time.Since(quietSince) >= node.settings.Timings.DrainGrace
		if quiet && node.engine.handoverDone() {
			return node.finishStop(ctx, lifecycle.Idle)
		}
	}
}
