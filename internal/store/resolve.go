package store

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// resolve finds out whether a copy of the transaction ran: it gives the
// revision at which it did, or 0 if none did and none will. Copies sent after
// that depend on another fence.
func (commit *commit) resolve(ctx context.Context) (int64, error) {
	if err := commit.writeFence(ctx); err != nil {
		return 0, err
	}
	revision, err := commit.findInHistory(ctx)
	if err != nil {
		return 0, err
	}
	commit.noteResolved()
	commit.fence++
	return revision, nil
}

// writeFence makes the fence key. Once it is there, no copy can run.
func (commit *commit) writeFence(ctx context.Context) error {
	lease, err := commit.client.grant(ctx, fenceLifetime)
	if err != nil {
		return err
	}
	absent := Condition{Key: commit.fenceKey()}
	fence := Put{Key: commit.fenceKey(), Value: []byte(commit.txn.WriteID), Lease: lease}
	request := txnRequest{Compare: []compare{absent.compare()}, Success: []requestOp{fence.op()}}
	var response txnResponse
	return commit.client.call(ctx, pathTxn, &request, &response)
}

// findInHistory reads the changes from when the conditions held up to the
// fence and looks for the first one of the first condition's key.
func (commit *commit) findInHistory(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, commit.client.settings.Timeout, errTimeout)
	defer cancel()
	first := commit.txn.Conditions[0]
	stream, err := commit.client.openWatch(ctx, commit.historyRange(), max(first.Revision, first.AsOf)+1)
	if err != nil {
		return 0, err
	}
	defer stream.close()
	for {
		message, err := stream.next()
		if err != nil {
			return 0, err
		}
		revision, found := commit.search(message.Events)
		if found {
			return revision, nil
		}
	}
}

// historyRange spans the first condition's key, the first put's key and the fence.
func (commit *commit) historyRange() keyRange {
	keys := []string{commit.txn.Conditions[0].Key, commit.txn.Puts[0].Key, commit.fenceKey()}
	return keyRange{start: slices.Min(keys), end: append([]byte(slices.Max(keys)), 0)}
}

// search looks for the first change of the first condition's key, or the
// fence. All events of one revision are in one message, in order.
func (commit *commit) search(events []wireEvent) (revision int64, found bool) {
	key := commit.txn.Conditions[0].Key
	for index := range events {
		kv := &events[index].KeyValue
		switch string(kv.Key) {
		case key:
			if commit.isOwn(events, kv.ModRevision) {
				return int64(kv.ModRevision), true
			}
			return 0, true
		case commit.fenceKey():
			return 0, true
		}
	}
	return 0, false
}

// isOwn tells whether the change at the revision is this transaction's.
func (commit *commit) isOwn(events []wireEvent, revision integer) bool {
	mark := commit.txn.Puts[0]
	return slices.ContainsFunc(events, func(event wireEvent) bool {
		return event.KeyValue.ModRevision == revision && event.Type != eventDelete &&
			string(event.KeyValue.Key) == mark.Key && bytes.Equal(event.KeyValue.Value, mark.Value)
	})
}

// keyRange is the keys from start to before end.
type keyRange struct {
	start string
	end   []byte
}

// watchStream is one open watch.
type watchStream struct {
	client  *Client
	decoder *json.Decoder
	close   func()
	idle    *time.Timer // cancels the stream
}

// openWatch starts a watch of the range from the given revision on; 0 is from now on.
func (client *Client) openWatch(ctx context.Context, keys keyRange, from int64) (*watchStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := watchRequest{Create: watchCreate{
		Key: []byte(keys.start), RangeEnd: keys.end, StartRevision: integer(from), ProgressNotify: true,
	}}
	idle := time.AfterFunc(client.settings.Timeout, func() { cancel(errTimeout) })
	answer, err := client.send(ctx, pathWatch, &request)
	if err != nil {
		idle.Stop()
		cancel(nil)
		return nil, err
	}
	client.guard.succeeded()
	stream := &watchStream{client: client, decoder: json.NewDecoder(answer.Body), idle: idle}
	stream.close = func() {
		idle.Stop()
		cancel(nil)
		_ = answer.Body.Close()
	}
	return stream, nil
}

// next gives the next message. ErrCompacted means that the history asked for is gone.
func (stream *watchStream) next() (*watchResponse, error) {
	stream.idle.Reset(stream.client.settings.WatchIdleLimit)
	var message watchMessage
	if err := stream.decoder.Decode(&message); err != nil {
		return nil, notRun(unavailable(err, pathWatch))
	}
	switch {
	case message.Error != nil && message.Error.Code != codeOutOfRange:
		return nil, notRun(unavailable(errors.Newf("code %d: %s", message.Error.Code, message.Error.Message), pathWatch))
	case message.Error != nil || message.Result.CompactRevision > 0:
		return nil, notRun(errors.Wrapf(ErrCompacted, "up to revision %d", message.Result.CompactRevision))
	case message.Result.Canceled:
		return nil, notRun(unavailable(errors.New("cancelled by the store"), pathWatch))
	}
	return &message.Result, nil
}
