package catalog

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// selectorAnchors gives labels of which every matching back end has one: those
// of an equality or, failing that, of a set term. None if there is no such term.
func selectorAnchors(selector Selector) []label {
	var anchors []label
	for _, requirement := range selector.Requirements {
		if requirement.Operator != OperatorEquals && requirement.Operator != OperatorIn {
			continue
		}
		if anchors != nil && len(anchors) <= len(requirement.Values) {
			continue
		}
		anchors = make([]label, len(requirement.Values))
		for position, value := range requirement.Values {
			anchors[position] = label{requirement.Key, value}
		}
	}
	return anchors
}

func (index *Index) addService(entry *serviceEntry) {
	name := entry.service.Name
	index.services[name] = entry
	for _, frontend := range entry.service.Frontends {
		index.frontends[frontend] = name
	}
	if entry.anchors == nil {
		index.unanchored[name] = struct{}{}
	}
	for _, anchor := range entry.anchors {
		insert(index.byAnchor, anchor, name)
	}
	for candidate := range index.backendCandidates(entry) {
		index.link(entry, index.backends[candidate])
	}
}

// backendCandidates gives a set that holds every back end the service may select.
func (index *Index) backendCandidates(entry *serviceEntry) map[lb.BackendName]struct{} {
	if len(entry.anchors) == 1 {
		return index.byLabel[entry.anchors[0]]
	}
	candidates := map[lb.BackendName]struct{}{}
	if entry.anchors == nil {
		for name := range index.backends {
			candidates[name] = struct{}{}
		}
	}
	for _, anchor := range entry.anchors {
		maps.Copy(candidates, index.byLabel[anchor])
	}
	return candidates
}

func (index *Index) removeService(name lb.ServiceName) {
	entry := index.services[name]
	if entry == nil {
		return
	}
	for backend := range entry.backends {
		delete(index.backends[backend].services, name)
	}
	for _, frontend := range entry.service.Frontends {
		delete(index.frontends, frontend)
	}
	for _, anchor := range entry.anchors {
		remove(index.byAnchor, anchor, name)
	}
	delete(index.unanchored, name)
	delete(index.services, name)
}

func (index *Index) addBackend(entry *backendEntry) {
	name := entry.backend.Name
	index.backends[name] = entry
	for key, value := range entry.backend.Labels {
		at := label{key, value}
		insert(index.byLabel, at, name)
		for service := range index.byAnchor[at] {
			index.link(index.services[service], entry)
		}
	}
	for service := range index.unanchored {
		index.link(index.services[service], entry)
	}
}

// removeBackend forgets the back end and gives the services that it served.
func (index *Index) removeBackend(name lb.BackendName) map[lb.ServiceName]struct{} {
	entry := index.backends[name]
	if entry == nil {
		return nil
	}
	for service := range entry.services {
		delete(index.services[service].backends, name)
	}
	for key, value := range entry.backend.Labels {
		remove(index.byLabel, label{key, value}, name)
	}
	delete(index.backends, name)
	return entry.services
}

// link notes that the back end serves the service, if the selector matches.
func (index *Index) link(service *serviceEntry, backend *backendEntry) {
	if !service.selector.Matches(backend.backend.Labels) {
		return
	}
	service.backends[backend.backend.Name] = struct{}{}
	backend.services[service.service.Name] = struct{}{}
}

// retryConflicted takes in the services that were refused for a front end
// which has become free, and gives those taken in.
func (index *Index) retryConflicted() []lb.ServiceName {
	var accepted []lb.ServiceName
	for _, name := range slices.Sorted(maps.Keys(index.conflicted)) {
		service, still := index.conflicted[name]
		if !still || index.checkFrontends(&service) != nil {
			continue
		}
		if affected, err := index.PutService(service); err == nil {
			accepted = append(accepted, affected...)
		}
	}
	return accepted
}

func (index *Index) serviceSet() map[lb.ServiceName]struct{} {
	set := make(map[lb.ServiceName]struct{}, len(index.services))
	for name := range index.services {
		set[name] = struct{}{}
	}
	return set
}

func insert[Name comparable](sets map[label]map[Name]struct{}, at label, name Name) {
	if sets[at] == nil {
		sets[at] = map[Name]struct{}{}
	}
	sets[at][name] = struct{}{}
}

func remove[Name comparable](sets map[label]map[Name]struct{}, at label, name Name) {
	delete(sets[at], name)
	if len(sets[at]) == 0 {
		delete(sets, at)
	}
}

func sortedUnion(first, second map[lb.ServiceName]struct{}) []lb.ServiceName {
	names := make([]lb.ServiceName, 0, len(first)+len(second))
	for name := range first {
		names = append(names, name)
	}
	for name := range second {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
