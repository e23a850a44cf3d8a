package tokennode

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lifecycle"
	"robinpulley.example/robinpulley/internal/logging"
)

// Times of a planned stop.
const (
	// stopPoll is the time between looks at whether packets still come.
	stopPoll = 50 * time.Millisecond
	// leaveTime is what the routers need at least to notice that this node is
	// not ready any more.
	leaveTime = time.Second
	// quietTime is what callers may go on for after that, with copies and resends.
	quietTime = 1500 * time.Millisecond
	// endMargin is left of timings.drain_limit when the node ends.
	endMargin = 500 * time.Millisecond
	// endLinger lets the last messages to peers go.
	endLinger = 20 * time.Millisecond
)

// stopAsPlanned stays ready until the zone can spare this node, makes it not
// ready, serves on until the routers no longer send to it, and ends.
func (node *Node) stopAsPlanned(ctx context.Context) error {
	node.life.Log(logging.EventStopping)
	node.engine.leave()
	begun := time.Now()
	timings := &node.settings.Load().Timings
	limit := timings.DrainLimit - endMargin
	waitLimit := limit - leaveTime - quietTime
	err := node.poll(ctx, func() bool { return time.Since(begun) >= waitLimit || node.engine.canSpare() })
	if err != nil {
		return err
	}
	node.unready.Store(true)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventNotReady)).
		Int64(logging.FieldDuration, time.Since(begun).Milliseconds()).
		Send()
	reason := lifecycle.DrainLimit
	notReady := time.Now()
	quietSince := notReady
	packets := node.endpoints.Plane.Counters().Received
	err = node.poll(ctx, func() bool {
		if now := node.endpoints.Plane.Counters().Received; now != packets {
			packets = now
			quietSince = time.Now()
		}
		if time.Since(notReady) >= leaveTime && time.Since(quietSince) >= timings.DrainGrace {
			reason = lifecycle.Quiet
			return true
		}
		return time.Since(begun) >= limit
	})
	if err != nil {
		return err
	}
	node.endPlanned(reason)
	return nil
}

// poll waits until the condition holds, looked at now and then.
func (node *Node) poll(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return node.life.StoppedAtOnce()
		case <-ticker.C:
		}
	}
	return nil
}

// endPlanned tells the others that this node ends.
func (node *Node) endPlanned(reason lifecycle.Reason) {
	node.look(&core.Event{CloseQueue: true})
	node.engine.end()
	time.Sleep(endLinger)
	node.life.Stopped(reason)
}
