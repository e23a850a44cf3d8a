package lb

import "net/netip"

// BackendState says what a placement lets a back end do.
//
// Transitions: Active <-> Draining (labels, selectors, drain), Active or
// Draining -> Failed (all probes and the data path agree), Failed -> Active
// (probes pass again, with a slow start). A back end leaves the document only
// from Draining or Failed.
type BackendState string

// The states of a back end.
const (
	// BackendActive takes new flows according to its weight.
	BackendActive BackendState = "active"
	// BackendDraining keeps its flows and takes no new ones.
	BackendDraining BackendState = "draining"
	// BackendFailed takes nothing: its flows are refused at once as MayHaveRun.
	BackendFailed BackendState = "failed"
)

// PlacedBackend is one back end in a placement.
type PlacedBackend struct {
	ID    BackendID      `json:"id"`
	Name  BackendName    `json:"name"`
	Host  netip.AddrPort `json:"host"` // Geneve endpoint of the host (UDP).
	State BackendState   `json:"state"`
}

// WeightedBackend gives a back end its share of a generation's buckets.
type WeightedBackend struct {
	ID     BackendID `json:"id"`
	Weight uint16    `json:"w"` // 1..1000; an absent back end has no buckets.
}

// Generation is the input of one table: the table is a pure function of it.
type Generation struct {
	Version  Version           `json:"v"` // version that introduced it
	Backends []WeightedBackend `json:"b"` // sorted by ID
}

// Placement is the versioned document that decides where the flows of one
// service go. See docs/DESIGN.md, "Placement".
type Placement struct {
	Service   ServiceName     `json:"service"`
	Version   Version         `json:"version"`
	WriteID   string          `json:"write_id"` // resolves lost answers
	Frontends []Frontend      `json:"frontends"`
	Backends  []PlacedBackend `json:"backends"` // sorted by ID
	// Generations, oldest first. Generations[0] is the base: a flow without a
	// record is on its base back end. Later ones are in motion. Those after
	// index Current are prepared: homes are used, new flows not yet placed by them.
	Generations []Generation `json:"generations"`
	Current     int          `json:"current"`
	// History is a bitmap (base64) of buckets whose homes may hold records
	// of flows away from the base back end.
	History []byte `json:"history,omitempty"`
	// OpensPerSecond limits new flows per second for the whole service; 0 is unlimited.
	OpensPerSecond uint32 `json:"opens_per_second,omitempty"`
	// Deleted marks a service that no longer exists; the document stays so
	// that its version is never lower again.
	Deleted bool `json:"deleted,omitempty"`
	// NextBackendID is the lowest number never given to a back end.
	NextBackendID BackendID `json:"next_backend_id"`
	// ConfigRevision is the store revision of the configuration it was derived from.
	ConfigRevision int64 `json:"config_revision"`
}
