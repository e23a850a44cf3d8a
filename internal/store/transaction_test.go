package store

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// writeWith writes the key with a client whose transport has no faults, and returns the new state.
func writeWith(t *testing.T, client *Client, key, id string) KeyValue {
	t.Helper()
	ctx := testContext(t, time.Minute)
	read, err := client.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.CompareAndSwap(ctx, &read, []byte(id), id, 0); err != nil {
		t.Fatal(err)
	}
	written, err := client.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	return written
}

func deleteWith(t *testing.T, client *Client, key, id string) {
	t.Helper()
	ctx := testContext(t, time.Minute)
	read, err := client.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(ctx, deletion(&read, id)); err != nil {
		t.Fatal(err)
	}
}

func deletion(read *KeyValue, id string) Transaction {
	return Transaction{
		WriteID:    id,
		Conditions: []Condition{read.UnchangedCondition()},
		Puts:       []Put{{Key: "/robinpulley/last", Value: []byte(id)}},
		Deletes:    []string{read.Key},
	}
}

func TestConflictReturnsCurrentState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, _ := newTestClient(t, newSimulatedStore(), 1)
		old := writeWith(t, client, "/k", "first")
		current := writeWith(t, client, "/k", "second")
		_, err := client.CompareAndSwap(testContext(t, time.Minute), &old, []byte("third"), "third", 0)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(string(conflict.Current.Value), "second")
		is.Equal(conflict.Current.ModRevision, current.ModRevision)
		is.Equal(asError(err).Verdict, lb.NotRun)
	})
}

// TestLostResponsesAreResolved injects each kind of fault into the first attempt of a write and
// lets another client change the key before the second attempt.
func TestLostResponsesAreResolved(t *testing.T) {
	const key = "/robinpulley/k"
	for _, test := range []struct {
		name      string
		fault     fault
		exists    bool // the key exists before the write
		deletes   bool // the write is a deletion
		then      func(t *testing.T, other *Client)
		succeeded bool
		value     string // final value of the key, after the delivery of delayed requests
	}{
		{"create, ran", faultLostResponse, false, false, nil, true, "mine"},
		{"create, did not run", faultNotSent, false, false, nil, true, "mine"},
		{"create, runs late", faultDelayed, false, false, nil, true, "mine"},
		{"create, ran, then overwritten", faultLostResponse, false, false, overwrite, true, "other"},
		{"create, ran, then deleted", faultLostResponse, false, false, remove, true, ""},
		{"create, runs late, other was first", faultDelayed, false, false, overwrite, false, "other"},
		{"create, runs late, other created and deleted", faultDelayed, false, false, createAndRemove, true, "mine"},
		{"change, ran", faultLostResponse, true, false, nil, true, "mine"},
		{"change, runs late", faultDelayed, true, false, nil, true, "mine"},
		{"change, ran, then overwritten", faultLostResponse, true, false, overwrite, true, "other"},
		{"change, ran, then deleted", faultLostResponse, true, false, remove, true, ""},
		{"change, runs late, other was first", faultDelayed, true, false, overwrite, false, "other"},
		{"change, runs late, other deleted", faultDelayed, true, false, remove, false, ""},
		{"delete, ran", faultLostResponse, true, true, nil, true, ""},
		{"delete, ran, then created again", faultLostResponse, true, true, overwrite, true, "other"},
		{"delete, runs late, other deleted", faultDelayed, true, true, remove, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newSimulatedStore()
				client, transport := newTestClient(t, server, 1)
				other, _ := newTestClient(t, server, 2)
				if test.exists {
					writeWith(t, other, key, "before")
				}
				ctx := testContext(t, time.Minute)
				read, err := client.Get(ctx, key)
				is.NoErr(err)
				transport.setFault(failFirstRequest(pathTxn, test.fault))
				if test.then != nil {
					go func() {
						time.Sleep(time.Millisecond) // long before the first retry
						test.then(t, other)
					}()
				}
				txn := Transaction{WriteID: "mine", Conditions: []Condition{read.UnchangedCondition()}, Puts: []Put{{Key: key, Value: []byte("mine")}}}
				if test.deletes {
					txn = deletion(&read, "mine")
				}
				revision, err := client.Commit(ctx, txn)
				transport.deliverDelayed()
				if test.succeeded {
					is.NoErr(err)
					is.True(revision > read.ReadRevision)
				} else {
					is.True(errors.Is(err, ErrConflict))
					is.Equal(asError(err).Verdict, lb.NotRun)
				}
				final, err := other.Get(ctx, key)
				is.NoErr(err)
				is.Equal(string(final.Value), test.value)
				stats := client.Stats()
				is.Equal(stats.ResolvedOutcomes, stats.LostResponses)
			})
		})
	}
}

func overwrite(t *testing.T, other *Client) { writeWith(t, other, "/robinpulley/k", "other") }

func remove(t *testing.T, other *Client) { deleteWith(t, other, "/robinpulley/k", "other-delete") }

func createAndRemove(t *testing.T, other *Client) {
	overwrite(t, other)
	remove(t, other)
}

// TestDelayedCreateDoesNotUndoDeletion delays the first copy of a create. The retry succeeds, then
// the key is deleted, and only then does the first copy arrive. It must not create the key again.
func TestDelayedCreateDoesNotUndoDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, transport := newTestClient(t, newSimulatedStore(), 1)
		ctx := testContext(t, time.Minute)
		transport.setFault(failFirstRequest(pathTxn, faultDelayed))
		read, err := client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		_, err = client.CompareAndSwap(ctx, &read, []byte("mine"), "mine", 0)
		is.NoErr(err)
		remove(t, client)
		transport.deliverDelayed()
		final, err := client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		is.True(!final.Exists())
	})
}

// TestWriteIDMayBeReused commits a transaction with the same WriteID after an earlier one that was
// resolved as not executed. The fence key of the earlier one must not block the new one.
func TestWriteIDMayBeReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, transport := newTestClient(t, server, 1)
		other, _ := newTestClient(t, server, 2)
		ctx := testContext(t, time.Minute)
		read, err := client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		transport.setFault(failFirstRequest(pathTxn, faultDelayed))
		go func() {
			time.Sleep(time.Millisecond)
			overwrite(t, other)
		}()
		_, err = client.CompareAndSwap(ctx, &read, []byte("mine"), "mine", 0)
		is.True(errors.Is(err, ErrConflict))
		remove(t, other)
		read, err = client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		_, err = client.CompareAndSwap(ctx, &read, []byte("mine"), "mine", 0)
		is.NoErr(err)
	})
}

func TestUnresolvedLossReturnsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, transport := newTestClient(t, server, 1)
		old := writeWith(t, client, "/robinpulley/k", "before")
		lost := false
		transport.setFault(func(path string) fault {
			if path == pathTxn && !lost {
				lost = true
				return faultLostResponse
			}
			if lost {
				return faultNotSent // the store is unreachable from then on
			}
			return faultNone
		})
		_, err := client.CompareAndSwap(testContext(t, 10*time.Second), &old, []byte("mine"), "mine", 0)
		is.True(errors.Is(err, ErrUnknownOutcome))
		is.Equal(asError(err).Verdict, lb.MayHaveRun)
	})
}

func TestLossWithCompactedHistoryReturnsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, transport := newTestClient(t, server, 1)
		other, _ := newTestClient(t, server, 2)
		old := writeWith(t, client, "/robinpulley/k", "before")
		transport.setFault(failFirstRequest(pathTxn, faultLostResponse))
		go func() {
			time.Sleep(time.Millisecond)
			overwrite(t, other)
			last := writeWith(t, other, "/robinpulley/k", "another")
			is.NoErr(server.Store().Compact(last.ModRevision))
		}()
		_, err := client.CompareAndSwap(testContext(t, time.Minute), &old, []byte("mine"), "mine", 0)
		is.True(errors.Is(err, ErrUnknownOutcome))
		is.Equal(asError(err).Verdict, lb.MayHaveRun)
	})
}

func TestLateResponsesAreResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, _ := newTestClient(t, server, 1)
		old := writeWith(t, client, "/robinpulley/k", "before")
		setDelay(server, client.settings.Timeout+time.Second) // every response arrives after the timeout
		go func() {
			time.Sleep(20 * time.Second)
			setDelay(server, 0)
		}()
		revision, err := client.CompareAndSwap(testContext(t, 2*time.Minute), &old, []byte("mine"), "mine", 0)
		is.NoErr(err)
		is.Equal(revision, old.ModRevision+1) // the first copy ran
	})
}

func TestPausedLeaseHolderCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		first, _ := newTestClient(t, server, 1)
		second, _ := newTestClient(t, server, 2)
		ctx := testContext(t, time.Hour)
		held, err := first.Acquire(ctx, "/robinpulley/leases/a", "first", 5*time.Second)
		is.NoErr(err)
		_, err = second.Acquire(ctx, "/robinpulley/leases/a", "second", 5*time.Second)
		is.True(errors.Is(err, ErrConflict)) // the first client holds the lease
		time.Sleep(3 * time.Second)
		is.NoErr(first.KeepAlive(ctx, held))
		time.Sleep(3 * time.Second)
		read := writeWith(t, second, "/robinpulley/k", "before")
		txn := Transaction{WriteID: "m", Conditions: []Condition{read.UnchangedCondition()}, Puts: []Put{{Key: read.Key, Value: []byte("m")}}}
		_, err = first.CommitAsHolder(ctx, held, txn)
		is.NoErr(err)

		time.Sleep(6 * time.Second) // the holder is paused and does not notice that the lease expires
		next, err := second.Acquire(ctx, "/robinpulley/leases/a", "second", 5*time.Second)
		is.NoErr(err)
		read, err = second.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		txn = Transaction{WriteID: "n", Conditions: []Condition{read.UnchangedCondition()}, Puts: []Put{{Key: read.Key, Value: []byte("n")}}}
		_, err = first.CommitAsHolder(ctx, held, txn)
		is.True(errors.Is(err, ErrLeaseLost))
		is.True(errors.Is(first.KeepAlive(ctx, held), ErrLeaseLost))
		_, err = second.CommitAsHolder(ctx, next, txn)
		is.NoErr(err)
		is.NoErr(second.Release(ctx, next))
		_, err = first.Acquire(ctx, "/robinpulley/leases/a", "third", 5*time.Second)
		is.NoErr(err)
	})
}
