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

// storeWork is one request of the publisher to the store. One field is set.
type storeWork struct {
	write  *controller.Write
	read   lb.ServiceName
	status *catalog.ZoneStatus
	epoch  string
}

// storeQueue holds the publisher's requests. The publisher bounds the writes
// and reads outstanding; of the zone's reports only the latest is kept.
type storeQueue struct {
	mutex  sync.Mutex
	queue  []storeWork
	latest *catalog.ZoneStatus // the last report added
	wake   chan struct{}       // has one element when there may be work
}

func newStoreQueue() *storeQueue { return &storeQueue{wake: make(chan struct{}, 1)} }

// add never blocks.
func (queue *storeQueue) add(work storeWork) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if work.status != nil {
		queue.latest = work.status
		queue.queue = slices.DeleteFunc(queue.queue, func(old storeWork) bool { return old.status != nil })
	}
	queue.append(work)
}

// repeat adds a report again, unless there is a later one.
func (queue *storeQueue) repeat(status *catalog.ZoneStatus) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.latest == status {
		queue.append(storeWork{status: status})
	}
}

func (queue *storeQueue) append(work storeWork) {
	queue.queue = append(queue.queue, work)
	select {
	case queue.wake <- struct{}{}:
	default: // whoever takes the work is to be woken already
	}
}

// isLatest tells whether no later report was added.
func (queue *storeQueue) isLatest(status *catalog.ZoneStatus) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.latest == status
}

// take gives all work that waits.
func (queue *storeQueue) take() []storeWork {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	taken := queue.queue
	queue.queue = nil
	return taken
}

// Limits of the publisher's requests to the store.
const (
	storeRequests    = 16              // at a time, as many as the publisher has outstanding
	storeWorkTimeout = 8 * time.Second // below the publisher's WriteTimeout
	// statusTimeout bounds one attempt to write a report: what became of a
	// write whose answer was lost matters little, since the next one follows.
	statusTimeout = 3 * time.Second
	statusRetry   = 300 * time.Millisecond // after a report that could not be written
)

// workStore carries out the publisher's requests until ctx ends.
func (node *Node) workStore(ctx context.Context) {
	slots := make(chan struct{}, storeRequests)
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.engine.work.wake:
		}
		for _, work := range node.engine.work.take() {
			slots <- struct{}{}
			node.background.Go(func() {
				defer func() { <-slots }()
				node.do(ctx, work)
			})
		}
	}
}

func (node *Node) do(running context.Context, work storeWork) {
	ctx, cancel := context.WithTimeout(running, storeWorkTimeout)
	defer cancel()
	switch {
	case work.write != nil:
		node.engine.publisherInput(&controller.Event{Result: node.write(ctx, work.write)})
	case work.status != nil:
		if !node.writeStatus(running, work.status) {
			node.repeatStatus(running, work.status)
		}
	case work.epoch != "":
		node.overwrite(ctx, controller.EpochKey, []byte(work.epoch), work.epoch)
	default:
		node.engine.publisherInput(&controller.Event{ReadBack: node.readBack(ctx, work.read)})
	}
}

// write publishes one placement by compare-and-swap.
func (node *Node) write(ctx context.Context, write *controller.Write) *controller.WriteResult {
	placement := write.Placement
	result := &controller.WriteResult{Service: placement.Service, WriteID: placement.WriteID, Outcome: controller.WriteNotRun}
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
			{Key: key, Revision: expected, AsOf: expected},
			{Key: controller.EpochKey, Revision: write.ExpectedEpoch, AsOf: write.ExpectedEpoch},
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

// writeOutcome tells what an error of the store says about a write.
func writeOutcome(err error) controller.WriteOutcome {
	var failure *store.Error
	switch {
	case err == nil:
		return controller.WriteDone
	case errors.Is(err, store.ErrConflict):
		return controller.WriteConflict
	case errors.As(err, &failure) && failure.Verdict == lb.NotRun:
		return controller.WriteNotRun
	}
	return controller.WriteUnknown
}

// readBack reads one placement.
func (node *Node) readBack(ctx context.Context, service lb.ServiceName) *controller.ReadBack {
	kv, err := node.store.Get(ctx, catalog.PlacementKey(service))
	if err != nil {
		return &controller.ReadBack{Service: service, Failed: true}
	}
	return &controller.ReadBack{Service: service, Document: documentOf(&kv, false)}
}

// writeStatus writes the zone's report, unless there is a later one, and tells
// whether that is done. One report is written at a time, so that a late write
// does not put an older one in place of a newer one.
func (node *Node) writeStatus(running context.Context, status *catalog.ZoneStatus) bool {
	node.statusMutex.Lock()
	defer node.statusMutex.Unlock()
	ctx, cancel := context.WithTimeout(running, statusTimeout)
	defer cancel()
	if !node.engine.work.isLatest(status) {
		return true
	}
	report := *status
	report.UnixMillis = time.Now().UnixMilli()
	key := catalog.StatusKey(report.Zone)
	value, err := catalog.EncodeZoneStatus(&report)
	if err != nil {
		node.logStoreWrite(err, key)
		return true // would be no better the next time
	}
	writeID := fmt.Sprintf("%s/%s/%d", report.Writer, report.Zone, report.UnixMillis)
	return node.overwrite(ctx, key, value, writeID)
}

// repeatStatus puts a report that could not be written back into the queue
// after a while, unless there is a later one.
func (node *Node) repeatStatus(running context.Context, status *catalog.ZoneStatus) {
	select {
	case <-running.Done():
	case <-time.After(statusRetry):
		if node.engine.isWatcher() {
			node.engine.work.repeat(status)
		}
	}
}

// overwrite puts a value whatever is there, and tells whether it did.
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

// logStoreWrite logs a write that failed. That another publisher was first is
// no problem.
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
