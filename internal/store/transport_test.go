package store

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/storesim"
)

// fault is what the test transport does with one request.
type fault int

const (
	faultNone         fault = iota
	faultNotSent            // the connection fails, so the store does not execute the request
	faultLostResponse       // the store executes the request, but the response is lost
	faultDelayed            // no response; the store executes the request in deliverDelayed
)

var errConnectionLost = errors.New("connection reset")

// testTransport calls an HTTP handler in the same process, so that tests can run in a synctest
// bubble.
type testTransport struct {
	handler http.Handler
	mutex   sync.Mutex
	fault   func(path string) fault // nil: none
	delayed []*http.Request
	paths   []string
}

func (transport *testTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	copied := httptest.NewRequestWithContext(request.Context(), request.Method, request.URL.Path, nil)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	transport.mutex.Lock()
	transport.paths = append(transport.paths, request.URL.Path)
	planned := faultNone
	if transport.fault != nil {
		planned = transport.fault(request.URL.Path)
	}
	if planned == faultDelayed {
		late := httptest.NewRequest(request.Method, request.URL.Path, nil)
		late.Body = io.NopCloser(bytes.NewReader(body))
		transport.delayed = append(transport.delayed, late)
	}
	transport.mutex.Unlock()
	if planned == faultNotSent {
		return nil, errConnectionLost
	}
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	switch planned {
	case faultDelayed:
		return nil, errConnectionLost
	case faultLostResponse:
		transport.handler.ServeHTTP(httptest.NewRecorder(), copied)
		return nil, errConnectionLost
	}
	return serveInProcess(transport.handler, copied)
}

// deliverDelayed passes the delayed requests to the handler.
func (transport *testTransport) deliverDelayed() {
	transport.mutex.Lock()
	late := transport.delayed
	transport.delayed = nil
	transport.mutex.Unlock()
	for _, request := range late {
		transport.handler.ServeHTTP(httptest.NewRecorder(), request)
	}
}

func (transport *testTransport) setFault(fault func(path string) fault) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	transport.fault = fault
}

func (transport *testTransport) requests() int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	return len(transport.paths)
}

// streamWriter is an http.ResponseWriter whose body can be read while the handler is still writing
// it.
type streamWriter struct {
	header http.Header
	pipe   *io.PipeWriter
	status chan int
	once   sync.Once
}

func (writer *streamWriter) Header() http.Header { return writer.header }

func (writer *streamWriter) WriteHeader(status int) {
	writer.once.Do(func() { writer.status <- status })
}

func (writer *streamWriter) Write(data []byte) (int, error) {
	writer.WriteHeader(http.StatusOK)
	return writer.pipe.Write(data)
}

// serveInProcess calls the handler and returns the response as soon as the handler writes its
// header.
func serveInProcess(handler http.Handler, request *http.Request) (*http.Response, error) {
	reader, pipe := io.Pipe()
	writer := &streamWriter{header: http.Header{}, pipe: pipe, status: make(chan int, 1)}
	aborted := make(chan struct{})
	go func() {
		defer func() {
			if recover() != nil {
				close(aborted)
				_ = pipe.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			_ = pipe.Close()
		}()
		handler.ServeHTTP(writer, request)
	}()
	ctx := request.Context()
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	select {
	case status := <-writer.status:
		return &http.Response{StatusCode: status, Header: writer.header, Body: reader}, nil
	case <-aborted:
		return nil, errConnectionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newTestClient returns a client of a server in the same process, and the transport between them.
func newTestClient(t *testing.T, server http.Handler, seed uint64) (*Client, *testTransport) {
	t.Helper()
	transport := &testTransport{handler: server}
	settings := DefaultSettings([]string{"http://one", "http://two"}, seed)
	settings.Transport = transport
	client, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return client, transport
}

func newSimulatedStore() *storesim.Server { return storesim.NewServer(storesim.Faults{}, 1) }

// failFirstRequest returns a fault function that injects the fault into the first request to the
// path.
func failFirstRequest(path string, planned fault) func(string) fault {
	done := false
	return func(requested string) fault {
		if done || requested != path {
			return faultNone
		}
		done = true
		return planned
	}
}

// randomFaults returns a fault function that injects each kind of fault into the given percentage
// of the transactions.
func randomFaults(seed uint64, unsent, lost, late int) func(string) fault {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(path string) fault {
		if path != pathTxn {
			return faultNone
		}
		switch drawn := random.IntN(100); {
		case drawn < unsent:
			return faultNotSent
		case drawn < unsent+lost:
			return faultLostResponse
		case drawn < unsent+lost+late:
			return faultDelayed
		}
		return faultNone
	}
}

func testContext(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func setDelay(server *storesim.Server, delay time.Duration) {
	server.SetFaults(storesim.Faults{DelayMillis: int(delay.Milliseconds())})
}
