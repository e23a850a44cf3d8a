package node

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// endLinger is how long a node that has said that it ends still moves packets
// and lets its last messages go.
const endLinger = 300 * time.Millisecond

// Why a planned stop ended, in the log.
const (
	stoppedQuiet   = "quiet"       // handed over, and the fabric silent
	stoppedByLimit = "drain_limit" // timings.drain_limit has passed
)

// endPlanned tells the others that this node ends, and waits for what is still
// under way.
func (node *Node) endPlanned(ctx context.Context, reason string) error {
	node.engine.end()
	select {
	case <-ctx.Done():
		node.logEvent(logging.EventStoppedAtOnce)
		return lb.ErrStoppedAtOnce
	case <-time.After(endLinger):
	}
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStopped)).
		Str(logging.FieldReason, reason).
		Send()
	return nil
}

// stopAsPlanned announces that this node leaves, hands over its records, and
// goes on relaying and forwarding until the fabric no longer sends to it.
func (node *Node) stopAsPlanned(ctx context.Context) error {
	node.logEvent(logging.EventStopping)
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
			node.logEvent(logging.EventStoppedAtOnce)
			return lb.ErrStoppedAtOnce
		case <-limit.C:
			return node.endPlanned(ctx, stoppedByLimit)
		case <-ticker.C:
		}
		if now := node.fabricPackets(); now != packets {
			packets = now
			quietSince = time.Now()
		}
		if !handedOver && node.engine.handoverDone() {
			handedOver = true
			node.logEvent(logging.EventHandedOver)
		}
		quiet := time.Since(quietSince) >= node.settings.Timings.DrainGrace
		if quiet && node.engine.handoverDone() {
			return node.endPlanned(ctx, stoppedQuiet)
		}
	}
}
