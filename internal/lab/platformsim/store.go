package platformsim

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the way in which the store fails.
type Fault string

// The faults.
const (
	FaultNone         Fault = ""
	FaultBusy         Fault = "busy"      // every request fails with status 503
	FaultUnresponsive Fault = "silent"    // requests receive no response
	FaultReset        Fault = "reset"     // the connection is closed without a response
	FaultThrottled    Fault = "throttled" // every request fails with status 429
	FaultSlow         Fault = "slow"      // every response is delayed by slowAnswerDelay
)

// Item is one entry of the store or, in the response to a watch, the deletion of an entry.
type Item struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"made,omitempty"`
	Deleted  bool   `json:"gone,omitempty"`
}

// slowResponseDelay is the delay that FaultSlow adds to every response.
const slowResponseDelay = 300 * time.Millisecond

// pageSize is the maximum number of items in one response.
const pageSize = 4

// staleAge is the age of the state that is returned to requests that accept a stale response.
const staleAge = 2 * time.Second

// snapshot is the content of the store before a change.
type snapshot struct {
	replacedAt time.Time
	revision   int64
	items      map[string]Item
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server

	mutex        sync.Mutex
	revision     int64
	items        map[string]Item
	snapshots    []snapshot // older states, oldest first; kept for staleAge
	history      []Item
	compacted    int64
	fault        Fault
	requestCount int
	changed      chan struct{} // closed at each change
}

// NewStore starts an empty store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &Store{listener: listener, revision: 1, items: map[string]Item{}, changed: make(chan struct{})}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /-/kv-key", store.withFault(store.serveKey))
	routes.HandleFunc("GET /-/kv-range", store.withFault(store.serveRange))
	routes.HandleFunc("POST /-/kv-txn", store.withFault(store.serveTransaction))
	routes.HandleFunc("GET /-/kv-watch", store.withFault(store.serveWatch))
	store.server = &http.Server{Handler: routes, ReadHeaderTimeout: time.Second}
	go func() { _ = store.server.Serve(listener) }() // ends with Close
	return store, nil
}

// URL returns the store's base URL.
func (store *Store) URL() string { return "http://" + store.listener.Addr().String() }

// Close stops the store's server.
func (store *Store) Close() { _ = store.server.Close() }

// Put writes an entry whose value is encoded as JSON.
func (store *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // callers pass only types that can be encoded
	}
	store.PutBytes(key, text)
}

// PutBytes writes an entry.
func (store *Store) PutBytes(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.put(key, value)
}

// put writes an entry. The caller holds the mutex.
func (store *Store) put(key string, value []byte) {
	store.keepSnapshot()
	store.revision++
	item := Item{Key: key, Value: value, Revision: store.revision, Created: store.revision}
	if known, found := store.items[key]; found {
		item.Created = known.Created
	}
	store.items[key] = item
	store.record(item)
}

// Delete removes an entry.
func (store *Store) Delete(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.keepSnapshot()
	store.revision++
	delete(store.items, key)
	store.record(Item{Key: key, Revision: store.revision, Deleted: true})
}

// keepSnapshot saves the present state before a change and discards snapshots that are too old for
// any stale response. The caller holds the mutex.
func (store *Store) keepSnapshot() {
	now := time.Now()
	store.snapshots = append(store.snapshots, snapshot{now, store.revision, maps.Clone(store.items)})
	store.snapshots = slices.DeleteFunc(store.snapshots, func(old snapshot) bool { return now.Sub(old.replacedAt) > staleAge })
}

// staleState returns the state of staleAge ago, or the present state if it has not changed since
// then. The caller holds the mutex.
func (store *Store) staleState() (revision int64, items map[string]Item) {
	for _, old := range store.snapshots {
		if time.Since(old.replacedAt) < staleAge {
			return old.revision, old.items
		}
	}
	return store.revision, store.items
}

func (store *Store) record(change Item) {
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Compact discards the history of changes, so that watches from an older revision fail.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.compacted = store.revision
	store.history = nil
}

// SetFault sets the way in which the store fails from now on. FaultNone makes it work again.
func (store *Store) SetFault(fault Fault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fault = fault
}

// RequestCount returns the number of requests that the store has received.
func (store *Store) RequestCount() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.requestCount
}

// withFault wraps a handler so that it fails in the way that SetFault has set.
func (store *Store) withFault(handler http.HandlerFunc) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		store.requestCount++
		fault := store.fault
		store.mutex.Unlock()
		switch fault {
		case FaultBusy:
			response.WriteHeader(http.StatusServiceUnavailable)
		case FaultThrottled:
			response.WriteHeader(http.StatusTooManyRequests)
		case FaultReset:
			panic(http.ErrAbortHandler)
		case FaultUnresponsive:
			<-request.Context().Done()
		case FaultSlow:
			time.Sleep(slowResponseDelay)
			handler(response, request)
		default:
			handler(response, request)
		}
	}
}

func (store *Store) serveRange(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	revision, entries := store.revision, store.items
	if query.Get("stale") == "1" {
		revision, entries = store.staleState()
	}
	items := []Item{}
	for _, item := range entries {
		if strings.HasPrefix(item.Key, query.Get("path_prefix")) && item.Key > query.Get("after") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(left, right Item) int { return strings.Compare(left.Key, right.Key) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(response, map[string]any{"items": items, "more": more, "at": revision})
}

func (store *Store) serveKey(response http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	entries := store.items
	if request.URL.Query().Get("stale") == "1" {
		_, entries = store.staleState()
	}
	item, found := entries[request.URL.Query().Get("tls_key")]
	if !found {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(response, item)
}

// transaction is the part of the platform's transaction request that balancers use.
type transaction struct {
	Conditions []struct {
		Key      string `json:"tls_key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Put []struct {
		Key   string `json:"tls_key"`
		Value []byte `json:"value"`
	} `json:"put"`
}

func (store *Store) serveTransaction(response http.ResponseWriter, request *http.Request) {
	var requested transaction
	if err := json.NewDecoder(request.Body).Decode(&requested); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found := []Item{}
	failed := false
	for _, condition := range requested.Conditions {
		item, exists := store.items[condition.Key]
		if exists {
			found = append(found, item)
		}
		failed = failed || item.Revision != condition.Revision
	}
	if failed {
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(http.StatusPreconditionFailed)
		// This fails only if the client has disconnected.
		_ = json.NewEncoder(response).Encode(map[string]any{"items": found})
		return
	}
	for _, write := range requested.Put {
		store.put(write.Key, write.Value)
	}
	writeJSON(response, map[string]any{"revision": store.revision})
}

func (store *Store) serveWatch(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if afterErr != nil || waitErr != nil || wait > 30000 {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		events, at, compacted, changed := store.eventsAfter(after, query.Get("path_prefix"))
		if compacted {
			response.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || timedOut {
			writeJSON(response, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-request.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes after a revision to keys with the prefix, the present revision,
// whether the changes are incomplete because of a compaction, and the channel that is closed at the
// next change.
func (store *Store) eventsAfter(after int64, prefix string) (events []Item, at int64, compacted bool, changed chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	events = []Item{}
	for _, change := range store.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, store.revision, after < store.compacted, store.changed
}

func writeJSON(response http.ResponseWriter, value any) {
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(value) // fails only if the client has disconnected
}
