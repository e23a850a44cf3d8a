package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/store"
)

// storeRequest is one request of the controller to the store. Exactly one field is set.
type storeRequest struct {
	write  *controller.Write
	read   lb.ServiceName
	status *catalog.ZoneStatus
	epoch  string
}

// storeRequestQueue holds the controller's requests to the store. The controller limits the number
// of outstanding writes and reads. Of the zone's status documents, the queue keeps only the latest.
type storeRequestQueue struct {
	mutex        sync.Mutex
	pending      []storeRequest
	latestStatus *catalog.ZoneStatus // the last zone status added
	wake         chan struct{}       // holds one element when there may be requests
}

func newStoreRequestQueue() *storeRequestQueue {
	return &storeRequestQueue{wake: make(chan struct{}, 1)}
}

// add adds a request. It never blocks.
func (queue *storeRequestQueue) add(request storeRequest) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if request.status != nil {
		queue.latestStatus = request.status
		queue.pending = slices.DeleteFunc(queue.pending, func(old storeRequest) bool { return old.status != nil })
	}
	queue.append(request)
}

// requeueStatus adds a zone status again, unless there is a later one.
func (queue *storeRequestQueue) requeueStatus(status *catalog.ZoneStatus) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.latestStatus == status {
		queue.append(storeRequest{status: status})
	}
}

// append adds a request and signals wake. The caller holds the mutex.
func (queue *storeRequestQueue) append(request storeRequest) {
	queue.pending = append(queue.pending, request)
	select {
	case queue.wake <- struct{}{}:
	default: // a signal is pending already
	}
}

// isLatestStatus reports whether no later zone status was added.
func (queue *storeRequestQueue) isLatestStatus(status *catalog.ZoneStatus) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.latestStatus == status
}

// takeAll removes and returns all requests.
func (queue *storeRequestQueue) takeAll() []storeRequest {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	requests := queue.pending
	queue.pending = nil
	return requests
}

// Limits of the controller's requests to the store.
const (
	maxStoreRequests    = 16              // concurrent requests, as many as the controller has outstanding
	storeRequestTimeout = 8 * time.Second // below the controller's WriteTimeout
	// statusTimeout limits one attempt to write a zone status. It is short because the result of a
	// write whose response was lost is not important: the next write replaces it.
	statusTimeout    = 3 * time.Second
	statusRetryDelay = 300 * time.Millisecond // delay after a failed write of a zone status
)

// serveStoreRequests executes the controller's requests to the store until ctx ends.
func (node *Node) serveStoreRequests(ctx context.Context) {
	slots := make(chan struct{}, maxStoreRequests)
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.engine.storeRequests.wake:
		}
		for _, request := range node.engine.storeRequests.takeAll() {
			slots <- struct{}{}
			node.background.Go(func() {
				defer func() { <-slots }()
				node.runStoreRequest(ctx, request)
			})
		}
	}
}

// runStoreRequest executes one request and passes its result to the controller.
func (node *Node) runStoreRequest(running context.Context, request storeRequest) {
	ctx, cancel := context.WithTimeout(running, storeRequestTimeout)
	defer cancel()
	switch {
	case request.write != nil:
		node.engine.runControllerInput(&controller.Event{Result: node.writePlacement(ctx, request.write)})
	case request.status != nil:
		if !node.writeStatus(running, request.status) {
			node.retryStatus(running, request.status)
		}
	case request.epoch != "":
		node.overwrite(ctx, controller.EpochKey, []byte(request.epoch), request.epoch)
	default:
		node.engine.runControllerInput(&controller.Event{ReadBack: node.readBack(ctx, request.read)})
	}
}

// writePlacement publishes one placement by compare-and-swap.
func (node *Node) writePlacement(ctx context.Context, write *controller.Write) *controller.WriteResult {
	placement := write.Placement
	result := &controller.WriteResult{Service: placement.Service, WriteID: placement.WriteID, Outcome: controller.WriteNotSent}
	value, err := json.Marshal(placement)
	if err != nil {
		node.logStoreWrite(err, catalog.PlacementKey(placement.Service))
		return result
	}
	key := catalog.PlacementKey(placement.Service)
	expected := write.ExpectedModRevision
	revision, err := node.store.Commit(ctx, store.Transaction{
		WriteID: placement.WriteID,
		Conditions: []store.Condition{
			{Key: key, Revision: expected, HeldAtRevision: expected},
			{Key: controller.EpochKey, Revision: write.ExpectedEpoch, HeldAtRevision: write.ExpectedEpoch},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	})
	result.Outcome = writeOutcome(err)
	node.writes.add(write.Kind, result.Outcome)
	result.ModRevision = revision
	if err != nil {
		node.logStoreWrite(err, key)
	}
	return result
}

// writeOutcome returns the outcome of a write, given the error of the store, which may be nil.
func writeOutcome(err error) controller.WriteOutcome {
	var failure *store.Error
	switch {
	case err == nil:
		return controller.WriteDone
	case errors.Is(err, store.ErrConflict):
		return controller.WriteConflict
	case errors.As(err, &failure) && failure.Verdict == lb.NotRun:
		return controller.WriteNotSent
	}
	return controller.WriteUnknown
}

// readBack reads the placement of a service, to find out the result of a write.
func (node *Node) readBack(ctx context.Context, service lb.ServiceName) *controller.ReadBack {
	kv, err := node.store.Get(ctx, catalog.PlacementKey(service))
	if err != nil {
		return &controller.ReadBack{Service: service, Failed: true}
	}
	return &controller.ReadBack{Service: service, Document: documentOf(&kv, false)}
}

// writeStatus writes the zone's status, unless there is a later one, and reports whether it needs
// no retry. It writes one status at a time, so that a late write does not replace a newer status
// with an older one.
func (node *Node) writeStatus(running context.Context, status *catalog.ZoneStatus) bool {
	node.statusMutex.Lock()
	defer node.statusMutex.Unlock()
	ctx, cancel := context.WithTimeout(running, statusTimeout)
	defer cancel()
	if !node.engine.storeRequests.isLatestStatus(status) {
		return true
	}
	stamped := *status
	stamped.UnixMillis = time.Now().UnixMilli()
	key := catalog.StatusKey(stamped.Zone)
	value, err := catalog.EncodeZoneStatus(&stamped)
	if err != nil {
		node.logStoreWrite(err, key)
		return true // a retry would fail as well
	}
	writeID := fmt.Sprintf("%s/%s/%d", stamped.Writer, stamped.Zone, stamped.UnixMillis)
	return node.overwrite(ctx, key, value, writeID)
}

// retryStatus waits for statusRetryDelay and adds a zone status that could not be written to the
// queue again, unless there is a later one.
func (node *Node) retryStatus(running context.Context, status *catalog.ZoneStatus) {
	select {
	case <-running.Done():
	case <-time.After(statusRetryDelay):
		if node.engine.isWatcher() {
			node.engine.storeRequests.requeueStatus(status)
		}
	}
}

// overwrite writes a value regardless of the current one, and reports whether it succeeded.
func (node *Node) overwrite(ctx context.Context, key string, value []byte, writeID string) bool {
	current, err := node.store.Get(ctx, key)
	if err == nil {
		_, err = node.store.CompareAndSwap(ctx, &current, value, writeID, 0)
	}
	if err != nil {
		node.logStoreWrite(err, key)
	}
	return err == nil
}

// logStoreWrite logs a write that failed. A conflict is logged at debug level, since it only means
// that another publisher was first.
func (node *Node) logStoreWrite(err error, key string) {
	level := zerolog.WarnLevel
	if errors.Is(err, store.ErrConflict) {
		level = zerolog.DebugLevel
	}
	node.logger.WithLevel(level).Err(err).
		Str(logging.FieldEvent, string(logging.EventStoreWriteFailed)).
		Str(logging.FieldKey, key).
		Send()
}
