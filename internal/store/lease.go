package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// LeaseID identifies a lease in the store. 0 means no lease.
type LeaseID int64

// Lease is a lease on a key. It is held as long as the key exists in the store with the creation
// revision that it got when the lease was acquired. The holder never relies on a clock to decide
// whether it still holds the lease. Instead, each of its writes carries HolderCondition, so that
// the store rejects the write if the lease has expired, even after an arbitrarily long pause of the
// holder.
type Lease struct {
	ID             LeaseID
	Key            string
	CreateRevision int64
}

// HolderCondition returns the condition that every write of the holder must carry.
func (lease *Lease) HolderCondition() Condition {
	return Condition{Key: lease.Key, Revision: lease.CreateRevision, CompareCreateRevision: true}
}

// Acquire acquires the lease under key for timeToLive. The holder becomes the key's value and must
// be unique to this call. If another holder has the lease, Acquire returns a *ConflictError whose
// Current contains that holder.
func (client *Client) Acquire(ctx context.Context, key, holder string, timeToLive time.Duration) (*Lease, error) {
	current, err := client.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if current.Exists() {
		return nil, notRunError(&ConflictError{Condition: Condition{Key: key}, Current: current})
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

// KeepAlive renews the lease. It returns ErrLeaseLost if the lease has expired.
func (client *Client) KeepAlive(ctx context.Context, lease *Lease) error {
	var response keepAliveResponse
	if err := client.callWithRetries(ctx, pathKeepAlive, &leaseRequest{ID: integer(lease.ID)}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return notRunError(errors.Wrap(ErrLeaseLost, lease.Key))
	}
	return nil
}

// Release revokes the lease, which deletes its key.
func (client *Client) Release(ctx context.Context, lease *Lease) error {
	var response leaseResponse
	return client.callWithRetries(ctx, pathRevoke, &leaseRequest{ID: integer(lease.ID)}, &response)
}

// grant creates a lease in the store. If the response is lost, the lease that was possibly created
// expires on its own.
func (client *Client) grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error) {
	seconds := integer((timeToLive + time.Second - 1) / time.Second)
	var response leaseResponse
	if err := client.callWithRetries(ctx, pathGrant, &leaseRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// CommitAsHolder commits the transaction if the lease is still held. Otherwise it returns
// ErrLeaseLost.
func (client *Client) CommitAsHolder(ctx context.Context, lease *Lease, txn Transaction) (int64, error) {
	holderCondition := lease.HolderCondition()
	txn.Conditions = append(append([]Condition{}, txn.Conditions...), holderCondition)
	revision, err := client.Commit(ctx, txn)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Condition == holderCondition {
		return 0, notRunError(errors.Mark(errors.Wrap(err, ErrLeaseLost.Error()), ErrLeaseLost))
	}
	return revision, err
}
