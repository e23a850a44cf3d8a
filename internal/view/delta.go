package view

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// RouteEntry is a route with its revision, or the tombstone of a deleted route.
type RouteEntry struct {
	Revision int64 `json:"revision"` // of the last change
	Deleted  bool  `json:"gone,omitempty"`
	Route    Route `json:"route"`
}

// BackendEntry is a back end with its revision, or its tombstone.
type BackendEntry struct {
	Revision int64 `json:"revision"` // of the last change
	Deleted  bool  `json:"gone,omitempty"`
	// DeletedMillis is the time since the sender learned of the deletion.
	DeletedMillis int64 `json:"gone_ms,omitempty"`
	// ExistedMillis is the time since the entry was last known to exist. It is 0 if the sender does
	// not know, or runs a version without this field.
	ExistedMillis int64 `json:"existed_ms,omitempty"`
	// DuringOutage is set if the store was unreachable for a part of ExistedMillis.
	DuringOutage bool    `json:"gone_in_outage,omitempty"`
	Backend      Backend `json:"backend"`
}

// BackendEntries is a list of back ends as messages encode it: a few back ends as JSON, whose words
// are in the transport's compression dictionary, and more of them as columns in base64.
type BackendEntries []BackendEntry

// minColumnEntries is the number of back ends from which on columns are shorter than JSON.
const minColumnEntries = 6

// MarshalJSON implements json.Marshaler.
func (e BackendEntries) MarshalJSON() ([]byte, error) {
	if len(e) < minColumnEntries {
		return json.Marshal([]BackendEntry(e))
	}
	return json.Marshal(writeColumns(e))
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *BackendEntries) UnmarshalJSON(text []byte) error {
	if len(text) > 0 && text[0] == '[' {
		return json.Unmarshal(text, (*[]BackendEntry)(e))
	}
	var columns []byte
	if err := json.Unmarshal(text, &columns); err != nil {
		return err
	}
	entries, err := readColumns(columns)
	*e = entries
	return err
}

// RemovalEntry is the deletion of a back end whose entry the sender never read, because it was
// deleted while the sender read a listing.
type RemovalEntry struct {
	Revision int64          `json:"revision"`
	Name     lb.BackendName `json:"name"`
}

// Delta is an update that one replica sends to another. It contains everything that changed after
// the revision After. Items that changed after that revision at the receiver, but are missing from
// the delta, have been deleted.
type Delta struct {
	// After is zero for the whole view.
	After    int64 `json:"after"`
	Revision int64 `json:"revision"`
	// Unseen contains the revisions whose changes the sender has not observed one by one; nil means
	// that it has observed all of them.
	Unseen *Span `json:"unseen,omitempty"`
	// Part identifies which part of a larger delta this is; nil means that the delta is complete.
	Part *Part `json:"part,omitempty"`
	// AllRoutes is set if Routes contains all routes in force, as in a whole view.
	AllRoutes bool `json:"all_routes,omitempty"`
	// Version and ConfigurationRevision belong to the configuration; both are zero if there is
	// none.
	Version               uint64         `json:"version"`
	ConfigurationRevision int64          `json:"configuration_revision"`
	Routes                []RouteEntry   `json:"routes,omitempty"`
	Backends              BackendEntries `json:"backends,omitempty"`
	// UnknownRemovals are deletions of back ends that the sender never had in its replica.
	UnknownRemovals []RemovalEntry    `json:"gone,omitempty"`
	Evacuations     []EvacuationEntry `json:"evacuations,omitempty"`
	// ColdRates is nil if the rates have not changed.
	ColdRates *ColdRates `json:"cold_rates,omitempty"`
}

// maxColdMillis bounds the cold period that a back end may state: one day.
const maxColdMillis = 24 * 60 * 60 * 1000

// Limits of the content of a delta.
const (
	maxRoutes   = 1 << 14
	maxBackends = 1 << 14
	maxTargets  = 64
)

// Validate returns an error that names the first unusable value or the item of which there are too
// many.
func (d *Delta) Validate() error {
	if len(d.UnknownRemovals) > maxBackends {
		return errors.Newf("%d removed back ends are too many", len(d.UnknownRemovals))
	}
	if len(d.Routes) > maxRoutes || len(d.Backends) > maxBackends || len(d.Evacuations) > maxEvacuations {
		return errors.Newf("%d routes, %d back ends or %d evacuated zones are too many", len(d.Routes), len(d.Backends), len(d.Evacuations))
	}
	return d.validate()
}

// validate does the checks of Validate except those on the size of the delta.
func (d *Delta) validate() error {
	if d.After < 0 || d.Revision < d.After {
		return errors.Newf("after %d and revision %d are out of order", d.After, d.Revision)
	}
	if d.Part != nil {
		if err := d.Part.Validate(); err != nil {
			return errors.Wrap(err, "part")
		}
	}
	if d.Unseen != nil && (d.Unseen.From < 0 || d.Unseen.To < d.Unseen.From || d.Unseen.To > d.Revision) {
		return errors.Newf("unseen: from %d to %d is out of order or beyond revision %d", d.Unseen.From, d.Unseen.To, d.Revision)
	}
	for index := range d.Routes {
		if err := d.Routes[index].Route.Validate(); err != nil {
			return errors.Wrapf(err, "routes[%d]", index)
		}
	}
	for index := range d.Backends {
		if err := d.Backends[index].Validate(); err != nil {
			return errors.Wrapf(err, "backends[%d]", index)
		}
	}
	if d.ColdRates != nil {
		if err := d.ColdRates.Validate(); err != nil {
			return errors.Wrap(err, "cold_rates")
		}
	}
	for index := range d.Evacuations {
		if err := d.Evacuations[index].Validate(); err != nil {
			return errors.Wrapf(err, "evacuations[%d]", index)
		}
	}
	return nil
}

// Validate returns an error that names the first unusable value.
func (e *BackendEntry) Validate() error {
	if e.ExistedMillis < 0 || e.ExistedMillis > maxExistedMillis {
		return errors.Newf("existed_ms %d is not between 0 and %d", e.ExistedMillis, int64(maxExistedMillis))
	}
	return e.Backend.Validate()
}

// Validate returns an error that names the first unusable value.
func (r *Route) Validate() error {
	if !r.Frontend.Address.IsValid() {
		return errors.Newf("frontend: address %q is invalid", r.Frontend.Address)
	}
	if len(r.Targets) == 0 || len(r.Targets) > maxTargets {
		return errors.Newf("targets: got %d, want 1 to %d", len(r.Targets), maxTargets)
	}
	var sum uint64
	for index, target := range r.Targets {
		if target.Service == "" {
			return errors.Newf("targets[%d]: service is missing", index)
		}
		sum += uint64(target.Weight)
	}
	if sum == 0 {
		return errors.New("targets: all weights are 0")
	}
	return errors.Wrap(r.Objective.Validate(), "objective")
}

// isHostAddress reports whether packets to an address reach a single host.
func isHostAddress(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && address.Port() != 0
}

// Validate returns an error that names the first unusable value.
func (b *Backend) Validate() error {
	if b.Name == "" || b.Service == "" {
		return errors.Newf("name %q or service %q is missing", b.Name, b.Service)
	}
	if !isHostAddress(b.Address) {
		return errors.Newf("address %q is not the address of a single host", b.Address)
	}
	if b.StartUnixMillis < 0 {
		return errors.Newf("born %d is below 0", b.StartUnixMillis)
	}
	if b.ColdMillis < 0 || b.ColdMillis > maxColdMillis {
		return errors.Newf("cold_ms %d is not between 0 and %d", b.ColdMillis, int64(maxColdMillis))
	}
	if b.State != lb.BackendActive && b.State != lb.BackendDraining {
		return errors.Newf("state %q is neither %s nor %s", b.State, lb.BackendActive, lb.BackendDraining)
	}
	return nil
}
