package store

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lb"
)

func TestListReadsEveryPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, _ := newTestClient(t, newSimulatedStore(), 1)
		client.settings.PageSize = 3
		ctx := testContext(t, time.Minute)
		for number := range 10 {
			key := KeyValue{Key: fmt.Sprintf("/k/%d", number)}
			id := fmt.Sprintf("w%d", number)
			_, err := client.CompareAndSwap(ctx, &key, []byte(id), id, 0)
			is.NoErr(err)
		}
		listing, err := client.List(ctx, "/k/")
		is.NoErr(err)
		is.Equal(len(listing.KeyValues), 10)
		is.Equal(string(listing.KeyValues[9].Value), "w9")
		is.Equal(listing.Revision, int64(11))
		absent, err := client.Get(ctx, "/none")
		is.NoErr(err)
		is.True(!absent.Exists())
	})
}

func TestVerdictsOfRefusedConnectionAndTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closedEndpoint := "http://" + listener.Addr().String()
	is.NoErr(listener.Close())
	blocked := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-blocked }))
	defer unresponsive.Close()
	defer close(blocked)
	for _, test := range []struct {
		endpoint string
		want     lb.Verdict
	}{{closedEndpoint, lb.NotRun}, {unresponsive.URL, lb.MayHaveRun}} {
		settings := DefaultSettings([]string{test.endpoint}, 1)
		settings.Timeout = 50 * time.Millisecond
		client, err := New(settings)
		is.NoErr(err)
		var typed *Error
		is.True(errors.As(client.call(context.Background(), pathTxn, &txnRequest{}, &txnResponse{}), &typed))
		is.Equal(typed.Verdict, test.want)
		is.True(errors.Is(typed, ErrUnavailable))
	}
}

func TestFailoverToTheNextEndpoint(t *testing.T) {
	is := is.New(t)
	live := httptest.NewServer(newSimulatedStore())
	defer live.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	settings := DefaultSettings([]string{"http://" + listener.Addr().String(), live.URL}, 1)
	settings.BackoffBase = time.Millisecond
	client, err := New(settings)
	is.NoErr(err)
	_, err = client.Get(context.Background(), "/k")
	is.NoErr(err)
}

func TestOutageSendsOneProbeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		client, transport := newTestClient(t, server, 1)
		server.SetFaults(storesim.Faults{Outage: true})
		ctx := testContext(t, 10*time.Minute)
		var callers sync.WaitGroup
		for range 20 { // each caller keeps sending requests for a minute
			callers.Go(func() {
				for end := time.Now().Add(time.Minute); time.Now().Before(end); {
					_, err := client.Get(ctx, "/k")
					is.True(errors.Is(err, ErrUnavailable))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		start := time.Now()
		callers.Wait()
		is.Equal(client.Stats().Circuit, CircuitOpen)
		// Before the circuit opens there are at most 20 concurrent requests, then at most one probe
		// per second.
		is.True(transport.requests() <= 20+int(time.Since(start).Seconds()))
		server.SetFaults(storesim.Faults{})
		time.Sleep(3 * time.Second) // longer than the maximum delay before a probe
		_, err := client.Get(ctx, "/k")
		is.NoErr(err)
		is.Equal(client.Stats().Circuit, CircuitClosed)
	})
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, transport := newTestClient(t, newSimulatedStore(), 1)
		failNext := true
		// Every second request fails, which is too few for the circuit to open.
		transport.setFault(func(string) fault {
			failNext = !failNext
			if failNext {
				return faultNotSent
			}
			return faultNone
		})
		ctx := testContext(t, time.Hour)
		const calls = 500
		for range calls {
			_, _ = client.Get(ctx, "/k")
		}
		stats := client.Stats()
		is.True(stats.Retries <= uint64(client.settings.RetryBurst+calls*client.settings.RetryRatio))
		is.True(stats.Retries >= 50)
	})
}

func TestClientAdaptsToTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newSimulatedStore()
		server.SetFaults(storesim.Faults{RatePerSecond: 5})
		client, transport := newTestClient(t, server, 1)
		ctx := testContext(t, time.Hour)
		start := time.Now()
		for range 100 {
			_, err := client.Get(ctx, "/k")
			is.NoErr(err) // rejected requests are retried after the time that the store returned
		}
		is.True(time.Since(start) >= 19*time.Second)
		stats := client.Stats()
		is.True(stats.Throttled > 0)
		is.True(stats.Throttled < 100)
		is.Equal(stats.Circuit, CircuitClosed)

		server.SetFaults(storesim.Faults{})
		start, sent := time.Now(), transport.requests()
		for range 100 {
			_, err := client.Get(ctx, "/k")
			is.NoErr(err)
		}
		seconds := time.Since(start).Seconds()
		limit := client.settings.RequestsPerSecond*seconds + float64(client.settings.Burst)
		is.True(float64(transport.requests()-sent) <= limit) // the client's own rate limit
	})
}

func TestRetryAfterHeaderDelaysRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refused := 0
		client, transport := newTestClient(t, http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
			refused++
			response.Header().Set("Retry-After", "7")
			response.WriteHeader(http.StatusTooManyRequests)
			_, _ = response.Write([]byte(`{"code":8}`))
		}), 1)
		_, err := client.Get(testContext(t, 5*time.Second), "/k")
		var typed *Error
		is.True(errors.As(err, &typed))
		is.Equal(typed.Verdict, lb.NotRun)
		is.Equal(typed.RetryAfter, 7*time.Second)
		_, err = client.Get(testContext(t, time.Second), "/k")
		is.True(errors.Is(err, ErrThrottled))
		is.Equal(transport.requests(), 1) // the second call sent no request
	})
}
