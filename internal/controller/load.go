package controller

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/weight"
)

// takeLoad takes in reports of health and load, and reconsiders the services
// of back ends that do not answer.
func (c *Controller) takeLoad(load *message.Load) {
	for _, reported := range load.Backends {
		services := c.serving[reported.Backend]
		if len(services) == 0 {
			continue
		}
		backend := c.backends[reported.Backend]
		if backend == nil {
			backend = new(weight.Backend)
			c.backends[reported.Backend] = backend
		}
		backend.AddReport(c.now, load.Zone, reported, &c.settings.Weights)
		failing := backend.Unanswered(c.now, &c.settings.Weights)
		for s := range services {
			if failing {
				c.reconsider(s)
			} else {
				c.background.put(s, max(c.now, s.weighedAt+c.settings.WeightInterval))
			}
		}
	}
}

// failing gives the back ends that take flows and do not answer, up to the
// number that may be marked as failed together.
func (c *Controller) failing(s *service) []lb.BackendID {
	if s.stored == nil || s.stored.Deleted || len(s.wanted.backends) == 0 {
		return nil
	}
	room := weight.MaxFailed(len(s.wanted.backends))
	var ids []lb.BackendID
	for _, wanted := range s.wanted.backends {
		placed, found := findPlaced(s.stored, wanted)
		if !found {
			continue
		}
		if placed.State == lb.BackendFailed {
			room--
		}
		if placed.State == lb.BackendActive && currentWeight(s.stored, placed.ID) != 0 && c.isUnanswering(wanted.name) {
			ids = append(ids, placed.ID)
		}
	}
	return ids[:min(len(ids), max(room, 0))]
}

// isUnanswering tells whether the data path shows that the back end does not answer.
func (c *Controller) isUnanswering(name lb.BackendName) bool {
	backend := c.backends[name]
	return backend != nil && backend.Unanswered(c.now, &c.settings.Weights)
}

// mayReturn tells whether a failed back end may take flows again.
func (c *Controller) mayReturn(s *service, placed lb.PlacedBackend) bool {
	since := c.now
	for _, known := range s.failures {
		if known.id == placed.ID {
			since = known.at
		}
	}
	if c.now-since < c.settings.FailedHold {
		return false
	}
	backend := c.backends[placed.Name]
	if backend == nil {
		return true
	}
	return !backend.Unanswered(c.now, &c.settings.Weights) && !backend.View(c.now, &c.settings.Weights).Unhealthy
}

// proposeWeights moves weights towards what health and load ask for: only at
// the service's first publisher, by bounded steps, and within the budget of
// moved buckets. It also looks again at failed back ends.
func (c *Controller) proposeWeights(s *service) (proposal, bool) {
	if s.stored.Deleted || c.rank(s) > 0 || !c.reflects(s) {
		return proposal{}, false
	}
	due := s.weighedAt + c.settings.WeightInterval
	if !c.needsWeighing(s) {
		return proposal{}, false
	}
	if due > c.now {
		return keep(s, KindWeights, due), true
	}
	s.weighedAt = c.now
	targets := c.affordableStep(s)
	if targets == nil {
		return keep(s, KindWeights, c.now+c.settings.WeightInterval), true
	}
	return keep(s, KindWeights, c.now, placement.Prepare(targets), commitUnlessMoving), true
}

// needsWeighing tells whether there is anything to weigh or to wait for.
func (c *Controller) needsWeighing(s *service) bool {
	if len(s.failures) != 0 {
		return true
	}
	if len(s.wanted.backends) < 2 {
		return false
	}
	for _, backend := range s.wanted.backends {
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

// affordableStep gives the next weights, or nil when nothing is to change or the
// budget of moved buckets does not allow it yet. Where the whole step costs too
// much, it is the largest single change, halved as long as need be.
func (c *Controller) affordableStep(s *service) []placement.Target {
	room := c.moveRoom(s)
	if room <= 0 {
		return nil
	}
	present := placement.Targets(s.stored, s.stored.Current)
	next := c.steppedTargets(s)
	for !slices.Equal(next, present) {
		if c.cost(s, next) <= room {
			return next
		}
		next = smallerStep(present, next)
	}
	return nil
}

// smallerStep keeps only the largest change of weight; if there is only one, half of it.
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

// weightChange gives the size of one change of weight.
func weightChange(present, next []placement.Target, index int) int {
	change := int(next[index].Weight) - int(present[index].Weight)
	return max(change, -change)
}

// moveWindow is the time over which the budget of moved buckets holds.
const moveWindow = time.Minute

// moveRoom gives the number of buckets that weight steps may move now. What
// was moved before this controller knew the service is not known, so there is
// no room until a whole window has been seen.
func (c *Controller) moveRoom(s *service) int {
	if c.now-s.knownSince < moveWindow {
		return 0
	}
	room := c.settings.MovedPerMinute
	s.moves = slices.DeleteFunc(s.moves, func(move bucketMove) bool { return c.now-move.at >= moveWindow })
	for _, move := range s.moves {
		room -= move.buckets
	}
	return room
}

// noteMoves counts the buckets that a weight step moved, whoever committed it.
func (c *Controller) noteMoves(s *service, before, after *lb.Placement) {
	if before == nil {
		s.knownSince = c.now
		return
	}
	from, to := currentBackends(before), currentBackends(after)
	if slices.Equal(from, to) || !sameBackends(from, to) {
		return
	}
	moved := placement.MovedBetween(after, from, to)
	s.moves = append(s.moves, bucketMove{at: c.now, buckets: moved})
}

// steppedTargets gives the current targets with the next weights.
func (c *Controller) steppedTargets(s *service) []placement.Target {
	targets := placement.Targets(s.stored, s.stored.Current)
	shares := make([]weight.BackendState, len(targets))
	operator := make([]uint16, len(targets))
	for index, target := range targets {
		operator[index] = s.operatorWeight(target)
		shares[index].Factor = factorOf(target.Weight, operator[index])
		if backend := c.backends[target.Name]; backend != nil {
			shares[index].View = backend.View(c.now, &c.settings.Weights)
		}
	}
	for index, factor := range weight.Step(shares, &c.settings.Weights) {
		if factor != shares[index].Factor {
			targets[index].Weight = scale(operator[index], factor)
		}
	}
	return targets
}

// operatorWeight gives the operator's weight of a target, or its present one
// when the operator's is not known.
func (s *service) operatorWeight(target placement.Target) uint16 {
	index := slices.IndexFunc(s.wanted.backends, func(backend wantedBackend) bool {
		return backend.name == target.Name
	})
	if index < 0 {
		return target.Weight
	}
	return s.wanted.backends[index].weight
}

// factorOf gives a weight's part of the operator's, in thousandths.
func factorOf(present, operator uint16) uint16 {
	return uint16(min(max(uint32(present)*weight.FullFactor/uint32(operator), 1), weight.FullFactor))
}

// cost counts the buckets that the targets would move.
func (c *Controller) cost(s *service, targets []placement.Target) int {
	next, err := placement.Next(s.stored, placement.Stamp{WriteID: "estimate"}, placement.Prepare(targets))
	if err != nil {
		return lb.BucketCount
	}
	return placement.MovedBetween(next, currentBackends(next), next.Generations[len(next.Generations)-1].Backends)
}
