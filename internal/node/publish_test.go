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

func TestOnlyTheLatestReportIsWritten(t *testing.T) {
	is := is.New(t)
	queue := newStoreQueue()
	older, newer := &catalog.ZoneStatus{ConfigRevision: 1}, &catalog.ZoneStatus{ConfigRevision: 2}
	queue.add(storeWork{status: older})
	queue.add(storeWork{read: "wallet"})
	queue.add(storeWork{status: newer})
	taken := queue.take()
	is.Equal(len(taken), 2)
	is.Equal(taken[0].read, lb.ServiceName("wallet"))
	is.Equal(taken[1].status, newer)
	queue.repeat(older) // could not be written, but there is a newer one
	is.Equal(len(queue.take()), 0)
	queue.repeat(newer)
	is.Equal(len(queue.take()), 1)
	is.True(queue.isLatest(newer))
	is.True(!queue.isLatest(older))
}

func TestWriteOutcome(t *testing.T) {
	is := is.New(t)
	is.Equal(writeOutcome(nil), controller.WriteDone)
	is.Equal(writeOutcome(&store.Error{Verdict: lb.NotRun, Cause: store.ErrConflict}), controller.WriteConflict)
	is.Equal(writeOutcome(&store.Error{Verdict: lb.NotRun, Cause: store.ErrUnavailable}), controller.WriteNotRun)
	is.Equal(writeOutcome(&store.Error{Verdict: lb.MayHaveRun, Cause: store.ErrUnavailable}), controller.WriteUnknown)
	is.Equal(writeOutcome(errors.New("other")), controller.WriteUnknown)
}
