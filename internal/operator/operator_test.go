package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/store"
)

// beforeRequest is a transport that calls run once, before it sends the first request to the path.
type beforeRequest struct {
	path string
	once sync.Once
	run  func()
}

func (transport *beforeRequest) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Path == transport.path {
		transport.once.Do(transport.run)
	}
	return http.DefaultTransport.RoundTrip(request)
}

// startStore starts a simulated store and returns it with its URL.
func startStore(t *testing.T) (*storesim.Server, string) {
	server := storesim.NewServer(storesim.Faults{}, 1)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener.URL
}

// newOperator returns an operator that calls before once, before its first transaction.
func newOperator(t *testing.T, url, identity string, before func()) *Operator {
	t.Helper()
	if before == nil {
		before = func() {}
	}
	return newOperatorWithTransport(t, url, identity, &beforeRequest{path: "/v3/kv/txn", run: before})
}

// newOperatorWithTransport returns an operator whose client sends its requests over the transport.
func newOperatorWithTransport(t *testing.T, url, identity string, transport http.RoundTripper) *Operator {
	t.Helper()
	settings := store.DefaultSettings([]string{url}, 1)
	settings.RequestsPerSecond, settings.Burst = 10_000, 10_000
	settings.BackoffBase, settings.BackoffMax = time.Millisecond, 10*time.Millisecond
	settings.RetryBurst = 1000
	settings.Transport = transport
	client, err := store.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	var ids atomic.Int64
	return New(client, identity, func() string { return fmt.Sprint(ids.Add(1)) })
}

func walletService(port uint16) catalog.Service {
	address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
	return catalog.Service{
		Name:      "wallet",
		Frontends: []lb.Frontend{{Address: address, Protocol: lb.TCP}},
		Selector:  "app=wallet",
	}
}

func webBackend(number int) catalog.Backend {
	return catalog.Backend{
		Name:   lb.BackendName(fmt.Sprintf("web-%d", number)),
		Host:   netip.MustParseAddrPort("127.0.0.1:6081"),
		Zone:   "a",
		Labels: map[string]string{"app": "wallet"},
	}
}

func TestConflictDescribesTheOtherChange(t *testing.T) {
	ctx := t.Context()
	for _, test := range []struct {
		name  string
		other func(other *Operator) error
		want  []string
	}{
		{
			"changed", func(other *Operator) error {
				_, err := other.Label(ctx, "web-1", []string{"tier=b"})
				return err
			},
			[]string{"/robinpulley/backends/web-1", "changed by ben@b", "revision 3", "labels"},
		},
		{
			"deleted", func(other *Operator) error {
				_, err := other.DeleteBackend(ctx, "web-1")
				return err
			},
			[]string{"/robinpulley/backends/web-1", "deleted by ben@b", "revision 3"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, url := startStore(t)
			ben := newOperator(t, url, "ben@b", nil)
			_, err := ben.CreateBackend(ctx, webBackend(1))
			is.NoErr(err)
			ana := newOperator(t, url, "ana@a", func() { is.NoErr(test.other(ben)) })
			_, err = ana.Drain(ctx, "web-1", true)
			var conflicting *ConcurrentChangeError
			is.True(errors.As(err, &conflicting))
			is.True(errors.Is(err, store.ErrConflict))
			for _, part := range test.want {
				is.True(strings.Contains(err.Error(), part))
			}
			backend, err := ben.Backend(ctx, "web-1")
			is.True(err != nil || !backend.Drain) // nothing was written
		})
	}
}

func TestFrontendBelongsToOneService(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, url := startStore(t)
	ben := newOperator(t, url, "ben@b", nil)
	second := walletService(443)
	second.Name = "second"
	// Both operators read that the front end is free, and ben commits first.
	ana := newOperator(t, url, "ana@a", func() {
		_, err := ben.CreateService(ctx, second)
		is.NoErr(err)
	})
	_, err := ana.CreateService(ctx, walletService(443))
	is.True(errors.Is(err, store.ErrConflict))
	is.True(strings.Contains(err.Error(), `"second"`))
	_, err = ana.CreateService(ctx, walletService(443))
	is.True(errors.Is(err, store.ErrConflict))

	_, err = ben.EditService(ctx, "second", func(service *catalog.Service) error {
		service.Frontends = walletService(444).Frontends
		return nil
	})
	is.NoErr(err) // this releases port 443
	_, err = ana.CreateService(ctx, walletService(443))
	is.NoErr(err)
	_, err = ben.DeleteService(ctx, "second")
	is.NoErr(err)
	_, err = ana.EditService(ctx, "wallet", func(service *catalog.Service) error {
		service.Frontends = append(service.Frontends, walletService(444).Frontends...)
		return nil
	})
	is.NoErr(err)
	_, err = ana.CreateService(ctx, walletService(443))
	is.True(errors.Is(err, ErrExists))
}

func TestFrontendClaimOfDeletedServiceIsReplaced(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	claim := store.KeyValue{Key: catalog.FrontendKey(walletService(443).Frontends[0])}
	_, err := ana.client.CompareAndSwap(ctx, &claim, []byte("gone"), "x", 0)
	is.NoErr(err)
	_, err = ana.CreateService(ctx, walletService(443))
	is.NoErr(err)
	_, err = ana.DeleteService(ctx, "wallet")
	is.NoErr(err)
	released, err := ana.client.Get(ctx, claim.Key)
	is.NoErr(err)
	is.True(!released.Exists())
}

func TestEditsAndBadInput(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	created, err := ana.CreateBackend(ctx, webBackend(1))
	is.NoErr(err)
	is.Equal(created.Action, ActionCreated)
	changed, err := ana.Label(ctx, "web-1", []string{"tier=a", "app-"})
	is.NoErr(err)
	is.True(changed.Revision > created.Revision)
	unchanged, err := ana.Label(ctx, "web-1", []string{"tier=a"})
	is.NoErr(err)
	is.Equal(unchanged, Change{Kind: KindBackend, Name: "web-1", Action: ActionUnchanged, Revision: changed.Revision})
	backend, err := ana.Backend(ctx, "web-1")
	is.NoErr(err)
	is.Equal(backend.Labels, map[string]string{"tier": "a"})
	for _, label := range []string{"tier", "-=a", "tier=a b", "_-"} {
		_, err = ana.Label(ctx, "web-1", []string{label})
		is.True(errors.Is(err, ErrBadInput))
	}
	_, err = ana.Drain(ctx, "web-2", true)
	is.True(errors.Is(err, ErrNotFound))
}

func TestApplyAndExportAreInverse(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	objects := Objects{Services: []catalog.Service{walletService(443)}, Backends: []catalog.Backend{webBackend(1), webBackend(2)}}
	objects.Backends[0].Labels = map[string]string{"app": "yes", "on": "123", "x": "true", "y": "", "z": "0x10", "w": "1e3"}
	changes, err := ana.Apply(ctx, objects)
	is.NoErr(err)
	is.Equal(len(changes), 3)
	exported, err := ana.Export(ctx)
	is.NoErr(err)
	is.Equal(exported, objects)
	var text strings.Builder
	is.NoErr(WriteObjects(&text, exported))
	again, err := ReadObjects(strings.NewReader(text.String()))
	is.NoErr(err)
	is.Equal(again, objects)
	changes, err = ana.Apply(ctx, again)
	is.NoErr(err)
	for _, change := range changes {
		is.Equal(change.Action, ActionUnchanged)
	}
}

func TestReadObjectsReturnsAllErrors(t *testing.T) {
	is := is.New(t)
	_, err := ReadObjects(strings.NewReader(`
backends:
  - {name: a, host: "127.0.0.1:0", zone: z, labels: {}}
---
backends:
  - {name: a, host: "127.0.0.1:1", zone: "", labels: {}}
`))
	is.True(errors.Is(err, ErrBadInput))
	for _, part := range []string{"host", "zone", "listed twice"} {
		is.True(strings.Contains(err.Error(), part))
	}
	_, err = ReadObjects(strings.NewReader("backends:\n  - {nmae: a}\n"))
	is.True(errors.Is(err, ErrBadInput))
	is.True(strings.Contains(err.Error(), "nmae"))
}

// TestConcurrentOperatorsLoseNoChange has several operators change labels of one back end
// concurrently, with a store that loses responses. Each operator increments its own label and
// repeats a change after a conflict. In the history of the back end, every label must only
// increase, and only by one.
func TestConcurrentOperatorsLoseNoChange(t *testing.T) {
	const operators, changes = 4, 25
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	server, url := startStore(t)
	watcher := newOperator(t, url, "watch", nil)
	_, err := watcher.CreateBackend(ctx, webBackend(1))
	is.NoErr(err)
	batches := watcher.client.Watch(ctx, catalog.BackendPrefix, 0)
	server.SetFaults(storesim.Faults{LostResponses: 200})
	var group sync.WaitGroup
	for number := range operators {
		operator := newOperator(t, url, fmt.Sprintf("op%d", number), nil)
		group.Go(func() {
			for value := 1; value <= changes; value++ {
				label := fmt.Sprintf("op%d=%d", number, value)
				_, err := operator.Label(ctx, "web-1", []string{label})
				for errors.Is(err, store.ErrConflict) {
					_, err = operator.Label(ctx, "web-1", []string{label})
				}
				if err != nil {
					t.Errorf("%s: %v", label, err)
				}
			}
		})
	}
	lastValues := map[string]int{}
	finished := 0
	for finished < operators && !t.Failed() {
		batch, open := <-batches
		if !open {
			t.Fatalf("watch ended; labels so far: %v", lastValues)
		}
		for _, event := range batch.Events {
			backend, err := catalog.DecodeBackend(event.KeyValue.Key, event.KeyValue.Value)
			is.NoErr(err)
			finished = 0
			for number := range operators {
				name := fmt.Sprintf("op%d", number)
				value := 0
				_, _ = fmt.Sscan(backend.Labels[name], &value)
				if value < lastValues[name] || value > lastValues[name]+1 {
					t.Errorf("%s changed from %d to %d", name, lastValues[name], value)
				}
				lastValues[name] = value
				if value == changes {
					finished++
				}
			}
		}
	}
	group.Wait()
}
