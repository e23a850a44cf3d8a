package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// openingTokens is the number of tokens that one new flow takes: a head's share
// of a small limit is a fraction of a flow a second.
const openingTokens = 1000

// admit tells whether the head may let one more new flow in. A head's limit is
// the service's limit times its share of the buckets, so that all heads
// together keep the limit without talking. Up to one second's worth, and at
// least one flow, may come at once.
func (core *Core) admit(service *service) bool {
	limit := int64(service.table.Document().OpensPerSecond)
	if limit == 0 {
		return true
	}
	rate := limit * openingTokens * int64(core.headed(service)) / lb.BucketCount
	if rate != service.admissionRate {
		service.admission = resized(service.admission, rate, core.now, service.admissionRate == 0)
		service.admissionRate = rate
	}
	return service.admission.take(core.now, openingTokens)
}

// resized gives a limiter of another rate that holds no more tokens than
// before, unless it is the first.
func resized(previous limiter, perSecond int64, now time.Duration, first bool) limiter {
	next := newLimiter(perSecond, max(openingTokens, perSecond))
	next.updated = now
	if !first {
		previous.refill(now)
		next.tokens = min(next.capacity, previous.tokens)
	}
	return next
}
