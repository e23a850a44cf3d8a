package core

import "time"

// limiter is a token bucket in integers: no rounding differs between runs.
type limiter struct {
	perSecond int64
	capacity  int64 // in nano-tokens
	tokens    int64 // in nano-tokens
	updated   time.Duration
}

const nano = int64(time.Second)

// newLimiter gives a full bucket of burst tokens that fills at perSecond.
func newLimiter(perSecond, burst int) limiter {
	capacity := int64(burst) * nano
	return limiter{perSecond: int64(perSecond), capacity: capacity, tokens: capacity}
}

// refill adds the tokens of the time since the last call.
func (limit *limiter) refill(now time.Duration) {
	elapsed := min(now-limit.updated, time.Second)
	limit.updated = now
	if elapsed <= 0 {
		return
	}
	// At most one second: longer gaps fill no bucket of one second's burst further.
	limit.tokens = min(limit.capacity, limit.tokens+int64(elapsed)*limit.perSecond)
}

// take takes count tokens if there are as many.
func (limit *limiter) take(now time.Duration, count int) bool {
	limit.refill(now)
	if limit.tokens < int64(count)*nano {
		return false
	}
	limit.tokens -= int64(count) * nano
	return true
}
