package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lb"
)

// Presence says what the catalog knows of an object.
type Presence uint8

// What may be known of an object.
const (
	// Absent: there is no document.
	Absent Presence = iota
	// Unknown: there is a document, but it is invalid and no valid one was
	// seen before. Whoever publishes leaves what is placed as it is.
	Unknown
	// Present: there is a valid document, or a valid one was seen before.
	Present
)

// label is one key and value; equality terms are indexed by it.
type label struct{ key, value string }

type serviceEntry struct {
	service  Service
	selector Selector
	anchors  []label // a matching back end has one of these; none: no such term
	backends map[lb.BackendName]struct{}
}

type backendEntry struct {
	backend  Backend
	services map[lb.ServiceName]struct{}
}

// Problem is a document that could not be taken in.
type Problem struct {
	Key   string
	Cause error
	// Kept tells whether an earlier valid document is still used.
	Kept bool
}

// Index holds all services and back ends and knows which back end serves
// which service. It is updated document by document; each update costs the
// services and back ends that it can concern, not all of them. An invalid
// document is reported by Problems and the last valid one is kept. It is not
// safe for concurrent use.
type Index struct {
	services   map[lb.ServiceName]*serviceEntry
	backends   map[lb.BackendName]*backendEntry
	frontends  map[lb.Frontend]lb.ServiceName
	byLabel    map[label]map[lb.BackendName]struct{}
	byAnchor   map[label]map[lb.ServiceName]struct{}
	unanchored map[lb.ServiceName]struct{}
	evacuated  map[lb.Zone]struct{}
	problems   map[string]Problem
	// conflicted holds valid services that want a front end of another one.
	conflicted map[lb.ServiceName]Service
}

// NewIndex gives an empty index.
func NewIndex() *Index {
	return &Index{
		services:   map[lb.ServiceName]*serviceEntry{},
		backends:   map[lb.BackendName]*backendEntry{},
		frontends:  map[lb.Frontend]lb.ServiceName{},
		byLabel:    map[label]map[lb.BackendName]struct{}{},
		byAnchor:   map[label]map[lb.ServiceName]struct{}{},
		unanchored: map[lb.ServiceName]struct{}{},
		evacuated:  map[lb.Zone]struct{}{},
		problems:   map[string]Problem{},
		conflicted: map[lb.ServiceName]Service{},
	}
}

// PutDocument takes in the document under key, as read from the store, and
// gives the services whose Desired may differ now, sorted. Keys for which
// IsConfiguration is false are ignored.
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

// DeleteDocument forgets the document under key and gives the services concerned.
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

// reject records the problem. An invalid document of a zone evacuates nothing
// anew. A back end that was never valid may be placed
// anywhere, so every service is concerned by it.
func (index *Index) reject(key string, cause error) ([]lb.ServiceName, error) {
	delete(index.conflicted, lb.ServiceName(strings.TrimPrefix(key, ServicePrefix)))
	kept := index.has(key)
	_, known := index.problems[key]
	index.problems[key] = Problem{Key: key, Cause: cause, Kept: kept}
	if kept || known || strings.HasPrefix(key, ZonePrefix) {
		return nil, cause
	}
	if name, found := strings.CutPrefix(key, ServicePrefix); found {
		return []lb.ServiceName{lb.ServiceName(name)}, cause
	}
	return index.ServiceNames(), cause
}

func (index *Index) has(key string) bool {
	if name, found := strings.CutPrefix(key, ServicePrefix); found {
		return index.services[lb.ServiceName(name)] != nil
	}
	if name, found := strings.CutPrefix(key, ZonePrefix); found {
		return index.Evacuated(lb.Zone(name))
	}
	return index.backends[lb.BackendName(strings.TrimPrefix(key, BackendPrefix))] != nil
}

// PutService takes in a service and gives the services concerned.
func (index *Index) PutService(service Service) ([]lb.ServiceName, error) {
	key := ServiceKey(service.Name)
	if err := service.Validate(); err != nil {
		return index.reject(key, err)
	}
	if err := index.checkFrontends(&service); err != nil {
		affected, err := index.reject(key, err)
		index.conflicted[service.Name] = service
		return affected, err
	}
	selector, err := ParseSelector(service.Selector)
	if err != nil {
		return index.reject(key, err)
	}
	index.removeService(service.Name)
	delete(index.problems, key)
	delete(index.conflicted, service.Name)
	entry := &serviceEntry{
		service:  service,
		selector: selector,
		anchors:  selectorAnchors(selector),
		backends: map[lb.BackendName]struct{}{},
	}
	index.addService(entry)
	return append([]lb.ServiceName{service.Name}, index.retryConflicted()...), nil
}

// checkFrontends gives an error when another service has one of the front ends.
func (index *Index) checkFrontends(service *Service) error {
	var found problems
	for _, frontend := range service.Frontends {
		if owner, taken := index.frontends[frontend]; taken && owner != service.Name {
			found.add("frontends", frontend.String(), "belongs to service "+string(owner))
		}
	}
	return found.result(ServiceKey(service.Name))
}

// PutBackend takes in a back end and gives the services concerned, sorted.
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

// DeleteService forgets a service and gives the services concerned.
func (index *Index) DeleteService(name lb.ServiceName) []lb.ServiceName {
	delete(index.problems, ServiceKey(name))
	delete(index.conflicted, name)
	index.removeService(name)
	return append([]lb.ServiceName{name}, index.retryConflicted()...)
}

// DeleteBackend forgets a back end and gives the services concerned, sorted.
func (index *Index) DeleteBackend(name lb.BackendName) []lb.ServiceName {
	affected := index.removeBackend(name)
	if _, wasUnknown := index.problems[BackendKey(name)]; wasUnknown && affected == nil {
		affected = index.serviceSet()
	}
	delete(index.problems, BackendKey(name))
	return sortedUnion(affected, nil)
}

// Problems lists the documents that could not be taken in, by key.
func (index *Index) Problems() []Problem {
	list := slices.Collect(maps.Values(index.problems))
	slices.SortFunc(list, func(a, b Problem) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// ServiceNames lists the services with a valid document, sorted.
func (index *Index) ServiceNames() []lb.ServiceName {
	return slices.Sorted(maps.Keys(index.services))
}

// Backend gives the last valid document of a back end.
func (index *Index) Backend(name lb.BackendName) (Backend, bool) {
	entry, found := index.backends[name]
	if !found {
		return Backend{}, false
	}
	return entry.backend, true
}

// Backends lists the last valid documents of all back ends, by name.
func (index *Index) Backends() []Backend {
	list := make([]Backend, 0, len(index.backends))
	for _, name := range slices.Sorted(maps.Keys(index.backends)) {
		list = append(list, index.backends[name].backend)
	}
	return list
}
