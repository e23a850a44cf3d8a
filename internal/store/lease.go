package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// LeaseID names a lease in the store; 0 is none.
type LeaseID int64

// Lease is held while its key is in the store with the creation revision it
// got when it was acquired. The holder never concludes from a clock that it
// still holds it: each write made as holder carries Fence as a condition, so
// that the store refuses it once the lease has ended, however long the holder
// was paused.
type Lease struct {
	ID             LeaseID
	Key            string
	CreateRevision int64
}

// Fence is the condition under which the holder writes.
func (lease *Lease) Fence() Condition {
	return Condition{Key: lease.Key, Revision: lease.CreateRevision, OfCreation: true}
}

// Acquire takes the lease under key for the time to live, in the name of
// holder, which is the key's value and unique to this call. If another holds
// it, the error is a *ConflictError whose Current names the holder.
func (client *Client) Acquire(ctx context.Context, key, holder string, timeToLive time.Duration) (*Lease, error) {
	current, err := client.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if current.Exists() {
		return nil, notRun(&ConflictError{Condition: Condition{Key: key}, Current: current})
	}
	id, err := client.grant(ctx, timeToLive)
	if err != nil {
		return nil, err
	}
	revision, err := client.CompareAndSwap(ctx, &current, []byte(holder), holder, id)
	if err != nil {
		return nil, err
	}
	return &Lease{ID: id, Key: key, CreateRevision: revision}, nil
}

// KeepAlive renews the lease. ErrLeaseLost means that it has ended.
func (client *Client) KeepAlive(ctx context.Context, lease *Lease) error {
	var response keepAliveResponse
	if err := client.callRetrying(ctx, pathKeepAlive, &leaseRequest{ID: integer(lease.ID)}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return notRun(errors.Wrap(ErrLeaseLost, lease.Key))
	}
	return nil
}

// Release ends the lease and deletes its key.
func (client *Client) Release(ctx context.Context, lease *Lease) error {
	var response leaseResponse
	return client.callRetrying(ctx, pathRevoke, &leaseRequest{ID: integer(lease.ID)}, &response)
}

// grant makes a lease. One whose answer is lost ends by itself.
func (client *Client) grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error) {
	seconds := integer((timeToLive + time.Second - 1) / time.Second)
	var response leaseResponse
	if err := client.callRetrying(ctx, pathGrant, &leaseRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// CommitAsHolder runs the transaction if the lease is still held, else the
// error is ErrLeaseLost.
func (client *Client) CommitAsHolder(ctx context.Context, lease *Lease, txn Transaction) (int64, error) {
	fence := lease.Fence()
	txn.Conditions = append(append([]Condition{}, txn.Conditions...), fence)
	revision, err := client.Commit(ctx, txn)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Condition == fence {
		return 0, notRun(errors.Mark(errors.Wrap(err, ErrLeaseLost.Error()), ErrLeaseLost))
	}
	return revision, err
}
