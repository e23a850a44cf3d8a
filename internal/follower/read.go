package follower

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/view"
)

// Source carries out calls to the platform's store. Read returns when the call
// has ended, at the latest a few seconds after it began, or when ctx has ended.
type Source interface {
	Read(ctx context.Context, read Read) ReadResult
}

// startRead starts a call if one is due.
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

// dueRead gives the call that is due, or nil.
func (core *Core) dueRead() *Read {
	if core.replica.Revision() == 0 || core.needsListing {
		return core.fullRead()
	}
	reason, due := core.readReason()
	if !due {
		return nil
	}
	wait := minWatchWait
	if reason == ReasonReader {
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

// fullRead is a call for everything: at the start for a snapshot that the reader
// has left, or else for all entries. An answer that is seconds old will do then:
// a peer or a watch from its revision confirms it. One older than a view that
// cannot go on would be of no use.
func (core *Core) fullRead() *Read {
	read := &Read{Kind: ReadList, Reason: ReasonStart, Timeout: core.settings.CallTimeout, Pause: core.settings.CallTimeout}
	if core.needsListing {
		read.Reason = ReasonHistoryGone
		return read
	}
	read.Stale = true
	if !core.noSnapshot {
		read.Kind = ReadSnapshot
	}
	return read
}

// watchMarginDivisor is the part of the others' patience, one in so many, that is
// left when a watch ends.
const watchMarginDivisor = 6

// minWatchWait is the wait of a watch that is to confirm the view at once, before others lose patience, too.
const minWatchWait = 20 * time.Millisecond

// watchWait is how long a watch may wait, so that its end confirms the view
// before the other nodes lose patience and read too.
func (core *Core) watchWait() time.Duration {
	left := core.settings.TakeoverAge - core.age() - core.settings.TakeoverAge/watchMarginDivisor
	return max(minWatchWait, min(core.settings.WatchWait, left))
}

// finishRead takes the end of a call.
func (core *Core) finishRead(result *ReadResult, effects *Effects) {
	core.readPending = false
	if result.Failure != FailureNone {
		core.handleFailure(result, effects)
		return
	}
	core.failures = 0
	core.nextRead = core.now
	before := core.replica.Revision()
	changed := core.apply(result)
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
	if changed || before == core.replica.Revision() {
		core.nextRead = core.now + core.settings.ChangeInterval
	}
	if changed {
		core.recordChange(effects, sourceStore)
		core.pushDelta(before, effects)
		return
	}
	core.sendDigest(effects) // at once, before others lose patience
}

// apply takes what a call gave, and tells whether anything changed.
func (core *Core) apply(result *ReadResult) bool {
	core.setReplicaAge()
	core.assembly = view.Assembly{} // its parts were asked for after an older revision
	if result.Snapshot != nil {
		return core.replica.ApplySnapshot(core.now, result.Snapshot)
	}
	if result.Listing != nil {
		core.needsListing = false
		return core.replica.ApplyListing(core.now, result.Listing)
	}
	return core.replica.ApplyChanges(core.now, result.Changes)
}

// verificationTime is when the view was the newest by a call: a watch tells what there
// is when it ends, a listing what there was at its first page.
func (core *Core) verificationTime(result *ReadResult) time.Duration {
	if result.Listing != nil {
		return core.readAt
	}
	return core.now
}

// handleFailure waits before the next call, the longer the more have failed. Where the
// history is gone the store answers all the same: who has asked because nobody else did
// lists for the others, and says so at once, since that may take seconds.
func (core *Core) handleFailure(result *ReadResult, effects *Effects) {
	failure := result.Failure
	if failure == FailureCompacted {
		core.needsListing = true
		core.nextRead = core.now
		core.takeOver(result.Read.Reason, core.settings.SilenceTimeout)
		if core.sendsDigests() {
			core.sendDigest(effects)
		}
		return
	}
	if failure == FailureMissing {
		core.handleMissingSnapshot()
		return
	}
	core.failures++
	core.nextRead = core.now + core.backoff(failure)
	core.stepDown(effects)
}

// backoff doubles from BackoffBase to BackoffLimit, with jitter of half to
// one and a half. A throttled node begins where others end. Where the first of
// a zone is heard, which tries often, the others together make a try each LateStep.
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
