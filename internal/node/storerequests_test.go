package node

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/store"
)

func TestOnlyLatestZoneStatusIsWritten(t *testing.T) {
	is := is.New(t)
	queue := newStoreRequestQueue()
	older, newer := &catalog.ZoneStatus{ConfigRevision: 1}, &catalog.ZoneStatus{ConfigRevision: 2}
	queue.add(storeRequest{status: older})
	queue.add(storeRequest{read: "wallet"})
	queue.add(storeRequest{status: newer})
	requests := queue.takeAll()
	is.Equal(len(requests), 2)
	is.Equal(requests[0].read, lb.ServiceName("wallet"))
	is.Equal(requests[1].status, newer)
	queue.requeueStatus(older) // is dropped, because there is a later status
	is.Equal(len(queue.takeAll()), 0)
	queue.requeueStatus(newer)
	is.Equal(len(queue.takeAll()), 1)
	is.True(queue.isLatestStatus(newer))
	is.True(!queue.isLatestStatus(older))
}

func TestWriteOutcome(t *testing.T) {
	is := is.New(t)
	is.Equal(writeOutcome(nil), controller.WriteDone)
	is.Equal(writeOutcome(&store.Error{Verdict: lb.NotRun, Cause: store.ErrConflict}), controller.WriteConflict)
	is.Equal(writeOutcome(&store.Error{Verdict: lb.NotRun, Cause: store.ErrUnavailable}), controller.WriteNotSent)
	is.Equal(writeOutcome(&store.Error{Verdict: lb.MayHaveRun, Cause: store.ErrUnavailable}), controller.WriteUnknown)
	is.Equal(writeOutcome(errors.New("other")), controller.WriteUnknown)
}
