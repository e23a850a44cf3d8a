package controller

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// proposal is a write that a service needs now or later.
type proposal struct {
	kind           Kind
	due            time.Duration // the earliest time to write
	background     bool          // the write carries out neither an operator's change nor a failure
	configRevision int64         // the configuration revision that the new document reflects
	changes        []placement.Change
}

// propose returns the write that the service needs next. Restores, failures and operators' changes
// come first: while one of them waits for its due time, no later kind of write is proposed.
func (c *Controller) propose(s *service) (proposal, bool) {
	if s.unreadable {
		return proposal{}, false
	}
	for _, candidate := range []func(*service) (proposal, bool){
		c.proposeRestore, c.proposeCreate, c.proposeFail, c.proposeConfig, c.proposeCommit, c.proposeRelease,
	} {
		if next, found := candidate(s); found {
			next.due = max(next.due, s.notBefore)
			return next, true
		}
	}
	return c.proposeBackground(s)
}

// proposeBackground returns the first background write that is due, or the one with the earliest
// due time.
func (c *Controller) proposeBackground(s *service) (proposal, bool) {
	if s.stored == nil || isPrepared(s.stored) {
		return proposal{}, false
	}
	var earliest proposal
	hasEarliest := false
	for _, candidate := range []func(*service) (proposal, bool){
		c.proposeSettle, c.proposeClear, c.proposeForget, c.proposeWeights,
	} {
		next, found := candidate(s)
		if !found {
			continue
		}
		next.background = true
		next.due = max(next.due, s.notBefore)
		if next.due <= c.now {
			return next, true
		}
		if !hasEarliest || next.due < earliest.due {
			earliest = next
			hasEarliest = true
		}
	}
	return earliest, hasEarliest
}

// proposalAtStoredRevision returns a proposal that reflects the same configuration revision as the
// stored document.
func proposalAtStoredRevision(s *service, kind Kind, due time.Duration, changes ...placement.Change) proposal {
	return proposal{kind: kind, due: due, configRevision: s.stored.ConfigRevision, changes: changes}
}

// proposeRestore proposes to write a placement that the store has lost again, one version higher.
func (c *Controller) proposeRestore(s *service) (proposal, bool) {
	if !s.regressed || s.stored == nil {
		return proposal{}, false
	}
	return proposalAtStoredRevision(s, KindRestore, c.takeoverTime(s, s.regressedAt+c.settings.RestoreDelay)), true
}

// proposeCreate proposes the first placement of a service.
func (c *Controller) proposeCreate(s *service) (proposal, bool) {
	if s.stored != nil || s.desired.presence != catalog.Present {
		return proposal{}, false
	}
	changes := append(c.configChanges(s), placement.Commit())
	return proposal{kind: KindCreate, due: c.takeoverTime(s, s.unreflectedSince), configRevision: c.seenRevision, changes: changes}, true
}

// proposeFail proposes to mark unresponsive back ends as failed.
func (c *Controller) proposeFail(s *service) (proposal, bool) {
	ids := c.backendsToFail(s)
	if !s.hasUnresponsive.update(len(ids) != 0, c.now) {
		return proposal{}, false
	}
	return proposalAtStoredRevision(s, KindFail, c.takeoverTime(s, s.hasUnresponsive.since), placement.Fail(ids...)), true
}

// proposeConfig proposes to apply the operators' changes. A prepared generation has to be
// committed first, unless it changes only weights. If the stored document reflects a later
// configuration than this node has seen, the service waits for that configuration: the write would
// revert an accepted change.
func (c *Controller) proposeConfig(s *service) (proposal, bool) {
	if s.stored == nil || c.reflectsConfiguration(s) {
		return proposal{}, false
	}
	if isPrepared(s.stored) && (!isWeightsOnly(s.stored) || c.preparedMatchesDesired(s)) {
		return proposal{}, false // the prepared generation has to be committed first
	}
	if s.stored.ConfigRevision > c.seenRevision && !c.disabled.noConfigurationGuard {
		c.awaitingConfig[s] = struct{}{}
		return proposal{}, false
	}
	return proposal{
		kind:           KindConfig,
		due:            c.takeoverTime(s, s.unreflectedSince),
		configRevision: c.seenRevision,
		changes:        c.configChanges(s),
	}, true
}

// configChanges returns the changes that bring the placement to the desired state.
func (c *Controller) configChanges(s *service) []placement.Change {
	if s.desired.presence == catalog.Absent {
		return []placement.Change{placement.Delete()}
	}
	return []placement.Change{
		placement.SetFrontends(s.desired.frontends),
		placement.SetOpensPerSecond(s.desired.opensPerSecond),
		placement.Prepare(c.targets(s)),
		commitUnlessMoving,
	}
}

// commitUnlessMoving commits a prepared generation that moves no bucket. Nodes do not have to
// learn of such a generation before its commit.
func commitUnlessMoving(document *lb.Placement) error {
	if !isPrepared(document) {
		return nil
	}
	last := document.Generations[len(document.Generations)-1].Backends
	if placement.CountMovedBuckets(document, currentBackends(document), last) > 0 {
		return nil
	}
	return placement.Commit()(document)
}

// proposeCommit proposes to commit the prepared generation as soon as every zone has acknowledged
// it or PrepareLimit has passed.
func (c *Controller) proposeCommit(s *service) (proposal, bool) {
	if s.stored == nil || !isPrepared(s.stored) {
		return proposal{}, false
	}
	due := s.preparedAt + c.settings.PrepareLimit
	if s.ready.update(c.isAcknowledged(s), c.now) {
		due = min(due, s.ready.since)
	}
	return proposalAtStoredRevision(s, KindCommit, c.takeoverTime(s, due), placement.Commit()), true
}

// isAcknowledged reports whether the prepared version is in force in every zone.
func (c *Controller) isAcknowledged(s *service) bool {
	for _, zone := range c.view.zones {
		if s.acknowledged[zone] < s.preparedVersion {
			return false
		}
	}
	return len(c.view.zones) > 0
}

// proposeRelease proposes to remove, from a deleted service, the front ends that existing services
// use.
func (c *Controller) proposeRelease(s *service) (proposal, bool) {
	if s.stored == nil || !s.stored.Deleted {
		return proposal{}, false
	}
	rest := slices.DeleteFunc(slices.Clone(s.stored.Frontends), c.isOwned)
	if !s.releasable.update(len(rest) < len(s.stored.Frontends), c.now) {
		return proposal{}, false
	}
	return proposalAtStoredRevision(s, KindConfig, c.takeoverTime(s, s.releasable.since), placement.SetFrontends(rest)), true
}

// isOwned reports whether an existing service has the front end.
func (c *Controller) isOwned(frontend lb.Frontend) bool {
	_, owned := c.owners[frontend]
	return owned
}

// proposeSettle proposes to make a generation the base: the newest one whose commit was at least
// IdleTimeout and SettleMargin ago.
func (c *Controller) proposeSettle(s *service) (proposal, bool) {
	wait := c.settings.IdleTimeout + c.settings.SettleMargin
	if c.disabled.noSettleWait {
		wait = 0
	}
	for index := len(s.commits) - 1; index >= 0; index-- {
		commit := s.commits[index]
		if due := c.takeoverTime(s, commit.at+wait); due <= c.now || index == 0 {
			return proposalAtStoredRevision(s, KindSettle, due, placement.Settle(commit.generation)), true
		}
	}
	return proposal{}, false
}

// proposeClear proposes to remove the buckets that were reported clean from the history.
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
	due := c.takeoverTime(s, s.cleanSince+c.settings.ClearInterval)
	return proposalAtStoredRevision(s, KindClear, due, placement.Clear(buckets)), true
}

// proposeForget proposes to remove back ends that the operators deleted and that have no flow left.
// For a deleted service with a single generation and no history it proposes to empty the document.
func (c *Controller) proposeForget(s *service) (proposal, bool) {
	document := s.stored
	var ids []lb.BackendID
	for _, backend := range document.Backends {
		if placement.CanForget(document, backend.ID) && c.isDeletedBackend(s, backend.Name) {
			ids = append(ids, backend.ID)
		}
	}
	if !s.forgettable.update(len(ids) != 0, c.now) {
		return proposal{}, false
	}
	change := placement.Forget(ids...)
	if document.Deleted && len(document.Generations) == 1 && len(document.History) == 0 {
		change = placement.Purge()
	}
	return proposalAtStoredRevision(s, KindForget, c.takeoverTime(s, s.forgettable.since), change), true
}

// isDeletedBackend reports whether the operators deleted the back end or its service.
func (c *Controller) isDeletedBackend(s *service, name lb.BackendName) bool {
	if s.stored.Deleted {
		return true
	}
	_, known := c.index.Backend(name)
	return !known && !slices.Contains(s.desired.invalid, name)
}
