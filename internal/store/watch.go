package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Event is one change of one key.
type Event struct {
	// Deleted: the key is gone; KeyValue then has only Key and ModRevision,
	// the revision of the deletion.
	Deleted  bool
	KeyValue KeyValue
}

// Batch is what a watch gives at a time.
type Batch struct {
	// Reset: forget everything known before; Events holds all keys there are.
	Reset  bool
	Events []Event
	// Revision: every change up to it has been given.
	Revision int64
}

// Watch gives every change of the keys that begin with prefix, from the given
// revision on; with from = 0 it first lists them (Batch.Reset). Events of a
// key come in order, each at most once after a Reset. Interruptions are
// bridged by resuming at the revision reached; after a compaction, or if the
// store was set back, everything is listed again. The channel is closed when
// ctx ends.
func (client *Client) Watch(ctx context.Context, prefix string, from int64) <-chan Batch {
	watcher := &watcher{client: client, prefix: prefix, next: from, batches: make(chan Batch)}
	go watcher.run(ctx)
	return watcher.batches
}

// watcher is one Watch under way.
type watcher struct {
	client  *Client
	prefix  string
	next    int64 // first revision not yet given; 0: list first
	batches chan Batch
	// listed holds the revision of keys whose listed state is newer than
	// the listing's revision, so that older events of them are left out.
	listed map[string]int64
	retry  int
}

func (watcher *watcher) run(ctx context.Context) {
	defer close(watcher.batches)
	for ctx.Err() == nil {
		err := watcher.follow(ctx)
		if errors.Is(err, ErrCompacted) {
			watcher.next = 0
		}
		wait := watcher.client.guard.pause(watcher.retry, asError(err).RetryAfter)
		watcher.retry++
		_ = sleep(ctx, wait) // the loop's condition sees the end of ctx
	}
}

// follow lists if needed and then passes on one stream until it breaks.
func (watcher *watcher) follow(ctx context.Context) error {
	if watcher.next == 0 {
		if err := watcher.list(ctx); err != nil {
			return err
		}
	}
	keys := keyRange{start: watcher.prefix, end: rangeEnd(watcher.prefix)}
	stream, err := watcher.client.openWatch(ctx, keys, watcher.next)
	if err != nil {
		return err
	}
	defer stream.close()
	for {
		message, err := stream.next()
		if err != nil {
			return err
		}
		watcher.retry = 0
		if message.Created && int64(message.Header.Revision) < watcher.next-1 {
			return errors.Wrapf(ErrCompacted, "store is at revision %d, before %d", message.Header.Revision, watcher.next-1)
		}
		if message.Created && len(message.Events) == 0 {
			continue
		}
		if err := watcher.pass(ctx, message); err != nil {
			return err
		}
	}
}

func (watcher *watcher) list(ctx context.Context) error {
	listing, err := watcher.client.List(ctx, watcher.prefix)
	if err != nil {
		return err
	}
	batch := Batch{Reset: true, Revision: listing.Revision}
	watcher.listed = map[string]int64{}
	for _, kv := range listing.KeyValues {
		batch.Events = append(batch.Events, Event{KeyValue: kv})
		if kv.ModRevision > listing.Revision {
			watcher.listed[kv.Key] = kv.ModRevision
		}
	}
	if err := watcher.deliver(ctx, batch); err != nil {
		return err
	}
	watcher.next = listing.Revision + 1
	return nil
}

// pass gives one message of the stream to the consumer.
func (watcher *watcher) pass(ctx context.Context, message *watchResponse) error {
	// Without events the message is a progress notification.
	batch := Batch{Revision: int64(message.Header.Revision)}
	if len(message.Events) > 0 {
		batch.Revision = int64(message.Events[len(message.Events)-1].KeyValue.ModRevision)
	}
	for index := range message.Events {
		event := &message.Events[index]
		kv := event.KeyValue.keyValue(batch.Revision)
		if kv.ModRevision < watcher.next || kv.ModRevision <= watcher.listed[kv.Key] {
			continue // given before
		}
		batch.Events = append(batch.Events, Event{Deleted: event.Type == eventDelete, KeyValue: kv})
	}
	if batch.Revision < watcher.next {
		return nil
	}
	if err := watcher.deliver(ctx, batch); err != nil {
		return err
	}
	watcher.next = batch.Revision + 1
	return nil
}

func (watcher *watcher) deliver(ctx context.Context, batch Batch) error {
	select {
	case watcher.batches <- batch:
		return nil
	case <-ctx.Done():
		return notRun(ctx.Err())
	}
}
