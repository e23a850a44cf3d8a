package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lb"
)

// Presence reports whether an object has a document and whether a valid version of it is known.
type Presence uint8

// Values of Presence.
const (
	// Absent means that there is no document.
	Absent Presence = iota
	// Unknown means that there is a document, but no valid version of it has been read. The
	// object's placement must not be changed.
	Unknown
	// Present means that the document is valid or that an earlier valid version of it has been
	// read.
	Present
)

// label is a label key with a value.
type label struct{ key, value string }

// serviceEntry is the last valid document of a service and the back ends that its selector matches.
type serviceEntry struct {
	service  Service
	selector Selector
	// requiredLabels contains labels of which every matching back end has at least one. It is nil
	// if the selector has no such term.
	requiredLabels []label
	backends       map[lb.BackendName]struct{}
}

// backendEntry is the last valid document of a back end and the services whose selectors match it.
type backendEntry struct {
	backend  Backend
	services map[lb.ServiceName]struct{}
}

// Problem describes a document that the index has rejected.
type Problem struct {
	Key   string
	Cause error
	// PreviousInUse reports whether an earlier valid version of the document is still used.
	PreviousInUse bool
}

// Index holds the documents of all services, back ends and evacuated zones, and maintains which
// back ends each service selects. Documents are added and deleted one by one. The cost of an update
// depends only on the number of services and back ends that it may affect, not on the total number.
// If a document is invalid, Problems lists it and the index continues to use its last valid
// version. An Index is not safe for concurrent use.
type Index struct {
	services             map[lb.ServiceName]*serviceEntry
	backends             map[lb.BackendName]*backendEntry
	frontends            map[lb.Frontend]lb.ServiceName
	backendsByLabel      map[label]map[lb.BackendName]struct{}
	servicesByLabel      map[label]map[lb.ServiceName]struct{}
	servicesWithoutLabel map[lb.ServiceName]struct{}
	evacuated            map[lb.Zone]struct{}
	problems             map[string]Problem
	// frontendConflicts holds services with valid documents that were rejected because another
	// service has one of their front ends.
	frontendConflicts map[lb.ServiceName]Service
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		services:             map[lb.ServiceName]*serviceEntry{},
		backends:             map[lb.BackendName]*backendEntry{},
		frontends:            map[lb.Frontend]lb.ServiceName{},
		backendsByLabel:      map[label]map[lb.BackendName]struct{}{},
		servicesByLabel:      map[label]map[lb.ServiceName]struct{}{},
		servicesWithoutLabel: map[lb.ServiceName]struct{}{},
		evacuated:            map[lb.Zone]struct{}{},
		problems:             map[string]Problem{},
		frontendConflicts:    map[lb.ServiceName]Service{},
	}
}

// PutDocument adds or replaces the document under key, as read from the store. It returns the
// services whose result of Desired may have changed, sorted. It ignores keys for which
// IsConfiguration returns false.
func (index *Index) PutDocument(key string, value []byte) ([]lb.ServiceName, error) {
	switch {
	case strings.HasPrefix(key, ServicePrefix):
		service, err := DecodeService(key, value)
		if err != nil {
			return index.reject(key, err)
		}
		return index.PutService(service)
	case strings.HasPrefix(key, BackendPrefix):
		backend, err := DecodeBackend(key, value)
		if err != nil {
			return index.reject(key, err)
		}
		return index.PutBackend(backend)
	case strings.HasPrefix(key, ZonePrefix):
		zone, err := DecodeZone(key, value)
		if err != nil {
			return index.reject(key, err)
		}
		return index.PutZone(zone)
	}
	return nil, nil
}

// DeleteDocument removes the document under key and returns the services whose desired state may
// have changed.
func (index *Index) DeleteDocument(key string) []lb.ServiceName {
	if name, found := strings.CutPrefix(key, ServicePrefix); found {
		return index.DeleteService(lb.ServiceName(name))
	}
	if name, found := strings.CutPrefix(key, BackendPrefix); found {
		return index.DeleteBackend(lb.BackendName(name))
	}
	if name, found := strings.CutPrefix(key, ZonePrefix); found {
		return index.DeleteZone(lb.Zone(name))
	}
	return nil
}

// reject records that the document under key is invalid and returns the services whose desired
// state may have changed. An invalid document does not change whether a zone is evacuated. A back
// end without any valid version may be in the placement of any service, so all services are
// affected.
func (index *Index) reject(key string, cause error) ([]lb.ServiceName, error) {
	delete(index.frontendConflicts, lb.ServiceName(strings.TrimPrefix(key, ServicePrefix)))
	hadValid := index.hasValid(key)
	_, known := index.problems[key]
	index.problems[key] = Problem{Key: key, Cause: cause, PreviousInUse: hadValid}
	if hadValid || known || strings.HasPrefix(key, ZonePrefix) {
		return nil, cause
	}
	if name, found := strings.CutPrefix(key, ServicePrefix); found {
		return []lb.ServiceName{lb.ServiceName(name)}, cause
	}
	return index.ServiceNames(), cause
}

// hasValid reports whether the index has a valid version of the document under key.
func (index *Index) hasValid(key string) bool {
	if name, found := strings.CutPrefix(key, ServicePrefix); found {
		return index.services[lb.ServiceName(name)] != nil
	}
	if name, found := strings.CutPrefix(key, ZonePrefix); found {
		return index.Evacuated(lb.Zone(name))
	}
	return index.backends[lb.BackendName(strings.TrimPrefix(key, BackendPrefix))] != nil
}

// PutService adds or replaces a service and returns the services whose desired state may have
// changed.
func (index *Index) PutService(service Service) ([]lb.ServiceName, error) {
	key := ServiceKey(service.Name)
	if err := service.Validate(); err != nil {
		return index.reject(key, err)
	}
	if err := index.checkFrontends(&service); err != nil {
		affected, err := index.reject(key, err)
		index.frontendConflicts[service.Name] = service
		return affected, err
	}
	selector, err := ParseSelector(service.Selector)
	if err != nil {
		return index.reject(key, err)
	}
	index.removeService(service.Name)
	delete(index.problems, key)
	delete(index.frontendConflicts, service.Name)
	entry := &serviceEntry{
		service:        service,
		selector:       selector,
		requiredLabels: requiredLabels(selector),
		backends:       map[lb.BackendName]struct{}{},
	}
	index.addService(entry)
	return append([]lb.ServiceName{service.Name}, index.retryFrontendConflicts()...), nil
}

// checkFrontends returns a *ValidationError if another service has one of the front ends.
func (index *Index) checkFrontends(service *Service) error {
	var invalid fieldErrors
	for _, frontend := range service.Frontends {
		if owner, taken := index.frontends[frontend]; taken && owner != service.Name {
			invalid.add("frontends", frontend.String(), "belongs to service "+string(owner))
		}
	}
	return invalid.result(ServiceKey(service.Name))
}

// PutBackend adds or replaces a back end and returns the services whose desired state may have
// changed, sorted.
func (index *Index) PutBackend(backend Backend) ([]lb.ServiceName, error) {
	key := BackendKey(backend.Name)
	if err := backend.Validate(); err != nil {
		return index.reject(key, err)
	}
	affected := index.removeBackend(backend.Name)
	if _, wasUnknown := index.problems[key]; wasUnknown && affected == nil {
		affected = maps.Clone(index.serviceSet())
	}
	delete(index.problems, key)
	entry := &backendEntry{backend: backend, services: map[lb.ServiceName]struct{}{}}
	index.addBackend(entry)
	return sortedUnion(affected, entry.services), nil
}

// DeleteService removes a service and returns the services whose desired state may have changed.
func (index *Index) DeleteService(name lb.ServiceName) []lb.ServiceName {
	delete(index.problems, ServiceKey(name))
	delete(index.frontendConflicts, name)
	index.removeService(name)
	return append([]lb.ServiceName{name}, index.retryFrontendConflicts()...)
}

// DeleteBackend removes a back end and returns the services whose desired state may have changed,
// sorted.
func (index *Index) DeleteBackend(name lb.BackendName) []lb.ServiceName {
	affected := index.removeBackend(name)
	if _, wasUnknown := index.problems[BackendKey(name)]; wasUnknown && affected == nil {
		affected = index.serviceSet()
	}
	delete(index.problems, BackendKey(name))
	return sortedUnion(affected, nil)
}

// Problems returns the documents that the index has rejected, sorted by key.
func (index *Index) Problems() []Problem {
	list := slices.Collect(maps.Values(index.problems))
	slices.SortFunc(list, func(a, b Problem) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// ServiceNames returns the names of the services that have a valid document, sorted.
func (index *Index) ServiceNames() []lb.ServiceName {
	return slices.Sorted(maps.Keys(index.services))
}

// Backend returns the last valid document of a back end. The second result reports whether there is
// one.
func (index *Index) Backend(name lb.BackendName) (Backend, bool) {
	entry, found := index.backends[name]
	if !found {
		return Backend{}, false
	}
	return entry.backend, true
}

// Backends returns the last valid documents of all back ends, sorted by name.
func (index *Index) Backends() []Backend {
	list := make([]Backend, 0, len(index.backends))
	for _, name := range slices.Sorted(maps.Keys(index.backends)) {
		list = append(list, index.backends[name].backend)
	}
	return list
}
