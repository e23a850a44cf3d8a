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

// view is what a consumer of a watch knows.
type view struct {
	values   map[string]string
	events   int
	resets   int
	revision int64
}

// consume follows the watch until it has reached the revision.
func (view *view) consume(t *testing.T, batches <-chan Batch, revision int64) {
	t.Helper()
	for view.revision < revision {
		var batch Batch
		select {
		case batch = <-batches: // zero when the watch has ended
		case <-time.After(time.Hour): // in the bubble's time
		}
		if batch.Revision == 0 {
			t.Fatalf("watch ended or stands still at revision %d, before %d", view.revision, revision)
		}
		if batch.Reset {
			view.resets++
			view.values = map[string]string{}
		} else if batch.Revision <= view.revision {
			t.Fatalf("revision %d after %d", batch.Revision, view.revision)
		}
		view.revision = batch.Revision
		for _, event := range batch.Events {
			view.events++
			if event.Deleted {
				delete(view.values, event.KeyValue.Key)
				continue
			}
			view.values[event.KeyValue.Key] = string(event.KeyValue.Value)
		}
	}
}

func TestWatchListsAndFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, _ := newTestClient(t, newStandIn(), 1)
		ctx, cancel := context.WithCancel(t.Context())
		writeBy(t, client, "/k/a", "1")
		batches := client.Watch(ctx, "/k/", 0)
		last := writeBy(t, client, "/k/b", "2")
		var seen view
		seen.consume(t, batches, last.ModRevision)
		is.Equal(seen.values, map[string]string{"/k/a": "1", "/k/b": "2"})
		deleteBy(t, client, "/k/a", "3")
		last = writeBy(t, client, "/k/b", "4")
		seen.consume(t, batches, last.ModRevision)
		is.Equal(seen.values, map[string]string{"/k/b": "4"})
		is.Equal(seen.resets, 1)
		cancel()
		_, open := <-batches
		is.True(!open)
	})
}

func TestWatchBridgesGapsWithoutLossOrRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, _ := newTestClient(t, server, 1)
		writer, _ := newTestClient(t, server, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batches := client.Watch(ctx, "/k/", 0)
		var seen view
		seen.consume(t, batches, 1)
		for round := range 20 {
			last := writeBy(t, writer, "/k/a", fmt.Sprintf("w%d", round))
			if round%2 == 0 {
				server.SetFaults(storesim.Faults{DropWatches: true})
			} else {
				server.SetFaults(storesim.Faults{Outage: true})
				time.Sleep(10 * time.Second)
				server.SetFaults(storesim.Faults{})
				time.Sleep(3 * time.Second) // the writer's circuit closes again
			}
			seen.consume(t, batches, last.ModRevision)
		}
		is.Equal(seen.events, 20)
		is.Equal(seen.resets, 1)
	})
}

func TestWatchListsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, transport := newTestClient(t, server, 1)
		writer, _ := newTestClient(t, server, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		writeBy(t, writer, "/k/a", "1")
		gone := writeBy(t, writer, "/k/b", "2")
		batches := client.Watch(ctx, "/k/", 0)
		var seen view
		seen.consume(t, batches, gone.ModRevision)
		synctest.Wait()                                          // for the stream to be open
		transport.set(func(string) fault { return faultUnsent }) // the watcher is cut off
		server.SetFaults(storesim.Faults{DropWatches: true})
		synctest.Wait() // for the stream to end
		deleteBy(t, writer, "/k/b", "3")
		last := writeBy(t, writer, "/k/a", "4")
		is.NoErr(server.Store().Compact(last.ModRevision))
		transport.set(nil)
		seen.consume(t, batches, last.ModRevision)
		is.Equal(seen.resets, 2)
		is.Equal(seen.values, map[string]string{"/k/a": "4"}) // the deletion was in the gap
	})
}

func TestIdleWatchIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, transport := newTestClient(t, newStandIn(), 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batches := client.Watch(ctx, "/k/", 0)
		var seen view
		seen.consume(t, batches, 1)
		synctest.Wait()
		sent := transport.requests()
		time.Sleep(10 * client.settings.WatchIdleLimit)
		synctest.Wait()
		renewed := transport.requests() - sent
		is.True(renewed >= 8 && renewed <= 10)
		last := writeBy(t, client, "/k/a", "1")
		seen.consume(t, batches, last.ModRevision)
		is.Equal(seen.events, 1)
	})
}

// TestWatchDoesNotGoBackAfterListing changes a key while it is being listed:
// the listing has its newest state, the watch then gives older ones again.
func TestWatchDoesNotGoBackAfterListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newStandIn()
		client, transport := newTestClient(t, server, 1)
		client.settings.PageSize = 1
		writer, _ := newTestClient(t, server, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		writeBy(t, writer, "/k/a", "1")
		writeBy(t, writer, "/k/b", "2")
		pages := 0
		transport.set(func(path string) fault {
			if path != pathRange {
				return faultNone
			}
			pages++
			if pages == 2 {
				writeBy(t, writer, "/k/b", "3")
				writeBy(t, writer, "/k/b", "4")
			}
			return faultNone
		})
		var given []string
		for batch := range client.Watch(ctx, "/k/", 0) {
			for _, event := range batch.Events {
				given = append(given, event.KeyValue.Key+"="+string(event.KeyValue.Value))
			}
			if batch.Revision >= 5 {
				break
			}
		}
		is.Equal(given, []string{"/k/a=1", "/k/b=4"})
	})
}
