package tokennode

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/view"
)

// TestLateTickSendsNoOpeningToLapsedBackend guards against openings to back ends that have left
// while the tick is late that removes them from the table: an opening that arrives, and one that is
// held, must be decided by a table that is valid at that time.
func TestLateTickSendsNoOpeningToLapsedBackend(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	e := newEngineWithView(t, zerolog.Nop(), &now)
	removeAllBackends(e)
	decision := e.decide(openingPacket(1, testFrontend))
	is.Equal(decision.Action, core.ActionForward) // the last resort
	expires := e.table.Expires()
	is.True(expires > 0)
	now = expires
	decision = e.decide(openingPacket(2, testFrontend))
	is.Equal(decision.Action, core.ActionRefuse)
	is.Equal(decision.Reason, core.ReasonNoBackend)
}

// TestHeldOpeningsAreDecidedByValidTable checks the same for openings that wait in the admission
// queue.
func TestHeldOpeningsAreDecidedByValidTable(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	e := newEngineWithView(t, zerolog.Nop(), &now)
	removeAllBackends(e)
	now = e.table.Expires()
	e.stepQueue(&core.Event{RetryQueued: true})
	is.Equal(e.table.Expires(), time.Duration(0)) // compiled again, without the lapsed back ends
}

// removeAllBackends compiles the view of an engine after the entries of all back ends were deleted
// without a drain.
func removeAllBackends(e *engine) {
	replica := e.follower.Replica()
	changes := &view.Changes{Revision: replica.Revision()}
	for _, known := range replica.Backends() {
		changes.Revision++
		changes.Changes = append(changes.Changes, view.Change{Revision: changes.Revision, Deleted: known.Backend.Name})
	}
	replica.SetContact(view.Contact{CurrentAt: e.lastStep})
	replica.ApplyChanges(e.lastStep, changes)
	e.compile()
}
