package node

import (
	"context"
	"strings"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/store"
)

// storePrefix covers the services, back ends and placements, so that one
// watch gives their changes in the order of the store's revisions.
const storePrefix = "/robinpulley/"

// watchStore passes what is in the store to the publisher while this node is
// one of the watchers, until ctx ends.
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

// watchWhileWatcher returns when this node is no longer a watcher.
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
				node.engine.documents(documents)
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

// documentsOf turns a batch of the watch into an event of the publisher. It
// gives nil where nothing that the publisher reads has changed: the reports
// that the zones write must not count as changes.
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

// isPublisherKey tells whether the publisher reads documents of the key.
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
