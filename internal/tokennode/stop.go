package tokennode

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/logging"
)

// Times of a planned stop.
const (
	// stopPoll is the time between looks at whether packets still come.
	stopPoll = 50 * time.Millisecond
	// leaveTime is what the routers need at least to notice that this node is
	// not ready any more.
	leaveTime = time.Second
	// endMargin is left of timings.drain_limit when the node ends.
	endMargin = 500 * time.Millisecond
	// endLinger lets the last messages to peers go.
	endLinger = 20 * time.Millisecond
)

// Why a planned stop ended, in the log.
const (
	stoppedQuiet   = "quiet"       // no packet for timings.drain_grace
	stoppedByLimit = "drain_limit" // timings.drain_limit has passed
)

// stopAsPlanned makes this node not ready, serves on until the routers no
// longer send to it, and ends.
func (node *Node) stopAsPlanned(ctx context.Context) error {
	node.logEvent(logging.EventStopping)
	node.engine.leave()
	begun := time.Now()
	timings := &node.settings.Load().Timings
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	quietSince := begun
	packets := node.plane.Counters().Received
	for {
		select {
		case <-ctx.Done():
			node.logEvent(logging.EventStoppedAtOnce)
			return ErrStoppedAtOnce
		case <-ticker.C:
		}
		if now := node.plane.Counters().Received; now != packets {
			packets = now
			quietSince = time.Now()
		}
		if time.Since(begun) >= timings.DrainLimit-endMargin {
			return node.endPlanned(stoppedByLimit)
		}
		if time.Since(begun) >= leaveTime && time.Since(quietSince) >= timings.DrainGrace {
			return node.endPlanned(stoppedQuiet)
		}
	}
}

// endPlanned tells the others that this node ends.
func (node *Node) endPlanned(reason string) error {
	node.engine.end()
	time.Sleep(endLinger)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStopped)).
		Str(logging.FieldReason, reason).
		Send()
	return nil
}

// isStopping tells whether the planned stop has begun.
func (node *Node) isStopping() bool {
	select {
	case <-node.stopping:
		return true
	default:
		return false
	}
}
