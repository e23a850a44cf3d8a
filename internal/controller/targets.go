package controller

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/weight"
)

// reflectsConfiguration reports whether the stored placement has the desired state, is committed
// (a prepared generation may differ only in weights), and has a configuration revision that
// includes the service's last change. A configuration change that leaves the placement as it is
// has to be written too: the write makes any other write fail that is in flight and was derived
// from an older configuration. If the service's document is invalid, its desired state is unknown
// and the result is true.
func (c *Controller) reflectsConfiguration(s *service) bool {
	switch {
	case s.desired.presence == catalog.Unknown:
		return true
	case s.stored == nil:
		return s.desired.presence == catalog.Absent
	case s.stored.ConfigRevision < s.lastChange && !c.disabled.noFencingWrite:
		return false
	case s.desired.presence == catalog.Absent:
		return s.stored.Deleted
	case s.stored.Deleted || isPrepared(s.stored) && !isWeightsOnly(s.stored):
		return false
	}
	return c.matchesDesired(s, s.stored.Current)
}

// preparedMatchesDesired reports whether the last generation, which is prepared, has the desired
// state.
func (c *Controller) preparedMatchesDesired(s *service) bool {
	return s.desired.presence == catalog.Present &&
		s.stored.ConfigRevision >= s.lastChange &&
		c.matchesDesired(s, len(s.stored.Generations)-1)
}

// matchesDesired reports whether the stored document has the desired state with the given
// generation.
func (c *Controller) matchesDesired(s *service, generation int) bool {
	if s.stored.OpensPerSecond != s.desired.opensPerSecond || !slices.Equal(s.stored.Frontends, s.desired.frontends) {
		return false
	}
	targets := c.targets(s)
	slices.SortFunc(targets, compareTargets)
	placed := placement.Targets(s.stored, generation)
	slices.SortFunc(placed, compareTargets)
	return slices.Equal(targets, placed)
}

// targets returns the back ends that are to get new flows. A back end that already gets new flows
// keeps the ratio of its weight to the operator's weight. A back end that joins others starts with
// the reduced weight of the slow start. A failed back end is left out until it may be reinstated.
func (c *Controller) targets(s *service) []placement.Target {
	targets := make([]placement.Target, 0, len(s.desired.backends)+len(s.desired.invalid))
	var joining []int
	for _, backend := range s.desired.backends {
		placed, found := findPlaced(s.stored, backend)
		if found && placed.State == lb.BackendFailed && !c.mayReinstate(s, placed) {
			continue
		}
		target := placement.Target{Name: backend.name, Host: backend.host, Weight: backend.weight}
		if present := presentWeight(s, placed); present != 0 {
			target.Weight = rescale(present, baseWeight(s, backend), backend.weight)
		} else {
			joining = append(joining, len(targets))
		}
		targets = append(targets, target)
	}
	if len(joining) < len(targets) {
		for _, index := range joining {
			targets[index].Weight = scale(targets[index].Weight, c.settings.Weights.SlowStart)
		}
	}
	return append(targets, targetsOfInvalid(s)...)
}

// compareTargets orders targets by name and host.
func compareTargets(a, b placement.Target) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), a.Host.Compare(b.Host))
}

// findPlaced returns the last entry of the document for the back end, by name and host.
func findPlaced(document *lb.Placement, backend desiredBackend) (lb.PlacedBackend, bool) {
	if document == nil {
		return lb.PlacedBackend{}, false
	}
	for index := len(document.Backends) - 1; index >= 0; index-- {
		placed := document.Backends[index]
		if placed.Name == backend.name && placed.Host == backend.host {
			return placed, true
		}
	}
	return lb.PlacedBackend{}, false
}

// presentWeight returns the back end's weight in the current generation, or 0.
func presentWeight(s *service, placed lb.PlacedBackend) uint16 {
	if placed.ID == lb.NoBackend {
		return 0
	}
	return currentWeight(s.stored, placed.ID)
}

// baseWeight returns the operator's weight from which the stored weight was derived.
func baseWeight(s *service, backend desiredBackend) uint16 {
	for _, known := range s.baseWeights {
		if known.name == backend.name {
			return known.weight
		}
	}
	return backend.weight
}

// rescale adapts a weight to a change of the operator's weight, so that the ratio of the two stays
// the same.
func rescale(present, before, after uint16) uint16 {
	scaled := uint32(present) * uint32(after) / uint32(before)
	return uint16(min(max(scaled, 1), uint32(after)))
}

// scale multiplies the operator's weight by a factor in thousandths. The result is at least 1.
func scale(operator, factor uint16) uint16 {
	return uint16(max(uint32(operator)*uint32(factor)/weight.FullFactor, 1))
}

// targetsOfInvalid returns the current targets of back ends whose documents are invalid: such back
// ends keep getting flows.
func targetsOfInvalid(s *service) []placement.Target {
	if s.stored == nil || len(s.desired.invalid) == 0 {
		return nil
	}
	var kept []placement.Target
	for _, target := range placement.Targets(s.stored, s.stored.Current) {
		if slices.Contains(s.desired.invalid, target.Name) {
			kept = append(kept, target)
		}
	}
	return kept
}
