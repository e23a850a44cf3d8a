package follower

import "time"

// pause is a time during which the process did not run. Messages and answers that arrived in it
// waited in its sockets, so that times which they state relative to now are too late by an unknown
// part of the pause.
type pause struct{ start, end time.Duration }

// minPause is the time between two steps from which on the process is taken to have been paused.
const minPause = 3 * TickInterval

// detectPause compares the time of a step with that of the step before. Pauses without a verified
// view between them count as one.
func (core *Core) detectPause(now time.Duration) {
	if !core.started || now-core.now < minPause {
		return
	}
	if core.verifiedAt >= core.pause.end {
		core.pause.start = core.now
	}
	core.pause.end = now
}

// runningAge returns the age of the view without the last pause.
func (core *Core) runningAge() time.Duration {
	if core.verifiedAt >= core.pause.end {
		return core.age()
	}
	return core.age() - (core.pause.end - max(core.pause.start, core.verifiedAt))
}

// mayHaveWaited reports whether a message that is received now may have waited during a pause.
func (core *Core) mayHaveWaited() bool {
	return core.pause.end > 0 && core.now-core.pause.end < TickInterval
}

// timeBefore returns the time that a message received now states as an age in milliseconds. The
// result is the earliest possible time.
func (core *Core) timeBefore(ageMillis int64) time.Duration {
	received := core.now
	if core.mayHaveWaited() {
		received = core.pause.start
	}
	return received - time.Duration(ageMillis)*time.Millisecond
}
