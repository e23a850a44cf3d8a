package placement

import (
	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Limits of a document.
const (
	// MaxGenerations is the maximum number of generations; more are collapsed.
	MaxGenerations = 8
	// MaxWeight is the maximum weight of a back end.
	MaxWeight = 1000
	// MaxGenerationBackends is the maximum number of back ends in a generation: one for each bucket.
	MaxGenerationBackends = lb.BucketCount
	// MaxNameLength is the maximum length of the names of services and back ends, in bytes.
	MaxNameLength = 253
)

// Validate checks every field of a document. The error names each invalid field with its value.
func Validate(document *lb.Placement) error {
	check := &checker{}
	check.identity(document)
	check.frontends(document.Frontends)
	check.backends(document)
	check.generations(document)
	if _, err := ParseBitmap(document.History); err != nil {
		check.failf("history: %v", err)
	}
	if check.errs == nil {
		return nil
	}
	return errors.Wrapf(errors.Join(check.errs...), "placement of service %q, version %d", document.Service, document.Version)
}

// checker collects the errors of one document.
type checker struct{ errs []error }

// failf adds an error.
func (check *checker) failf(format string, arguments ...any) {
	check.errs = append(check.errs, errors.Newf(format, arguments...))
}

// name checks the name of a service or back end.
func (check *checker) name(field, value string) {
	if value == "" || len(value) > MaxNameLength {
		check.failf("%s: %q has %d bytes, must have 1 to %d", field, value, len(value), MaxNameLength)
	}
}

// identity checks the fields that identify the document.
func (check *checker) identity(document *lb.Placement) {
	check.name("service", string(document.Service))
	if document.Version == 0 {
		check.failf("version: 0 must be at least 1")
	}
	if document.WriteID == "" {
		check.failf("write_id: %q must not be empty", document.WriteID)
	}
	if document.NextBackendID == lb.NoBackend {
		check.failf("next_backend_id: 0 must be at least 1")
	}
	if document.ConfigRevision < 0 {
		check.failf("config_revision: %d must not be negative", document.ConfigRevision)
	}
}

// frontends checks that the front ends are complete and distinct.
func (check *checker) frontends(frontends []lb.Frontend) {
	seen := make(map[lb.Frontend]bool, len(frontends))
	for index, frontend := range frontends {
		if !frontend.Address.IsValid() || frontend.Address.Port() == 0 {
			check.failf("frontends[%d].address: %q must be an address with a port", index, frontend.Address)
		}
		if frontend.Protocol != lb.TCP && frontend.Protocol != lb.UDP {
			check.failf("frontends[%d].protocol: %q must be tcp or udp", index, frontend.Protocol)
		}
		if seen[frontend] {
			check.failf("frontends[%d]: %q is listed twice", index, frontend)
		}
		seen[frontend] = true
	}
}

// backends checks that the back ends are complete and sorted by ID.
func (check *checker) backends(document *lb.Placement) {
	previous := lb.NoBackend
	for index, backend := range document.Backends {
		if backend.ID <= previous {
			check.failf("backends[%d].id: %d must be greater than %d", index, backend.ID, previous)
		}
		if backend.ID >= document.NextBackendID {
			check.failf("backends[%d].id: %d must be below next_backend_id %d", index, backend.ID, document.NextBackendID)
		}
		previous = backend.ID
		check.backend(index, backend)
	}
}

// backend checks the fields of one back end.
func (check *checker) backend(index int, backend lb.PlacedBackend) {
	if backend.Name == "" || len(backend.Name) > MaxNameLength {
		check.failf("backends[%d].name: %q has %d bytes, must have 1 to %d", index, backend.Name, len(backend.Name), MaxNameLength)
	}
	if !backend.Host.IsValid() || backend.Host.Port() == 0 {
		check.failf("backends[%d].host: %q must be an address with a port", index, backend.Host)
	}
	switch backend.State {
	case lb.BackendActive, lb.BackendDraining, lb.BackendFailed:
	default:
		check.failf("backends[%d].state: %q must be active, draining or failed", index, backend.State)
	}
}

// generations checks the generations and the index of the current one.
func (check *checker) generations(document *lb.Placement) {
	count := len(document.Generations)
	if count == 0 || count > MaxGenerations {
		check.failf("generations: there are %d, must be 1 to %d", count, MaxGenerations)
	}
	if document.Current < 0 || document.Current >= max(count, 1) {
		check.failf("current: %d must be an index of generations, below %d", document.Current, count)
	}
	previous := lb.Version(0)
	for index, generation := range document.Generations {
		if generation.Version <= previous || generation.Version > document.Version {
			check.failf("generations[%d].v: %d must be greater than %d and at most version %d",
				index, generation.Version, previous, document.Version)
		}
		previous = generation.Version
		check.generation(document, index)
	}
}

// generation checks the back ends of one generation.
func (check *checker) generation(document *lb.Placement, index int) {
	backends := document.Generations[index].Backends
	if len(backends) > MaxGenerationBackends {
		check.failf("generations[%d].b: there are %d back ends, at most %d fit", index, len(backends), MaxGenerationBackends)
	}
	previous := lb.NoBackend
	for position, weighted := range backends {
		if weighted.ID <= previous {
			check.failf("generations[%d].b[%d].id: %d must be greater than %d", index, position, weighted.ID, previous)
		}
		previous = weighted.ID
		if weighted.Weight == 0 || weighted.Weight > MaxWeight {
			check.failf("generations[%d].b[%d].w: %d must be 1 to %d", index, position, weighted.Weight, MaxWeight)
		}
		placed, found := findBackend(document.Backends, weighted.ID)
		if !found {
			check.failf("generations[%d].b[%d].id: %d is not in backends", index, position, weighted.ID)
			continue
		}
		if index == document.Current && placed.State != lb.BackendActive {
			check.failf("backends: %d is %s, but is in the current generations[%d]", weighted.ID, placed.State, index)
		}
	}
}
