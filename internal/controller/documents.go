package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// revisionRange holds the first and the last of a set of revisions. It is zero for an empty set.
type revisionRange struct{ first, last int64 }

// extend returns the range extended to include the revision.
func (r revisionRange) extend(revision int64) revisionRange {
	if r.first == 0 || revision < r.first {
		r.first = revision
	}
	return revisionRange{first: r.first, last: max(r.last, revision)}
}

// applyDocuments applies a list or a batch of a watch. It ignores one with a lower revision than
// was already seen, which a lagging store member can return.
func (c *Controller) applyDocuments(documents *Documents) {
	if documents.Revision < c.seenRevision && !c.disabled.noStaleListCheck {
		return
	}
	affected := make(map[lb.ServiceName]revisionRange)
	for index := range documents.Changes {
		c.applyConfiguration(&documents.Changes[index], affected)
	}
	if documents.Complete {
		c.deleteUnlisted(documents, affected)
	}
	c.seenRevision = documents.Revision
	if documents.Complete {
		c.hasCompleteList = true
		c.requireEpochChange(documents.Revision)
	}
	for _, name := range slices.Sorted(maps.Keys(affected)) {
		c.updateDesired(c.service(name), affected[name])
	}
	for index := range documents.Changes {
		c.applyPlacement(&documents.Changes[index])
		c.applyEpoch(&documents.Changes[index])
	}
	c.retryAwaitingConfig()
}

// applyConfiguration applies one operators' document. It adds the services that the document
// concerns to affected, each with the range of revisions that concern it.
func (c *Controller) applyConfiguration(document *Document, affected map[lb.ServiceName]revisionRange) {
	if !catalog.IsConfiguration(document.Key) {
		return
	}
	var names []lb.ServiceName
	var err error
	if document.Deleted {
		names = c.index.DeleteDocument(document.Key)
		delete(c.documentKeys, document.Key)
	} else {
		names, err = c.index.PutDocument(document.Key, document.Value)
		c.documentKeys[document.Key] = struct{}{}
	}
	if err != nil {
		c.addProblem(document.Key, err)
	}
	for _, name := range names {
		affected[name] = affected[name].extend(document.ModRevision)
	}
}

// deleteUnlisted treats every known document and placement that a complete list lacks as deleted.
func (c *Controller) deleteUnlisted(documents *Documents, affected map[lb.ServiceName]revisionRange) {
	listed := make(map[string]struct{}, len(documents.Changes))
	for index := range documents.Changes {
		listed[documents.Changes[index].Key] = struct{}{}
	}
	if _, found := listed[EpochKey]; !found {
		c.epoch.modRevision = 0
	}
	for _, key := range slices.Sorted(maps.Keys(c.documentKeys)) {
		if _, found := listed[key]; !found {
			c.applyConfiguration(&Document{Key: key, ModRevision: c.seenRevision + 1, Deleted: true}, affected)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		key := catalog.PlacementKey(name)
		if _, found := listed[key]; !found {
			c.applyPlacement(&Document{Key: key, ModRevision: documents.Revision, Deleted: true})
		}
	}
}

// updateDesired derives the service's desired state from the operators' documents.
func (c *Controller) updateDesired(s *service, revisions revisionRange) {
	first := s.lastChange == 0
	s.lastChange = max(s.lastChange, revisions.last)
	previous := s.desired
	s.desired = deriveDesired(c.index.Desired(s.name))
	if excess := len(s.desired.backends) - placement.MaxGenerationBackends; excess > 0 {
		c.addProblem(catalog.ServiceKey(s.name), errors.Newf("selects %d back ends; the last %d by name get no flows, the maximum is %d",
			len(s.desired.backends), excess, placement.MaxGenerationBackends))
		s.desired.backends = s.desired.backends[:placement.MaxGenerationBackends]
	}
	c.updateServicesByBackend(s, previous.backends)
	c.updateOwners(s, previous.frontends)
	if first {
		s.baseWeights = s.desired.backends
	}
	c.updateUnreflected(s, revisions.first)
	c.scheduleNow(s)
}

// deriveDesired reduces the catalog's desired state to the parts that a placement depends on.
func deriveDesired(desired catalog.Desired) desiredState {
	result := desiredState{
		presence:       desired.Presence,
		frontends:      desired.Service.Frontends,
		opensPerSecond: desired.Service.OpensPerSecond,
		invalid:        desired.UnknownBackends,
	}
	for index := range desired.Backends {
		backend := &desired.Backends[index]
		if backend.State != lb.BackendActive {
			continue
		}
		result.backends = append(result.backends, desiredBackend{
			name:   backend.Backend.Name,
			host:   backend.Backend.Host,
			weight: backend.Backend.EffectiveWeight(),
		})
	}
	return result
}

// updateServicesByBackend enters the service in the index under the back ends of its desired state,
// and removes it from the back ends that are no longer part of it.
func (c *Controller) updateServicesByBackend(s *service, previous []desiredBackend) {
	for _, backend := range previous {
		delete(c.servicesByBackend[backend.name], s)
	}
	for _, backend := range s.desired.backends {
		services := c.servicesByBackend[backend.name]
		if services == nil {
			services = make(map[*service]struct{}, 1)
			c.servicesByBackend[backend.name] = services
		}
		services[s] = struct{}{}
	}
	for _, backend := range previous {
		if len(c.servicesByBackend[backend.name]) == 0 {
			delete(c.servicesByBackend, backend.name)
			delete(c.backends, backend.name)
		}
	}
}

// updateOwners updates the index of front ends of existing services. It schedules the deleted
// services that still have one of the service's front ends.
func (c *Controller) updateOwners(s *service, previous []lb.Frontend) {
	for _, frontend := range previous {
		if c.owners[frontend] == s.name {
			delete(c.owners, frontend)
		}
	}
	for _, frontend := range s.desired.frontends {
		c.owners[frontend] = s.name
		if deletedOwner := c.deletedOwners[frontend]; deletedOwner != nil {
			c.scheduleNow(deletedOwner)
		}
	}
}

// applyPlacement applies a placement as seen in the store.
func (c *Controller) applyPlacement(document *Document) {
	name, found := strings.CutPrefix(document.Key, catalog.PlacementPrefix)
	if !found {
		return
	}
	s := c.service(lb.ServiceName(name))
	if document.ModRevision <= s.modRevision {
		return
	}
	if document.Deleted {
		c.applyPlacementLoss(s, document.ModRevision)
		return
	}
	decoded, err := decodePlacement(document, s.name)
	if err == nil {
		c.adopt(s, decoded, document.ModRevision)
	} else {
		c.addProblem(document.Key, err)
		s.modRevision = document.ModRevision
		s.unreadable = s.stored == nil
		c.markRegressed(s)
	}
	c.resolvePending(s, decoded)
}

// applyPlacementLoss records that the store has no placement of the service as of the revision.
func (c *Controller) applyPlacementLoss(s *service, revision int64) {
	s.unreadable = false
	if s.modRevision == 0 || revision <= s.modRevision {
		return
	}
	s.modRevision = 0
	c.markRegressed(s)
}

// decodePlacement decodes and validates a placement.
func decodePlacement(document *Document, name lb.ServiceName) (*lb.Placement, error) {
	decoded := new(lb.Placement)
	if err := json.Unmarshal(document.Value, decoded); err != nil {
		return nil, errors.Wrapf(err, "placement of service %q", name)
	}
	if decoded.Service != name {
		return nil, errors.Newf("placement of service %q: field service is %q", name, decoded.Service)
	}
	return decoded, placement.Validate(decoded)
}

// retryAwaitingConfig schedules the services that wait for configuration that this node had not
// seen.
func (c *Controller) retryAwaitingConfig() {
	for s := range c.awaitingConfig {
		delete(c.awaitingConfig, s)
		c.scheduleNow(s)
	}
}

// addProblem adds a problem to the effects.
func (c *Controller) addProblem(key string, cause error) {
	c.effects.Problems = append(c.effects.Problems, Problem{Key: key, Cause: cause})
}
