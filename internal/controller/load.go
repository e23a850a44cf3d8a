package controller

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/weight"
)

// applyLoad applies one zone's reports of health and load. It schedules the services of
// unresponsive back ends at once, and the others when their next weight step is due.
func (c *Controller) applyLoad(load *message.Load) {
	for _, reported := range load.Backends {
		services := c.servicesByBackend[reported.Backend]
		if len(services) == 0 {
			continue
		}
		backend := c.backends[reported.Backend]
		if backend == nil {
			backend = new(weight.Backend)
			c.backends[reported.Backend] = backend
		}
		backend.AddReport(c.now, load.Zone, reported, &c.settings.Weights)
		unresponsive := backend.Unanswered(c.now, &c.settings.Weights)
		for s := range services {
			if unresponsive {
				c.scheduleNow(s)
			} else {
				c.background.schedule(s, max(c.now, s.weightStepAt+c.settings.WeightInterval))
			}
		}
	}
}

// backendsToFail returns the unresponsive back ends that get new flows, up to the number that may
// be marked as failed at the same time.
func (c *Controller) backendsToFail(s *service) []lb.BackendID {
	if s.stored == nil || s.stored.Deleted || len(s.desired.backends) == 0 {
		return nil
	}
	remaining := weight.MaxFailed(len(s.desired.backends))
	var ids []lb.BackendID
	for _, backend := range s.desired.backends {
		placed, found := findPlaced(s.stored, backend)
		if !found {
			continue
		}
		if placed.State == lb.BackendFailed {
			remaining--
		}
		if placed.State == lb.BackendActive && currentWeight(s.stored, placed.ID) != 0 && c.isUnresponsive(backend.name) {
			ids = append(ids, placed.ID)
		}
	}
	return ids[:min(len(ids), max(remaining, 0))]
}

// isUnresponsive reports whether the data path shows that the back end does not answer.
func (c *Controller) isUnresponsive(name lb.BackendName) bool {
	backend := c.backends[name]
	return backend != nil && backend.Unanswered(c.now, &c.settings.Weights)
}

// mayReinstate reports whether a failed back end may get flows again.
func (c *Controller) mayReinstate(s *service, placed lb.PlacedBackend) bool {
	since := c.now
	for _, known := range s.failures {
		if known.id == placed.ID {
			since = known.at
		}
	}
	if c.now-since < c.settings.MinFailedTime {
		return false
	}
	backend := c.backends[placed.Name]
	if backend == nil {
		return true
	}
	return !backend.Unanswered(c.now, &c.settings.Weights) && !backend.View(c.now, &c.settings.Weights).Unhealthy
}

// proposeWeights proposes a step of the weights towards the values that health and load call for.
// It does so only at the service's first publisher, by bounded steps, and within the budget of
// moved buckets. Failed back ends are evaluated again at the same interval.
func (c *Controller) proposeWeights(s *service) (proposal, bool) {
	if s.stored.Deleted || c.rank(s) > 0 || !c.reflectsConfiguration(s) {
		return proposal{}, false
	}
	due := s.weightStepAt + c.settings.WeightInterval
	if !c.needsWeightStep(s) {
		return proposal{}, false
	}
	if due > c.now {
		return proposalAtStoredRevision(s, KindWeights, due), true
	}
	s.weightStepAt = c.now
	targets := c.stepWithinBudget(s)
	if targets == nil {
		return proposalAtStoredRevision(s, KindWeights, c.now+c.settings.WeightInterval), true
	}
	return proposalAtStoredRevision(s, KindWeights, c.now, placement.Prepare(targets), commitUnlessMoving), true
}

// needsWeightStep reports whether the weights may have to change now or later.
func (c *Controller) needsWeightStep(s *service) bool {
	if len(s.failures) != 0 {
		return true
	}
	if len(s.desired.backends) < 2 {
		return false
	}
	for _, backend := range s.desired.backends {
		if c.backends[backend.name] != nil {
			return true
		}
		placed, found := findPlaced(s.stored, backend)
		if found && currentWeight(s.stored, placed.ID) < backend.weight {
			return true
		}
	}
	return false
}

// stepWithinBudget returns the targets with the next weights, or nil if no weight has to change or
// the budget of moved buckets does not allow a step yet. If the whole step moves too many buckets,
// it is reduced to the largest single change, which is halved until it is within the budget.
func (c *Controller) stepWithinBudget(s *service) []placement.Target {
	remaining := c.remainingMoves(s)
	if remaining <= 0 {
		return nil
	}
	present := placement.Targets(s.stored, s.stored.Current)
	next := c.steppedTargets(s)
	for !slices.Equal(next, present) {
		if c.movedBuckets(s, next) <= remaining {
			return next
		}
		next = smallerStep(present, next)
	}
	return nil
}

// smallerStep returns a step with only the largest change of a weight, or half of that change if
// it is the only one.
func smallerStep(present, next []placement.Target) []placement.Target {
	largest, changes := 0, 0
	for index := range next {
		if next[index].Weight != present[index].Weight {
			changes++
		}
		if weightChange(present, next, index) > weightChange(present, next, largest) {
			largest = index
		}
	}
	smaller := slices.Clone(present)
	smaller[largest].Weight = next[largest].Weight
	if changes == 1 {
		half := (int(next[largest].Weight) - int(present[largest].Weight)) / 2
		smaller[largest].Weight = uint16(int(present[largest].Weight) + half)
	}
	return smaller
}

// weightChange returns the absolute change of the weight at the index.
func weightChange(present, next []placement.Target, index int) int {
	change := int(next[index].Weight) - int(present[index].Weight)
	return max(change, -change)
}

// moveWindow is the time for which the budget of moved buckets, Settings.MaxMovedPerMinute, holds.
const moveWindow = time.Minute

// remainingMoves returns the number of buckets that weight steps may move now. It is 0 until a
// whole window has passed since the service's placement was first seen, because the moves before
// that are not known.
func (c *Controller) remainingMoves(s *service) int {
	if c.now-s.firstSeenAt < moveWindow {
		return 0
	}
	remaining := c.settings.MaxMovedPerMinute
	s.moves = slices.DeleteFunc(s.moves, func(move bucketMove) bool { return c.now-move.at >= moveWindow })
	for _, move := range s.moves {
		remaining -= move.buckets
	}
	return remaining
}

// recordMoves records the number of buckets that a weight step moved, whichever node committed it.
func (c *Controller) recordMoves(s *service, before, after *lb.Placement) {
	if before == nil {
		s.firstSeenAt = c.now
		return
	}
	from, to := currentBackends(before), currentBackends(after)
	if slices.Equal(from, to) || !sameBackends(from, to) {
		return
	}
	moved := placement.CountMovedBuckets(after, from, to)
	s.moves = append(s.moves, bucketMove{at: c.now, buckets: moved})
}

// steppedTargets returns the current targets with the next weights.
func (c *Controller) steppedTargets(s *service) []placement.Target {
	targets := placement.Targets(s.stored, s.stored.Current)
	states := make([]weight.BackendState, len(targets))
	operator := make([]uint16, len(targets))
	for index, target := range targets {
		operator[index] = s.operatorWeight(target)
		states[index].Factor = weightFactor(target.Weight, operator[index])
		if backend := c.backends[target.Name]; backend != nil {
			states[index].View = backend.View(c.now, &c.settings.Weights)
		}
	}
	for index, factor := range weight.Step(states, &c.settings.Weights) {
		if factor != states[index].Factor {
			targets[index].Weight = scale(operator[index], factor)
		}
	}
	return targets
}

// operatorWeight returns the operator's weight of a target, or the target's present weight if the
// operator's is not known.
func (s *service) operatorWeight(target placement.Target) uint16 {
	index := slices.IndexFunc(s.desired.backends, func(backend desiredBackend) bool {
		return backend.name == target.Name
	})
	if index < 0 {
		return target.Weight
	}
	return s.desired.backends[index].weight
}

// weightFactor returns the ratio of a present weight to the operator's weight, in thousandths.
func weightFactor(present, operator uint16) uint16 {
	return uint16(min(max(uint32(present)*weight.FullFactor/uint32(operator), 1), weight.FullFactor))
}

// movedBuckets returns the number of buckets that the targets would move.
func (c *Controller) movedBuckets(s *service, targets []placement.Target) int {
	next, err := placement.Next(s.stored, placement.WriteStamp{WriteID: "estimate"}, placement.Prepare(targets))
	if err != nil {
		return lb.BucketCount
	}
	return placement.CountMovedBuckets(next, currentBackends(next), next.Generations[len(next.Generations)-1].Backends)
}
