package weight

// Share is one back end of a service in a step.
type Share struct {
	Factor uint16 // present factor, in thousandths of the operator's weight
	View   View
}

// Step gives the next factor of each back end of one service. Each is at most
// MaxStep from the present one, and the same where the way is below MinStep.
// While the load can be evened out by raising some, no other is lowered for its
// load, unless it has more than twice the mean: only the ratio of weights
// matters, and so they do not all sink.
func Step(shares []Share, settings *Settings) []uint16 {
	panicking := isPanic(shares, settings)
	mean, known := meanLoad(shares)
	next := make([]uint16, len(shares))
	raised := false
	for index, share := range shares {
		target := FullFactor
		switch {
		case share.View.Unhealthy && !panicking:
			target = int(settings.UnhealthyFloor)
		case known && share.View.Freshness > 0:
			target = loadTarget(share, mean, settings)
		}
		next[index] = approach(share, target, settings)
		raised = raised || next[index] > share.Factor
	}
	for index, share := range shares {
		lowered := next[index] < share.Factor && (panicking || !share.View.Unhealthy)
		if raised && lowered && share.View.Load <= 2*mean {
			next[index] = share.Factor
		}
	}
	return next
}

// isPanic tells whether so many back ends look unhealthy that the reports are
// more likely wrong than right, or that the rest could not bear the load.
func isPanic(shares []Share, settings *Settings) bool {
	unhealthy := 0
	for _, share := range shares {
		if share.View.Unhealthy {
			unhealthy++
		}
	}
	return unhealthy*FullFactor > len(shares)*settings.PanicPerMille
}

// meanLoad gives the mean of the known loads.
func meanLoad(shares []Share) (mean uint32, known bool) {
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

// loadTarget scales the present factor so that the load would become the mean.
// Near the mean it stays as it is, but not below LoadFloor: from there a back
// end that starts or was unhealthy goes on up.
func loadTarget(share Share, mean uint32, settings *Settings) int {
	load := share.View.Load
	slack := mean * settings.Deadband / FullFactor
	if load <= mean+slack && load+slack >= mean {
		return int(max(share.Factor, settings.LoadFloor))
	}
	if load == 0 {
		return FullFactor
	}
	scaled := uint64(share.Factor) * uint64(mean) / uint64(load)
	floor := uint64(min(settings.LoadFloor, max(share.Factor, settings.SlowStart)))
	return int(min(max(scaled, floor), FullFactor))
}

// approach moves the factor towards the target by a bounded step. Old reports
// move it less; without any report it recovers by whole steps.
func approach(share Share, target int, settings *Settings) uint16 {
	limit := int(settings.MaxStep)
	if share.View.Freshness > 0 {
		limit = max(limit*int(share.View.Freshness)/FullFactor, int(settings.MinStep))
	}
	present := int(share.Factor)
	way := min(max(target-present, -limit), limit)
	if way > -int(settings.MinStep) && way < int(settings.MinStep) && present+way != FullFactor {
		return share.Factor
	}
	return uint16(present + way)
}

// MaxFailed is the largest number of a service's back ends that may be marked
// as failed together: beyond it the fault is more likely on this side.
func MaxFailed(count int) int { return count / 2 }
