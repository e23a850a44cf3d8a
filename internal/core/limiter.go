package core

import "time"

// limiter is a token bucket in integers: no rounding differs between runs.
type limiter struct {
	perSecond int64
	capacity  int64 // in millionths of a token
	tokens    int64 // in millionths of a token
	updated   time.Duration
}

// millionths of a token make one.
const millionths = int64(time.Second / time.Microsecond)

// newLimiter gives a full bucket of burst tokens that fills at perSecond, at
// most 2^43 of them.
func newLimiter(perSecond, burst int64) limiter {
	capacity := burst * millionths
	return limiter{perSecond: perSecond, capacity: capacity, tokens: capacity}
}

// refill adds the tokens of the time since the last call, at most one second.
func (limit *limiter) refill(now time.Duration) {
	elapsed := (now - limit.updated).Truncate(time.Microsecond)
	if elapsed <= 0 {
		return
	}
	limit.updated += elapsed
	added := min(elapsed, time.Second).Microseconds() * limit.perSecond
	limit.tokens = min(limit.capacity, limit.tokens+added)
}

// take takes count tokens if there are as many.
func (limit *limiter) take(now time.Duration, count int64) bool {
	limit.refill(now)
	if limit.tokens < count*millionths {
		return false
	}
	limit.tokens -= count * millionths
	return true
}
