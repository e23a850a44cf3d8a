package node

import (
	"context"
	"strings"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/store"
)

// storePrefix is the common prefix of services, back ends and placements. A single watch on it
// delivers all their changes in the order of the store's revisions.
const storePrefix = "/robinpulley/"

// watchStore watches the store and passes its documents to the controller while this node is one of
// the watchers, until ctx ends.
func (node *Node) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-node.engine.watcherChanged:
		}
		if !node.engine.isWatcher() {
			continue
		}
		node.logWatcher(true)
		node.watchWhileWatcher(ctx)
		node.logWatcher(false)
	}
}

// watchWhileWatcher watches the store until this node is no longer a watcher or ctx ends.
func (node *Node) watchWhileWatcher(ctx context.Context) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	defer node.prober.SetTargets(nil)
	batches := node.store.Watch(watching, storePrefix, 0)
	for {
		select {
		case batch, open := <-batches:
			if !open {
				return
			}
			if documents := documentsOf(batch); documents != nil {
				node.engine.applyDocuments(documents)
				if node.targets.apply(documents) {
					node.prober.SetTargets(node.targets.list())
				}
			}
		case <-node.engine.watcherChanged:
			if !node.engine.isWatcher() {
				return
			}
		}
	}
}

// documentsOf returns a batch of the watch in the form of the controller, or nil if the batch
// changes no document that the controller reads. In particular, the status documents that the zones
// write must not count as changes.
func documentsOf(batch store.Batch) *controller.Documents {
	documents := &controller.Documents{Complete: batch.Reset, Revision: batch.Revision}
	for index := range batch.Events {
		event := &batch.Events[index]
		if isPublisherKey(event.KeyValue.Key) {
			documents.Changes = append(documents.Changes, documentOf(&event.KeyValue, event.Deleted))
		}
	}
	if !documents.Complete && len(documents.Changes) == 0 {
		return nil
	}
	return documents
}

// isPublisherKey reports whether the controller reads the document with a key.
func isPublisherKey(key string) bool {
	return catalog.IsConfiguration(key) ||
		strings.HasPrefix(key, catalog.PlacementPrefix) ||
		key == controller.EpochKey
}

func documentOf(kv *store.KeyValue, deleted bool) controller.Document {
	return controller.Document{Key: kv.Key, Value: kv.Value, ModRevision: kv.ModRevision, Deleted: deleted}
}

func (node *Node) logWatcher(watching bool) {
	state := "watching"
	if !watching {
		state = "not_watching"
	}
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventWatcherChanged)).
		Str(logging.FieldState, state).
		Send()
}
