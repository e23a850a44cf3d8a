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

// serveAdmin serves metrics, health and debugging until the node is closed.
func (node *Node) serveAdmin() {
	routes := http.NewServeMux()
	if node.settings.AllowFaultInjection {
		routes.HandleFunc("POST /debug/cut", node.serveCut)
	}
	routes.HandleFunc("GET /debug/state", node.serveState)
	pages := adminserver.Pages{
		Ready:   node.isReady,
		Metrics: promhttp.HandlerFor(node.registry(), promhttp.HandlerOpts{}),
	}
	node.background.Go(func() { node.life.Failed(node.endpoints.Admin.Serve(pages, routes)) })
}

// registry holds the metrics of this node and of its process.
func (node *Node) registry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collector{node},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// isReady tells whether the node may be sent packets: not before it has placements,
// nor from the beginning of its planned stop on.
func (node *Node) isReady() (ready bool, reason string) {
	if node.life.IsStopping() {
		return false, "stopping"
	}
	if !node.ready.Load() {
		return false, "no placements yet"
	}
	return true, ""
}

// DebugState is what /debug/state shows.
type DebugState struct {
	Node    lb.NodeID `json:"node"`
	Zone    lb.Zone   `json:"zone"`
	Ready   bool      `json:"ready"`
	Digest  uint64    `json:"digest,string"` // of all placements
	Watcher bool      `json:"watcher"`
	StoreUp bool      `json:"store_up"`
	// Published is the configuration revision reflected by the placements
	// that this node, as a publisher, has seen in the store.
	Published int64                         `json:"published_revision"`
	Core      core.State                    `json:"core"`
	Members   []MemberState                 `json:"members"`
	Versions  map[lb.ServiceName]lb.Version `json:"versions"`
}

// MemberState is one member in the node's view.
type MemberState struct {
	Node        lb.NodeID      `json:"node"`
	Zone        lb.Zone        `json:"zone"`
	Control     netip.AddrPort `json:"control"`
	Data        netip.AddrPort `json:"data"`
	State       string         `json:"state"` // alive or leaving
	Incarnation uint64         `json:"incarnation"`
}

// State gives what the node knows, for debugging.
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
	_ = encoder.Encode(node.State()) // a caller that has gone needs no answer
}

// state fills in what the engine knows.
func (engine *engine) state() DebugState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	state := DebugState{
		Core:      engine.core.State(),
		Digest:    engine.gossip.Digest(),
		Watcher:   engine.watcher,
		StoreUp:   engine.storeUp,
		Published: engine.published,
		Versions:  map[lb.ServiceName]lb.Version{},
	}
	for _, service := range state.Core.Services {
		state.Versions[service.Service] = service.Version
	}
	return state
}
