package store

import (
	"bytes"
	"strconv"
)

// integer is a 64-bit integer in the gateway's format, which encodes it as a string (proto3 JSON
// mapping).
type integer int64

// MarshalJSON encodes the integer as a string.
func (value integer) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(value), 10))), nil
}

// UnmarshalJSON decodes the integer from a string or a number.
func (value *integer) UnmarshalJSON(text []byte) error {
	parsed, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	*value = integer(parsed)
	return err
}

// Paths of the gateway's methods.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// wireHeader is the header of a response, with the store's current revision.
type wireHeader struct {
	Revision integer `json:"revision"`
}

// wireKeyValue is a key with its value in the gateway's format.
type wireKeyValue struct {
	Key            []byte  `json:"key"`
	Value          []byte  `json:"value"`
	CreateRevision integer `json:"create_revision"`
	ModRevision    integer `json:"mod_revision"`
	Version        integer `json:"version"`
	Lease          integer `json:"lease"`
}

// keyValue converts the key as read at the given store revision.
func (kv *wireKeyValue) keyValue(revision int64) KeyValue {
	return KeyValue{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Version:        int64(kv.Version),
		Lease:          LeaseID(kv.Lease),
		ReadRevision:   revision,
	}
}

type rangeRequest struct {
	Key      []byte  `json:"key"`
	RangeEnd []byte  `json:"range_end,omitempty"`
	Limit    integer `json:"limit,omitempty"`
}

type rangeResponse struct {
	Header    wireHeader     `json:"header"`
	KeyValues []wireKeyValue `json:"kvs"`
	More      bool           `json:"more"`
}

type putRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease integer `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

// Comparison targets and results of transaction conditions.
const (
	targetCreate = "CREATE"
	targetMod    = "MOD"
	resultEqual  = "EQUAL"
)

// compare is a condition of a transaction in the gateway's format.
type compare struct {
	Result         string   `json:"result"`
	Target         string   `json:"target"`
	Key            []byte   `json:"key"`
	CreateRevision *integer `json:"create_revision,omitempty"`
	ModRevision    *integer `json:"mod_revision,omitempty"`
}

// requestOp is one operation of a transaction; exactly one field is set.
type requestOp struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

// txnRequest is a transaction. The store executes Success if all conditions in Compare hold,
// otherwise Failure.
type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

// responseOp is the result of one operation. The client evaluates only the results of ranges.
type responseOp struct {
	Range *rangeResponse `json:"response_range"`
}

type txnResponse struct {
	Header    wireHeader   `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

// leaseRequest is a request to create, renew or revoke a lease.
type leaseRequest struct {
	ID  integer `json:"ID,omitempty"`
	TTL integer `json:"TTL,omitempty"`
}

type leaseResponse struct {
	ID  integer `json:"ID"`
	TTL integer `json:"TTL"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

// watchCreate contains the parameters of a new watch.
type watchCreate struct {
	Key            []byte  `json:"key"`
	RangeEnd       []byte  `json:"range_end,omitempty"`
	StartRevision  integer `json:"start_revision,omitempty"`
	ProgressNotify bool    `json:"progress_notify,omitempty"`
}

const eventDelete = "DELETE"

type wireEvent struct {
	Type     string       `json:"type"` // "" or "PUT", or "DELETE"
	KeyValue wireKeyValue `json:"kv"`
}

// watchResponse is the result in one message of a watch stream. CompactRevision is set if the
// requested history has been compacted.
type watchResponse struct {
	Header          wireHeader  `json:"header"`
	Created         bool        `json:"created"`
	Canceled        bool        `json:"canceled"`
	CompactRevision integer     `json:"compact_revision"`
	Events          []wireEvent `json:"events"`
}

// watchMessage is one message of a watch stream. A message with Error ends the stream.
type watchMessage struct {
	Result watchResponse `json:"result"`
	Error  *gatewayError `json:"error"`
}

// gRPC status codes that the client handles differently from other errors.
const (
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
)

// gatewayError is the body of an error response.
type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// rangeEnd returns the exclusive end of the range of keys that begin with prefix. It is the prefix
// with its last byte incremented, as in etcd's own clients.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for index := len(end) - 1; index >= 0; index-- {
		if end[index] < 0xff {
			end[index]++
			return end[:index+1]
		}
	}
	return []byte{0} // no upper bound: the prefix is empty or has only 0xff bytes
}
