package tokennode

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lifecycle"
	"robinpulley.example/robinpulley/internal/logging"
)

// Durations of a planned stop.
const (
	// stopPollInterval is the time between checks whether packets still arrive.
	stopPollInterval = 50 * time.Millisecond
	// routerNoticeTime is the minimum time that routers need to detect that this node is no longer
	// ready.
	routerNoticeTime = time.Second
	// clientResendTime is how long copies and retransmissions from clients may still arrive after
	// that.
	clientResendTime = 1500 * time.Millisecond
	// drainLimitMargin is the part of timings.drain_limit that remains when the node stops.
	drainLimitMargin = 500 * time.Millisecond
	// finalSendTime is the time for sending the last messages to peers.
	finalSendTime = 20 * time.Millisecond
)

// runPlannedStop runs a planned stop. The node stays ready until its zone can serve without it,
// then reports that it is not ready, goes on serving until the routers no longer send packets to
// it, and stops.
func (node *Node) runPlannedStop(ctx context.Context) error {
	node.lifecycle.LogEvent(logging.EventStopping)
	node.engine.announceLeave()
	started := time.Now()
	timings := &node.settings.Load().Timings
	limit := timings.DrainLimit - drainLimitMargin
	waitLimit := limit - routerNoticeTime - clientResendTime
	err := node.poll(ctx, func() bool { return time.Since(started) >= waitLimit || node.engine.mayStop() })
	if err != nil {
		return err
	}
	node.notReady.Store(true)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventNotReady)).
		Int64(logging.FieldDuration, time.Since(started).Milliseconds()).
		Send()
	reason := lifecycle.DrainLimit
	notReady := time.Now()
	quietSince := notReady
	packets := node.endpoints.Plane.Counters().Received
	err = node.poll(ctx, func() bool {
		if received := node.endpoints.Plane.Counters().Received; received != packets {
			packets = received
			quietSince = time.Now()
		}
		if time.Since(notReady) >= routerNoticeTime && time.Since(quietSince) >= timings.DrainGrace {
			reason = lifecycle.Idle
			return true
		}
		return time.Since(started) >= limit
	})
	if err != nil {
		return err
	}
	node.finishStop(reason)
	return nil
}

// poll waits until the condition holds, which it checks at an interval.
func (node *Node) poll(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return node.lifecycle.StoppedImmediately()
		case <-ticker.C:
		}
	}
	return nil
}

// finishStop decides on all held openings and announces to the other members that this node stops.
func (node *Node) finishStop(reason lifecycle.Reason) {
	node.stepQueue(&core.Event{CloseQueue: true})
	node.engine.announceStop()
	time.Sleep(finalSendTime)
	node.lifecycle.LogStopped(reason)
}
