package follower

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/view"
)

// Source carries out reads of the platform's store. Read returns when the read has ended, which is
// at most a few seconds after its start, or when ctx is done.
type Source interface {
	Read(ctx context.Context, read Read) ReadResult
}

// startRead starts a read if one is due.
func (core *Core) startRead(effects *Effects) {
	if core.readPending || core.now < core.nextRead {
		return
	}
	read := core.dueRead()
	if read == nil {
		return
	}
	core.readPending = true
	core.readAt = core.now
	effects.Read = read
}

// dueRead returns the read that is due, or nil.
func (core *Core) dueRead() *Read {
	if core.replica.Revision() == 0 || core.listingReason != "" {
		return core.fullRead()
	}
	reason, due := core.readReason()
	if !due {
		return nil
	}
	wait := minWatchWait
	if reason == ReasonWatcher {
		wait = core.watchWait()
	}
	return &Read{
		Kind:    ReadWatch,
		Reason:  reason,
		After:   core.replica.Revision(),
		Wait:    wait,
		Timeout: wait + core.settings.CallTimeout,
		Pause:   core.settings.CallTimeout,
	}
}

// fullRead returns a read of the whole state. At the start, this is the snapshot that the
// designated watcher has written, or else a listing of all entries. The answer may be several
// seconds old, because a peer or a watch from its revision supplies the later changes. If no watch
// can continue from the present view, only a current listing is useful, because a stale one may be
// older than the view.
func (core *Core) fullRead() *Read {
	read := &Read{Kind: ReadList, Reason: ReasonStart, Timeout: core.settings.CallTimeout, Pause: core.settings.CallTimeout}
	if core.listingReason != "" {
		read.Reason = core.listingReason
		return read
	}
	read.Stale = true
	if !core.noSnapshot {
		read.Kind = ReadSnapshot
	}
	return read
}

// watchMarginDivisor defines the fraction of TakeoverAge, one in watchMarginDivisor, that is left
// when a watch ends.
const watchMarginDivisor = 6

// minWatchWait is the wait of a watch that should verify the view immediately, before other nodes
// start to read as well.
const minWatchWait = 20 * time.Millisecond

// watchWait returns how long a watch may wait for a change, so that its end verifies the view
// before other nodes start to read as well.
func (core *Core) watchWait() time.Duration {
	remaining := core.settings.TakeoverAge - core.age() - core.settings.TakeoverAge/watchMarginDivisor
	return max(minWatchWait, min(core.settings.WatchWait, remaining))
}

// finishRead processes the result of a read.
func (core *Core) finishRead(result *ReadResult, effects *Effects) {
	core.readPending = false
	if result.Failure != FailureNone {
		core.handleFailure(result, effects)
		return
	}
	core.failures = 0
	core.nextRead = core.now
	previousRevision := core.replica.Revision()
	changed := core.apply(result)
	if result.Snapshot != nil {
		effects.Contacts = result.Snapshot.Peers
	}
	if result.Read.Stale {
		if changed {
			core.recordChange(effects, sourceStore)
		}
		core.nextRequest = core.now
		core.requestView(effects)
		return
	}
	core.markVerified(core.verificationTime(result))
	core.takeOver(result.Read.Reason, core.settings.TakeoverAge)
	if changed || previousRevision == core.replica.Revision() {
		core.nextRead = core.now + core.settings.ChangeInterval
	}
	if changed {
		core.recordChange(effects, sourceStore)
		core.pushDelta(previousRevision, effects)
		return
	}
	core.sendDigest(effects) // without delay, before other nodes start to read
}

// apply applies the result of a read and reports whether anything changed.
func (core *Core) apply(result *ReadResult) bool {
	core.setReplicaContact(false)
	core.assembly = view.Assembly{} // its parts start at an older revision
	if result.Snapshot != nil {
		return core.replica.ApplySnapshot(core.now, result.Snapshot)
	}
	if result.Listing != nil {
		core.listingReason = ""
		return core.replica.ApplyListing(core.now, result.Listing)
	}
	return core.replica.ApplyChanges(core.now, result.Changes)
}

// verificationTime returns the time at which a read shows the view to be current: for a watch, this
// is its end, and for a listing, the request of its first page. If the process was paused during a
// watch, the answer may have waited since the start of the pause.
func (core *Core) verificationTime(result *ReadResult) time.Duration {
	if result.Listing != nil {
		return core.readAt
	}
	if core.readAt < core.pause.end {
		return max(core.readAt, core.pause.start)
	}
	return core.now
}

// handleFailure schedules the next read after a failure; the delay grows with the number of
// failures.
func (core *Core) handleFailure(result *ReadResult, effects *Effects) {
	failure := result.Failure
	switch {
	case failure == FailureCompacted:
		core.listInstead(ReasonCompacted, result, effects)
		return
	case failure == FailureTooLarge && result.Read.Kind == ReadWatch:
		// The same watch would get an answer that is at least as large.
		core.listInstead(ReasonTooLarge, result, effects)
		return
	case failure == FailureMissing:
		core.handleMissingSnapshot()
		return
	}
	core.failures++
	core.nextRead = core.now + core.backoff(failure)
	core.stepDown(effects)
}

// listInstead schedules a listing of all entries, because no watch can continue from the present
// view. The store does answer, so a node that read because nobody else did becomes the designated
// watcher. It publishes this before the listing, which may take seconds.
func (core *Core) listInstead(reason Reason, result *ReadResult, effects *Effects) {
	core.listingReason = reason
	core.nextRead = core.now
	core.takeOver(result.Read.Reason, core.settings.NoUpdateTimeout)
	if core.sendsDigests() {
		core.sendDigest(effects)
	}
}

// backoff returns the delay before the next read. It doubles from BackoffBase to BackoffLimit, with
// a random factor between a half and one and a half. A throttled node starts at the limit. A node
// that receives updates, and is not the first of its zone, waits longer: the first node retries
// often, and the others together make one attempt per SlowTakeoverStep.
func (core *Core) backoff(failure Failure) time.Duration {
	wait := core.settings.BackoffLimit
	if failure != FailureThrottled && failure != FailureRejected {
		const maxDoublings = 8
		wait = min(wait, core.settings.BackoffBase<<min(core.failures-1, maxDoublings))
	}
	if core.rank > 0 && core.receivesUpdates() {
		wait = max(wait, time.Duration(len(core.zoneNodes))*core.settings.SlowTakeoverStep)
	}
	return wait/2 + time.Duration(core.random.Int64N(int64(wait)))
}
