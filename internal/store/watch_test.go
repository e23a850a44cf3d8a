package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/storesim"
)

// watchedState is the state that a receiver of a watch builds from the batches.
type watchedState struct {
	values   map[string]string
	events   int
	resets   int
	revision int64
}

// consume applies batches until the state has reached the revision.
func (state *watchedState) consume(t *testing.T, batches <-chan Batch, revision int64) {
	t.Helper()
	for state.revision < revision {
		var batch Batch
		select {
		case batch = <-batches: // the zero Batch if the watch has ended
		case <-time.After(time.Hour): // in the fake time of the synctest bubble
		}
		if batch.Revision == 0 {
			t.Fatalf("watch ended or made no progress at revision %d, want %d", state.revision, revision)
		}
		if batch.Reset {
			state.resets++
			state.values = map[string]string{}
		} else if batch.Revision <= state.revision {
			t.Fatalf("revision %d after %d", batch.Revision, state.revision)
		}
		state.revision = batch.Revision
		for _, event := range batch.Events {
			state.events++
			if event.Deleted {
				delete(state.values, event.KeyValue.Key)
				continue
			}
			state.values[event.KeyValue.Key] = string(event.KeyValue.Value)
		}
	}
}

func TestWatchDeliversListingAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, _ := newTestClient(t, newSimulatedStore(), 1)
		ctx, cancel := context.WithCancel(t.Context())
		writeWith(t, client, "/k/a", "1")
		batches := client.Watch(ctx, "/k/", 0)
		last := writeWith(t, client, "/k/b", "2")
		var state watchedState
		state.consume(t, batches, last.ModRevision)
		is.Equal(state.values, map[string]string{"/k/a": "1", "/k/b": "2"})
		deleteWith(t, client, "/k/a", "3")
		last = writeWith(t, client, "/k/b", "4")
		state.consume(t, batches, last.ModRevision)
		is.Equal(state.values, map[string]string{"/k/b": "4"})
		is.Equal(state.resets, 1)
		cancel()
		_, open := <-batches
		is.True(!open)
	})
}

func TestWatchResumesWithoutLossOrRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, _ := newTestClient(t, server, 1)
		writer, _ := newTestClient(t, server, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batches := client.Watch(ctx, "/k/", 0)
		var state watchedState
		state.consume(t, batches, 1)
		for round := range 20 {
			last := writeWith(t, writer, "/k/a", fmt.Sprintf("w%d", round))
			if round%2 == 0 {
				server.SetFaults(storesim.Faults{DropWatches: true})
			} else {
				server.SetFaults(storesim.Faults{Outage: true})
				time.Sleep(10 * time.Second)
				server.SetFaults(storesim.Faults{})
				time.Sleep(3 * time.Second) // until the writer's circuit is closed again
			}
			state.consume(t, batches, last.ModRevision)
		}
		is.Equal(state.events, 20)
		is.Equal(state.resets, 1)
	})
}

func TestWatchListsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, transport := newTestClient(t, server, 1)
		writer, _ := newTestClient(t, server, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		writeWith(t, writer, "/k/a", "1")
		toDelete := writeWith(t, writer, "/k/b", "2")
		batches := client.Watch(ctx, "/k/", 0)
		var state watchedState
		state.consume(t, batches, toDelete.ModRevision)
		synctest.Wait()                                                // until the stream is open
		transport.setFault(func(string) fault { return faultNotSent }) // the watcher cannot reconnect
		server.SetFaults(storesim.Faults{DropWatches: true})
		synctest.Wait() // until the stream has ended
		deleteWith(t, writer, "/k/b", "3")
		last := writeWith(t, writer, "/k/a", "4")
		is.NoErr(server.Store().Compact(last.ModRevision))
		transport.setFault(nil)
		state.consume(t, batches, last.ModRevision)
		is.Equal(state.resets, 2)
		// The deletion of /k/b happened during the interruption.
		is.Equal(state.values, map[string]string{"/k/a": "4"})
	})
}

func TestIdleWatchIsReopened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, transport := newTestClient(t, newSimulatedStore(), 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batches := client.Watch(ctx, "/k/", 0)
		var state watchedState
		state.consume(t, batches, 1)
		synctest.Wait()
		sent := transport.requests()
		time.Sleep(10 * client.settings.WatchIdleLimit)
		synctest.Wait()
		renewed := transport.requests() - sent
		is.True(renewed >= 8 && renewed <= 10)
		last := writeWith(t, client, "/k/a", "1")
		state.consume(t, batches, last.ModRevision)
		is.Equal(state.events, 1)
	})
}

// TestWatchSkipsEventsOlderThanListing changes a key twice while the keys are being listed. The
// listing contains the newest state, and the watch stream then repeats the older one, which must
// not be delivered.
func TestWatchSkipsEventsOlderThanListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, transport := newTestClient(t, server, 1)
		client.settings.PageSize = 1
		writer, _ := newTestClient(t, server, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		writeWith(t, writer, "/k/a", "1")
		writeWith(t, writer, "/k/b", "2")
		pages := 0
		transport.setFault(func(path string) fault {
			if path != pathRange {
				return faultNone
			}
			pages++
			if pages == 2 {
				writeWith(t, writer, "/k/b", "3")
				writeWith(t, writer, "/k/b", "4")
			}
			return faultNone
		})
		var delivered []string
		for batch := range client.Watch(ctx, "/k/", 0) {
			for _, event := range batch.Events {
				delivered = append(delivered, event.KeyValue.Key+"="+string(event.KeyValue.Value))
			}
			if batch.Revision >= 5 {
				break
			}
		}
		is.Equal(delivered, []string{"/k/a=1", "/k/b=4"})
	})
}
