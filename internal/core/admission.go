package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// admit tells whether the head may let one more new flow in. A head's limit is
// the service's limit times its share of the buckets, so that all heads
// together keep the limit without talking.
func (core *Core) admit(service *service) bool {
	limit := service.table.Document().OpensPerSecond
	if limit == 0 {
		return true
	}
	share := int(limit) * service.headed / lb.BucketCount
	share = max(share, 1)
	if share != service.admissionRate {
		service.admission = resized(service.admission, share, core.now, service.admissionRate == 0)
		service.admissionRate = share
	}
	return service.admission.take(core.now, 1)
}

// resized gives a limiter of another rate that holds no more tokens than
// before, unless it is the first.
func resized(previous limiter, perSecond int, now time.Duration, first bool) limiter {
	next := newLimiter(perSecond, perSecond)
	next.updated = now
	if !first {
		previous.refill(now)
		next.tokens = min(next.capacity, previous.tokens)
	}
	return next
}
