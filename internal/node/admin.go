package node

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"robinpulley.example/robinpulley/internal/adminserver"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
)

// serveAdmin serves the metrics, health checks and debug endpoints until the node is closed.
func (node *Node) serveAdmin() {
	routes := http.NewServeMux()
	if node.settings.AllowFaultInjection {
		routes.HandleFunc("POST /debug/cut", node.servePartition)
	}
	routes.HandleFunc("GET /debug/state", node.serveState)
	pages := adminserver.Pages{
		Ready:   node.isReady,
		Metrics: promhttp.HandlerFor(node.registry(), promhttp.HandlerOpts{}),
	}
	node.background.Go(func() { node.lifecycle.LogFailure(node.endpoints.Admin.Serve(pages, routes)) })
}

// registry returns a registry with the metrics of this node and of its process.
func (node *Node) registry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collector{node},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// isReady reports whether the fabric may send packets to the node, and the reason if not. The node
// is not ready before it has placements, nor after the start of a planned stop.
func (node *Node) isReady() (ready bool, reason string) {
	if node.lifecycle.IsStopping() {
		return false, "stopping"
	}
	if !node.ready.Load() {
		return false, "no placements yet"
	}
	return true, ""
}

// DebugState is the response body of /debug/state.
type DebugState struct {
	Node    lb.NodeID `json:"node"`
	Zone    lb.Zone   `json:"zone"`
	Ready   bool      `json:"ready"`
	Digest  uint64    `json:"digest,string"` // digest of all placements
	Watcher bool      `json:"watcher"`
	StoreUp bool      `json:"store_up"`
	// PublishedRevision is the configuration revision that the placements in the store reflect, as
	// far as this node has read them as a publisher.
	PublishedRevision int64                         `json:"published_revision"`
	Core              core.State                    `json:"core"`
	Members           []MemberState                 `json:"members"`
	Versions          map[lb.ServiceName]lb.Version `json:"versions"`
}

// MemberState is the state of one member in the node's view of the membership.
type MemberState struct {
	Node        lb.NodeID      `json:"node"`
	Zone        lb.Zone        `json:"zone"`
	Control     netip.AddrPort `json:"control"`
	Data        netip.AddrPort `json:"data"`
	State       string         `json:"state"` // alive or leaving
	Incarnation uint64         `json:"incarnation"`
}

// State returns the state of the node for debugging.
func (node *Node) State() DebugState {
	state := node.engine.state()
	state.Node = node.settings.Node
	state.Zone = node.settings.Zone
	state.Ready = node.ready.Load()
	for _, entry := range node.directory.list() {
		state.Members = append(state.Members, MemberState{
			Node: entry.ID, Zone: entry.Zone, Control: entry.Control, Data: entry.Data,
			State: stateOf(&entry), Incarnation: entry.Incarnation,
		})
	}
	return state
}

func (node *Node) serveState(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(response)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(node.State()) // an error means that the client has closed the connection
}

// state returns the engine's part of the debug state.
func (engine *engine) state() DebugState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	state := DebugState{
		Core:              engine.core.State(),
		Digest:            engine.gossip.Digest(),
		Watcher:           engine.watcher,
		StoreUp:           engine.storeUp,
		PublishedRevision: engine.publishedRevision,
		Versions:          map[lb.ServiceName]lb.Version{},
	}
	for _, service := range state.Core.Services {
		state.Versions[service.Service] = service.Version
	}
	return state
}
