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

// Values of Change.Kind.
const (
	KindService = "service"
	KindBackend = "backend"
	KindZone    = "zone"
)

var serviceKind = &kind[catalog.Service]{
	kindName:     KindService,
	key:          func(name string) string { return catalog.ServiceKey(lb.ServiceName(name)) },
	decode:       catalog.DecodeService,
	encode:       catalog.EncodeService,
	setWriteID:   func(service *catalog.Service, id string) { service.WriteID = id },
	linkedWrites: claimFrontends,
}

var backendKind = &kind[catalog.Backend]{
	kindName:     KindBackend,
	key:          func(name string) string { return catalog.BackendKey(lb.BackendName(name)) },
	decode:       catalog.DecodeBackend,
	encode:       catalog.EncodeBackend,
	setWriteID:   func(backend *catalog.Backend, id string) { backend.WriteID = id },
	linkedWrites: noLinkedWrites[catalog.Backend],
}

var zoneKind = &kind[catalog.EvacuatedZone]{
	kindName:     KindZone,
	key:          func(name string) string { return catalog.ZoneKey(lb.Zone(name)) },
	decode:       catalog.DecodeZone,
	encode:       catalog.EncodeZone,
	setWriteID:   func(zone *catalog.EvacuatedZone, id string) { zone.WriteID = id },
	linkedWrites: noLinkedWrites[catalog.EvacuatedZone],
}

// noLinkedWrites implements kind.linkedWrites for documents that change without any other key.
func noLinkedWrites[Document any](context.Context, *Operator, string, *Document, *Document) (linkedWrites, error) {
	return linkedWrites{}, nil
}

// claimFrontends returns the writes that claim the new front ends of the service and release the
// ones that it no longer has.
func claimFrontends(ctx context.Context, operator *Operator, name string, old, new *catalog.Service) (linkedWrites, error) {
	var result linkedWrites
	if old == nil && new == nil { // the deleted document is invalid, so its front ends are unknown
		return result, operator.releaseAllFrontends(ctx, name, &result)
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
			return linkedWrites{}, err
		}
	}
	for _, frontend := range had {
		if slices.Contains(wanted, frontend) {
			continue
		}
		if err := operator.releaseFrontend(ctx, frontend, name, &result); err != nil {
			return linkedWrites{}, err
		}
	}
	return result, nil
}

// claimFrontend adds the write that claims the front end for the named service. A claim of a
// service that no longer exists is replaced.
func (operator *Operator) claimFrontend(ctx context.Context, frontend lb.Frontend, name string, result *linkedWrites) error {
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

// releaseFrontend adds the deletion of the owner's claim on the front end.
func (operator *Operator) releaseFrontend(ctx context.Context, frontend lb.Frontend, owner string, result *linkedWrites) error {
	claim, err := operator.client.Get(ctx, catalog.FrontendKey(frontend))
	if err != nil {
		return err
	}
	result.addRelease(&claim, owner)
	return nil
}

// releaseAllFrontends adds the deletion of all claims of the owner. It finds them by listing the
// claims, so it works for a service whose document is invalid.
func (operator *Operator) releaseAllFrontends(ctx context.Context, owner string, result *linkedWrites) error {
	listing, err := operator.client.List(ctx, catalog.FrontendPrefix)
	if err != nil {
		return err
	}
	for index := range listing.KeyValues {
		result.addRelease(&listing.KeyValues[index], owner)
	}
	return nil
}

// addRelease adds the deletion of the claim if it belongs to the owner.
func (result *linkedWrites) addRelease(claim *store.KeyValue, owner string) {
	if claim.Exists() && string(claim.Value) == owner {
		result.conditions = append(result.conditions, claim.UnchangedCondition())
		result.deletes = append(result.deletes, claim.Key)
	}
}

// CreateService creates a service.
func (operator *Operator) CreateService(ctx context.Context, service catalog.Service) (Change, error) {
	return create(ctx, operator, serviceKind, string(service.Name), service)
}

// EditService applies change to a service.
func (operator *Operator) EditService(ctx context.Context, name lb.ServiceName, change func(*catalog.Service) error) (Change, error) {
	return edit(ctx, operator, serviceKind, string(name), change)
}

// DeleteService deletes a service and releases its front ends.
func (operator *Operator) DeleteService(ctx context.Context, name lb.ServiceName) (Change, error) {
	return remove(ctx, operator, serviceKind, string(name))
}

// Service returns the named service.
func (operator *Operator) Service(ctx context.Context, name lb.ServiceName) (catalog.Service, error) {
	found, err := load(ctx, operator, serviceKind, string(name))
	return found.document, err
}

// CreateBackend creates a back end.
func (operator *Operator) CreateBackend(ctx context.Context, backend catalog.Backend) (Change, error) {
	return create(ctx, operator, backendKind, string(backend.Name), backend)
}

// EditBackend applies change to a back end.
func (operator *Operator) EditBackend(ctx context.Context, name lb.BackendName, change func(*catalog.Backend) error) (Change, error) {
	return edit(ctx, operator, backendKind, string(name), change)
}

// DeleteBackend deletes a back end.
func (operator *Operator) DeleteBackend(ctx context.Context, name lb.BackendName) (Change, error) {
	return remove(ctx, operator, backendKind, string(name))
}

// Backend returns the named back end.
func (operator *Operator) Backend(ctx context.Context, name lb.BackendName) (catalog.Backend, error) {
	found, err := load(ctx, operator, backendKind, string(name))
	return found.document, err
}

// Evacuate stops new flows to all back ends of a zone.
func (operator *Operator) Evacuate(ctx context.Context, zone lb.Zone) (Change, error) {
	return replace(ctx, operator, zoneKind, string(zone), catalog.EvacuatedZone{Name: zone})
}

// Restore ends the evacuation of a zone.
func (operator *Operator) Restore(ctx context.Context, zone lb.Zone) (Change, error) {
	return remove(ctx, operator, zoneKind, string(zone))
}

// Drain starts or ends the draining of a back end.
func (operator *Operator) Drain(ctx context.Context, name lb.BackendName, drain bool) (Change, error) {
	return operator.EditBackend(ctx, name, func(backend *catalog.Backend) error {
		backend.Drain = drain
		return nil
	})
}

// Label changes labels of a back end: "key=value" sets a label, "key-" removes it.
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

// applyLabel applies one change of the form "key=value" or "key-" to the labels.
func applyLabel(labels map[string]string, change string) error {
	if key, value, found := strings.Cut(change, "="); found {
		labels[key] = value
		return nil // the label is validated with the whole document
	}
	key, found := strings.CutSuffix(change, "-")
	if !found {
		return errors.Newf("label %q: must be key=value, or key- to remove it", change)
	}
	if err := catalog.ValidateLabelKey(key); err != nil {
		return errors.Wrapf(err, "label key %q", key)
	}
	delete(labels, key)
	return nil
}
