package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Condition must hold for a transaction to run: the key was last changed (or,
// with OfCreation, created) at Revision; 0 means that there is no such key.
type Condition struct {
	Key        string
	Revision   int64
	OfCreation bool
	// AsOf is a store revision at which the condition held, by a read; 0 if
	// not known. Resolving a lost answer looks at the history from there on.
	AsOf int64
}

// Unchanged is the condition that the key is as it was read.
func (kv *KeyValue) Unchanged() Condition {
	return Condition{Key: kv.Key, Revision: kv.ModRevision, AsOf: kv.ReadRevision}
}

// actual gives the revision that the condition is about.
func (condition *Condition) actual(current *KeyValue) int64 {
	if condition.OfCreation {
		return current.CreateRevision
	}
	return current.ModRevision
}

func (condition *Condition) compare() compare {
	revision := integer(condition.Revision)
	if condition.OfCreation {
		return compare{Result: resultEqual, Target: targetCreate, Key: []byte(condition.Key), CreateRevision: &revision}
	}
	return compare{Result: resultEqual, Target: targetMod, Key: []byte(condition.Key), ModRevision: &revision}
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID // 0: none
}

// Transaction is a set of writes that take effect together, if all conditions hold.
type Transaction struct {
	// WriteID is unique to this transaction; the same one may be committed
	// again, by the same client, after an error.
	WriteID string
	// Conditions: the first one is on a key that the transaction puts or
	// deletes, and not OfCreation.
	Conditions []Condition
	// Puts: the value of the first one contains WriteID, so that no other
	// transaction puts the same.
	Puts    []Put
	Deletes []string
}

// FencePrefix holds the keys that keep abandoned transactions from running.
const FencePrefix = "/robinpulley/fences/"

// fenceLifetime is how long a fence stays: far longer than a request may be
// under way in the network or the store.
const fenceLifetime = time.Hour

func (txn *Transaction) validate() error {
	switch {
	case txn.WriteID == "":
		return errors.New("transaction without write id")
	case len(txn.Conditions) == 0 || txn.Conditions[0].OfCreation:
		return errors.Newf("transaction %s: the first condition must be on the last change of a key", txn.WriteID)
	case len(txn.Puts) == 0:
		return errors.Newf("transaction %s: at least one put is needed", txn.WriteID)
	case !txn.changes(txn.Conditions[0].Key):
		return errors.Newf("transaction %s: does not change %s, on which its first condition is", txn.WriteID, txn.Conditions[0].Key)
	}
	return nil
}

func (txn *Transaction) changes(key string) bool {
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

// request gives the transaction for the gateway. The fence must not exist.
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

func (put *Put) op() requestOp {
	return requestOp{Put: &putRequest{Key: []byte(put.Key), Value: put.Value, Lease: integer(put.Lease)}}
}

// CompareAndSwap writes one key if it is as it was read. The value contains
// writeID. The result is the revision of the write.
func (client *Client) CompareAndSwap(ctx context.Context, read *KeyValue, value []byte, writeID string, lease LeaseID) (int64, error) {
	return client.Commit(ctx, Transaction{
		WriteID:    writeID,
		Conditions: []Condition{read.Unchanged()},
		Puts:       []Put{{Key: read.Key, Value: value, Lease: lease}},
	})
}

// Commit runs the transaction and gives the revision at which it took effect.
//
// A condition that does not hold gives a *ConflictError. When an answer is
// lost, a copy of the request may run at any time, so the outcome is resolved
// as follows. If the first condition names a revision, the same request is
// sent again: revisions never come back, so at most one copy runs. If its
// conditions then fail, or if the first condition is absence (which can come
// back), a fence key is written first, on whose absence every copy depends:
// none can run from then on. The history of the key from when the conditions
// held up to the fence then says for certain whether a copy ran: the first
// change is either this transaction's, known by its value, or another's.
// Where that history cannot be read before ctx ends, or is compacted, the
// error is ErrUnknownOutcome with the verdict MayHaveRun.
func (client *Client) Commit(ctx context.Context, txn Transaction) (int64, error) {
	if err := txn.validate(); err != nil {
		return 0, notRun(err)
	}
	client.guard.first()
	commit := commit{client: client, txn: &txn, number: client.commits.Add(1)}
	for retry := 0; ; retry++ {
		revision, err := commit.attempt(ctx)
		if err == nil {
			return revision, nil
		}
		if !retryable(err) {
			return 0, commit.giveUp(err)
		}
		if err := commit.prepareRetry(ctx, retry, err); err != nil {
			return 0, err
		}
	}
}

// commit is one Commit under way.
type commit struct {
	client *Client
	txn    *Transaction
	number uint64 // of this call, so that a write id may be used by a later call again
	fence  int    // number of the fence that copies sent now depend on
	lost   bool
}

func (commit *commit) fenceKey() string {
	return fmt.Sprintf("%s%s.%x.%d.%d", FencePrefix, commit.txn.WriteID, commit.client.settings.Seed, commit.number, commit.fence)
}

// attempt sends the transaction once and resolves a loss where that is needed.
func (commit *commit) attempt(ctx context.Context) (int64, error) {
	if commit.lost && commit.txn.Conditions[0].Revision == 0 {
		if revision, err := commit.resolve(ctx); revision != 0 || err != nil {
			return revision, err
		}
	}
	var response txnResponse
	err := commit.client.call(ctx, pathTxn, commit.txn.request(commit.fenceKey()), &response)
	switch {
	case err != nil && asError(err).Verdict != lb.NotRun:
		commit.noteLoss()
		return 0, err
	case err != nil:
		return 0, err
	case response.Succeeded:
		commit.noteResolved()
		return int64(response.Header.Revision), nil
	case !commit.lost:
		return 0, commit.conflict(&response)
	}
	if revision, err := commit.resolve(ctx); revision != 0 || err != nil {
		return revision, err
	}
	return commit.attempt(ctx) // no earlier copy can run: as if for the first time
}

func (commit *commit) noteLoss() {
	if !commit.lost {
		commit.client.guard.count(func(stats *Stats) { stats.LostAnswers++ })
	}
	commit.lost = true
}

func (commit *commit) noteResolved() {
	if commit.lost {
		commit.client.guard.count(func(stats *Stats) { stats.Resolved++ })
	}
	commit.lost = false
}

// conflict finds the condition that does not hold.
func (commit *commit) conflict(response *txnResponse) error {
	for index, condition := range commit.txn.Conditions {
		if index >= len(response.Responses) || response.Responses[index].Range == nil {
			return mayHaveRun(errors.Newf("transaction %s: answer lacks the state of %s", commit.txn.WriteID, condition.Key))
		}
		current := single(condition.Key, response.Responses[index].Range)
		current.ReadRevision = int64(response.Header.Revision)
		if condition.actual(&current) != condition.Revision {
			return notRun(&ConflictError{Condition: condition, Current: current})
		}
	}
	return notRun(errors.Wrapf(ErrRefused, "transaction %s: no condition fails, yet it did not run", commit.txn.WriteID))
}

// prepareRetry waits before the next attempt, or says that there is none. A
// lost write is worth slow retries beyond the budget.
func (commit *commit) prepareRetry(ctx context.Context, retry int, cause error) error {
	var extra time.Duration
	if !commit.client.mayRetry(cause) {
		if !commit.lost {
			return cause
		}
		extra = commit.client.settings.BackoffMax
	}
	wait := extra + commit.client.guard.pause(retry, asError(cause).RetryAfter)
	if deadline, found := ctx.Deadline(); found && time.Until(deadline) <= wait {
		return commit.giveUp(cause)
	}
	if err := sleep(ctx, wait); err != nil {
		return commit.giveUp(cause)
	}
	return nil
}

func (commit *commit) giveUp(cause error) error {
	if !commit.lost {
		return cause
	}
	return mayHaveRun(errors.Mark(errors.Wrapf(cause, "transaction %s: %v", commit.txn.WriteID, ErrUnknownOutcome), ErrUnknownOutcome))
}
