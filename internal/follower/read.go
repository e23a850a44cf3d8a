package follower

import (
	"context"
	"time"
)

// Source carries out calls to the platform's store. Read returns when the call
// has ended, at the latest a few seconds after it began, or when ctx has ended.
type Source interface {
	Read(ctx context.Context, read Read) ReadResult
}

// startRead starts a call if one is due.
func (core *Core) startRead(effects *Effects) {
	if core.reading || core.now < core.nextRead {
		return
	}
	read := core.dueRead()
	if read == nil {
		return
	}
	core.reading = true
	effects.Read = read
}

// dueRead gives the call that is due, or nil.
func (core *Core) dueRead() *Read {
	if core.replica.Revision() == 0 || core.relist {
		reason := ReasonStart
		if core.relist {
			reason = ReasonHistoryGone
		}
		return &Read{Kind: ReadList, Reason: reason, Timeout: core.settings.CallTimeout, Pause: core.settings.CallTimeout}
	}
	reason, due := core.reasonToRead()
	if !due {
		return nil
	}
	wait := core.watchWait()
	return &Read{
		Kind:    ReadWatch,
		Reason:  reason,
		After:   core.replica.Revision(),
		Wait:    wait,
		Timeout: wait + core.settings.CallTimeout,
		Pause:   core.settings.CallTimeout,
	}
}

// confirmParts is the part of the others' patience, one in so many, that is
// left when a watch ends.
const confirmParts = 6

// shortestWait is the wait of a watch that is to confirm the view at once.
const shortestWait = 20 * time.Millisecond

// watchWait is how long a watch may wait, so that its end confirms the view
// before the other nodes lose patience and read too.
func (core *Core) watchWait() time.Duration {
	left := core.settings.Patience - core.age() - core.settings.Patience/confirmParts
	return max(shortestWait, min(core.settings.WatchWait, left))
}

// reasonToRead tells why this node is to read by itself, if it is: it is the
// first of its zone, or its view has not been confirmed in time.
func (core *Core) reasonToRead() (reason Reason, due bool) {
	rank := core.rank
	if core.now-core.startAt < core.settings.SettleTime {
		rank = max(rank, 1)
	}
	if rank == 0 {
		return ReasonReader, true
	}
	if !core.confirmed {
		return ReasonUnconfirmed, true
	}
	extra := time.Duration(rank-1) * core.settings.PatienceStep
	if core.age() >= min(core.settings.Patience+extra, core.settings.PatienceLimit) {
		return ReasonPatience, true
	}
	silence := core.settings.SilenceLimit + extra
	return ReasonSilence, core.now-core.heardAt >= silence && core.age() >= silence
}

// finishRead takes the end of a call.
func (core *Core) finishRead(result *ReadResult, effects *Effects) {
	core.reading = false
	if result.Failure != FailureNone {
		core.noteFailure(result.Failure)
		return
	}
	core.failures = 0
	core.readAt = core.now
	core.hasRead = true
	core.nextRead = core.now
	before := core.replica.Revision()
	changed := core.apply(result)
	core.confirm(core.now)
	if changed || before == core.replica.Revision() {
		core.nextRead = core.now + core.settings.ChangeInterval
	}
	if changed {
		core.noteChange(effects, sourceStore)
		core.push(before, effects)
		return
	}
	if core.rank == 0 {
		core.sendDigest(effects) // at once, before others lose patience
	}
}

// apply takes what a call gave, and tells whether anything changed.
func (core *Core) apply(result *ReadResult) bool {
	core.noteAge()
	if result.Listing != nil {
		core.relist = false
		return core.replica.ApplyListing(core.now, result.Listing)
	}
	return core.replica.ApplyChanges(core.now, result.Changes)
}

// noteFailure waits before the next call, the longer the more have failed.
func (core *Core) noteFailure(failure Failure) {
	if failure == FailureCompacted {
		core.relist = true
		core.nextRead = core.now
		return
	}
	core.failures++
	core.nextRead = core.now + core.backoff(failure)
}

// backoff doubles from BackoffBase to BackoffLimit, with jitter of half to
// one and a half. A throttled node begins where others end.
func (core *Core) backoff(failure Failure) time.Duration {
	wait := core.settings.BackoffLimit
	if failure != FailureThrottled && failure != FailureRejected {
		const maxDoublings = 8
		wait = min(wait, core.settings.BackoffBase<<min(core.failures-1, maxDoublings))
	}
	return wait/2 + time.Duration(core.random.Int64N(int64(wait)))
}
