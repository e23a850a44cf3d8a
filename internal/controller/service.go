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

// wantedBackend is a back end that the operators want to take new flows.
type wantedBackend struct {
	name   lb.BackendName
	host   netip.AddrPort
	weight uint16 // the operator's
}

// wanted is what the operators want of a service.
type wanted struct {
	presence       catalog.Presence
	frontends      []lb.Frontend
	opensPerSecond uint32
	backends       []wantedBackend // sorted by name
	unknown        []lb.BackendName
}

// commitTime says when this controller first saw a generation committed.
type commitTime struct {
	generation lb.Version
	at         time.Duration
}

// failure says when this controller first saw a back end marked as failed.
type failure struct {
	id lb.BackendID
	at time.Duration
}

// condition remembers since when something holds.
type condition struct {
	since time.Duration
	holds bool
}

// hold notes whether it holds now, and gives that back.
func (k *condition) hold(holds bool, now time.Duration) bool {
	if holds && !k.holds {
		k.since = now
	}
	k.holds = holds
	return holds
}

// bucketMove says how many buckets a weight step moved.
type bucketMove struct {
	at      time.Duration
	buckets int
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	id        string
	placement *lb.Placement
	lost      bool // its outcome is to be read back
}

// service is what the controller knows of one service.
type service struct {
	name   lb.ServiceName
	key    rendezvous.Key
	places [slotCount]place

	wanted    wanted
	changed   int64         // revision of the last configuration change that concerns it
	changedAt time.Duration // when its placement was first found not to reflect the configuration

	// stored is the highest version seen in the store, with the mod revision
	// that a write over it must expect.
	stored      *lb.Placement
	modRevision int64
	regressedAt time.Duration
	regressed   bool // the store holds something lower than stored, or nothing
	unreadable  bool // the store holds what cannot be read, and nothing better is known

	// relative holds the operators' weights that the stored weights go by.
	relative []wantedBackend

	pending   *pendingWrite
	holdUntil time.Duration // not written before

	prepared     lb.Version // generation that is announced, or 0
	preparedAt   time.Duration
	acknowledged map[lb.Zone]lb.Version
	commits      []commitTime
	failures     []failure

	ready       condition // the prepared generation is acknowledged
	failing     condition // there is evidence against a back end
	releasable  condition // a front end of the deleted service is wanted by another
	forgettable condition // a back end can be forgotten

	clean      *placement.Bitmap // reported for the stored version
	cleanSince time.Duration

	weighedAt  time.Duration
	knownSince time.Duration // when a placement was first seen
	moves      []bucketMove  // of weight steps, lately
}

// service gives the named service, new if it was not known.
func (c *Controller) service(name lb.ServiceName) *service {
	known, found := c.services[name]
	if !found {
		known = &service{name: name, key: rendezvous.NewKey(string(name))}
		known.weighedAt = c.now
		c.services[name] = known
	}
	return known
}

// isPrepared tells whether a generation is announced and not committed.
func isPrepared(document *lb.Placement) bool {
	return document.Current < len(document.Generations)-1
}

// currentBackends gives the generation by which new flows go.
func currentBackends(document *lb.Placement) []lb.WeightedBackend {
	return document.Generations[document.Current].Backends
}

// currentWeight gives the weight of a back end in the current generation, or 0.
func currentWeight(document *lb.Placement, id lb.BackendID) uint16 {
	for _, weighted := range currentBackends(document) {
		if weighted.ID == id {
			return weighted.Weight
		}
	}
	return 0
}

// isWeightsOnly tells whether the announced generation has the same back ends
// as the current one, so that it changes only weights.
func isWeightsOnly(document *lb.Placement) bool {
	if !isPrepared(document) {
		return false
	}
	last := document.Generations[len(document.Generations)-1].Backends
	return sameBackends(last, currentBackends(document))
}

// sameBackends tells whether two generations differ at most in weights.
func sameBackends(a, b []lb.WeightedBackend) bool {
	return slices.EqualFunc(a, b, func(a, b lb.WeightedBackend) bool { return a.ID == b.ID })
}

// adopt takes in a placement seen in the store.
func (c *Controller) adopt(s *service, document *lb.Placement, modRevision int64) {
	if modRevision <= s.modRevision {
		return
	}
	s.modRevision = modRevision
	s.unreadable = false
	if s.stored != nil && isLower(document, s.stored) && !c.off.noVersionMemory {
		c.markRegressed(s)
		return
	}
	s.regressed = false
	c.noteMoves(s, s.stored, document)
	s.stored = document
	c.effects.Placements = append(c.effects.Placements, document)
	c.noteGenerations(s)
	c.noteFailures(s)
	s.clean = nil
	if document.ConfigRevision >= s.changed && !isPrepared(document) {
		s.relative = s.wanted.backends
	}
	c.noteRetired(s)
	c.noteReflection(s, document.ConfigRevision+1)
	c.reconsider(s)
}

// recall takes the placement that is in force at this node where it is newer
// than what the store is known to have: either this node's watch lags, or the
// store has lost it. In the first case the write to restore it has no effect.
func (c *Controller) recall(s *service) {
	if c.settings.InForce == nil || c.off.noVersionMemory {
		return
	}
	known := c.settings.InForce(s.name)
	if known == nil || s.stored != nil && known.Version <= s.stored.Version {
		return
	}
	s.stored = known
	s.unreadable = false
	c.noteGenerations(s)
	c.noteFailures(s)
	s.clean = nil
	c.noteRetired(s)
	c.noteReflection(s, known.ConfigRevision+1)
	c.markRegressed(s)
}

// isLower tells whether document must not take the place of known.
func isLower(document, known *lb.Placement) bool {
	return document.Version < known.Version ||
		document.Version == known.Version && document.WriteID != known.WriteID
}

// markRegressed notes that the store lost the stored placement: it is to be written again.
func (c *Controller) markRegressed(s *service) {
	if !s.regressed {
		s.regressed = true
		s.regressedAt = c.now
	}
	c.reconsider(s)
}

// noteGenerations keeps the times at which generations were prepared and committed.
func (c *Controller) noteGenerations(s *service) {
	document := s.stored
	commits := make([]commitTime, 0, document.Current)
	for _, generation := range document.Generations[1 : document.Current+1] {
		commits = append(commits, commitTime{generation: generation.Version, at: c.committedAt(s, generation.Version)})
	}
	s.commits = commits
	if !isPrepared(document) {
		s.prepared = 0
		s.acknowledged = nil
		return
	}
	last := document.Generations[len(document.Generations)-1].Version
	if s.prepared != last {
		s.prepared = last
		s.preparedAt = c.now
		s.ready = condition{}
		s.acknowledged = make(map[lb.Zone]lb.Version)
	}
}

// committedAt gives when the generation was first seen committed: now, if not before.
func (c *Controller) committedAt(s *service, generation lb.Version) time.Duration {
	for _, known := range s.commits {
		if known.generation == generation {
			return known.at
		}
	}
	return c.now
}

// noteFailures keeps the times at which back ends were seen to have failed.
func (c *Controller) noteFailures(s *service) {
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

// noteRetired keeps the index of front ends that deleted services still have.
func (c *Controller) noteRetired(s *service) {
	for _, frontend := range s.stored.Frontends {
		switch {
		case s.stored.Deleted:
			c.retired[frontend] = s
		case c.retired[frontend] == s:
			delete(c.retired, frontend)
		}
	}
}

// noteReflection notes whether the placement reflects the configuration. Where
// it does not, revision is the first that it may miss.
func (c *Controller) noteReflection(s *service, revision int64) {
	if c.reflects(s) {
		delete(c.unreflected, s.name)
		return
	}
	first, known := c.unreflected[s.name]
	if !known {
		s.changedAt = c.now
		first = revision
	}
	c.unreflected[s.name] = min(first, revision)
}
