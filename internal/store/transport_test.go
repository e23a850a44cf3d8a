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
	injected := faultNone
	if transport.fault != nil {
		injected = transport.fault(request.URL.Path)
	}
	if injected == faultDelayed {
		delayedRequest := httptest.NewRequest(request.Method, request.URL.Path, nil)
		delayedRequest.Body = io.NopCloser(bytes.NewReader(body))
		transport.delayed = append(transport.delayed, delayedRequest)
	}
	transport.mutex.Unlock()
	if injected == faultNotSent {
		return nil, errConnectionLost
	}
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	switch injected {
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
	delayed := transport.delayed
	transport.delayed = nil
	transport.mutex.Unlock()
	for _, request := range delayed {
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
func failFirstRequest(path string, injected fault) func(string) fault {
	done := false
	return func(requested string) fault {
		if done || requested != path {
			return faultNone
		}
		done = true
		return injected
	}
}

// randomFaults returns a fault function that injects faults into transactions. The parameters are
// the percentages of transactions that get each kind of fault.
func randomFaults(seed uint64, notSent, lostResponse, delayed int) func(string) fault {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(path string) fault {
		if path != pathTxn {
			return faultNone
		}
		switch percentile := random.IntN(100); {
		case percentile < notSent:
			return faultNotSent
		case percentile < notSent+lostResponse:
			return faultLostResponse
		case percentile < notSent+lostResponse+delayed:
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
