package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store or, in the answer to a watch, the end of an entry.
type item struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`

	at time.Time
}

// store is the platform's metadata store (PROTOCOL.md). It is linearizable, forgets changes older
// than history, and answers after answerTime.
type store struct {
	listener net.Listener
	history  time.Duration

	mutex     sync.Mutex
	revision  int64
	items     map[string]item
	changes   []item
	compacted int64
	changed   chan struct{}
	watches   map[string]int // answers to watches, by status
	largest   int            // bytes of the largest answer to a watch
}

// answerTime is the time of an answer of the store.
const answerTime = 4 * time.Millisecond

// pageItems and pageBytes bound a page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func newStore(address string, history time.Duration) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, history: history, items: map[string]item{}, changed: make(chan struct{}), watches: map[string]int{}}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /-/kv-key", s.key)
	routes.HandleFunc("GET /-/kv-range", s.readRange)
	routes.HandleFunc("GET /-/kv-watch", s.watch)
	routes.HandleFunc("POST /-/kv-txn", s.txn)
	server := &http.Server{Handler: routes}
	go server.Serve(listener)
	return s, nil
}

// put writes an entry for the operator or a host, and returns when the store acknowledges it.
func (s *store) put(key string, value []byte) time.Time {
	time.Sleep(answerTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(key, value)
	return time.Now()
}

// remove ends an entry, and returns when the store has done so.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Gone: true})
	return time.Now()
}

func (s *store) set(key string, value []byte) {
	s.revision++
	made := s.revision
	if known, found := s.items[key]; found {
		made = known.Made
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Made: made}
	s.record(s.items[key])
}

func (s *store) record(change item) {
	change.at = time.Now()
	s.changes = append(s.changes, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact forgets the changes that are older than history. The caller holds the mutex.
func (s *store) compact() {
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > s.history {
		s.compacted = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mutex.Lock()
	found, ok := s.items[r.URL.Query().Get("tls_key")]
	at := s.revision
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"tls_key": found.Key, "value": found.Value, "revision": found.Revision, "made": found.Made, "lease": 0, "at": at})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mutex.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait_ms"))
	if errAfter != nil || errWait != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mutex.Lock()
		s.compact()
		gone, at, changed := after < s.compacted, s.revision, s.changed
		events := []item{}
		for _, change := range s.changes {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		s.mutex.Unlock()
		if gone {
			s.count("410", 0)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			size := answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			s.count("200", size)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) count(status string, size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches[status]++
	s.largest = max(s.largest, size)
}

// watchAnswers returns the number of answers to watches by status, and the size of the largest.
func (s *store) watchAnswers() (ok, gone, largest int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watches["200"], s.watches["410"], s.largest
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var body struct {
		Expected []struct {
			Key      string `json:"tls_key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Put []struct {
			Key   string `json:"tls_key"`
			Value []byte `json:"value"`
		} `json:"put"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items, holds := []item{}, true
	for _, expected := range body.Expected {
		known, found := s.items[expected.Key]
		if found {
			items = append(items, known)
		}
		holds = holds && known.Revision == expected.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, put := range body.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, put := range body.Put {
		s.set(put.Key, put.Value)
	}
	for _, key := range body.Delete {
		if _, found := s.items[key]; found {
			s.revision++
			delete(s.items, key)
			s.record(item{Key: key, Revision: s.revision, Gone: true})
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// answer writes an answer and returns its size.
func answer(w http.ResponseWriter, status int, value any) int {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
	return len(body)
}
