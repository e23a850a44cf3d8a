package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// tokensPerFlow is the number of limiter tokens per new flow. It is above one because a head's part
// of a small limit is a fraction of a flow per second.
const tokensPerFlow = 1000

// admit reports whether the head may admit one more new flow. A head's limit is the service's limit
// multiplied by its fraction of the buckets, so that all heads together enforce the limit without
// coordination. The burst size is one second's worth of flows, but at least one flow.
func (core *Core) admit(service *service) bool {
	limit := int64(service.table.Document().OpensPerSecond)
	if limit == 0 {
		return true
	}
	rate := limit * tokensPerFlow * int64(core.headedBuckets(service)) / lb.BucketCount
	if rate != service.admissionRate {
		service.admission = withRate(service.admission, rate, core.now, service.admissionRate == 0)
		service.admissionRate = rate
	}
	return service.admission.take(core.now, tokensPerFlow)
}

// withRate returns a limiter with another rate and no more tokens than the previous one. The first
// limiter starts full.
func withRate(previous limiter, perSecond int64, now time.Duration, first bool) limiter {
	next := newLimiter(perSecond, max(tokensPerFlow, perSecond))
	next.updated = now
	if !first {
		previous.refill(now)
		next.tokens = min(next.capacity, previous.tokens)
	}
	return next
}
