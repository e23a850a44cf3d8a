package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/store"
)

// readinessPollInterval is the time between checks of a starting node's readiness.
const readinessPollInterval = 50 * time.Millisecond

// waitUntilReady waits until this node has the placements, and marks it as ready, or until ctx
// ends.
func (node *Node) waitUntilReady(ctx context.Context) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for {
		state := node.engine.readiness()
		if state.ready {
			node.markReady(state.source)
			return
		}
		if state.needStoreList {
			node.listPlacements(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// markReady marks this node as ready: it has the placements, or has found that there are none.
func (node *Node) markReady(source string) {
	node.ready.Store(true)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventReady)).
		Str(logging.FieldReason, source).
		Send()
}

// listPlacements reads all placements in the store and applies them. The store client delays
// attempts while the store is down.
func (node *Node) listPlacements(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeRequestTimeout)
	defer cancel()
	listing, err := node.store.List(ctx, catalog.PlacementPrefix)
	if err != nil {
		return // waitUntilReady retries
	}
	placements := make([]*lb.Placement, 0, len(listing.KeyValues))
	for index := range listing.KeyValues {
		kv := &listing.KeyValues[index]
		placement, err := decodePlacement(kv)
		if err != nil {
			node.logDocumentRejected(err, kv.Key)
			continue
		}
		placements = append(placements, placement)
	}
	node.engine.applyStoredPlacements(placements)
}

// decodePlacement decodes a placement document and checks that it belongs to its key.
func decodePlacement(kv *store.KeyValue) (*lb.Placement, error) {
	placement := new(lb.Placement)
	if err := json.Unmarshal(kv.Value, placement); err != nil {
		return nil, errors.Wrapf(err, "placement under %q", kv.Key)
	}
	if expected := catalog.PlacementKey(placement.Service); expected != kv.Key {
		return nil, errors.Newf("placement under %q: service is %q", kv.Key, placement.Service)
	}
	return placement, nil
}

func (node *Node) logDocumentRejected(err error, key string) {
	node.logger.Warn().Err(err).
		Str(logging.FieldEvent, string(logging.EventDocumentRejected)).
		Str(logging.FieldKey, key).
		Send()
}
