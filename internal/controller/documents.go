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

// span is the first and the last of some revisions; zero when there are none.
type span struct{ first, last int64 }

// extend includes the revision.
func (s span) extend(revision int64) span {
	if s.first == 0 || revision < s.first {
		s.first = revision
	}
	return span{first: s.first, last: max(s.last, revision)}
}

// takeDocuments takes in a list or a batch of a watch. One from before what was
// seen already (a store member that lags) is ignored.
func (c *Controller) takeDocuments(documents *Documents) {
	if documents.Revision < c.seen && !c.off.noStaleListCheck {
		return
	}
	affected := make(map[lb.ServiceName]span)
	for index := range documents.Changes {
		c.takeConfiguration(&documents.Changes[index], affected)
	}
	if documents.Complete {
		c.dropMissing(documents, affected)
	}
	c.seen = documents.Revision
	if documents.Complete {
		c.listed = true
		c.startEpoch(documents.Revision)
	}
	for _, name := range slices.Sorted(maps.Keys(affected)) {
		c.refresh(c.service(name), affected[name])
	}
	for index := range documents.Changes {
		c.takePlacement(&documents.Changes[index])
		c.takeEpoch(&documents.Changes[index])
	}
	c.retryLagging()
}

// takeConfiguration takes in one operators' document and adds the services
// that it concerns to affected, with the revisions that concern each.
func (c *Controller) takeConfiguration(document *Document, affected map[lb.ServiceName]span) {
	if !catalog.IsConfiguration(document.Key) {
		return
	}
	var names []lb.ServiceName
	var err error
	if document.Deleted {
		names = c.index.DeleteDocument(document.Key)
		delete(c.documents, document.Key)
	} else {
		names, err = c.index.PutDocument(document.Key, document.Value)
		c.documents[document.Key] = struct{}{}
	}
	if err != nil {
		c.problem(document.Key, err)
	}
	for _, name := range names {
		affected[name] = affected[name].extend(document.ModRevision)
	}
}

// dropMissing forgets what a complete list does not have.
func (c *Controller) dropMissing(documents *Documents, affected map[lb.ServiceName]span) {
	listed := make(map[string]struct{}, len(documents.Changes))
	for index := range documents.Changes {
		listed[documents.Changes[index].Key] = struct{}{}
	}
	if _, found := listed[EpochKey]; !found {
		c.epoch.revision = 0
	}
	for _, key := range slices.Sorted(maps.Keys(c.documents)) {
		if _, found := listed[key]; !found {
			c.takeConfiguration(&Document{Key: key, ModRevision: c.seen + 1, Deleted: true}, affected)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		key := catalog.PlacementKey(name)
		if _, found := listed[key]; !found {
			c.takePlacement(&Document{Key: key, ModRevision: documents.Revision, Deleted: true})
		}
	}
}

// refresh derives anew what the operators want of the service.
func (c *Controller) refresh(s *service, revisions span) {
	first := s.changed == 0
	s.changed = max(s.changed, revisions.last)
	previous := s.wanted
	s.wanted = deriveWanted(c.index.Desired(s.name))
	if excess := len(s.wanted.backends) - placement.MaxActive; excess > 0 {
		c.problem(catalog.ServiceKey(s.name), errors.Newf("selects %d back ends; the last %d by name take no flows, %d are the most",
			len(s.wanted.backends), excess, placement.MaxActive))
		s.wanted.backends = s.wanted.backends[:placement.MaxActive]
	}
	c.linkBackends(s, previous.backends)
	c.noteOwner(s, previous.frontends)
	if first {
		s.relative = s.wanted.backends
	}
	c.noteReflection(s, revisions.first)
	c.reconsider(s)
}

// deriveWanted reduces what the operators want to what placements need.
func deriveWanted(desired catalog.Desired) wanted {
	result := wanted{
		presence:       desired.Presence,
		frontends:      desired.Service.Frontends,
		opensPerSecond: desired.Service.OpensPerSecond,
		unknown:        desired.Unknown,
	}
	for index := range desired.Backends {
		backend := &desired.Backends[index]
		if backend.State != lb.BackendActive {
			continue
		}
		result.backends = append(result.backends, wantedBackend{
			name:   backend.Backend.Name,
			host:   backend.Backend.Host,
			weight: backend.Backend.EffectiveWeight(),
		})
	}
	return result
}

// linkBackends enters the service at the back ends it wants, and takes it from
// those that it wanted before and no longer does.
func (c *Controller) linkBackends(s *service, previous []wantedBackend) {
	for _, backend := range previous {
		delete(c.serving[backend.name], s)
	}
	for _, backend := range s.wanted.backends {
		services := c.serving[backend.name]
		if services == nil {
			services = make(map[*service]struct{}, 1)
			c.serving[backend.name] = services
		}
		services[s] = struct{}{}
	}
	for _, backend := range previous {
		if len(c.serving[backend.name]) == 0 {
			delete(c.serving, backend.name)
			delete(c.backends, backend.name)
		}
	}
}

// noteOwner keeps the index of front ends of services that exist, and looks
// again at deleted services that still have one of them.
func (c *Controller) noteOwner(s *service, previous []lb.Frontend) {
	for _, frontend := range previous {
		if c.owners[frontend] == s.name {
			delete(c.owners, frontend)
		}
	}
	for _, frontend := range s.wanted.frontends {
		c.owners[frontend] = s.name
		if retired := c.retired[frontend]; retired != nil {
			c.reconsider(retired)
		}
	}
}

// takePlacement takes in a placement as seen in the store.
func (c *Controller) takePlacement(document *Document) {
	name, found := strings.CutPrefix(document.Key, catalog.PlacementPrefix)
	if !found {
		return
	}
	s := c.service(lb.ServiceName(name))
	if document.ModRevision <= s.modRevision {
		return
	}
	if document.Deleted {
		c.takeLoss(s, document.ModRevision)
		return
	}
	decoded, err := decodePlacement(document, s.name)
	if err == nil {
		c.adopt(s, decoded, document.ModRevision)
	} else {
		c.problem(document.Key, err)
		s.modRevision = document.ModRevision
		s.unreadable = s.stored == nil
		c.markRegressed(s)
	}
	c.resolve(s, decoded)
}

// takeLoss notes that the store has no placement of the service, as of a revision.
func (c *Controller) takeLoss(s *service, revision int64) {
	s.unreadable = false
	if s.modRevision == 0 || revision <= s.modRevision {
		return
	}
	s.modRevision = 0
	c.markRegressed(s)
}

// decodePlacement reads and checks a placement.
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

// retryLagging reconsiders the services that waited for configuration which this node had not seen.
func (c *Controller) retryLagging() {
	for s := range c.lagging {
		delete(c.lagging, s)
		c.reconsider(s)
	}
}

// problem reports something that operators should see.
func (c *Controller) problem(key string, cause error) {
	c.effects.Problems = append(c.effects.Problems, Problem{Key: key, Cause: cause})
}
