// Package catalog defines the configuration that operators write: services and back ends with their
// labels and selectors, and evacuated zones. Each object is one document in the store and is
// validated before it is accepted. An Index holds the documents and computes the desired state of
// each service.
package catalog

import (
	"net/netip"

	"robinpulley.example/robinpulley/internal/lb"
)

// Key prefixes in the store.
const (
	ServicePrefix   = "/robinpulley/services/"
	BackendPrefix   = "/robinpulley/backends/"
	PlacementPrefix = "/robinpulley/placements/"
	StatusPrefix    = "/robinpulley/status/" // one status report per zone
	LeasePrefix     = "/robinpulley/leases/"
)

// Service is the configuration document of a service.
type Service struct {
	Name      lb.ServiceName `json:"name"`
	Frontends []lb.Frontend  `json:"frontends"`
	// Selector selects the service's back ends by their labels, e.g. "app=wallet, tier in (a, b),
	// !canary".
	Selector string `json:"selector"`
	// OpensPerSecond limits the rate of new flows. 0 means no limit.
	OpensPerSecond uint32 `json:"opens_per_second,omitempty"`
	WriteID        string `json:"write_id"`
}

// Backend is the configuration document of a back end.
type Backend struct {
	Name   lb.BackendName    `json:"name"`
	Host   netip.AddrPort    `json:"host"` // Geneve endpoint of the host (UDP)
	Zone   lb.Zone           `json:"zone"`
	Labels map[string]string `json:"labels"`
	// Probe is the URL of the host's health and load endpoint, an http URL with an IP address and
	// port. If it is empty, the back end is not probed.
	Probe string `json:"probe,omitempty"`
	// Weight is the back end's weight in the distribution of new flows, from 1 to 1000. 0 means the
	// default of 100. Health and load can only reduce the effective weight.
	Weight uint16 `json:"weight,omitempty"`
	// Drain stops new flows to the back end while it is set, regardless of the selectors.
	Drain   bool   `json:"drain,omitempty"`
	WriteID string `json:"write_id"`
}

// ZoneStatus reports which part of the configuration is in force in one zone. The zone's reporter
// node writes it, and robinctl reads it.
type ZoneStatus struct {
	Zone   lb.Zone   `json:"zone"`
	Writer lb.NodeID `json:"writer"`
	// ConfigRevision is the highest store revision such that every configuration change up to it is
	// in force at every live node of the zone.
	ConfigRevision int64 `json:"config_revision"`
	// Nodes is the number of nodes that the report covers. NodesBehind is the number of these nodes
	// that are not known to have all placements.
	Nodes       int   `json:"nodes"`
	NodesBehind int   `json:"behind"`
	UnixMillis  int64 `json:"unix_ms"` // time of the report
}
