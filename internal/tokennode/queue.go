package tokennode

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/core"
)

// wakeQueueRetry wakes the goroutine that retries held openings.
func (engine *engine) wakeQueueRetry() {
	select {
	case engine.openingHeld <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// stepQueue steps the core with an event on the admission queue. It returns the openings on which
// the core has decided, in a slice that is valid until the next call, and whether more openings
// are still held. Calls must not run concurrently.
func (engine *engine) stepQueue(event *core.Event) (released []core.Released, more bool) {
	engine.mutex.Lock()
	engine.compileExpired()
	engine.core.Step(engine.lastStep, event, &engine.coreEffects)
	engine.releasedOpenings = append(engine.releasedOpenings[:0], engine.coreEffects.Released...)
	engine.processCoreChanges()
	engine.releasedLines = engine.releasedLines[:0]
	for index := range engine.releasedOpenings {
		engine.releasedLines = append(engine.releasedLines, engine.decisionLine(&engine.releasedOpenings[index].Packet, &engine.releasedOpenings[index].Decision))
	}
	more = engine.core.HeldOpenings() > 0
	engine.mutex.Unlock()
	for index := range engine.releasedOpenings {
		engine.decisions.write(&engine.releasedLines[index], &engine.releasedOpenings[index].Packet, &engine.releasedOpenings[index].Decision)
	}
	return engine.releasedOpenings, more
}

// stepQueue steps the admission queue with an event, and forwards or refuses the held openings on
// which the core has decided. It reports whether more openings are still held.
func (node *Node) stepQueue(event *core.Event) (more bool) {
	node.queueMutex.Lock()
	defer node.queueMutex.Unlock()
	released, more := node.engine.stepQueue(event)
	node.endpoints.Plane.Release(released)
	return more
}

// retryQueueUntil retries the held openings at an interval, while there are any, until ctx ends.
func (node *Node) retryQueueUntil(ctx context.Context) {
	ticker := time.NewTicker(admissionqueue.DefaultSettings().Interval)
	defer ticker.Stop()
	for {
		ticker.Stop() // the ticker does not run while no opening is held
		select {
		case <-ctx.Done():
			return
		case <-node.engine.openingHeld:
		}
		ticker.Reset(admissionqueue.DefaultSettings().Interval)
		for more := true; more; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			more = node.stepQueue(&core.Event{RetryQueued: true})
		}
	}
}

// queue writes the metrics of the admission queue.
func (output sampler) queue(state *engineState) {
	held := &state.stats.HeldOpenings
	output.Add(metricHeldOpenings, float64(state.heldOpenings))
	output.Count(metricOpeningsHeld, held.Held)
	output.Count(metricHeldForwarded, held.Forwarded)
	output.Count(metricToFreedBackends, held.ToFreedBackends)
	output.Add(metricHeldTime, held.HeldTime.Seconds())
}
