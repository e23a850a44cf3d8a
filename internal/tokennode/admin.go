package tokennode

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"robinpulley.example/robinpulley/internal/logging"
)

// serveAdmin serves metrics and health until the node is closed.
func (node *Node) serveAdmin() {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /readyz", node.serveReady)
	routes.HandleFunc("GET /metrics", node.serveMetrics)
	node.background.Go(func() {
		if err := node.admin.Serve(routes); err != nil {
			node.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventFailed)).Send()
		}
	})
}

// serveMetrics makes the registry only when it is asked for.
func (node *Node) serveMetrics(response http.ResponseWriter, request *http.Request) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{node})
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(response, request)
}

// serveReady answers 200 when the node may be sent packets. Before it has a
// view, and in a planned stop once the zone can spare it, it answers 503.
func (node *Node) serveReady(response http.ResponseWriter, _ *http.Request) {
	if node.unready.Load() {
		http.Error(response, "stopping", http.StatusServiceUnavailable)
		return
	}
	if ready, reason := node.engine.readiness(); !ready {
		http.Error(response, reason, http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}
