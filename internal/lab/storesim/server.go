package storesim

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// The gRPC status codes used in error bodies.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
)

// maxRequestBytes is etcd's default limit for the size of a request.
const maxRequestBytes = 1536 * 1024

// Server is the store's HTTP server. It serves the routes of the etcd v3 JSON gateway, GET and POST
// /machines, and GET and PUT /faults for the lab.
type Server struct {
	store    *Store
	faults   *faultState
	machines machineList
	routes   *http.ServeMux
}

// NewServer returns a server with an empty store. The seed determines which responses are lost.
func NewServer(faults Faults, seed uint64) *Server {
	server := &Server{store: NewStore(), faults: newFaultState(faults, seed), routes: http.NewServeMux()}
	store := server.store
	handleWrite(server, "/v3/kv/txn", store.Txn)
	handleWrite(server, "/v3/kv/put", func(request *PutRequest) (*PutResponse, error) {
		response, err := server.runOperation(RequestOp{Put: request})
		return response.Put, err
	})
	handleWrite(server, "/v3/kv/deleterange", func(request *DeleteRequest) (*DeleteResponse, error) {
		response, err := server.runOperation(RequestOp{Delete: request})
		return response.Delete, err
	})
	handleWrite(server, "/v3/kv/compaction", func(request *CompactRequest) (PutResponse, error) {
		err := store.Compact(int64(request.Revision))
		return PutResponse{Header: store.currentHeader()}, err
	})
	handleWrite(server, "/v3/lease/grant", func(request *LeaseRequest) (LeaseResponse, error) {
		return store.Grant(*request), nil
	})
	handleWrite(server, "/v3/lease/revoke", func(request *LeaseRequest) (PutResponse, error) {
		err := store.Revoke(int64(request.ID))
		return PutResponse{Header: store.currentHeader()}, err
	})
	handleRead(server, "/v3/kv/range", func(request *RangeRequest) (*RangeResponse, error) {
		response, err := server.runOperation(RequestOp{Range: request})
		return response.Range, err
	})
	// The response stream contains one renewal and then ends, as if the client had sent one message.
	handleRead(server, "/v3/lease/keepalive", func(request *LeaseRequest) (streamResult[LeaseResponse], error) {
		return streamResult[LeaseResponse]{Result: store.KeepAlive(int64(request.ID))}, nil
	})
	server.routes.HandleFunc("POST /v3/watch", server.watch)
	server.routes.HandleFunc("GET /machines", server.getMachines)
	server.routes.HandleFunc("POST /machines", server.postMachine)
	server.routes.HandleFunc("GET /faults", server.getFaults)
	server.routes.HandleFunc("PUT /faults", server.putFaults)
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	server.routes.ServeHTTP(response, request)
}

// Store returns the store, for checks by tests.
func (server *Server) Store() *Store { return server.store }

// SetFaults replaces the store's faults from now on.
func (server *Server) SetFaults(faults Faults) { server.faults.replace(faults) }

// handleRead registers a handler for a path whose responses are never lost by the simulation.
func handleRead[Request, Response any](server *Server, path string, handle func(*Request) (Response, error)) {
	handleUnary(server, path, handle, func() bool { return false })
}

// handleWrite registers a handler for a path whose responses may be lost after the write took
// effect.
func handleWrite[Request, Response any](server *Server, path string, handle func(*Request) (Response, error)) {
	handleUnary(server, path, handle, server.faults.loseResponse)
}

// handleUnary registers a handler for a path with one JSON request and one JSON response. The
// response is lost if lose returns true.
func handleUnary[Request, Response any](server *Server, path string, handle func(*Request) (Response, error), lose func() bool) {
	server.routes.HandleFunc("POST "+path, func(response http.ResponseWriter, request *http.Request) {
		if !server.admit(response) {
			return
		}
		var decoded Request
		body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, maxRequestBytes))
		if err == nil {
			err = decodeRequest(body, &decoded)
		}
		if err != nil {
			writeError(response, http.StatusBadRequest, codeInvalidArgument, err)
			return
		}
		result, err := handle(&decoded)
		if lose() {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		time.Sleep(server.faults.current().delay())
		if err != nil {
			writeStoreError(response, err)
			return
		}
		writeJSON(response, result)
	})
}

// admit applies the outage and the rate limit. It returns false if it has responded to the
// request itself.
func (server *Server) admit(response http.ResponseWriter) bool {
	if server.faults.current().Outage {
		panic(http.ErrAbortHandler)
	}
	if !server.faults.allow() {
		err := errors.New("etcdserver: too many requests")
		writeError(response, http.StatusTooManyRequests, codeResourceExhausted, err)
		return false
	}
	return true
}

func writeJSON(response http.ResponseWriter, body any) {
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(body) // fails only if the client has disconnected
}

func writeError(response http.ResponseWriter, status, code int, err error) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(gatewayError{Error: err.Error(), Code: code, Message: err.Error()})
}

func writeStoreError(response http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errNoLease):
		writeError(response, http.StatusNotFound, codeNotFound, err)
	case errors.Is(err, errCompacted):
		writeError(response, http.StatusBadRequest, codeOutOfRange, err)
	default:
		writeError(response, http.StatusBadRequest, codeInvalidArgument, err)
	}
}

// runOperation runs one operation as a transaction without conditions.
func (server *Server) runOperation(operation RequestOp) (ResponseOp, error) {
	response, err := server.store.Txn(&TxnRequest{Success: []RequestOp{operation}})
	if err != nil {
		return ResponseOp{}, err
	}
	return response.Responses[0], nil
}

// watch streams the events of one watch until the client disconnects, a fault ends the watch, or
// the history that the watch needs is compacted.
func (server *Server) watch(response http.ResponseWriter, request *http.Request) {
	if !server.admit(response) {
		return
	}
	dropped := server.faults.droppedWatches()
	var created WatchRequest
	// The request body is also a stream. Only its first message is read.
	var first json.RawMessage
	err := json.NewDecoder(request.Body).Decode(&first)
	if err == nil {
		err = decodeRequest(first, &created)
	}
	if err != nil || created.Create == nil {
		err = errors.CombineErrors(err, errors.New("watch without create_request"))
		writeError(response, http.StatusBadRequest, codeInvalidArgument, err)
		return
	}
	stream := json.NewEncoder(response)
	send := func(message WatchResponse) {
		_ = stream.Encode(streamResult[WatchResponse]{Result: message})
		_ = http.NewResponseController(response).Flush()
	}
	header := server.store.currentHeader()
	next := int64(created.Create.StartRevision)
	if next == 0 {
		next = int64(header.Revision) + 1
	}
	send(WatchResponse{Header: header, Created: true})
	for {
		events, header, changed, err := server.store.eventsFrom(created.Create, next)
		if err != nil {
			send(WatchResponse{Header: server.store.currentHeader(), Canceled: true, CompactRevision: header.Revision})
			return
		}
		if len(events) > 0 {
			time.Sleep(server.faults.current().delay())
			send(WatchResponse{Header: header, Events: events})
		}
		next = max(next, int64(header.Revision)+1)
		select {
		case <-changed:
		case <-dropped:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) getMachines(response http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(server.faults.current().MachineLagMillis) * time.Millisecond
	writeJSON(response, server.machines.asOf(time.Now().Add(-lag)))
}

func (server *Server) postMachine(response http.ResponseWriter, request *http.Request) {
	var machine Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil {
		writeError(response, http.StatusBadRequest, codeInvalidArgument, err)
		return
	}
	server.machines.post(machine)
	writeJSON(response, machine)
}

func (server *Server) getFaults(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, server.faults.current())
}

func (server *Server) putFaults(response http.ResponseWriter, request *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeError(response, http.StatusBadRequest, codeInvalidArgument, err)
		return
	}
	server.faults.replace(faults)
	writeJSON(response, faults)
}
