// Package adminserver serves the admin address of a balancer over HTTP.
package adminserver

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout bounds how long a client may take for its request header.
const headerTimeout = 5 * time.Second

// Server is the admin address of one balancer.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Open listens on the address. Serve must follow, or Close.
func Open(address netip.AddrPort) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on admin address %s", address)
	}
	return &Server{listener: listener, server: &http.Server{ReadHeaderTimeout: headerTimeout}}, nil
}

// Pages are what every balancer shows.
type Pages struct {
	// Ready tells whether the node may be sent packets, and why not.
	Ready func() (ready bool, reason string)
	// Metrics serves them in the Prometheus text format.
	Metrics http.Handler
}

// Serve serves the pages, and further routes of the node's own, until Close.
func (server *Server) Serve(pages Pages, routes *http.ServeMux) error {
	routes.HandleFunc("GET /healthz", func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusOK)
	})
	routes.HandleFunc("GET /readyz", pages.serveReady)
	routes.Handle("GET /metrics", pages.Metrics)
	server.server.Handler = routes
	err := server.server.Serve(server.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "admin address")
}

// serveReady answers 200 when the node may be sent packets, else 503 with the reason.
func (pages Pages) serveReady(response http.ResponseWriter, _ *http.Request) {
	if ready, reason := pages.Ready(); !ready {
		http.Error(response, reason, http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

// Close ends Serve.
func (server *Server) Close() {
	_ = server.server.Close() // nothing is left to be done about it
	_ = server.listener.Close()
}
