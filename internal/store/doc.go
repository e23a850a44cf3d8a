// Package store is a client of the platform's key-value service, which speaks
// the JSON gateway of etcd v3 (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/):
// ranges, transactions, leases and watches.
//
// Every error is an *Error, whose verdict says whether the request may have
// run. A write whose answer was lost is resolved before Commit returns (see
// Client.Commit); where that cannot be done the error is ErrUnknownOutcome,
// never success. Requests are bounded by a rate limit, failed ones repeated
// with backoff and jitter within a retry budget, and during an outage one
// probe at a time is sent.
package store
