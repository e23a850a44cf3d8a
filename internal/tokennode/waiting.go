package tokennode

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/core"
)

// wakeLooking has openings that wait looked at from now on.
func (engine *engine) wakeLooking() {
	select {
	case engine.holding <- struct{}{}:
	default: // asked for already
	}
}

// look gives an event about the openings that wait, and what has been decided on
// them, which holds until the next call; more tells that some wait on.
func (engine *engine) look(event *core.Event) (released []core.Released, more bool) {
	engine.mutex.Lock()
	engine.core.Step(engine.now(), event, &engine.coreEffects)
	engine.released = append(engine.released[:0], engine.coreEffects.Released...)
	engine.logChanges()
	engine.notes = engine.notes[:0]
	for index := range engine.released {
		engine.notes = append(engine.notes, engine.note(&engine.released[index].Packet, &engine.released[index].Decision))
	}
	more = engine.core.HeldOpenings() > 0
	engine.mutex.Unlock()
	for index := range engine.released {
		engine.decisions.write(&engine.notes[index], &engine.released[index].Packet, &engine.released[index].Decision)
	}
	return engine.released, more
}

// look decides on the openings that wait and sends them on or refuses them.
func (node *Node) look(event *core.Event) (more bool) {
	node.looking.Lock()
	defer node.looking.Unlock()
	released, more := node.engine.look(event)
	node.endpoints.Plane.Release(released)
	return more
}

// lookUntil looks at the openings that wait, while there are any, until ctx ends.
func (node *Node) lookUntil(ctx context.Context) {
	ticker := time.NewTicker(admissionqueue.DefaultSettings().Interval)
	defer ticker.Stop()
	for {
		ticker.Stop() // a node at rest is not woken
		select {
		case <-ctx.Done():
			return
		case <-node.engine.holding:
		}
		ticker.Reset(admissionqueue.DefaultSettings().Interval)
		for more := true; more; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			more = node.look(&core.Event{RetryQueued: true})
		}
	}
}

func (output sampler) waits(state *engineState) {
	waited := &state.stats.HeldOpenings
	output.Add(metricWaiting, float64(state.waiting))
	output.Count(metricHeld, waited.Held)
	output.Count(metricWent, waited.Forwarded)
	output.Count(metricFreed, waited.ToFreedBackends)
	output.Add(metricWaitTime, waited.HeldTime.Seconds())
}
