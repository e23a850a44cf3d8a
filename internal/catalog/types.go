// Package catalog holds the operators' configuration: services, back ends,
// labels and selectors, one document per object in the store, validated
// before it is accepted.
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
	StatusPrefix    = "/robinpulley/status/" // one lb zone report per zone
	LeasePrefix     = "/robinpulley/leases/"
)

// Service is an operator's service document.
type Service struct {
	Name      lb.ServiceName `json:"name"`
	Frontends []lb.Frontend  `json:"frontends"`
	// Selector says which back ends serve it, e.g. "app=wallet, tier in (a, b), !canary".
	Selector string `json:"selector"`
	// OpensPerSecond limits new flows per second; 0 is unlimited.
	OpensPerSecond uint32 `json:"opens_per_second,omitempty"`
	WriteID        string `json:"write_id"`
}

// Backend is an operator's back-end document.
type Backend struct {
	Name   lb.BackendName    `json:"name"`
	Host   netip.AddrPort    `json:"host"` // Geneve endpoint (UDP)
	Zone   lb.Zone           `json:"zone"`
	Labels map[string]string `json:"labels"`
	// Probe is the host's health and load endpoint (HTTP URL by IP number); empty: not probed.
	Probe string `json:"probe,omitempty"`
	// Weight is the operator's share, 1..1000, default 100; health and load scale it down only.
	Weight uint16 `json:"weight,omitempty"`
	// Drain takes new flows away while it is set, whatever the selectors say.
	Drain   bool   `json:"drain,omitempty"`
	WriteID string `json:"write_id"`
}

// ZoneStatus is the report of what is in force in one zone, written by the
// zone's reporter and read by robinctl.
type ZoneStatus struct {
	Zone   lb.Zone   `json:"zone"`
	Writer lb.NodeID `json:"writer"`
	// ConfigRevision: every configuration change up to this store revision
	// is in force at every live node of the zone.
	ConfigRevision int64 `json:"config_revision"`
	Nodes          int   `json:"nodes"`
	Behind         int   `json:"behind"`
	UnixMillis     int64 `json:"unix_ms"`
}
