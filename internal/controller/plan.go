package controller

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// proposal is a write that a service needs.
type proposal struct {
	kind           Kind
	due            time.Duration // not to be written before
	background     bool          // not for an operator's change or a failure
	configRevision int64         // that the document reflects
	changes        []placement.Change
}

// propose gives the write that the service needs next. What operators asked
// for goes first: while it waits for its time, nothing else is proposed.
func (c *Controller) propose(s *service) (proposal, bool) {
	if s.unreadable {
		return proposal{}, false
	}
	for _, candidate := range []func(*service) (proposal, bool){
		c.proposeRestore, c.proposeCreate, c.proposeFail, c.proposeConfig, c.proposeCommit, c.proposeRelease,
	} {
		if next, found := candidate(s); found {
			next.due = max(next.due, s.holdUntil)
			return next, true
		}
	}
	return c.proposeBackground(s)
}

// proposeBackground gives the first background write that is due, or the one
// that will be due first.
func (c *Controller) proposeBackground(s *service) (proposal, bool) {
	if s.stored == nil || isPrepared(s.stored) {
		return proposal{}, false
	}
	var earliest proposal
	any := false
	for _, candidate := range []func(*service) (proposal, bool){
		c.proposeSettle, c.proposeClear, c.proposeForget, c.proposeWeights,
	} {
		next, found := candidate(s)
		if !found {
			continue
		}
		next.background = true
		next.due = max(next.due, s.holdUntil)
		if next.due <= c.now {
			return next, true
		}
		if !any || next.due < earliest.due {
			earliest = next
			any = true
		}
	}
	return earliest, any
}

// keep gives a proposal that reflects no more of the configuration than the
// stored document.
func keep(s *service, kind Kind, due time.Duration, changes ...placement.Change) proposal {
	return proposal{kind: kind, due: due, configRevision: s.stored.ConfigRevision, changes: changes}
}

// proposeRestore writes again what the store has lost, one version higher.
func (c *Controller) proposeRestore(s *service) (proposal, bool) {
	if !s.regressed || s.stored == nil {
		return proposal{}, false
	}
	return keep(s, KindRestore, c.turn(s, s.regressedAt+c.settings.RestoreDelay)), true
}

// proposeCreate writes the first placement of a service.
func (c *Controller) proposeCreate(s *service) (proposal, bool) {
	if s.stored != nil || s.wanted.presence != catalog.Present {
		return proposal{}, false
	}
	changes := append(c.configChanges(s), placement.Commit())
	return proposal{kind: KindCreate, due: c.turn(s, s.changedAt), configRevision: c.seen, changes: changes}, true
}

// proposeFail takes out back ends that the data path shows not to answer.
func (c *Controller) proposeFail(s *service) (proposal, bool) {
	ids := c.failing(s)
	if !s.failing.hold(len(ids) != 0, c.now) {
		return proposal{}, false
	}
	return keep(s, KindFail, c.turn(s, s.failing.since), placement.Fail(ids...)), true
}

// proposeConfig brings in what the operators changed. A prepared generation is
// committed first, unless it only changes weights. Where the stored document
// reflects a later configuration than this node has seen, it waits: it would
// take back an accepted change.
func (c *Controller) proposeConfig(s *service) (proposal, bool) {
	if s.stored == nil || c.reflects(s) {
		return proposal{}, false
	}
	if isPrepared(s.stored) && (!isWeightsOnly(s.stored) || c.announces(s)) {
		return proposal{}, false // to be committed first
	}
	if s.stored.ConfigRevision > c.seen && !c.off.noConfigurationGuard {
		c.lagging[s] = struct{}{}
		return proposal{}, false
	}
	return proposal{
		kind:           KindConfig,
		due:            c.turn(s, s.changedAt),
		configRevision: c.seen,
		changes:        c.configChanges(s),
	}, true
}

// configChanges gives the transitions that make the placement what the operators want.
func (c *Controller) configChanges(s *service) []placement.Change {
	if s.wanted.presence == catalog.Absent {
		return []placement.Change{placement.Delete()}
	}
	return []placement.Change{
		placement.SetFrontends(s.wanted.frontends),
		placement.SetOpensPerSecond(s.wanted.opensPerSecond),
		placement.Prepare(c.targets(s)),
		commitUnlessMoving,
	}
}

// commitUnlessMoving commits a prepared generation by which no bucket moves:
// there is nothing that nodes need to know before.
func commitUnlessMoving(document *lb.Placement) error {
	if !isPrepared(document) {
		return nil
	}
	last := document.Generations[len(document.Generations)-1].Backends
	if placement.MovedBetween(document, currentBackends(document), last) > 0 {
		return nil
	}
	return placement.Commit()(document)
}

// proposeCommit commits the prepared generation once every zone has
// acknowledged it, or PrepareLimit has passed.
func (c *Controller) proposeCommit(s *service) (proposal, bool) {
	if s.stored == nil || !isPrepared(s.stored) {
		return proposal{}, false
	}
	due := s.preparedAt + c.settings.PrepareLimit
	if s.ready.hold(c.acknowledged(s), c.now) {
		due = min(due, s.ready.since)
	}
	return keep(s, KindCommit, c.turn(s, due), placement.Commit()), true
}

// acknowledged tells whether every zone has the prepared version in force.
func (c *Controller) acknowledged(s *service) bool {
	for _, zone := range c.view.zones {
		if s.acknowledged[zone] < s.prepared {
			return false
		}
	}
	return len(c.view.zones) > 0
}

// proposeRelease takes front ends from a deleted service that others now have.
func (c *Controller) proposeRelease(s *service) (proposal, bool) {
	if s.stored == nil || !s.stored.Deleted {
		return proposal{}, false
	}
	rest := slices.DeleteFunc(slices.Clone(s.stored.Frontends), c.isTaken)
	if !s.releasable.hold(len(rest) < len(s.stored.Frontends), c.now) {
		return proposal{}, false
	}
	return keep(s, KindConfig, c.turn(s, s.releasable.since), placement.SetFrontends(rest)), true
}

// isTaken tells whether a service that exists wants the front end.
func (c *Controller) isTaken(frontend lb.Frontend) bool {
	_, taken := c.owners[frontend]
	return taken
}

// proposeSettle makes the newest generation the base that was committed long enough ago.
func (c *Controller) proposeSettle(s *service) (proposal, bool) {
	wait := c.settings.IdleTimeout + c.settings.SettleMargin
	if c.off.noSettleWait {
		wait = 0
	}
	for index := len(s.commits) - 1; index >= 0; index-- {
		commit := s.commits[index]
		if due := c.turn(s, commit.at+wait); due <= c.now || index == 0 {
			return keep(s, KindSettle, due, placement.Settle(commit.generation)), true
		}
	}
	return proposal{}, false
}

// proposeClear clears the history of buckets that were reported clean.
func (c *Controller) proposeClear(s *service) (proposal, bool) {
	if s.clean == nil {
		return proposal{}, false
	}
	var buckets []uint16
	for bucket := range uint16(lb.BucketCount) {
		if s.clean.Has(bucket) {
			buckets = append(buckets, bucket)
		}
	}
	due := c.turn(s, s.cleanSince+c.settings.ClearInterval)
	return keep(s, KindClear, due, placement.Clear(buckets)), true
}

// proposeForget drops back ends whose objects are gone and which have no flow
// left, and empties the document of a deleted service in the end.
func (c *Controller) proposeForget(s *service) (proposal, bool) {
	document := s.stored
	var ids []lb.BackendID
	for _, backend := range document.Backends {
		if placement.Forgettable(document, backend.ID) && c.isGone(s, backend.Name) {
			ids = append(ids, backend.ID)
		}
	}
	if !s.forgettable.hold(len(ids) != 0, c.now) {
		return proposal{}, false
	}
	change := placement.Forget(ids...)
	if document.Deleted && len(document.Generations) == 1 && len(document.History) == 0 {
		change = placement.Purge()
	}
	return keep(s, KindForget, c.turn(s, s.forgettable.since), change), true
}

// isGone tells whether the operators deleted the back end, or its service.
func (c *Controller) isGone(s *service, name lb.BackendName) bool {
	if s.stored.Deleted {
		return true
	}
	_, known := c.index.Backend(name)
	return !known && !slices.Contains(s.wanted.unknown, name)
}
