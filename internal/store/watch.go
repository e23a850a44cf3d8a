package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Event is one change of one key.
type Event struct {
	// Deleted reports that the key was deleted. KeyValue then has only Key and ModRevision, which
	// is the revision of the deletion.
	Deleted  bool
	KeyValue KeyValue
}

// Batch is a set of events that a watch delivers together.
type Batch struct {
	// Reset means that the receiver must discard its previous state: Events contains all keys that
	// exist.
	Reset  bool
	Events []Event
	// Revision is the store revision up to which all changes have been delivered, with this batch
	// included.
	Revision int64
}

// Watch delivers every change of the keys that begin with prefix, starting at the revision from. If
// from is 0, it first delivers a listing of the keys, with Batch.Reset set. The events of a key are
// in order, and each is delivered at most once after a reset. After an interruption, Watch resumes
// at the first revision that it has not delivered. After a compaction, or if the store was restored
// to an earlier revision, it delivers a new listing. Watch closes the channel when ctx ends.
func (client *Client) Watch(ctx context.Context, prefix string, from int64) <-chan Batch {
	watcher := &watcher{client: client, prefix: prefix, nextRevision: from, batches: make(chan Batch)}
	go watcher.run(ctx)
	return watcher.batches
}

// watcher is the state of one call of Watch.
type watcher struct {
	client       *Client
	prefix       string
	nextRevision int64 // first revision that has not been delivered; 0: deliver a listing first
	batches      chan Batch
	// listedRevisions contains the revisions of keys that changed during the last listing, so that
	// their state in it is newer than the listing's revision. Older events of these keys are
	// skipped.
	listedRevisions map[string]int64
	retries         int
}

// run delivers batches until ctx ends. It reconnects with backoff after each failure.
func (watcher *watcher) run(ctx context.Context) {
	defer close(watcher.batches)
	for ctx.Err() == nil {
		err := watcher.followStream(ctx)
		if errors.Is(err, ErrCompacted) {
			watcher.nextRevision = 0
		}
		wait := watcher.client.policy.retryDelay(watcher.retries, asError(err).RetryAfter)
		watcher.retries++
		_ = sleep(ctx, wait) // the condition of the loop checks whether ctx has ended
	}
}

// followStream delivers a listing if necessary and then the messages of one watch stream until the
// stream ends.
func (watcher *watcher) followStream(ctx context.Context) error {
	if watcher.nextRevision == 0 {
		if err := watcher.deliverListing(ctx); err != nil {
			return err
		}
	}
	keys := keyRange{start: watcher.prefix, end: rangeEnd(watcher.prefix)}
	stream, err := watcher.client.openWatch(ctx, keys, watcher.nextRevision)
	if err != nil {
		return err
	}
	defer stream.close()
	for {
		message, err := stream.next()
		if err != nil {
			return err
		}
		watcher.retries = 0
		if message.Created && int64(message.Header.Revision) < watcher.nextRevision-1 {
			return errors.Wrapf(ErrCompacted, "store is at revision %d, before %d", message.Header.Revision, watcher.nextRevision-1)
		}
		if message.Created && len(message.Events) == 0 {
			continue
		}
		if err := watcher.deliverMessage(ctx, message); err != nil {
			return err
		}
	}
}

// deliverListing delivers a listing of all keys with the prefix as a batch with Reset set.
func (watcher *watcher) deliverListing(ctx context.Context) error {
	listing, err := watcher.client.List(ctx, watcher.prefix)
	if err != nil {
		return err
	}
	batch := Batch{Reset: true, Revision: listing.Revision}
	watcher.listedRevisions = map[string]int64{}
	for _, kv := range listing.KeyValues {
		batch.Events = append(batch.Events, Event{KeyValue: kv})
		if kv.ModRevision > listing.Revision {
			watcher.listedRevisions[kv.Key] = kv.ModRevision
		}
	}
	if err := watcher.deliver(ctx, batch); err != nil {
		return err
	}
	watcher.nextRevision = listing.Revision + 1
	return nil
}

// deliverMessage delivers the events of one message that have not been delivered before.
func (watcher *watcher) deliverMessage(ctx context.Context, message *watchResponse) error {
	// Without events the message is a progress notification.
	batch := Batch{Revision: int64(message.Header.Revision)}
	if len(message.Events) > 0 {
		batch.Revision = int64(message.Events[len(message.Events)-1].KeyValue.ModRevision)
	}
	for index := range message.Events {
		event := &message.Events[index]
		kv := event.KeyValue.keyValue(batch.Revision)
		if kv.ModRevision < watcher.nextRevision || kv.ModRevision <= watcher.listedRevisions[kv.Key] {
			continue // delivered before, or older than the listing
		}
		batch.Events = append(batch.Events, Event{Deleted: event.Type == eventDelete, KeyValue: kv})
	}
	if batch.Revision < watcher.nextRevision {
		return nil
	}
	if err := watcher.deliver(ctx, batch); err != nil {
		return err
	}
	watcher.nextRevision = batch.Revision + 1
	return nil
}

// deliver sends the batch to the channel unless ctx ends first.
func (watcher *watcher) deliver(ctx context.Context, batch Batch) error {
	select {
	case watcher.batches <- batch:
		return nil
	case <-ctx.Done():
		return notRunError(ctx.Err())
	}
}
