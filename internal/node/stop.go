package node

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/logging"
)

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
			return ErrStoppedAtOnce
		case <-limit.C:
			node.logger.Warn().
				Str(logging.FieldEvent, string(logging.EventStopped)).
				Str(logging.FieldReason, "drain_limit").
				Send()
			return nil
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
		if quiet && handedOver {
			node.engine.end()
			node.logEvent(logging.EventStopped)
			return nil
		}
	}
}
