// Package view replicates the configuration and the back ends of the platform's store to a
// balancer. It contains the replica itself, the inputs that the store supplies (listings, changes
// and snapshots), and the deltas that balancers exchange. A replica carries the store's revision
// and never returns to a lower one. The package has no I/O and no clock.
package view

import (
	"net/netip"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Backend is a back end as described by its entry in the store, which the back end writes itself.
type Backend struct {
	Name lb.BackendName `json:"name"`
	// Identity is the number by which packets name the back end. A back end that restarts may keep
	// its identity; see InstanceID.
	Identity uint64         `json:"identity"`
	Service  lb.ServiceName `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     lb.Zone        `json:"zone,omitempty"`
	// State is BackendActive or BackendDraining.
	State lb.BackendState `json:"state"`
	// Created is the store's revision at which the entry was created.
	Created int64 `json:"created"`
	// Slots is the number of requests that the back end processes concurrently; 0 means that it
	// does not state a number.
	Slots int `json:"slots,omitempty"`
	// ColdMillis is how much longer the back end stays cold, counted from the moment at which a
	// node reads or receives this value. Delays in transit therefore only lengthen the cold period.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// StartUnixMillis is the start time of the back end in milliseconds since 1970, by its own
	// clock. It is 0 if the back end does not state it; such a back end has a different Identity
	// after each start.
	StartUnixMillis int64 `json:"born,omitempty"`
}

// InstanceID returns a number for this instance of the back end, that is, for the time between one
// start and the next. Everything that a node learns about a back end belongs to one instance and
// does not apply to a later one under the same name. All nodes compute the same number for an
// instance.
func (b *Backend) InstanceID() uint64 {
	if b.StartUnixMillis == 0 {
		return b.Identity
	}
	return rendezvous.Mix(b.Identity ^ rendezvous.Mix(uint64(b.StartUnixMillis)))
}

// Target is one destination of a traffic split: a service and its weight. The service receives the
// fraction of the new flows that its weight has in the sum of all weights.
type Target struct {
	Service lb.ServiceName `json:"service"`
	Weight  uint32         `json:"weight"`
}

// Route defines which services receive the new flows of a front end.
type Route struct {
	Frontend lb.Frontend `json:"frontend"`
	Targets  []Target    `json:"targets"`
	// Objective is the service-level objective that the operators set for requests of this front
	// end.
	Objective lb.Objective `json:"objective,omitzero"`
}

// equal reports whether two routes of the same front end have the same content.
func (r *Route) equal(other *Route) bool {
	return r.Objective == other.Objective && slices.Equal(r.Targets, other.Targets)
}

// Configuration is the configuration that the operator has put in force.
type Configuration struct {
	Version uint64
	Routes  []Route
	// ColdRates contains the rates of the services that state one.
	ColdRates []ColdRate
}

// StoredBackend is a back end with the revision of its entry.
type StoredBackend struct {
	Revision int64
	Backend  Backend
}

// StoredConfiguration is a configuration with the revision of its entry.
type StoredConfiguration struct {
	Revision      int64
	Configuration Configuration
}

// Listing is the whole content of the store. Its pages are read one after another, so that later
// pages may contain changes newer than Revision.
type Listing struct {
	Revision      int64
	Configuration *StoredConfiguration // nil: the store has no configuration
	Backends      []StoredBackend
	Evacuations   []StoredEvacuation
	Rejected      []Rejection
}

// Changes contains the changes after some revision up to Revision, in order.
type Changes struct {
	Revision int64
	Changes  []Change
	Rejected []Rejection
}

// Change is one change. Exactly one of Configuration, Backend, Deleted, Unreadable, Evacuated
// and Restored is set.
type Change struct {
	Revision      int64
	Configuration *Configuration
	Backend       *Backend
	Deleted       lb.BackendName // the entry of this back end was deleted
	Unreadable    lb.BackendName // its entry has become unreadable; see Replica.drainUnreadable
	Evacuated     lb.Zone        // back ends of this zone receive no new flows from now on
	Restored      lb.Zone        // back ends of this zone receive new flows again
}

// Rejection is an entry of the store that could not be read. The previous configuration stays in
// force; a back end with an unreadable entry receives no new flows.
type Rejection struct {
	Key      string
	Revision int64
	// Backend is the back end to which the entry belongs; it is empty for other entries.
	Backend lb.BackendName
	Error   error
}
