package controller

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/weight"
)

// reflects tells whether the stored placement is committed (but for weights),
// is what the operators want, and says so by its revision. A change that makes no difference
// is written all the same: the write puts an end to any other that is under
// way and was derived from an older configuration. What the operators want of
// an invalid document is not known.
func (c *Controller) reflects(s *service) bool {
	switch {
	case s.wanted.presence == catalog.Unknown:
		return true
	case s.stored == nil:
		return s.wanted.presence == catalog.Absent
	case s.stored.ConfigRevision < s.changed && !c.off.noFencingWrite:
		return false
	case s.wanted.presence == catalog.Absent:
		return s.stored.Deleted
	case s.stored.Deleted || isPrepared(s.stored) && !isWeightsOnly(s.stored):
		return false
	}
	return c.matches(s, s.stored.Current)
}

// announces tells whether the last generation, not yet committed, is what the
// operators want.
func (c *Controller) announces(s *service) bool {
	return s.wanted.presence == catalog.Present &&
		s.stored.ConfigRevision >= s.changed &&
		c.matches(s, len(s.stored.Generations)-1)
}

// matches tells whether the document has what the operators want, with one of
// its generations.
func (c *Controller) matches(s *service, generation int) bool {
	if s.stored.OpensPerSecond != s.wanted.opensPerSecond || !slices.Equal(s.stored.Frontends, s.wanted.frontends) {
		return false
	}
	wanted := c.targets(s)
	slices.SortFunc(wanted, compareTargets)
	placed := placement.Targets(s.stored, generation)
	slices.SortFunc(placed, compareTargets)
	return slices.Equal(wanted, placed)
}

// targets gives the back ends that are to take new flows. One that already
// does keeps the part of the operator's weight that it has; one that joins
// others starts slowly; one that has failed is left out until it may come back.
func (c *Controller) targets(s *service) []placement.Target {
	targets := make([]placement.Target, 0, len(s.wanted.backends)+len(s.wanted.unknown))
	var joining []int
	for _, backend := range s.wanted.backends {
		placed, found := findPlaced(s.stored, backend)
		if found && placed.State == lb.BackendFailed && !c.mayReturn(s, placed) {
			continue
		}
		target := placement.Target{Name: backend.name, Host: backend.host, Weight: backend.weight}
		if present := presentWeight(s, placed); present != 0 {
			target.Weight = rescale(present, weightBefore(s, backend), backend.weight)
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
	return append(targets, keptUnknown(s)...)
}

// compareTargets orders targets by name and host.
func compareTargets(a, b placement.Target) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), a.Host.Compare(b.Host))
}

// findPlaced finds the back end in the stored document, by name and host.
func findPlaced(document *lb.Placement, backend wantedBackend) (lb.PlacedBackend, bool) {
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

// presentWeight gives the back end's weight in the current generation, or 0.
func presentWeight(s *service, placed lb.PlacedBackend) uint16 {
	if placed.ID == lb.NoBackend {
		return 0
	}
	return currentWeight(s.stored, placed.ID)
}

// weightBefore gives the operator's weight that the stored weight goes by.
func weightBefore(s *service, backend wantedBackend) uint16 {
	for _, known := range s.relative {
		if known.name == backend.name {
			return known.weight
		}
	}
	return backend.weight
}

// rescale keeps a weight's part of the operator's weight when that changes.
func rescale(present, before, after uint16) uint16 {
	scaled := uint32(present) * uint32(after) / uint32(before)
	return uint16(min(max(scaled, 1), uint32(after)))
}

// scale applies a factor in thousandths; the result is at least 1.
func scale(operator, factor uint16) uint16 {
	return uint16(max(uint32(operator)*uint32(factor)/weight.FullFactor, 1))
}

// keptUnknown gives the back ends that take flows and whose documents are invalid.
func keptUnknown(s *service) []placement.Target {
	if s.stored == nil || len(s.wanted.unknown) == 0 {
		return nil
	}
	var kept []placement.Target
	for _, target := range placement.Targets(s.stored, s.stored.Current) {
		if slices.Contains(s.wanted.unknown, target.Name) {
			kept = append(kept, target)
		}
	}
	return kept
}
