package follower

import (
	"context"
	"slices"
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
	if !core.active || core.publishPending || core.now < core.nextPublish || !core.replica.Configured() {
		return nil
	}
	if core.replica.MinCurrentRevision() <= core.publishedRevision && !core.contactsOutdated() {
		return nil
	}
	core.publishPending = true
	core.nextPublish = core.now + publishInterval
	snapshot := core.replica.Snapshot(core.now)
	snapshot.Peers = core.contacts()
	core.publishedContacts = snapshot.Peers
	return &Publication{Snapshot: snapshot, Timeout: core.settings.CallTimeout}
}

// contactsOutdated reports whether less than half of the nodes that a snapshot would name now
// are in the last one that this node wrote, so that nodes that start might find none of those in it.
func (core *Core) contactsOutdated() bool {
	if !core.peersChanged {
		return false
	}
	core.peersChanged = false
	present := core.contacts()
	kept := 0
	for _, contact := range present {
		if slices.Contains(core.publishedContacts, contact) {
			kept++
		}
	}
	return 2*kept < len(present)
}

// finishPublication processes the result of a write. A write whose answer was lost may have
// succeeded; it is repeated.
func (core *Core) finishPublication(result *PublishResult) {
	core.publishPending = false
	revision := result.Publication.Snapshot.View.Revision
	switch result.Failure {
	case FailureNone:
	case FailureConflict:
		core.publishedRevision = revision // another node has written a snapshot that is at least as new
		return
	default:
		core.peersChanged, core.publishedContacts = true, nil // they may not have been written
		return
	}
	core.publishedRevision = revision
	if result.Revision == revision+1 && revision == core.replica.Revision() {
		core.replica.Advance(result.Revision) // the write was the only change since then
	}
}
