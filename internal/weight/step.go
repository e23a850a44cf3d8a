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
func Step(shares []BackendState, settings *Settings) []uint16 {
	panicMode := inPanicMode(shares, settings)
	mean, known := meanLoad(shares)
	next := make([]uint16, len(shares))
	raised := false
	for index, share := range shares {
		target := FullFactor
		switch {
		case share.View.Unhealthy && !panicMode:
			target = int(settings.UnhealthyFloor)
		case known && share.View.Freshness > 0:
			target = loadTarget(share, mean, settings)
		}
		next[index] = boundedStep(share, target, settings)
		raised = raised || next[index] > share.Factor
	}
	for index, share := range shares {
		lowered := next[index] < share.Factor && (panicMode || !share.View.Unhealthy)
		if raised && lowered && share.View.Load <= 2*mean {
			next[index] = share.Factor
		}
	}
	return next
}

// inPanicMode reports whether so many back ends are reported unhealthy that the reports are more
// likely wrong than right, or that the remaining back ends could not handle the load.
func inPanicMode(shares []BackendState, settings *Settings) bool {
	unhealthy := 0
	for _, share := range shares {
		if share.View.Unhealthy {
			unhealthy++
		}
	}
	return unhealthy*FullFactor > len(shares)*settings.PanicThresholdPerMille
}

// meanLoad returns the mean of the known loads.
func meanLoad(shares []BackendState) (mean uint32, known bool) {
	var sum, count uint64
	for _, share := range shares {
		if share.View.Freshness > 0 {
			sum += uint64(share.View.Load)
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
func loadTarget(share BackendState, mean uint32, settings *Settings) int {
	load := share.View.Load
	tolerance := mean * settings.Deadband / FullFactor
	if load <= mean+tolerance && load+tolerance >= mean {
		return int(max(share.Factor, settings.LoadFloor))
	}
	if load == 0 {
		return FullFactor
	}
	scaled := uint64(share.Factor) * uint64(mean) / uint64(load)
	floor := uint64(min(settings.LoadFloor, max(share.Factor, settings.SlowStart)))
	return int(min(max(scaled, floor), FullFactor))
}

// boundedStep moves the factor towards the target by a bounded step. Old reports move it less.
// Without any report it recovers by full steps.
func boundedStep(share BackendState, target int, settings *Settings) uint16 {
	limit := int(settings.MaxStep)
	if share.View.Freshness > 0 {
		limit = max(limit*int(share.View.Freshness)/FullFactor, int(settings.MinStep))
	}
	present := int(share.Factor)
	change := min(max(target-present, -limit), limit)
	if change > -int(settings.MinStep) && change < int(settings.MinStep) && present+change != FullFactor {
		return share.Factor
	}
	return uint16(present + change)
}

// MaxFailed returns the maximum number of a service's back ends that may be marked as failed at the
// same time. If more seem to fail, the fault is more likely on the observing side.
func MaxFailed(count int) int { return count / 2 }
