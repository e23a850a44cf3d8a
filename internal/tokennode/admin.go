package tokennode

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"robinpulley.example/robinpulley/internal/adminserver"
)

// serveAdmin serves the metrics, health checks and load report until the node is closed.
func (node *Node) serveAdmin() {
	pages := adminserver.Pages{Ready: node.isReady, Metrics: http.HandlerFunc(node.serveMetrics)}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /load", node.serveLoad)
	node.background.Go(func() { node.lifecycle.LogFailure(node.endpoints.Admin.Serve(pages, routes)) })
}

// serveMetrics answers a scrape. It creates the metric registry for each request.
func (node *Node) serveMetrics(response http.ResponseWriter, request *http.Request) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{node})
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(response, request)
}

// isReady reports whether routers may send packets to the node, and the reason if not. The node is
// not ready before it has a view, nor, during a planned stop, once its zone can serve without it.
func (node *Node) isReady() (ready bool, reason string) {
	if node.notReady.Load() {
		return false, "stopping"
	}
	return node.engine.readiness()
}
