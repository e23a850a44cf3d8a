package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/store"
)

// Kinds of objects, as in Change.Kind.
const (
	KindService = "service"
	KindBackend = "backend"
	KindZone    = "zone"
)

var serviceKind = &kind[catalog.Service]{
	noun:       KindService,
	key:        func(name string) string { return catalog.ServiceKey(lb.ServiceName(name)) },
	decode:     catalog.DecodeService,
	encode:     catalog.EncodeService,
	setWriteID: func(service *catalog.Service, id string) { service.WriteID = id },
	related:    claimFrontends,
}

var backendKind = &kind[catalog.Backend]{
	noun:       KindBackend,
	key:        func(name string) string { return catalog.BackendKey(lb.BackendName(name)) },
	decode:     catalog.DecodeBackend,
	encode:     catalog.EncodeBackend,
	setWriteID: func(backend *catalog.Backend, id string) { backend.WriteID = id },
	related:    nothingRelated[catalog.Backend],
}

var zoneKind = &kind[catalog.EvacuatedZone]{
	noun:       KindZone,
	key:        func(name string) string { return catalog.ZoneKey(lb.Zone(name)) },
	decode:     catalog.DecodeZone,
	encode:     catalog.EncodeZone,
	setWriteID: func(zone *catalog.EvacuatedZone, id string) { zone.WriteID = id },
	related:    nothingRelated[catalog.EvacuatedZone],
}

// nothingRelated is kind.related of documents that change by themselves.
func nothingRelated[Document any](context.Context, *Operator, string, *Document, *Document) (related, error) {
	return related{}, nil
}

// claimFrontends gives the writes by which the service's front ends become
// its own, and those it no longer has become free.
func claimFrontends(ctx context.Context, operator *Operator, name string, old, new *catalog.Service) (related, error) {
	var result related
	if old == nil && new == nil { // an invalid document is deleted
		return result, operator.releaseAll(ctx, name, &result)
	}
	var had, wanted []lb.Frontend
	if old != nil {
		had = old.Frontends
	}
	if new != nil {
		wanted = new.Frontends
	}
	if slices.Equal(had, wanted) {
		return result, nil
	}
	for _, frontend := range wanted {
		if err := operator.claimFrontend(ctx, frontend, name, &result); err != nil {
			return related{}, err
		}
	}
	for _, frontend := range had {
		if slices.Contains(wanted, frontend) {
			continue
		}
		if err := operator.releaseFrontend(ctx, frontend, name, &result); err != nil {
			return related{}, err
		}
	}
	return result, nil
}

func (operator *Operator) claimFrontend(ctx context.Context, frontend lb.Frontend, name string, result *related) error {
	claim, err := operator.client.Get(ctx, catalog.FrontendKey(frontend))
	if err != nil {
		return err
	}
	result.conditions = append(result.conditions, claim.UnchangedCondition())
	if string(claim.Value) == name {
		return nil
	}
	result.puts = append(result.puts, store.Put{Key: claim.Key, Value: []byte(name)})
	if !claim.Exists() {
		return nil
	}
	owner, err := operator.client.Get(ctx, catalog.ServiceKey(lb.ServiceName(claim.Value)))
	if err != nil {
		return err
	}
	if owner.Exists() {
		return errors.Wrapf(store.ErrConflict, "front end %s belongs to service %q", frontend, claim.Value)
	}
	result.conditions = append(result.conditions, owner.UnchangedCondition())
	return nil
}

func (operator *Operator) releaseFrontend(ctx context.Context, frontend lb.Frontend, owner string, result *related) error {
	claim, err := operator.client.Get(ctx, catalog.FrontendKey(frontend))
	if err != nil {
		return err
	}
	result.release(&claim, owner)
	return nil
}

// releaseAll frees every front end of the service, also where its document cannot tell them.
func (operator *Operator) releaseAll(ctx context.Context, owner string, result *related) error {
	listing, err := operator.client.List(ctx, catalog.FrontendPrefix)
	if err != nil {
		return err
	}
	for index := range listing.KeyValues {
		result.release(&listing.KeyValues[index], owner)
	}
	return nil
}

// release deletes the claim if it is the owner's.
func (result *related) release(claim *store.KeyValue, owner string) {
	if claim.Exists() && string(claim.Value) == owner {
		result.conditions = append(result.conditions, claim.UnchangedCondition())
		result.deletes = append(result.deletes, claim.Key)
	}
}

// CreateService adds a service.
func (operator *Operator) CreateService(ctx context.Context, service catalog.Service) (Change, error) {
	return create(ctx, operator, serviceKind, string(service.Name), service)
}

// EditService changes a service.
func (operator *Operator) EditService(ctx context.Context, name lb.ServiceName, change func(*catalog.Service) error) (Change, error) {
	return edit(ctx, operator, serviceKind, string(name), change)
}

// DeleteService deletes a service and frees its front ends.
func (operator *Operator) DeleteService(ctx context.Context, name lb.ServiceName) (Change, error) {
	return remove(ctx, operator, serviceKind, string(name))
}

// Service reads one service.
func (operator *Operator) Service(ctx context.Context, name lb.ServiceName) (catalog.Service, error) {
	found, err := load(ctx, operator, serviceKind, string(name))
	return found.document, err
}

// CreateBackend adds a back end.
func (operator *Operator) CreateBackend(ctx context.Context, backend catalog.Backend) (Change, error) {
	return create(ctx, operator, backendKind, string(backend.Name), backend)
}

// EditBackend changes a back end.
func (operator *Operator) EditBackend(ctx context.Context, name lb.BackendName, change func(*catalog.Backend) error) (Change, error) {
	return edit(ctx, operator, backendKind, string(name), change)
}

// DeleteBackend deletes a back end.
func (operator *Operator) DeleteBackend(ctx context.Context, name lb.BackendName) (Change, error) {
	return remove(ctx, operator, backendKind, string(name))
}

// Backend reads one back end.
func (operator *Operator) Backend(ctx context.Context, name lb.BackendName) (catalog.Backend, error) {
	found, err := load(ctx, operator, backendKind, string(name))
	return found.document, err
}

// Evacuate takes new flows away from all back ends of a zone.
func (operator *Operator) Evacuate(ctx context.Context, zone lb.Zone) (Change, error) {
	return replace(ctx, operator, zoneKind, string(zone), catalog.EvacuatedZone{Name: zone})
}

// Restore ends the evacuation of a zone.
func (operator *Operator) Restore(ctx context.Context, zone lb.Zone) (Change, error) {
	return remove(ctx, operator, zoneKind, string(zone))
}

// Drain sets or ends the draining of a back end.
func (operator *Operator) Drain(ctx context.Context, name lb.BackendName, drain bool) (Change, error) {
	return operator.EditBackend(ctx, name, func(backend *catalog.Backend) error {
		backend.Drain = drain
		return nil
	})
}

// Label changes labels of a back end: "key=value" sets one, "key-" takes it away.
func (operator *Operator) Label(ctx context.Context, name lb.BackendName, changes []string) (Change, error) {
	return operator.EditBackend(ctx, name, func(backend *catalog.Backend) error {
		if backend.Labels == nil {
			backend.Labels = map[string]string{}
		}
		for _, change := range changes {
			if err := applyLabel(backend.Labels, change); err != nil {
				return err
			}
		}
		return nil
	})
}

func applyLabel(labels map[string]string, change string) error {
	if key, value, found := strings.Cut(change, "="); found {
		labels[key] = value
		return nil // checked with the whole document
	}
	key, found := strings.CutSuffix(change, "-")
	if !found {
		return errors.Newf("label %q: must be key=value, or key- to take it away", change)
	}
	if err := catalog.ValidateLabelKey(key); err != nil {
		return errors.Wrapf(err, "label key %q", key)
	}
	delete(labels, key)
	return nil
}
