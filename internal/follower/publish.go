package follower

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/view"
)

// The designated watcher writes a snapshot of the view to the store from time to time. Nodes that
// start read this small value instead of listing all entries: after a power failure of a whole
// site, hundreds of listings would saturate the store's link.

// Publication is a snapshot to be written to the store.
type Publication struct {
	Snapshot *view.Snapshot
	// Timeout bounds the time until the store answers.
	Timeout time.Duration
}

// PublishResult is the result of writing a snapshot.
type PublishResult struct {
	Publication Publication
	Failure     Failure
	// Revision is the store's revision of the write if it succeeded.
	Revision int64
	Requests int
}

// Publisher writes snapshots to the platform's store.
type Publisher interface {
	Publish(ctx context.Context, publication Publication) PublishResult
}

// Store is the interface of the platform's store that a node needs.
type Store interface {
	Source
	Publisher
}

// publishInterval is the minimum time between two snapshots. Peers and watches deliver a change
// sooner than this anyway, and each write has a cost.
const publishInterval = 5 * time.Second

// duePublication returns the snapshot that is to be written now, or nil.
func (core *Core) duePublication() *Publication {
	due := core.active && !core.publishPending && core.now >= core.nextPublish
	if !due || !core.replica.Configured() || core.replica.MinCurrentRevision() <= core.publishedRevision {
		return nil
	}
	core.publishPending = true
	core.nextPublish = core.now + publishInterval
	return &Publication{Snapshot: core.replica.Snapshot(core.now), Timeout: core.settings.CallTimeout}
}

// finishPublication processes the result of a write. A write whose answer was lost may have
// succeeded; it is repeated.
func (core *Core) finishPublication(result *PublishResult) {
	core.publishPending = false
	revision := result.Publication.Snapshot.View.Revision
	if result.Failure == FailureConflict {
		core.publishedRevision = revision // another node has written a snapshot that is at least as new
	}
	if result.Failure != FailureNone {
		return
	}
	core.publishedRevision = revision
	if result.Revision == revision+1 && revision == core.replica.Revision() {
		core.replica.Advance(result.Revision) // the write was the only change since then
	}
}
