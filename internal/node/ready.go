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

// readyInterval is the time between looks at what a starting node knows.
const readyInterval = 50 * time.Millisecond

// becomeReady waits until this node knows the placements, or ctx ends.
func (node *Node) becomeReady(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		state := node.engine.readiness()
		if state.ready {
			node.markReady(state.source)
			return
		}
		if state.ask {
			node.listPlacements(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// markReady notes that this node has placements, or knows that there are none.
func (node *Node) markReady(source string) {
	node.ready.Store(true)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventReady)).
		Str(logging.FieldReason, source).
		Send()
}

// listPlacements reads all placements in the store. The client waits between
// attempts while the store is down.
func (node *Node) listPlacements(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeWorkTimeout)
	defer cancel()
	listing, err := node.store.List(ctx, catalog.PlacementPrefix)
	if err != nil {
		return // asked again by becomeReady
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
	node.engine.placementsFromStore(placements)
}

// decodePlacement reads a placement document as stored.
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
