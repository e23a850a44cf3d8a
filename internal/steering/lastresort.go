package steering

import (
	"time"

	"robinpulley.example/robinpulley/internal/view"
)

// lastResortTimeout is the maximum time after a balancer has learned of a deletion for which the
// back end may serve as a last resort: if it is alive, it has registered again by then, unless it
// leaves.
const lastResortTimeout = 1500 * time.Millisecond

// leaveMarginDivisor defines the fraction of LeaveLimit, one in leaveMarginDivisor, that is left for
// an opening to reach the back end, and for the time that messages about the view were in transit.
const leaveMarginDivisor = 10

// lastResortEnd returns until when a back end that was deleted without a drain may serve as a last
// resort. LeaveLimit counts from the deletion, which may have happened at any time after
// DeletedAfter: a balancer that learned of it late has less time left, or none. The exception is an
// outage of the store that lasted longer than the limit: entries lapse in it without the back end's
// doing, and nobody could learn of that before DeletedAt.
func (s *Settings) lastResortEnd(known *view.KnownBackend) time.Duration {
	end := known.DeletedAt + lastResortTimeout
	if known.DeletedDuringOutage && known.DeletedAt-known.DeletedAfter >= s.LeaveLimit {
		return end
	}
	return min(end, known.DeletedAfter+s.LeaveLimit-s.LeaveLimit/leaveMarginDivisor)
}
