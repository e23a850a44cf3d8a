// Package view holds a balancer's copy of the configuration and the back ends
// that the platform's store keeps: the replica, what sources tell it, and the
// deltas by which balancers tell each other. A replica has the store's
// revision and never goes back to a lower one. The package has no I/O and no
// clock.
package view

import (
	"net/netip"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Backend is one back end as it keeps itself in the store.
type Backend struct {
	Name lb.BackendName `json:"name"`
	// Identity is the number by which packets name the back end. One that starts again
	// may keep it; see Run.
	Identity uint64         `json:"identity"`
	Service  lb.ServiceName `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     lb.Zone        `json:"zone,omitempty"`
	// State is BackendActive or BackendDraining.
	State lb.BackendState `json:"state"`
	// Created is the store's revision at which the entry was made.
	Created int64 `json:"created"`
	// Slots is how many requests the back end works on at once; 0: it does not say.
	Slots int `json:"slots,omitempty"`
	// ColdMillis is how much longer the back end stays cold, from the moment at which
	// this was read or told. What waits on its way only makes it longer.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// Born is when the back end has started, in milliseconds since 1970 by its own
	// clock; 0: it does not say, and has another Identity after each start.
	Born int64 `json:"born,omitempty"`
}

// Run names one life of the back end, from its start to its end. What is learned of a
// back end belongs to its run: one that starts again under its name is a stranger.
// All nodes give a run the same number.
func (b *Backend) Run() uint64 {
	if b.Born == 0 {
		return b.Identity
	}
	return rendezvous.Mix(b.Identity ^ rendezvous.Mix(uint64(b.Born)))
}

// Target is one part of a split: a service and its weight in the sum of all.
type Target struct {
	Service lb.ServiceName `json:"service"`
	Weight  uint32         `json:"weight"`
}

// Route says where the new flows of a front end go.
type Route struct {
	Frontend lb.Frontend `json:"frontend"`
	Targets  []Target    `json:"targets"`
	// Objective is what the operators ask for its requests.
	Objective lb.Objective `json:"objective,omitzero"`
}

// equal tells whether two routes of one front end say the same.
func (r *Route) equal(other *Route) bool {
	return r.Objective == other.Objective && slices.Equal(r.Targets, other.Targets)
}

// Configuration is what the operator has put in force.
type Configuration struct {
	Version uint64
	Routes  []Route
	// ColdRates are those of the services that state one.
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

// Listing is everything that the store holds, as of Revision or later.
type Listing struct {
	Revision      int64
	Configuration *StoredConfiguration // nil: there is none
	Backends      []StoredBackend
	Evacuations   []StoredEvacuation
	Rejected      []Rejection
}

// Changes are the changes after one revision up to Revision, in order.
type Changes struct {
	Revision int64
	Changes  []Change
	Rejected []Rejection
}

// Change is one change. Exactly one of Configuration, Backend, Gone, Withdrawn,
// Evacuated and Restored is set.
type Change struct {
	Revision      int64
	Configuration *Configuration
	Backend       *Backend
	Gone          lb.BackendName
	Withdrawn     lb.BackendName // its entry cannot be read any more; see Replica.withdraw
	Evacuated     lb.Zone        // its back ends get no new flows from now on
	Restored      lb.Zone        // they do again
}

// Rejection is an entry of the store that could not be read. A configuration that
// was known before stays in force; a back end takes no new flows.
type Rejection struct {
	Key      string
	Revision int64
	// Backend is whose entry it is; empty: no back end's.
	Backend lb.BackendName
	Error   error
}
