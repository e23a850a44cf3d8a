package follower

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/view"
)

// The reader leaves a snapshot of the view in the store now and then. Nodes
// that start take it in one small answer, in place of a listing of all entries:
// after a loss of all power hundreds of listings would fill the store's link.

// Publication is a snapshot to be left in the store.
type Publication struct {
	Snapshot *view.Snapshot
	// Timeout bounds the time until the store answers.
	Timeout time.Duration
}

// PublishResult is how the writing of a snapshot ended.
type PublishResult struct {
	Publication Publication
	Failure     Failure
	// Revision is the store's revision of the write, if there is no failure.
	Revision int64
	Requests int
}

// Publisher leaves snapshots in the platform's store.
type Publisher interface {
	Publish(ctx context.Context, publication Publication) PublishResult
}

// Store is what a node needs of the platform's store.
type Store interface {
	Source
	Publisher
}

// publishInterval is the shortest time between two snapshots: a change is told
// by a peer or a watch sooner than that, and each write has a price.
const publishInterval = 5 * time.Second

// duePublication gives the snapshot that is to be written now, or nil.
func (core *Core) duePublication() *Publication {
	due := core.active && !core.publishPending && core.now >= core.nextPublish
	if !due || !core.replica.Configured() || core.replica.MinCurrentRevision() <= core.publishedRevision {
		return nil
	}
	core.publishPending = true
	core.nextPublish = core.now + publishInterval
	return &Publication{Snapshot: core.replica.Snapshot(core.now), Timeout: core.settings.CallTimeout}
}

// finishPublication takes the end of a write. One that was lost may have been
// done, and is done again.
func (core *Core) finishPublication(result *PublishResult) {
	core.publishPending = false
	revision := result.Publication.Snapshot.View.Revision
	if result.Failure == FailureConflict {
		core.publishedRevision = revision // another node has left one as new as that
	}
	if result.Failure != FailureNone {
		return
	}
	core.publishedRevision = revision
	if result.Revision == revision+1 && revision == core.replica.Revision() {
		core.replica.Advance(result.Revision) // nothing but the write has happened since
	}
}
