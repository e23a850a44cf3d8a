// Package store is a client of the platform's key-value service, which offers the JSON gateway of
// etcd v3 (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/): ranges, transactions, leases and
// watches.
//
// Failed requests return an *Error, whose verdict states whether the store may have executed the
// request. If the response to a write is lost, Commit determines whether the write took effect
// before it returns (see Client.Commit). If it cannot determine this, it returns ErrUnknownOutcome
// and never reports success. The client limits its request rate and retries failed requests with
// exponential backoff and jitter within a retry budget. While the store is unavailable, a circuit
// breaker lets only one probe request through at a time.
package store
