package tokennode

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"robinpulley.example/robinpulley/internal/adminserver"
)

// serveAdmin serves metrics, health and the report on load until the node is closed.
func (node *Node) serveAdmin() {
	pages := adminserver.Pages{Ready: node.isReady, Metrics: http.HandlerFunc(node.serveMetrics)}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /load", node.serveLoad)
	node.background.Go(func() { node.life.Failed(node.endpoints.Admin.Serve(pages, routes)) })
}

// serveMetrics makes the registry only when it is asked for.
func (node *Node) serveMetrics(response http.ResponseWriter, request *http.Request) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{node})
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(response, request)
}

// isReady tells whether the node may be sent packets: not before it has a view, and
// in a planned stop not once the zone can spare it.
func (node *Node) isReady() (ready bool, reason string) {
	if node.unready.Load() {
		return false, "stopping"
	}
	return node.engine.readiness()
}
