package store

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// resolve determines whether the store has executed an earlier copy of the transaction. It returns
// the revision at which it did, or 0 if it has executed no copy and will execute none that has been
// sent so far. Copies that are sent afterwards depend on the absence of a new fence key.
func (commit *pendingCommit) resolve(ctx context.Context) (int64, error) {
	if err := commit.createFence(ctx); err != nil {
		return 0, err
	}
	revision, err := commit.findInHistory(ctx)
	if err != nil {
		return 0, err
	}
	commit.recordResolved()
	commit.fenceNumber++
	return revision, nil
}

// createFence creates the fence key. Every copy of the transaction sent so far requires the key's
// absence, so the store executes none of them from then on.
func (commit *pendingCommit) createFence(ctx context.Context) error {
	lease, err := commit.client.grant(ctx, fenceTTL)
	if err != nil {
		return err
	}
	absent := Condition{Key: commit.fenceKey()}
	fence := Put{Key: commit.fenceKey(), Value: []byte(commit.txn.WriteID), Lease: lease}
	request := txnRequest{Compare: []compare{absent.compare()}, Success: []requestOp{fence.op()}}
	var response txnResponse
	return commit.client.call(ctx, pathTxn, &request, &response)
}

// findInHistory reads the history from the revision at which the conditions held up to the creation
// of the fence key, and searches it for the first change of the first condition's key.
func (commit *pendingCommit) findInHistory(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, commit.client.settings.Timeout, errTimeout)
	defer cancel()
	first := commit.txn.Conditions[0]
	stream, err := commit.client.openWatch(ctx, commit.historyRange(), max(first.Revision, first.HeldAtRevision)+1)
	if err != nil {
		return 0, err
	}
	defer stream.close()
	for {
		message, err := stream.next()
		if err != nil {
			return 0, err
		}
		revision, found := commit.searchEvents(message.Events)
		if found {
			return revision, nil
		}
	}
}

// historyRange returns a key range that contains the first condition's key, the first put's key and
// the fence key.
func (commit *pendingCommit) historyRange() keyRange {
	keys := []string{commit.txn.Conditions[0].Key, commit.txn.Puts[0].Key, commit.fenceKey()}
	return keyRange{start: slices.Min(keys), end: append([]byte(slices.Max(keys)), 0)}
}

// searchEvents searches the events for the first change of the first condition's key and for the
// fence key, whichever comes first. found reports whether either occurred; revision is 0 unless the
// change is this transaction's. The store sends all events of one revision in one message and in
// order.
func (commit *pendingCommit) searchEvents(events []wireEvent) (revision int64, found bool) {
	key := commit.txn.Conditions[0].Key
	for index := range events {
		kv := &events[index].KeyValue
		switch string(kv.Key) {
		case key:
			if commit.isOwnWrite(events, kv.ModRevision) {
				return int64(kv.ModRevision), true
			}
			return 0, true
		case commit.fenceKey():
			return 0, true
		}
	}
	return 0, false
}

// isOwnWrite reports whether this transaction made the change at the revision, which it recognizes
// by the value of its first put.
func (commit *pendingCommit) isOwnWrite(events []wireEvent, revision integer) bool {
	mark := commit.txn.Puts[0]
	return slices.ContainsFunc(events, func(event wireEvent) bool {
		return event.KeyValue.ModRevision == revision && event.Type != eventDelete &&
			string(event.KeyValue.Key) == mark.Key && bytes.Equal(event.KeyValue.Value, mark.Value)
	})
}

// keyRange is a range of keys that includes start and excludes end.
type keyRange struct {
	start string
	end   []byte
}

// watchStream is one open watch stream.
type watchStream struct {
	client  *Client
	decoder *json.Decoder
	close   func()
	idle    *time.Timer // cancels the stream when it expires
}

// openWatch opens a watch stream of the key range that starts at the revision from. 0 means the
// current revision.
func (client *Client) openWatch(ctx context.Context, keys keyRange, from int64) (*watchStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := watchRequest{Create: watchCreate{
		Key: []byte(keys.start), RangeEnd: keys.end, StartRevision: integer(from), ProgressNotify: true,
	}}
	idle := time.AfterFunc(client.settings.Timeout, func() { cancel(errTimeout) })
	httpResponse, err := client.send(ctx, pathWatch, &request)
	if err != nil {
		idle.Stop()
		cancel(nil)
		return nil, err
	}
	client.policy.recordSuccess()
	stream := &watchStream{client: client, decoder: json.NewDecoder(httpResponse.Body), idle: idle}
	stream.close = func() {
		idle.Stop()
		cancel(nil)
		_ = httpResponse.Body.Close()
	}
	return stream, nil
}

// next waits for the next message and returns it. It returns ErrCompacted if the store no longer
// has the requested history.
func (stream *watchStream) next() (*watchResponse, error) {
	stream.idle.Reset(stream.client.settings.WatchIdleLimit)
	var message watchMessage
	if err := stream.decoder.Decode(&message); err != nil {
		return nil, notRunError(unavailableError(err, pathWatch))
	}
	switch {
	case message.Error != nil && message.Error.Code != codeOutOfRange:
		return nil, notRunError(unavailableError(errors.Newf("code %d: %s", message.Error.Code, message.Error.Message), pathWatch))
	case message.Error != nil || message.Result.CompactRevision > 0:
		return nil, notRunError(errors.Wrapf(ErrCompacted, "up to revision %d", message.Result.CompactRevision))
	case message.Result.Canceled:
		return nil, notRunError(unavailableError(errors.New("canceled by the store"), pathWatch))
	}
	return &message.Result, nil
}
