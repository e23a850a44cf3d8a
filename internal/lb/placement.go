package lb

import "net/netip"

// BackendState determines which flows a placement assigns to a back end.
//
// The transitions are: Active <-> Draining (labels, selectors, drain), Active or Draining -> Failed
// (all probes and the data path agree), Failed -> Active (probes pass again, with a slow start). A
// back end is removed from the document only in the states Draining and Failed.
type BackendState string

// The states of a back end.
const (
	// BackendActive: the back end gets new flows according to its weight.
	BackendActive BackendState = "active"
	// BackendDraining: the back end keeps its flows and gets no new ones.
	BackendDraining BackendState = "draining"
	// BackendFailed: the back end gets no packets; its flows are refused at once as MayHaveRun.
	BackendFailed BackendState = "failed"
)

// PlacedBackend is one back end in a placement.
type PlacedBackend struct {
	ID    BackendID      `json:"id"`
	Name  BackendName    `json:"name"`
	Host  netip.AddrPort `json:"host"` // Geneve endpoint of the host (UDP).
	State BackendState   `json:"state"`
}

// WeightedBackend is a back end with its weight, which determines its fraction of a generation's
// buckets.
type WeightedBackend struct {
	ID     BackendID `json:"id"`
	Weight uint16    `json:"w"` // 1..1000; back ends that are not listed have no buckets.
}

// Generation is the input of one placement table. The table is a pure function of it.
type Generation struct {
	Version  Version           `json:"v"` // placement version that introduced the generation
	Backends []WeightedBackend `json:"b"` // sorted by ID
}

// Placement is the versioned document that assigns the flows of one service to back ends. See
// docs/DESIGN.md, "Placement".
type Placement struct {
	Service   ServiceName     `json:"service"`
	Version   Version         `json:"version"`
	WriteID   string          `json:"write_id"` // identifies the write, to resolve a lost response
	Frontends []Frontend      `json:"frontends"`
	Backends  []PlacedBackend `json:"backends"` // sorted by ID
	// Generations holds the generations, oldest first. Generations[0] is the base: a flow without a
	// record is on its base back end. A bucket for which later generations have other back ends is
	// in motion. Generations after index Current are prepared: the chains of the buckets that they
	// move are in use already, but new flows are not placed by them yet.
	Generations []Generation `json:"generations"`
	Current     int          `json:"current"`
	// History is a bitmap (base64 in JSON) of the buckets whose chains may hold records of flows
	// away from the base back end.
	History []byte `json:"history,omitempty"`
	// OpensPerSecond limits the new flows per second of the whole service; 0 means no limit.
	OpensPerSecond uint32 `json:"opens_per_second,omitempty"`
	// Deleted marks a service that no longer exists. The document is kept so that the service's
	// version never decreases.
	Deleted bool `json:"deleted,omitempty"`
	// NextBackendID is the lowest ID that was never assigned to a back end.
	NextBackendID BackendID `json:"next_backend_id"`
	// ConfigRevision is the store revision of the configuration from which the placement was
	// derived.
	ConfigRevision int64 `json:"config_revision"`
}
