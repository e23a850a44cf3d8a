package operator

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
)

const testFreshFor = time.Minute

// putDocument writes a document without validation, as a node would.
func putDocument(t *testing.T, operator *Operator, key string, document any) {
	t.Helper()
	value, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	read, err := operator.client.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.client.CompareAndSwap(t.Context(), &read, value, operator.newID(), 0); err != nil {
		t.Fatal(err)
	}
}

func putZoneStatus(t *testing.T, operator *Operator, zone lb.Zone, revision int64, age time.Duration) {
	t.Helper()
	putDocument(t, operator, catalog.StatusKey(zone), catalog.ZoneStatus{
		Zone: zone, ConfigRevision: revision, Nodes: 3, NodesBehind: 1, UnixMillis: time.Now().Add(-age).UnixMilli(),
	})
}

// waitUntilListed calls Wait and cancels it as soon as it has read the listing of the reports, when
// it opens the watch stream.
func waitUntilListed(t *testing.T, url string, revision int64) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	waiting := newOperatorWithTransport(t, url, "wait", &beforeRequest{path: "/v3/watch", run: cancel})
	_, err := waiting.Wait(ctx, revision, testFreshFor)
	return err
}

func TestWaitReturnsWhenRevisionIsInForceInEveryFreshZone(t *testing.T) {
	is := is.New(t)
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	change, err := ana.CreateBackend(t.Context(), webBackend(1))
	is.NoErr(err)
	putZoneStatus(t, ana, "a", change.Revision, 0)
	putZoneStatus(t, ana, "b", change.Revision-1, 0)
	putZoneStatus(t, ana, "c", change.Revision-1, time.Hour)

	err = waitUntilListed(t, url, change.Revision)
	var timeout *WaitTimeoutError
	is.True(errors.As(err, &timeout))
	is.True(errors.Is(err, ErrWaitTimeout))
	is.Equal(len(timeout.Missing), 1)
	is.Equal(timeout.Missing[0].Zone, lb.Zone("b"))
	is.Equal(timeout.Stale, []lb.Zone{"c"})

	results := make(chan *WaitResult)
	go func() {
		result, err := ana.Wait(t.Context(), change.Revision, testFreshFor)
		if err != nil {
			t.Error(err)
		}
		results <- result
	}()
	putZoneStatus(t, ana, "b", change.Revision, 0)
	result := <-results
	is.Equal(result.Zones, []lb.Zone{"a", "b"})
	is.Equal(result.Stale, []lb.Zone{"c"})
}

func TestWaitRequiresAFreshZone(t *testing.T) {
	is := is.New(t)
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	putZoneStatus(t, ana, "a", 100, time.Hour)
	is.True(errors.Is(waitUntilListed(t, url, 1), ErrWaitTimeout))
}

func TestLastChangeIncludesDeletionsAndBackends(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	service, err := ana.CreateService(ctx, walletService(443))
	is.NoErr(err)
	backend, err := ana.CreateBackend(ctx, webBackend(1))
	is.NoErr(err)
	other := webBackend(2)
	other.Labels = map[string]string{"app": "other"}
	_, err = ana.CreateBackend(ctx, other)
	is.NoErr(err)
	lastChange, err := ana.LastChangeOf(ctx, "wallet")
	is.NoErr(err)
	is.Equal(lastChange, backend.Revision)
	is.True(lastChange > service.Revision)
	deleted, err := ana.DeleteBackend(ctx, "web-2")
	is.NoErr(err)
	last, err := ana.LastChange(ctx)
	is.NoErr(err)
	is.Equal(last, deleted.Revision)
}

func TestStatusReportsZonesPhasesAndInvalidDocuments(t *testing.T) {
	is := is.New(t)
	_, url := startStore(t)
	ana := newOperator(t, url, "ana@a", nil)
	_, err := ana.CreateService(t.Context(), walletService(443))
	is.NoErr(err)
	_, err = ana.CreateBackend(t.Context(), webBackend(1))
	is.NoErr(err)
	putZoneStatus(t, ana, "a", 2, time.Hour)
	putDocument(t, ana, catalog.BackendKey("bad"), struct{}{})
	two := []lb.Generation{{Version: 1}, {Version: 2}}
	for _, placement := range []lb.Placement{
		{Service: "preparing", Generations: two, Current: 0},
		{Service: "moving", Generations: two, Current: 1},
		{Service: "clearing", Generations: two[:1], History: []byte{0, 3}},
		{Service: "steady", Generations: two[:1], Backends: []lb.PlacedBackend{{Name: "web-1", State: lb.BackendDraining}}},
		{Service: "deleted", Deleted: true},
	} {
		putDocument(t, ana, catalog.PlacementKey(placement.Service), placement)
	}
	status, err := ana.Status(t.Context(), testFreshFor)
	is.NoErr(err)
	phases := map[lb.ServiceName]Phase{}
	for _, service := range status.Services {
		phases[service.Name] = service.Phase
	}
	is.Equal(phases, map[lb.ServiceName]Phase{
		"wallet": PhaseUnplaced, "preparing": PhasePreparing, "moving": PhaseMoving,
		"clearing": PhaseClearing, "steady": PhaseSteady, "deleted": PhaseDeleted,
	})
	is.Equal(len(status.Zones), 1)
	is.True(!status.Zones[0].Fresh)
	is.Equal(len(status.Problems), 1)
	is.Equal(status.Problems[0].Key, catalog.BackendKey("bad"))
}
