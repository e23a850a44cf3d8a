package scale

import (
	"time"

	"robinpulley.example/robinpulley/internal/controller"
)

// Delays of the virtual store, one way between a node and the store.
const storeDelay = 5 * time.Millisecond

// store is the platform's key-value service in virtual time: compare-and-swap
// by mod revision, and a log from which watchers are served in order.
type store struct {
	revision int64
	values   map[string]controller.Document
	order    []string // keys in the order of their first write, so that lists repeat
	log      []controller.Document
}

func newStore() *store { return &store{values: make(map[string]controller.Document)} }

// put writes a key without condition, as an operator's command that has won.
func (store *store) put(key string, value []byte) int64 {
	store.revision++
	if _, known := store.values[key]; !known {
		store.order = append(store.order, key)
	}
	document := controller.Document{Key: key, Value: value, ModRevision: store.revision}
	store.values[key] = document
	store.log = append(store.log, document)
	return store.revision
}

// compareAndSwap writes a placement when its mod revision and the epoch are the expected ones.
func (store *store) compareAndSwap(key string, write *controller.Write, value []byte) (int64, bool) {
	if store.values[key].ModRevision != write.ExpectedModRevision ||
		store.values[controller.EpochKey].ModRevision != write.ExpectedEpoch {
		return 0, false
	}
	return store.put(key, value), true
}

// all gives every document, in the order of their first write.
func (store *store) all() *controller.Documents {
	documents := &controller.Documents{Complete: true, Revision: store.revision}
	for _, key := range store.order {
		documents.Changes = append(documents.Changes, store.values[key])
	}
	return documents
}
