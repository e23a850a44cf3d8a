package controller

import (
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// desiredBackend is a back end that gets new flows in the operators' configuration.
type desiredBackend struct {
	name   lb.BackendName
	host   netip.AddrPort
	weight uint16 // the operator's weight
}

// desiredState is the state of a service in the operators' configuration.
type desiredState struct {
	presence       catalog.Presence
	frontends      []lb.Frontend
	opensPerSecond uint32
	backends       []desiredBackend // sorted by name
	invalid        []lb.BackendName // back ends whose documents are invalid
}

// commitTime is the time at which this controller first saw a generation committed.
type commitTime struct {
	generation lb.Version
	at         time.Duration
}

// failure is the time at which this controller first saw a back end marked as failed.
type failure struct {
	id lb.BackendID
	at time.Duration
}

// condition records since when a condition has held without interruption.
type condition struct {
	since time.Duration
	holds bool
}

// update records whether the condition holds now, and returns holds.
func (c *condition) update(holds bool, now time.Duration) bool {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
	return holds
}

// bucketMove is the number of buckets that a weight step moved, and the time of the step.
type bucketMove struct {
	at      time.Duration
	buckets int
}

// pendingWrite is a write of which the controller does not know the outcome yet.
type pendingWrite struct {
	id        string
	placement *lb.Placement
	lost      bool // its outcome has to be read back from the store
}

// service is the controller's state of one service.
type service struct {
	name         lb.ServiceName
	key          rendezvous.Key
	queueEntries [queueCount]queueEntry

	desired          desiredState
	lastChange       int64         // revision of the last configuration change that concerns the service
	unreflectedSince time.Duration // when its placement was first found not to reflect the configuration

	// stored is the highest version seen in the store; modRevision is the mod revision that a write
	// over it must expect.
	stored      *lb.Placement
	modRevision int64
	regressedAt time.Duration
	regressed   bool // the store has a lower version than stored, or no placement
	unreadable  bool // the placement in the store cannot be decoded, and stored is nil

	// baseWeights holds the operators' weights from which the stored weights were derived.
	baseWeights []desiredBackend

	pending   *pendingWrite
	notBefore time.Duration // the earliest time of the next write

	preparedVersion lb.Version // generation that is prepared and not committed, or 0
	preparedAt      time.Duration
	acknowledged    map[lb.Zone]lb.Version
	commits         []commitTime
	failures        []failure

	ready           condition // every zone has acknowledged the prepared generation
	hasUnresponsive condition // a back end is unresponsive
	releasable      condition // an existing service has a front end of this deleted service
	forgettable     condition // a back end can be removed from the document

	clean      *placement.Bitmap // buckets reported clean for the stored version
	cleanSince time.Duration

	weightStepAt time.Duration
	firstSeenAt  time.Duration // when a placement of the service was first seen
	moves        []bucketMove  // by weight steps within moveWindow
}

// service returns the named service, and adds it if it does not exist yet.
func (c *Controller) service(name lb.ServiceName) *service {
	known, found := c.services[name]
	if !found {
		known = &service{name: name, key: rendezvous.NewKey(string(name))}
		known.weightStepAt = c.now
		c.services[name] = known
	}
	return known
}

// isPrepared reports whether the placement has a generation that is prepared and not committed.
func isPrepared(document *lb.Placement) bool {
	return document.Current < len(document.Generations)-1
}

// currentBackends returns the back ends of the generation that places new flows.
func currentBackends(document *lb.Placement) []lb.WeightedBackend {
	return document.Generations[document.Current].Backends
}

// currentWeight returns the weight of a back end in the current generation, or 0.
func currentWeight(document *lb.Placement, id lb.BackendID) uint16 {
	for _, weighted := range currentBackends(document) {
		if weighted.ID == id {
			return weighted.Weight
		}
	}
	return 0
}

// isWeightsOnly reports whether the prepared generation has the same back ends as the current one,
// so that it changes only weights.
func isWeightsOnly(document *lb.Placement) bool {
	if !isPrepared(document) {
		return false
	}
	last := document.Generations[len(document.Generations)-1].Backends
	return sameBackends(last, currentBackends(document))
}

// sameBackends reports whether two generations differ at most in weights.
func sameBackends(a, b []lb.WeightedBackend) bool {
	return slices.EqualFunc(a, b, func(a, b lb.WeightedBackend) bool { return a.ID == b.ID })
}

// adopt applies a placement that was seen in the store.
func (c *Controller) adopt(s *service, document *lb.Placement, modRevision int64) {
	if modRevision <= s.modRevision {
		return
	}
	s.modRevision = modRevision
	s.unreadable = false
	if s.stored != nil && mustNotReplace(document, s.stored) && !c.disabled.noVersionMemory {
		c.markRegressed(s)
		return
	}
	s.regressed = false
	c.recordMoves(s, s.stored, document)
	s.stored = document
	c.effects.Placements = append(c.effects.Placements, document)
	c.recordGenerations(s)
	c.recordFailures(s)
	s.clean = nil
	if document.ConfigRevision >= s.lastChange && !isPrepared(document) {
		s.baseWeights = s.desired.backends
	}
	c.updateDeletedOwners(s)
	c.updateUnreflected(s, document.ConfigRevision+1)
	c.scheduleNow(s)
}

// adoptInForce applies the placement that is in force at this node if it is newer than the one
// seen in the store. Either this node's watch lags, or the store has lost the placement. If the
// watch lags, the write that restores the placement has no effect.
func (c *Controller) adoptInForce(s *service) {
	if c.settings.InForce == nil || c.disabled.noVersionMemory {
		return
	}
	known := c.settings.InForce(s.name)
	if known == nil || s.stored != nil && known.Version <= s.stored.Version {
		return
	}
	s.stored = known
	s.unreadable = false
	c.recordGenerations(s)
	c.recordFailures(s)
	s.clean = nil
	c.updateDeletedOwners(s)
	c.updateUnreflected(s, known.ConfigRevision+1)
	c.markRegressed(s)
}

// mustNotReplace reports whether document must not replace known.
func mustNotReplace(document, known *lb.Placement) bool {
	return document.Version < known.Version ||
		document.Version == known.Version && document.WriteID != known.WriteID
}

// markRegressed records that the store lost the stored placement, so that it has to be written
// again.
func (c *Controller) markRegressed(s *service) {
	if !s.regressed {
		s.regressed = true
		s.regressedAt = c.now
	}
	c.scheduleNow(s)
}

// recordGenerations records the times at which generations were first seen prepared and committed.
func (c *Controller) recordGenerations(s *service) {
	document := s.stored
	commits := make([]commitTime, 0, document.Current)
	for _, generation := range document.Generations[1 : document.Current+1] {
		commits = append(commits, commitTime{generation: generation.Version, at: c.committedAt(s, generation.Version)})
	}
	s.commits = commits
	if !isPrepared(document) {
		s.preparedVersion = 0
		s.acknowledged = nil
		return
	}
	last := document.Generations[len(document.Generations)-1].Version
	if s.preparedVersion != last {
		s.preparedVersion = last
		s.preparedAt = c.now
		s.ready = condition{}
		s.acknowledged = make(map[lb.Zone]lb.Version)
	}
}

// committedAt returns the time at which the generation was first seen committed, or now if this is
// the first time.
func (c *Controller) committedAt(s *service, generation lb.Version) time.Duration {
	for _, known := range s.commits {
		if known.generation == generation {
			return known.at
		}
	}
	return c.now
}

// recordFailures records the times at which back ends were first seen marked as failed.
func (c *Controller) recordFailures(s *service) {
	known := s.failures
	s.failures = nil
	for _, backend := range s.stored.Backends {
		if backend.State != lb.BackendFailed {
			continue
		}
		at := c.now
		if index := slices.IndexFunc(known, func(f failure) bool { return f.id == backend.ID }); index >= 0 {
			at = known[index].at
		}
		s.failures = append(s.failures, failure{id: backend.ID, at: at})
	}
}

// updateDeletedOwners updates the index of front ends that deleted services still have.
func (c *Controller) updateDeletedOwners(s *service) {
	for _, frontend := range s.stored.Frontends {
		switch {
		case s.stored.Deleted:
			c.deletedOwners[frontend] = s
		case c.deletedOwners[frontend] == s:
			delete(c.deletedOwners, frontend)
		}
	}
}

// updateUnreflected records whether the placement reflects the configuration. If it does not,
// revision is the first configuration revision that the placement may lack.
func (c *Controller) updateUnreflected(s *service, revision int64) {
	if c.reflectsConfiguration(s) {
		delete(c.unreflected, s.name)
		return
	}
	first, known := c.unreflected[s.name]
	if !known {
		s.unreflectedSince = c.now
		first = revision
	}
	c.unreflected[s.name] = min(first, revision)
}
