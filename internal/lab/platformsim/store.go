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

// Fault is how the store fails.
type Fault string

// The faults.
const (
	FaultNone      Fault = ""
	FaultBusy      Fault = "busy"      // 503 to every call
	FaultSilent    Fault = "silent"    // no answer
	FaultReset     Fault = "reset"     // the connection is broken off
	FaultThrottled Fault = "throttled" // 429 to every call
	FaultSlow      Fault = "slow"      // answers take slowAnswer longer
)

// Item is one entry, or, in a watch, the news of its removal.
type Item struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// slowAnswer is what FaultSlow adds to every answer.
const slowAnswer = 300 * time.Millisecond

// pageSize is how many items one answer holds.
const pageSize = 4

// staleAge is how old an answer is with which a caller puts up with a stale one.
const staleAge = 2 * time.Second

// snapshot is what the store held until a change.
type snapshot struct {
	until    time.Time
	revision int64
	items    map[string]Item
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server

	mutex     sync.Mutex
	revision  int64
	items     map[string]Item
	past      []snapshot // older states, the newest of them at least staleAge old
	history   []Item
	compacted int64
	fault     Fault
	calls     int
	changed   chan struct{} // closed at each change
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &Store{listener: listener, revision: 1, items: map[string]Item{}, changed: make(chan struct{})}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /-/kv-key", store.serve(store.serveKey))
	routes.HandleFunc("GET /-/kv-range", store.serve(store.serveRange))
	routes.HandleFunc("POST /-/kv-txn", store.serve(store.serveTransaction))
	routes.HandleFunc("GET /-/kv-watch", store.serve(store.serveWatch))
	store.server = &http.Server{Handler: routes, ReadHeaderTimeout: time.Second}
	go func() { _ = store.server.Serve(listener) }() // ends with Close
	return store, nil
}

// URL is the store's base URL.
func (store *Store) URL() string { return "http://" + store.listener.Addr().String() }

// Close ends the store.
func (store *Store) Close() { _ = store.server.Close() }

// Put writes an entry as JSON.
func (store *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the caller's own types
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
	store.keepPast()
	store.revision++
	item := Item{Key: key, Value: value, Revision: store.revision, Made: store.revision}
	if known, found := store.items[key]; found {
		item.Made = known.Made
	}
	store.items[key] = item
	store.note(item)
}

// Delete removes an entry.
func (store *Store) Delete(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.keepPast()
	store.revision++
	delete(store.items, key)
	store.note(Item{Key: key, Revision: store.revision, Gone: true})
}

// keepPast keeps the present state before a change, and forgets what is older than any stale answer.
func (store *Store) keepPast() {
	now := time.Now()
	store.past = append(store.past, snapshot{now, store.revision, maps.Clone(store.items)})
	store.past = slices.DeleteFunc(store.past, func(past snapshot) bool { return now.Sub(past.until) > staleAge })
}

// stale gives the state of staleAge ago, or the present one.
func (store *Store) stale() (revision int64, items map[string]Item) {
	for _, past := range store.past {
		if time.Since(past.until) < staleAge {
			return past.revision, past.items
		}
	}
	return store.revision, store.items
}

func (store *Store) note(change Item) {
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Compact forgets the history.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.compacted = store.revision
	store.history = nil
}

// SetFault has the store fail from now on, or not.
func (store *Store) SetFault(fault Fault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fault = fault
}

// Calls is how many calls were made.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

// serve applies the fault, or answers.
func (store *Store) serve(answer http.HandlerFunc) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		store.calls++
		fault := store.fault
		store.mutex.Unlock()
		switch fault {
		case FaultBusy:
			response.WriteHeader(http.StatusServiceUnavailable)
		case FaultThrottled:
			response.WriteHeader(http.StatusTooManyRequests)
		case FaultReset:
			panic(http.ErrAbortHandler)
		case FaultSilent:
			<-request.Context().Done()
		case FaultSlow:
			time.Sleep(slowAnswer)
			answer(response, request)
		default:
			answer(response, request)
		}
	}
}

func (store *Store) serveRange(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	revision, held := store.revision, store.items
	if query.Get("stale") == "1" {
		revision, held = store.stale()
	}
	items := []Item{}
	for _, item := range held {
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
	held := store.items
	if request.URL.Query().Get("stale") == "1" {
		_, held = store.stale()
	}
	item, found := held[request.URL.Query().Get("tls_key")]
	if !found {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(response, item)
}

// transaction is the part of a transaction that balancers use.
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
	var asked transaction
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	held := []Item{}
	fails := false
	for _, condition := range asked.Conditions {
		item, found := store.items[condition.Key]
		if found {
			held = append(held, item)
		}
		fails = fails || item.Revision != condition.Revision
	}
	if fails {
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(response).Encode(map[string]any{"items": held}) // a caller that has gone needs no answer
		return
	}
	for _, write := range asked.Put {
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
	for ended := false; ; {
		events, at, gone, changed := store.eventsAfter(after, query.Get("path_prefix"))
		if gone {
			response.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			writeJSON(response, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) eventsAfter(after int64, prefix string) (events []Item, at int64, gone bool, changed chan struct{}) {
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
	_ = json.NewEncoder(response).Encode(value) // a caller that has gone needs no answer
}
