package catalog

import (
	"maps"
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lb"
)

// DesiredBackend is a back end that a service should have according to the configuration.
type DesiredBackend struct {
	Backend Backend
	// State is BackendActive, or BackendDraining if operators have drained the back end or
	// evacuated its zone.
	State lb.BackendState
}

// Desired is the desired state of one service according to the configuration. A back end that is in
// the service's placement but neither in Backends nor in UnknownBackends must be removed from the
// placement.
type Desired struct {
	Name lb.ServiceName
	// Presence is Absent if the service must be deleted, and Unknown if its placement, if there is
	// one, must not be changed.
	Presence Presence
	Service  Service          // valid only if Presence is Present
	Backends []DesiredBackend // sorted by name; valid only if Presence is Present
	// UnknownBackends lists, in sorted order, the back ends that have a document of which no valid
	// version has been read. If they are in the placement, they must stay there unchanged.
	UnknownBackends []lb.BackendName
}

// Desired returns the desired state of the named service.
func (index *Index) Desired(name lb.ServiceName) Desired {
	desired := Desired{Name: name, Presence: index.presence(name)}
	if desired.Presence != Present {
		return desired
	}
	entry := index.services[name]
	desired.Service = entry.service
	desired.UnknownBackends = index.unknownBackends()
	desired.Backends = make([]DesiredBackend, 0, len(entry.backends))
	for _, backend := range slices.Sorted(maps.Keys(entry.backends)) {
		document := index.backends[backend].backend
		desired.Backends = append(desired.Backends, DesiredBackend{Backend: document, State: index.desiredState(&document)})
	}
	return desired
}

// DeriveAll returns the desired state of every service, sorted by name, for the given documents.
// Invalid documents are ignored and returned as problems.
func DeriveAll(services []Service, backends []Backend) ([]Desired, []Problem) {
	index := NewIndex()
	for _, backend := range backends {
		_, _ = index.PutBackend(backend) // the index records the error as a problem
	}
	for _, service := range services {
		_, _ = index.PutService(service) // the index records the error as a problem
	}
	names := index.ServiceNames()
	all := make([]Desired, len(names))
	for position, name := range names {
		all[position] = index.Desired(name)
	}
	return all, index.Problems()
}

// desiredState returns the state that the back end should have in all placements.
func (index *Index) desiredState(backend *Backend) lb.BackendState {
	if backend.Drain || index.Evacuated(backend.Zone) {
		return lb.BackendDraining
	}
	return lb.BackendActive
}

// presence reports whether the service has a document and whether a valid version of it is known.
func (index *Index) presence(name lb.ServiceName) Presence {
	if index.services[name] != nil {
		return Present
	}
	if _, invalid := index.problems[ServiceKey(name)]; invalid {
		return Unknown
	}
	return Absent
}

// unknownBackends returns, in sorted order, the back ends that have a document of which no valid
// version has been read.
func (index *Index) unknownBackends() []lb.BackendName {
	var names []lb.BackendName
	for key, problem := range index.problems {
		if name, found := strings.CutPrefix(key, BackendPrefix); found && !problem.PreviousInUse {
			names = append(names, lb.BackendName(name))
		}
	}
	slices.Sort(names)
	return names
}
