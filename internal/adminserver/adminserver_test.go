package adminserver

import (
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestServedPages checks the pages for health, readiness and metrics, and a custom page.
func TestServedPages(t *testing.T) {
	is := is.New(t)
	server, err := Open(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	reason := "no view yet"
	pages := Pages{
		Ready:   func() (bool, string) { return reason == "", reason },
		Metrics: http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(response, "metrics") }),
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /custom", func(response http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(response, "custom") })
	served := make(chan error, 1)
	go func() { served <- server.Serve(pages, routes) }()
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + server.listener.Addr().String() + path)
		is.NoErr(err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body)
	}
	for path, want := range map[string]string{"/healthz": "", "/metrics": "metrics", "/custom": "custom"} {
		status, body := get(path)
		is.Equal(status, http.StatusOK)
		is.Equal(body, want)
	}
	status, body := get("/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "no view yet\n")
	reason = ""
	status, _ = get("/readyz")
	is.Equal(status, http.StatusOK)
	server.Close()
	is.NoErr(<-served)
}
