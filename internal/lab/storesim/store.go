// Package storesim is a simulator of the platform's key-value service. It implements the JSON
// gateway of etcd v3 (range, put, deleterange, txn, compaction, leases, watches with revisions) in
// memory and can simulate failures. It also serves the platform's machine list.
package storesim

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of the store, with the texts that etcd uses.
var (
	errCompacted    = errors.New("etcdserver: mvcc: required revision has been compacted")
	errNotSupported = errors.New("storesim: reading an old revision is not supported")
	errNoLease      = errors.New("etcdserver: requested lease not found")
	errNoKey        = errors.New("etcdserver: key is not provided")
	errCompare      = errors.New("etcdserver: invalid compare target or result")
)

// lease is a lease, whose keys are deleted when it expires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// change is one event of the history with its revision.
type change struct {
	revision int64
	event    Event
}

// Store holds the keys. Its exported methods may be called from several goroutines.
type Store struct {
	mutex     sync.Mutex
	keys      map[string]KeyValue
	history   []change // ascending by revision, from the compacted revision on
	revision  int64
	compacted int64
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed and replaced at each change
}

// NewStore returns an empty store at revision 1, like a new etcd.
func NewStore() *Store {
	return &Store{
		keys:      map[string]KeyValue{},
		revision:  1,
		leases:    map[int64]*lease{},
		nextLease: 1000,
		changed:   make(chan struct{}),
	}
}

func (store *Store) header() Header {
	return Header{ClusterID: 1, MemberID: 1, Revision: Int64(store.revision), RaftTerm: 1}
}

// inRange reports whether key is in [start, end). An empty end means start alone, a single zero byte
// means no upper bound.
func inRange(key, start, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, start)
	}
	if bytes.Compare(key, start) < 0 {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || bytes.Compare(key, end) < 0
}

func (store *Store) keysIn(start, end []byte) []KeyValue {
	var found []KeyValue
	for key, kv := range store.keys {
		if inRange([]byte(key), start, end) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return found
}

// Txn runs one transaction. All reads and writes of clients pass through it.
func (store *Store) Txn(request *TxnRequest) (*TxnResponse, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	succeeded := true
	for i := range request.Compare {
		ok, err := store.evaluate(&request.Compare[i])
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && ok
	}
	operations := request.Failure
	if succeeded {
		operations = request.Success
	}
	for i := range operations {
		if err := store.validate(&operations[i]); err != nil {
			return nil, err
		}
	}
	response := &TxnResponse{Succeeded: succeeded}
	revision := store.revision + 1
	for i := range operations {
		response.Responses = append(response.Responses, store.apply(&operations[i], revision))
	}
	response.Header = store.header()
	return response, nil
}

// validate returns an error for an invalid operation. All operations of a transaction are validated
// before the first one is applied.
func (store *Store) validate(operation *RequestOp) error {
	switch {
	case operation.Range != nil && operation.Range.Revision != 0:
		return errNotSupported
	case operation.Put != nil && len(operation.Put.Key) == 0:
		return errNoKey
	case operation.Put != nil && operation.Put.Lease != 0 && store.leases[int64(operation.Put.Lease)] == nil:
		return errNoLease
	}
	return nil
}

func (store *Store) apply(operation *RequestOp, revision int64) ResponseOp {
	switch {
	case operation.Range != nil:
		return ResponseOp{Range: store.executeRange(operation.Range)}
	case operation.Put != nil:
		store.put(operation.Put, revision)
		return ResponseOp{Put: &PutResponse{Header: store.header()}}
	case operation.Delete != nil:
		deleted := store.remove(operation.Delete, revision)
		return ResponseOp{Delete: &DeleteResponse{Header: store.header(), Deleted: Int64(deleted)}}
	}
	return ResponseOp{}
}

func (store *Store) executeRange(request *RangeRequest) *RangeResponse {
	found := store.keysIn(request.Key, request.RangeEnd)
	response := &RangeResponse{Header: store.header(), Count: Int64(len(found))}
	if limit := int(request.Limit); limit > 0 && len(found) > limit {
		found = found[:limit]
		response.More = true
	}
	if request.KeysOnly {
		for i := range found {
			found[i].Value = nil
		}
	}
	response.KVs = found
	return response
}

func (store *Store) put(request *PutRequest, revision int64) {
	kv, exists := store.keys[string(request.Key)]
	if !exists {
		kv = KeyValue{Key: request.Key, CreateRevision: Int64(revision)}
	}
	kv.ModRevision = Int64(revision)
	kv.Version++
	kv.Value = request.Value
	kv.Lease = request.Lease
	store.keys[string(request.Key)] = kv
	store.record(revision, Event{KV: kv})
}

func (store *Store) remove(request *DeleteRequest, revision int64) int {
	found := store.keysIn(request.Key, request.RangeEnd)
	for _, kv := range found {
		delete(store.keys, string(kv.Key))
		store.record(revision, Event{Type: "DELETE", KV: KeyValue{Key: kv.Key, ModRevision: Int64(revision)}})
	}
	return len(found)
}

func (store *Store) record(revision int64, event Event) {
	store.revision = revision
	store.history = append(store.history, change{revision: revision, event: event})
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *Store) evaluate(condition *Compare) (bool, error) {
	kv := store.keys[string(condition.Key)]
	var order int
	switch condition.Target {
	case "", "VERSION":
		order = cmp.Compare(kv.Version, condition.Version)
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, condition.CreateRevision)
	case "MOD":
		order = cmp.Compare(kv.ModRevision, condition.ModRevision)
	case "LEASE":
		order = cmp.Compare(kv.Lease, condition.Lease)
	case "VALUE":
		if kv.Version == 0 {
			return false, nil
		}
		order = bytes.Compare(kv.Value, condition.Value)
	default:
		return false, errors.Wrapf(errCompare, "target %q", condition.Target)
	}
	switch condition.Result {
	case "", "EQUAL":
		return order == 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	}
	return false, errors.Wrapf(errCompare, "result %q", condition.Result)
}

// Compact discards the history before a revision.
func (store *Store) Compact(revision int64) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if revision <= store.compacted || revision > store.revision {
		return errCompacted
	}
	store.compacted = revision
	store.history = slices.DeleteFunc(store.history, func(c change) bool { return c.revision < revision })
	return nil
}

// Grant creates a lease. The store selects its id if the requested ID is zero.
func (store *Store) Grant(request LeaseRequest) LeaseResponse {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	id := int64(request.ID)
	if id == 0 {
		store.nextLease++
		id = store.nextLease
	}
	ttl := time.Duration(max(request.TTL, 1)) * time.Second
	store.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { _ = store.Revoke(id) })}
	return LeaseResponse{Header: store.header(), ID: Int64(id), TTL: Int64(ttl / time.Second)}
}

// KeepAlive renews a lease. The TTL in the response is zero if the lease has ended.
func (store *Store) KeepAlive(id int64) LeaseResponse {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	response := LeaseResponse{Header: store.header(), ID: Int64(id)}
	if granted := store.leases[id]; granted != nil {
		granted.timer.Reset(granted.ttl)
		response.TTL = Int64(granted.ttl / time.Second)
	}
	return response
}

// Revoke ends a lease and deletes its keys.
func (store *Store) Revoke(id int64) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	granted := store.leases[id]
	if granted == nil {
		return errNoLease
	}
	granted.timer.Stop()
	delete(store.leases, id)
	revision := store.revision + 1
	for key, kv := range store.keys {
		if int64(kv.Lease) == id {
			store.remove(&DeleteRequest{Key: []byte(key)}, revision)
		}
	}
	return nil
}

// eventsFrom returns the events of a watch from revision next on, the header with the present
// revision, and the channel that is closed at the next change.
func (store *Store) eventsFrom(watch *WatchCreate, next int64) ([]Event, Header, <-chan struct{}, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if next < store.compacted {
		return nil, Header{Revision: Int64(store.compacted)}, nil, errCompacted
	}
	var events []Event
	for _, c := range store.history {
		if c.revision >= next && inRange(c.event.KV.Key, watch.Key, watch.RangeEnd) {
			events = append(events, c.event)
		}
	}
	return events, store.header(), store.changed, nil
}

// currentHeader returns the header with the present revision.
func (store *Store) currentHeader() Header {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.header()
}
