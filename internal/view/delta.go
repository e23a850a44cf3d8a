package view

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// RouteEntry is a route, or what is remembered of a removed one.
type RouteEntry struct {
	Revision int64 `json:"revision"` // of the last change
	Gone     bool  `json:"gone,omitempty"`
	Route    Route `json:"route"`
}

// BackendEntry is a back end, or what is remembered of one that has gone.
type BackendEntry struct {
	Revision int64 `json:"revision"` // of the last change
	Gone     bool  `json:"gone,omitempty"`
	// GoneMillis is how long the sender has known it as gone.
	GoneMillis int64   `json:"gone_ms,omitempty"`
	Backend    Backend `json:"backend"`
}

// BackendEntries are back ends as messages have them: a few in JSON, whose words the
// transport's dictionary has, and more in columns, as a text in base64.
type BackendEntries []BackendEntry

// columnsFrom is how many back ends are told in columns: from here on they are shorter.
const columnsFrom = 6

// MarshalJSON implements json.Marshaler.
func (e BackendEntries) MarshalJSON() ([]byte, error) {
	if len(e) < columnsFrom {
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

// GoneEntry is a back end of which only the removal is known: it went while a listing
// was read.
type GoneEntry struct {
	Revision int64          `json:"revision"`
	Name     lb.BackendName `json:"name"`
}

// Delta is what one replica tells another: all that changed after After. What has
// changed after it and is not told has gone.
type Delta struct {
	// After is zero for a whole view.
	After    int64 `json:"after"`
	Revision int64 `json:"revision"`
	// Unseen has the revisions of which the sender knows nothing; nil: it has followed all.
	Unseen *Span `json:"unseen,omitempty"`
	// Part is which part of the delta this is; nil: all of it.
	Part *Part `json:"part,omitempty"`
	// AllRoutes: Routes has all that are in force, as in a whole view.
	AllRoutes bool `json:"all_routes,omitempty"`
	// Version and ConfigurationRevision are those of the configuration; zero: there is none.
	Version               uint64         `json:"version"`
	ConfigurationRevision int64          `json:"configuration_revision"`
	Routes                []RouteEntry   `json:"routes,omitempty"`
	Backends              BackendEntries `json:"backends,omitempty"`
	// Gone are back ends that the sender never knew but by their removal.
	Gone        []GoneEntry       `json:"gone,omitempty"`
	Evacuations []EvacuationEntry `json:"evacuations,omitempty"`
	// ColdRates is nil if they have not changed.
	ColdRates *ColdRates `json:"cold_rates,omitempty"`
}

// maxColdMillis bounds how long a back end says that it stays cold: a day.
const maxColdMillis = 24 * 60 * 60 * 1000

// Limits of what a delta may hold.
const (
	maxRoutes   = 1 << 14
	maxBackends = 1 << 14
	maxTargets  = 64
)

// Validate names the first value that cannot be used.
func (d *Delta) Validate() error {
	if len(d.Gone) > maxBackends {
		return errors.Newf("%d gone back ends are too many", len(d.Gone))
	}
	if len(d.Routes) > maxRoutes || len(d.Backends) > maxBackends || len(d.Evacuations) > maxEvacuations {
		return errors.Newf("%d routes, %d back ends or %d evacuated zones are too many", len(d.Routes), len(d.Backends), len(d.Evacuations))
	}
	return d.validate()
}

// validate is Validate without bounds on how much the delta holds.
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
		return errors.Newf("unseen: from %d to %d is out of order, or beyond revision %d", d.Unseen.From, d.Unseen.To, d.Revision)
	}
	for index := range d.Routes {
		if err := d.Routes[index].Route.Validate(); err != nil {
			return errors.Wrapf(err, "routes[%d]", index)
		}
	}
	for index := range d.Backends {
		if err := d.Backends[index].Backend.Validate(); err != nil {
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

// Validate names the first value that cannot be used.
func (r *Route) Validate() error {
	if !r.Frontend.Address.IsValid() {
		return errors.Newf("frontend: address %q is invalid", r.Frontend.Address)
	}
	if len(r.Targets) == 0 || len(r.Targets) > maxTargets {
		return errors.Newf("targets: %d of them, want 1 to %d", len(r.Targets), maxTargets)
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

// Validate names the first value that cannot be used.
func (b *Backend) Validate() error {
	if b.Name == "" || b.Service == "" {
		return errors.Newf("name %q or service %q is missing", b.Name, b.Service)
	}
	address := b.Address.Addr()
	if !b.Address.IsValid() || address.IsUnspecified() || address.IsMulticast() || b.Address.Port() == 0 {
		return errors.Newf("address %q is no address of one host", b.Address)
	}
	if b.Born < 0 {
		return errors.Newf("born %d is below 0", b.Born)
	}
	if b.ColdMillis < 0 || b.ColdMillis > maxColdMillis {
		return errors.Newf("cold_ms %d is not between 0 and %d", b.ColdMillis, int64(maxColdMillis))
	}
	if b.State != lb.BackendActive && b.State != lb.BackendDraining {
		return errors.Newf("state %q is neither %s nor %s", b.State, lb.BackendActive, lb.BackendDraining)
	}
	return nil
}
