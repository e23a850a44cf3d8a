package catalog

import (
	"maps"
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lb"
)

// DesiredBackend is a back end that the operators want a service to have.
type DesiredBackend struct {
	Backend Backend
	// State is active, or draining where the operators drain the back end or evacuate its zone.
	State lb.BackendState
}

// Desired is what the operators want of one service. A back end placed before
// and listed here neither in Backends nor in Unknown is to leave.
type Desired struct {
	Name lb.ServiceName
	// Presence: Absent means the service is to be deleted; Unknown means
	// that its placement, if there is one, is to be left as it is.
	Presence Presence
	Service  Service          // valid when Present
	Backends []DesiredBackend // sorted by name
	// Unknown lists back ends whose document exists but was never seen
	// valid, sorted: where placed, they stay as they are.
	Unknown []lb.BackendName
}

// Desired derives what the operators want of the named service.
func (index *Index) Desired(name lb.ServiceName) Desired {
	desired := Desired{Name: name, Presence: index.presence(name)}
	if desired.Presence != Present {
		return desired
	}
	entry := index.services[name]
	desired.Service = entry.service
	desired.Unknown = index.unknownBackends()
	desired.Backends = make([]DesiredBackend, 0, len(entry.backends))
	for _, backend := range slices.Sorted(maps.Keys(entry.backends)) {
		document := index.backends[backend].backend
		desired.Backends = append(desired.Backends, DesiredBackend{Backend: document, State: index.desiredState(&document)})
	}
	return desired
}

// Derive gives what the operators want of every service, sorted by name, from
// all documents at once. Invalid ones are left out of it and listed as problems.
func Derive(services []Service, backends []Backend) ([]Desired, []Problem) {
	index := NewIndex()
	for _, backend := range backends {
		_, _ = index.PutBackend(backend) // the error is kept as a problem
	}
	for _, service := range services {
		_, _ = index.PutService(service) // the error is kept as a problem
	}
	names := index.ServiceNames()
	all := make([]Desired, len(names))
	for position, name := range names {
		all[position] = index.Desired(name)
	}
	return all, index.Problems()
}

func (index *Index) desiredState(backend *Backend) lb.BackendState {
	if backend.Drain || index.Evacuated(backend.Zone) {
		return lb.BackendDraining
	}
	return lb.BackendActive
}

func (index *Index) presence(name lb.ServiceName) Presence {
	if index.services[name] != nil {
		return Present
	}
	if _, invalid := index.problems[ServiceKey(name)]; invalid {
		return Unknown
	}
	return Absent
}

func (index *Index) unknownBackends() []lb.BackendName {
	var names []lb.BackendName
	for key, problem := range index.problems {
		if name, found := strings.CutPrefix(key, BackendPrefix); found && !problem.Kept {
			names = append(names, lb.BackendName(name))
		}
	}
	slices.Sort(names)
	return names
}
