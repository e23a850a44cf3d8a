package weight

// BackendState is the state of one back end of a service in a step.
type BackendState struct {
	Factor uint16 // present factor, in thousandths of the weight set by the operator
	View   View
}

// Step returns the next factor of each back end of one service. Each factor changes by at most
// MaxStep, and not at all if the change would be below MinStep. If load can be balanced by raising
// some factors, no other factor is lowered because of load, unless its back end has more than twice
// the mean load: only the ratio of factors matters, and otherwise all of them would decrease.
func Step(states []BackendState, settings *Settings) []uint16 {
	panicMode := inPanicMode(states, settings)
	mean, known := meanLoad(states)
	next := make([]uint16, len(states))
	raised := false
	for index, state := range states {
		target := FullFactor
		switch {
		case state.View.Unhealthy && !panicMode:
			target = int(settings.UnhealthyFloor)
		case known && state.View.Freshness > 0:
			target = loadTarget(state, mean, settings)
		}
		next[index] = boundedStep(state, target, settings)
		raised = raised || next[index] > state.Factor
	}
	for index, state := range states {
		lowered := next[index] < state.Factor && (panicMode || !state.View.Unhealthy)
		if raised && lowered && state.View.Load <= 2*mean {
			next[index] = state.Factor
		}
	}
	return next
}

// inPanicMode reports whether so many back ends are reported unhealthy that the reports are more
// likely wrong than right, or that the remaining back ends could not handle the load.
func inPanicMode(states []BackendState, settings *Settings) bool {
	unhealthy := 0
	for _, state := range states {
		if state.View.Unhealthy {
			unhealthy++
		}
	}
	return unhealthy*FullFactor > len(states)*settings.PanicThresholdPerMille
}

// meanLoad returns the mean of the known loads.
func meanLoad(states []BackendState) (mean uint32, known bool) {
	var sum, count uint64
	for _, state := range states {
		if state.View.Freshness > 0 {
			sum += uint64(state.View.Load)
			count++
		}
	}
	if count == 0 || sum == 0 {
		return 0, false
	}
	return uint32(sum / count), true
}

// loadTarget returns the present factor scaled so that the load would become the mean. Near the
// mean the factor stays as it is, but at least at LoadFloor, so that a back end that starts or was
// unhealthy continues to rise.
func loadTarget(state BackendState, mean uint32, settings *Settings) int {
	load := state.View.Load
	tolerance := mean * settings.Deadband / FullFactor
	if load <= mean+tolerance && load+tolerance >= mean {
		return int(max(state.Factor, settings.LoadFloor))
	}
	if load == 0 {
		return FullFactor
	}
	scaled := uint64(state.Factor) * uint64(mean) / uint64(load)
	floor := uint64(min(settings.LoadFloor, max(state.Factor, settings.SlowStart)))
	return int(min(max(scaled, floor), FullFactor))
}

// boundedStep moves the factor towards the target by a bounded step. Old reports move it less.
// Without any report it recovers by full steps.
func boundedStep(state BackendState, target int, settings *Settings) uint16 {
	limit := int(settings.MaxStep)
	if state.View.Freshness > 0 {
		limit = max(limit*int(state.View.Freshness)/FullFactor, int(settings.MinStep))
	}
	present := int(state.Factor)
	change := min(max(target-present, -limit), limit)
	if change > -int(settings.MinStep) && change < int(settings.MinStep) && present+change != FullFactor {
		return state.Factor
	}
	return uint16(present + change)
}

// MaxFailed returns the maximum number of a service's back ends that may be marked as failed at the
// same time. If more seem to fail, the fault is more likely on the observing side.
func MaxFailed(count int) int { return count / 2 }
