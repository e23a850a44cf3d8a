package storesim

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Int64 is a 64-bit integer of the JSON gateway. According to the proto3 JSON mapping, it is written
// as a string and read from a string or a number.
type Int64 int64

// MarshalJSON writes the integer as a string.
func (value Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(value), 10) + `"`), nil
}

// UnmarshalJSON reads the integer from a string or a number.
func (value *Int64) UnmarshalJSON(text []byte) error {
	parsed, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	if err != nil {
		return err
	}
	*value = Int64(parsed)
	return nil
}

// Header is the header of every response (etcd v3 ResponseHeader).
type Header struct {
	ClusterID Int64 `json:"cluster_id"`
	MemberID  Int64 `json:"member_id"`
	Revision  Int64 `json:"revision"`
	RaftTerm  Int64 `json:"raft_term"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision Int64  `json:"create_revision"`
	ModRevision    Int64  `json:"mod_revision"`
	Version        Int64  `json:"version"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
	// Revision is not supported: a value other than zero results in an error.
	Revision Int64 `json:"revision,omitempty"`
}

// RangeResponse is the response to a RangeRequest. The keys are in ascending order.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRequest deletes the keys in [Key, RangeEnd), or Key alone.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteResponse is the response to a DeleteRequest.
type DeleteResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"` // EQUAL (default), GREATER, LESS, NOT_EQUAL
	Target         string `json:"target,omitempty"` // VERSION (default), CREATE, MOD, VALUE, LEASE
	Key            []byte `json:"key"`
	Version        Int64  `json:"version,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range  *RangeResponse  `json:"response_range,omitempty"`
	Put    *PutResponse    `json:"response_put,omitempty"`
	Delete *DeleteResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest is a transaction. It runs the operations in Success if every condition in Compare
// holds, otherwise the operations in Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// CompactRequest discards the history before Revision.
type CompactRequest struct {
	Revision Int64 `json:"revision"`
}

// LeaseRequest identifies a lease. TTL, in seconds, is used by grant only.
type LeaseRequest struct {
	ID  Int64 `json:"ID,omitempty"`
	TTL Int64 `json:"TTL,omitempty"`
}

// LeaseResponse is the response to grant and keepalive requests. A TTL of zero in the response to a
// keepalive means that the lease has ended.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID"`
	TTL    Int64  `json:"TTL"`
}

// WatchRequest starts one watch. Only create_request is supported.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request"`
}

// WatchCreate requests the events of the keys in [Key, RangeEnd), or of Key alone, from
// StartRevision on, or from now on if StartRevision is zero.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// Event is one change of one key.
type Event struct {
	Type string   `json:"type,omitempty"` // "" (PUT) or "DELETE"
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Header          Header  `json:"header"`
	WatchID         Int64   `json:"watch_id"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// streamResult wraps each message of a stream (grpc-gateway).
type streamResult[T any] struct {
	Result T `json:"result"`
}

// gatewayError is the body of a failed request (grpc-gateway).
type gatewayError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"` // gRPC status code
	Message string `json:"message"`
}

// camelToSnakeCase maps the lower-camel-case field names that the gateway also accepts to the names
// in the protocol's definition.
var camelToSnakeCase = map[string]string{
	"rangeEnd": "range_end", "keysOnly": "keys_only", "createRevision": "create_revision",
	"modRevision": "mod_revision", "requestRange": "request_range", "requestPut": "request_put",
	"requestDeleteRange": "request_delete_range", "createRequest": "create_request",
	"startRevision": "start_revision",
}

// decodeRequest decodes a request with either spelling of the field names.
func decodeRequest(body []byte, request any) error {
	for camel, snake := range camelToSnakeCase {
		body = bytes.ReplaceAll(body, []byte(`"`+camel+`":`), []byte(`"`+snake+`":`))
	}
	return json.Unmarshal(body, request)
}
