package catalog

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// requiredLabels returns labels such that every matching back end has at least one of them. They
// come from the equality or set term with the fewest values. The result is nil if the selector has
// no such term.
func requiredLabels(selector Selector) []label {
	var labels []label
	for _, requirement := range selector.Requirements {
		if requirement.Operator != OperatorEquals && requirement.Operator != OperatorIn {
			continue
		}
		if labels != nil && len(labels) <= len(requirement.Values) {
			continue
		}
		labels = make([]label, len(requirement.Values))
		for position, value := range requirement.Values {
			labels[position] = label{requirement.Key, value}
		}
	}
	return labels
}

// addService adds the service and links it to the back ends that it selects.
func (index *Index) addService(entry *serviceEntry) {
	name := entry.service.Name
	index.services[name] = entry
	for _, frontend := range entry.service.Frontends {
		index.frontends[frontend] = name
	}
	if entry.requiredLabels == nil {
		index.servicesWithoutLabel[name] = struct{}{}
	}
	for _, required := range entry.requiredLabels {
		insert(index.servicesByLabel, required, name)
	}
	for candidate := range index.backendCandidates(entry) {
		index.linkIfSelected(entry, index.backends[candidate])
	}
}

// backendCandidates returns a superset of the back ends that the service selects.
func (index *Index) backendCandidates(entry *serviceEntry) map[lb.BackendName]struct{} {
	if len(entry.requiredLabels) == 1 {
		return index.backendsByLabel[entry.requiredLabels[0]]
	}
	candidates := map[lb.BackendName]struct{}{}
	if entry.requiredLabels == nil {
		for name := range index.backends {
			candidates[name] = struct{}{}
		}
	}
	for _, required := range entry.requiredLabels {
		maps.Copy(candidates, index.backendsByLabel[required])
	}
	return candidates
}

// removeService removes the service, if it exists.
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
	for _, required := range entry.requiredLabels {
		remove(index.servicesByLabel, required, name)
	}
	delete(index.servicesWithoutLabel, name)
	delete(index.services, name)
}

// addBackend adds the back end and links it to the services that select it.
func (index *Index) addBackend(entry *backendEntry) {
	name := entry.backend.Name
	index.backends[name] = entry
	for key, value := range entry.backend.Labels {
		entryLabel := label{key, value}
		insert(index.backendsByLabel, entryLabel, name)
		for service := range index.servicesByLabel[entryLabel] {
			index.linkIfSelected(index.services[service], entry)
		}
	}
	for service := range index.servicesWithoutLabel {
		index.linkIfSelected(index.services[service], entry)
	}
}

// removeBackend removes the back end, if it exists, and returns the services that selected it.
func (index *Index) removeBackend(name lb.BackendName) map[lb.ServiceName]struct{} {
	entry := index.backends[name]
	if entry == nil {
		return nil
	}
	for service := range entry.services {
		delete(index.services[service].backends, name)
	}
	for key, value := range entry.backend.Labels {
		remove(index.backendsByLabel, label{key, value}, name)
	}
	delete(index.backends, name)
	return entry.services
}

// linkIfSelected records that the service selects the back end if its selector matches.
func (index *Index) linkIfSelected(service *serviceEntry, backend *backendEntry) {
	if !service.selector.Matches(backend.backend.Labels) {
		return
	}
	service.backends[backend.backend.Name] = struct{}{}
	backend.services[service.service.Name] = struct{}{}
}

// retryFrontendConflicts adds the services that were rejected because of a front end that is free
// now. It returns all services whose desired state may have changed as a result.
func (index *Index) retryFrontendConflicts() []lb.ServiceName {
	var accepted []lb.ServiceName
	for _, name := range slices.Sorted(maps.Keys(index.frontendConflicts)) {
		service, conflicted := index.frontendConflicts[name]
		if !conflicted || index.checkFrontends(&service) != nil {
			continue
		}
		if affected, err := index.PutService(service); err == nil {
			accepted = append(accepted, affected...)
		}
	}
	return accepted
}

// serviceSet returns the names of all services as a set.
func (index *Index) serviceSet() map[lb.ServiceName]struct{} {
	set := make(map[lb.ServiceName]struct{}, len(index.services))
	for name := range index.services {
		set[name] = struct{}{}
	}
	return set
}

// insert adds the name to the set of the label.
func insert[Name comparable](sets map[label]map[Name]struct{}, entryLabel label, name Name) {
	if sets[entryLabel] == nil {
		sets[entryLabel] = map[Name]struct{}{}
	}
	sets[entryLabel][name] = struct{}{}
}

// remove removes the name from the set of the label, and the set if it is empty.
func remove[Name comparable](sets map[label]map[Name]struct{}, entryLabel label, name Name) {
	delete(sets[entryLabel], name)
	if len(sets[entryLabel]) == 0 {
		delete(sets, entryLabel)
	}
}

// sortedUnion returns the members of both sets, sorted and without duplicates.
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
