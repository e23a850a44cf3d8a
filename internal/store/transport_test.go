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

// fault is what happens to one request on its way.
type fault int

const (
	faultNone       fault = iota
	faultUnsent           // no connection
	faultLostAnswer       // runs, without an answer
	faultLate             // no answer, and runs only when released
)

var errLost = errors.New("connection reset")

// testTransport calls a handler in the same process, so that tests run in a synctest bubble.
type testTransport struct {
	handler http.Handler
	mutex   sync.Mutex
	fault   func(path string) fault // nil: none
	late    []*http.Request
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
	if planned == faultLate {
		late := httptest.NewRequest(request.Method, request.URL.Path, nil)
		late.Body = io.NopCloser(bytes.NewReader(body))
		transport.late = append(transport.late, late)
	}
	transport.mutex.Unlock()
	if planned == faultUnsent {
		return nil, errLost
	}
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	switch planned {
	case faultLate:
		return nil, errLost
	case faultLostAnswer:
		transport.handler.ServeHTTP(httptest.NewRecorder(), copied)
		return nil, errLost
	}
	return serve(transport.handler, copied)
}

// releaseLate runs the requests that were held back.
func (transport *testTransport) releaseLate() {
	transport.mutex.Lock()
	late := transport.late
	transport.late = nil
	transport.mutex.Unlock()
	for _, request := range late {
		transport.handler.ServeHTTP(httptest.NewRecorder(), request)
	}
}

func (transport *testTransport) set(fault func(path string) fault) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	transport.fault = fault
}

func (transport *testTransport) requests() int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	return len(transport.paths)
}

// streamWriter gives an answer while it is being written.
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

func serve(handler http.Handler, request *http.Request) (*http.Response, error) {
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
		return nil, errLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newTestClient gives a client of a stand-in in the same process.
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

func newStandIn() *storesim.Server { return storesim.NewServer(storesim.Faults{}, 1) }

// onceOn gives a fault for the first request to the path.
func onceOn(path string, planned fault) func(string) fault {
	done := false
	return func(requested string) fault {
		if done || requested != path {
			return faultNone
		}
		done = true
		return planned
	}
}

// randomFaults gives faults with the given shares in hundredths, on writes only.
func randomFaults(seed uint64, unsent, lost, late int) func(string) fault {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(path string) fault {
		if path != pathTxn {
			return faultNone
		}
		switch drawn := random.IntN(100); {
		case drawn < unsent:
			return faultUnsent
		case drawn < unsent+lost:
			return faultLostAnswer
		case drawn < unsent+lost+late:
			return faultLate
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
