package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Condition must hold for a transaction to run: the last change of the key, or its creation if
// CompareCreateRevision is set, was at Revision. Revision 0 means that the key does not exist.
type Condition struct {
	Key                   string
	Revision              int64
	CompareCreateRevision bool
	// HeldAtRevision is a store revision at which a read showed that the condition held; 0 if
	// unknown. After a lost response, Commit reads the history from this revision on.
	HeldAtRevision int64
}

// UnchangedCondition returns the condition that the key has not changed since it was read.
func (kv *KeyValue) UnchangedCondition() Condition {
	return Condition{Key: kv.Key, Revision: kv.ModRevision, HeldAtRevision: kv.ReadRevision}
}

// actualRevision returns the revision of current that the condition compares with
// Condition.Revision.
func (condition *Condition) actualRevision(current *KeyValue) int64 {
	if condition.CompareCreateRevision {
		return current.CreateRevision
	}
	return current.ModRevision
}

// compare returns the condition in the gateway's format.
func (condition *Condition) compare() compare {
	revision := integer(condition.Revision)
	if condition.CompareCreateRevision {
		return compare{Result: resultEqual, Target: targetCreate, Key: []byte(condition.Key), CreateRevision: &revision}
	}
	return compare{Result: resultEqual, Target: targetMod, Key: []byte(condition.Key), ModRevision: &revision}
}

// Put is a write of one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID // the key is deleted when this lease expires; 0: no lease
}

// Transaction is a set of writes that take effect atomically if all conditions hold.
type Transaction struct {
	// WriteID is unique to this transaction. After an error, the same client may commit a
	// transaction with the same WriteID again.
	WriteID string
	// Conditions must hold for the transaction to run. The first one must be on a key that the
	// transaction puts or deletes, and must not have CompareCreateRevision set.
	Conditions []Condition
	// Puts are the keys to write. The value of the first one must contain WriteID, so that no other
	// transaction writes the same value.
	Puts    []Put
	Deletes []string
}

// FencePrefix is the prefix of the fence keys, which prevent the store from executing late copies
// of a transaction.
const FencePrefix = "/robinpulley/fences/"

// fenceTTL is the time after which the store deletes a fence key. It must be far longer than a
// request can be delayed in the network or in the store.
const fenceTTL = time.Hour

// validate checks the requirements on a transaction without which a lost response could not be
// resolved.
func (txn *Transaction) validate() error {
	switch {
	case txn.WriteID == "":
		return errors.New("transaction without write id")
	case len(txn.Conditions) == 0 || txn.Conditions[0].CompareCreateRevision:
		return errors.Newf("transaction %s: the first condition must be on the last change of a key", txn.WriteID)
	case len(txn.Puts) == 0:
		return errors.Newf("transaction %s: at least one put is needed", txn.WriteID)
	case !txn.changesKey(txn.Conditions[0].Key):
		return errors.Newf("transaction %s: does not change %s, the key of its first condition", txn.WriteID, txn.Conditions[0].Key)
	}
	return nil
}

// changesKey reports whether the transaction puts or deletes the key.
func (txn *Transaction) changesKey(key string) bool {
	for _, put := range txn.Puts {
		if put.Key == key {
			return true
		}
	}
	for _, deleted := range txn.Deletes {
		if deleted == key {
			return true
		}
	}
	return false
}

// request returns the transaction in the gateway's format, with the additional condition that the
// fence key does not exist. If a condition fails, the store returns the state of each condition's
// key.
func (txn *Transaction) request(fence string) *txnRequest {
	absent := Condition{Key: fence}
	request := &txnRequest{Compare: []compare{absent.compare()}}
	for index := range txn.Conditions {
		condition := &txn.Conditions[index]
		request.Compare = append(request.Compare, condition.compare())
		request.Failure = append(request.Failure, requestOp{Range: &rangeRequest{Key: []byte(condition.Key)}})
	}
	for _, put := range txn.Puts {
		request.Success = append(request.Success, put.op())
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, requestOp{Delete: &deleteRequest{Key: []byte(key)}})
	}
	return request
}

// op returns the put in the gateway's format.
func (put *Put) op() requestOp {
	return requestOp{Put: &putRequest{Key: []byte(put.Key), Value: put.Value, Lease: integer(put.Lease)}}
}

// CompareAndSwap writes one key if the key has not changed since it was read, and returns the
// revision of the write. The value must contain writeID.
func (client *Client) CompareAndSwap(ctx context.Context, read *KeyValue, value []byte, writeID string, lease LeaseID) (int64, error) {
	return client.Commit(ctx, Transaction{
		WriteID:    writeID,
		Conditions: []Condition{read.UnchangedCondition()},
		Puts:       []Put{{Key: read.Key, Value: value, Lease: lease}},
	})
}

// Commit runs the transaction and returns the revision at which it took effect.
//
// If a condition does not hold, Commit returns a *ConflictError. If the response to a request is
// lost, the store may still execute a copy of the request at any later time. Commit then determines
// the outcome as follows. If the first condition names a revision, Commit sends the same request
// again. A key never returns to an earlier revision, so the store executes at most one of the
// copies. If the conditions of the new copy fail, or if the first condition is the absence of a
// key, which can hold repeatedly, Commit creates a fence key. Every copy requires the absence of
// this key, so the store executes none from then on. The history of the first condition's key, from
// the revision at which the conditions held up to the creation of the fence key, then proves
// whether a copy was executed: its first change is either this transaction's, which is recognized
// by its value, or another one's. If this history has been compacted or cannot be read before ctx
// ends, Commit returns ErrUnknownOutcome with the verdict MayHaveRun.
func (client *Client) Commit(ctx context.Context, txn Transaction) (int64, error) {
	if err := txn.validate(); err != nil {
		return 0, notRunError(err)
	}
	client.policy.addRetryTokens()
	commit := pendingCommit{client: client, txn: &txn, callNumber: client.commits.Add(1)}
	for retry := 0; ; retry++ {
		revision, err := commit.attempt(ctx)
		if err == nil {
			return revision, nil
		}
		if !retryable(err) {
			return 0, commit.finalError(err)
		}
		if err := commit.prepareRetry(ctx, retry, err); err != nil {
			return 0, err
		}
	}
}

// pendingCommit is the state of one call of Commit.
type pendingCommit struct {
	client *Client
	txn    *Transaction
	// callNumber is the number of this call of Commit. It distinguishes the fence keys of calls
	// with the same WriteID.
	callNumber  uint64
	fenceNumber int // number of the fence key whose absence newly sent copies require
	// outcomeUnknown is set while the outcome of an earlier copy is unknown because its response
	// was lost.
	outcomeUnknown bool
}

// fenceKey returns the fence key whose absence newly sent copies require.
func (commit *pendingCommit) fenceKey() string {
	return fmt.Sprintf("%s%s.%x.%d.%d", FencePrefix, commit.txn.WriteID, commit.client.settings.Seed, commit.callNumber, commit.fenceNumber)
}

// attempt sends the transaction once and, if an earlier response was lost, determines the outcome
// of the earlier copies where this is necessary.
func (commit *pendingCommit) attempt(ctx context.Context) (int64, error) {
	if commit.outcomeUnknown && commit.txn.Conditions[0].Revision == 0 {
		if revision, err := commit.resolve(ctx); revision != 0 || err != nil {
			return revision, err
		}
	}
	var response txnResponse
	err := commit.client.call(ctx, pathTxn, commit.txn.request(commit.fenceKey()), &response)
	switch {
	case err != nil && asError(err).Verdict != lb.NotRun:
		commit.recordLostResponse()
		return 0, err
	case err != nil:
		return 0, err
	case response.Succeeded:
		commit.recordResolved()
		return int64(response.Header.Revision), nil
	case !commit.outcomeUnknown:
		return 0, commit.conflictError(&response)
	}
	if revision, err := commit.resolve(ctx); revision != 0 || err != nil {
		return revision, err
	}
	// No earlier copy can run any more, so this is equivalent to a first attempt.
	return commit.attempt(ctx)
}

// recordLostResponse records that the response to a copy was lost.
func (commit *pendingCommit) recordLostResponse() {
	if !commit.outcomeUnknown {
		commit.client.policy.updateStats(func(stats *Stats) { stats.LostResponses++ })
	}
	commit.outcomeUnknown = true
}

// recordResolved records that the outcome of all earlier copies is known.
func (commit *pendingCommit) recordResolved() {
	if commit.outcomeUnknown {
		commit.client.policy.updateStats(func(stats *Stats) { stats.ResolvedOutcomes++ })
	}
	commit.outcomeUnknown = false
}

// conflictError returns a *ConflictError for the first condition that does not hold.
func (commit *pendingCommit) conflictError(response *txnResponse) error {
	for index, condition := range commit.txn.Conditions {
		if index >= len(response.Responses) || response.Responses[index].Range == nil {
			return mayHaveRunError(errors.Newf("transaction %s: response lacks the state of %s", commit.txn.WriteID, condition.Key))
		}
		current := keyValueOf(condition.Key, response.Responses[index].Range)
		current.ReadRevision = int64(response.Header.Revision)
		if condition.actualRevision(&current) != condition.Revision {
			return notRunError(&ConflictError{Condition: condition, Current: current})
		}
	}
	return notRunError(errors.Wrapf(ErrRejected, "transaction %s: did not run although all conditions hold", commit.txn.WriteID))
}

// prepareRetry waits for the backoff delay before the next attempt, or returns an error if there
// must be no further attempt. A write whose outcome is unknown is retried even if the retry budget
// is exhausted, but with an additional delay.
func (commit *pendingCommit) prepareRetry(ctx context.Context, retry int, cause error) error {
	var extra time.Duration
	if !commit.client.allowRetry(cause) {
		if !commit.outcomeUnknown {
			return cause
		}
		extra = commit.client.settings.BackoffMax
	}
	wait := extra + commit.client.policy.retryDelay(retry, asError(cause).RetryAfter)
	if deadline, found := ctx.Deadline(); found && time.Until(deadline) <= wait {
		return commit.finalError(cause)
	}
	if err := sleep(ctx, wait); err != nil {
		return commit.finalError(cause)
	}
	return nil
}

// finalError returns the error with which Commit ends after cause: ErrUnknownOutcome if the outcome
// is unknown, otherwise cause.
func (commit *pendingCommit) finalError(cause error) error {
	if !commit.outcomeUnknown {
		return cause
	}
	return mayHaveRunError(errors.Mark(errors.Wrapf(cause, "transaction %s: %v", commit.txn.WriteID, ErrUnknownOutcome), ErrUnknownOutcome))
}
