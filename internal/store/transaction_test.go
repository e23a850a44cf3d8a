package store

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// writeBy makes a write by another client, without faults.
func writeBy(t *testing.T, client *Client, key, id string) KeyValue {
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

func deleteBy(t *testing.T, client *Client, key, id string) {
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
		Conditions: []Condition{read.Unchanged()},
		Puts:       []Put{{Key: "/robinpulley/last", Value: []byte(id)}},
		Deletes:    []string{read.Key},
	}
}

func TestConflictNamesTheOtherWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, _ := newTestClient(t, newStandIn(), 1)
		old := writeBy(t, client, "/k", "first")
		current := writeBy(t, client, "/k", "second")
		_, err := client.CompareAndSwap(testContext(t, time.Minute), &old, []byte("third"), "third", 0)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(string(conflict.Current.Value), "second")
		is.Equal(conflict.Current.ModRevision, current.ModRevision)
		is.Equal(asError(err).Verdict, lb.NotRun)
	})
}

// TestLostAnswersAreResolved loses the answer of a first try in each way and
// lets another client act before the next.
func TestLostAnswersAreResolved(t *testing.T) {
	const key = "/robinpulley/k"
	for _, test := range []struct {
		name      string
		planned   fault
		exists    bool // before the write
		deletes   bool // the write is a deletion
		then      func(t *testing.T, other *Client)
		succeeded bool
		value     string // under the key in the end, late requests included
	}{
		{"create, ran", faultLostAnswer, false, false, nil, true, "mine"},
		{"create, did not run", faultUnsent, false, false, nil, true, "mine"},
		{"create, runs late", faultLate, false, false, nil, true, "mine"},
		{"create, ran, then overwritten", faultLostAnswer, false, false, overwrite, true, "other"},
		{"create, ran, then deleted", faultLostAnswer, false, false, remove, true, ""},
		{"create, runs late, other was first", faultLate, false, false, overwrite, false, "other"},
		{"create, runs late, other created and deleted", faultLate, false, false, createAndRemove, true, "mine"},
		{"change, ran", faultLostAnswer, true, false, nil, true, "mine"},
		{"change, runs late", faultLate, true, false, nil, true, "mine"},
		{"change, ran, then overwritten", faultLostAnswer, true, false, overwrite, true, "other"},
		{"change, ran, then deleted", faultLostAnswer, true, false, remove, true, ""},
		{"change, runs late, other was first", faultLate, true, false, overwrite, false, "other"},
		{"change, runs late, other deleted", faultLate, true, false, remove, false, ""},
		{"delete, ran", faultLostAnswer, true, true, nil, true, ""},
		{"delete, ran, then created again", faultLostAnswer, true, true, overwrite, true, "other"},
		{"delete, runs late, other deleted", faultLate, true, true, remove, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newStandIn()
				client, transport := newTestClient(t, server, 1)
				other, _ := newTestClient(t, server, 2)
				if test.exists {
					writeBy(t, other, key, "before")
				}
				ctx := testContext(t, time.Minute)
				read, err := client.Get(ctx, key)
				is.NoErr(err)
				transport.set(onceOn(pathTxn, test.planned))
				if test.then != nil {
					go func() {
						time.Sleep(time.Millisecond) // well before the first retry
						test.then(t, other)
					}()
				}
				txn := Transaction{WriteID: "mine", Conditions: []Condition{read.Unchanged()}, Puts: []Put{{Key: key, Value: []byte("mine")}}}
				if test.deletes {
					txn = deletion(&read, "mine")
				}
				revision, err := client.Commit(ctx, txn)
				transport.releaseLate()
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
				is.Equal(stats.Resolved, stats.LostAnswers)
			})
		})
	}
}

func overwrite(t *testing.T, other *Client) { writeBy(t, other, "/robinpulley/k", "other") }

func remove(t *testing.T, other *Client) { deleteBy(t, other, "/robinpulley/k", "other-delete") }

func createAndRemove(t *testing.T, other *Client) {
	overwrite(t, other)
	remove(t, other)
}

// TestLateCreateDoesNotUndoDeletion: the create is retried with success, then
// another deletes the key, and only then the first copy arrives.
func TestLateCreateDoesNotUndoDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, transport := newTestClient(t, newStandIn(), 1)
		ctx := testContext(t, time.Minute)
		transport.set(onceOn(pathTxn, faultLate))
		read, err := client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		_, err = client.CompareAndSwap(ctx, &read, []byte("mine"), "mine", 0)
		is.NoErr(err)
		remove(t, client)
		transport.releaseLate()
		final, err := client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		is.True(!final.Exists())
	})
}

// TestWriteIDMayBeUsedAgain commits a transaction again after one that was
// resolved as not run, which left a fence.
func TestWriteIDMayBeUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, transport := newTestClient(t, server, 1)
		other, _ := newTestClient(t, server, 2)
		ctx := testContext(t, time.Minute)
		read, err := client.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		transport.set(onceOn(pathTxn, faultLate))
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

func TestUnresolvedLossIsUnknownAndNeverSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, transport := newTestClient(t, server, 1)
		old := writeBy(t, client, "/robinpulley/k", "before")
		lost := false
		transport.set(func(path string) fault {
			if path == pathTxn && !lost {
				lost = true
				return faultLostAnswer
			}
			if lost {
				return faultUnsent // an outage from then on
			}
			return faultNone
		})
		_, err := client.CompareAndSwap(testContext(t, 10*time.Second), &old, []byte("mine"), "mine", 0)
		is.True(errors.Is(err, ErrUnknownOutcome))
		is.Equal(asError(err).Verdict, lb.MayHaveRun)
	})
}

func TestLossWithCompactedHistoryIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, transport := newTestClient(t, server, 1)
		other, _ := newTestClient(t, server, 2)
		old := writeBy(t, client, "/robinpulley/k", "before")
		transport.set(onceOn(pathTxn, faultLostAnswer))
		go func() {
			time.Sleep(time.Millisecond)
			overwrite(t, other)
			last := writeBy(t, other, "/robinpulley/k", "another")
			is.NoErr(server.Store().Compact(last.ModRevision))
		}()
		_, err := client.CompareAndSwap(testContext(t, time.Minute), &old, []byte("mine"), "mine", 0)
		is.True(errors.Is(err, ErrUnknownOutcome))
		is.Equal(asError(err).Verdict, lb.MayHaveRun)
	})
}

func TestSlowStoreIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, _ := newTestClient(t, server, 1)
		old := writeBy(t, client, "/robinpulley/k", "before")
		setDelay(server, client.settings.Timeout+time.Second) // every answer comes too late
		go func() {
			time.Sleep(20 * time.Second)
			setDelay(server, 0)
		}()
		revision, err := client.CompareAndSwap(testContext(t, 2*time.Minute), &old, []byte("mine"), "mine", 0)
		is.NoErr(err)
		is.Equal(revision, old.ModRevision+1) // the first copy ran
	})
}

func TestLeaseHolderThatWasPausedCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		first, _ := newTestClient(t, server, 1)
		second, _ := newTestClient(t, server, 2)
		ctx := testContext(t, time.Hour)
		held, err := first.Acquire(ctx, "/robinpulley/leases/a", "first", 5*time.Second)
		is.NoErr(err)
		_, err = second.Acquire(ctx, "/robinpulley/leases/a", "second", 5*time.Second)
		is.True(errors.Is(err, ErrConflict)) // held
		time.Sleep(3 * time.Second)
		is.NoErr(first.KeepAlive(ctx, held))
		time.Sleep(3 * time.Second)
		read := writeBy(t, second, "/robinpulley/k", "before")
		txn := Transaction{WriteID: "m", Conditions: []Condition{read.Unchanged()}, Puts: []Put{{Key: read.Key, Value: []byte("m")}}}
		_, err = first.CommitAsHolder(ctx, held, txn)
		is.NoErr(err)

		time.Sleep(6 * time.Second) // the holder is paused; it does not notice
		next, err := second.Acquire(ctx, "/robinpulley/leases/a", "second", 5*time.Second)
		is.NoErr(err)
		read, err = second.Get(ctx, "/robinpulley/k")
		is.NoErr(err)
		txn = Transaction{WriteID: "n", Conditions: []Condition{read.Unchanged()}, Puts: []Put{{Key: read.Key, Value: []byte("n")}}}
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
