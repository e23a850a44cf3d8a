package core

import "time"

// limiter is a token bucket. It uses integers, so that results do not depend on rounding.
type limiter struct {
	perSecond int64
	capacity  int64 // in microtokens
	tokens    int64 // in microtokens
	updated   time.Duration
}

// microTokensPerToken is the number of microtokens in a token.
const microTokensPerToken = int64(time.Second / time.Microsecond)

// newLimiter returns a full bucket of burst tokens that refills at perSecond tokens per second.
// Neither may exceed 2^43.
func newLimiter(perSecond, burst int64) limiter {
	capacity := burst * microTokensPerToken
	return limiter{perSecond: perSecond, capacity: capacity, tokens: capacity}
}

// refill adds the tokens for the time since the last call, at most one second's worth.
func (limit *limiter) refill(now time.Duration) {
	elapsed := (now - limit.updated).Truncate(time.Microsecond)
	if elapsed <= 0 {
		return
	}
	limit.updated += elapsed
	added := min(elapsed, time.Second).Microseconds() * limit.perSecond
	limit.tokens = min(limit.capacity, limit.tokens+added)
}

// take removes count tokens and reports whether there were enough.
func (limit *limiter) take(now time.Duration, count int64) bool {
	limit.refill(now)
	if limit.tokens < count*microTokensPerToken {
		return false
	}
	limit.tokens -= count * microTokensPerToken
	return true
}
