// Package adminserver is the HTTP server on the admin address of a balancer.
package adminserver

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout is the maximum time in which a client has to send its request header.
const headerTimeout = 5 * time.Second

// Server is the HTTP server on the admin address of one balancer.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Open listens on the address. The caller must call Serve or Close afterwards.
func Open(address netip.AddrPort) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on admin address %s", address)
	}
	return &Server{listener: listener, server: &http.Server{ReadHeaderTimeout: headerTimeout}}, nil
}

// Pages holds the sources of the pages that every balancer serves.
type Pages struct {
	// Ready reports whether the node is ready for packets, and the reason if it is not.
	Ready func() (ready bool, reason string)
	// Metrics serves the metrics in the Prometheus text format.
	Metrics http.Handler
}

// Serve serves the pages and the given routes, to which it adds the pages, until Close is called.
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

// serveReady responds with status 200 if the node is ready for packets, and otherwise with status
// 503 and the reason.
func (pages Pages) serveReady(response http.ResponseWriter, _ *http.Request) {
	if ready, reason := pages.Ready(); !ready {
		http.Error(response, reason, http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

// Close stops the server, so that Serve returns.
func (server *Server) Close() {
	_ = server.server.Close() // the server is discarded, so the error has no consequence
	_ = server.listener.Close()
}
