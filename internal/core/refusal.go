package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// refuse answers the caller at once, with a verdict and the time to come back.
func (current *turn) refuse(verdict lb.Verdict, reason Reason) {
	current.decision.Action = ActionRefuse
	current.decision.Reason = reason
	current.decision.Refusal = lb.Refusal{Verdict: verdict, RetryAfter: current.retryAfter()}
}

// retryAfter spreads callers evenly over [RetryAfter, 2 × RetryAfter) by the
// hash of their flow and opening, so that they do not all come back together.
func (current *turn) retryAfter() time.Duration {
	base := current.core.settings.RetryAfter
	const steps = 1 << 16
	spread := (uint64(current.flow) ^ uint64(current.packet.OpeningID)*0x9e3779b97f4a7c15) >> 13 % steps
	return base + base*time.Duration(spread)/steps
}

// refusalReason says why a tail that refuses does so, as far as it can tell:
// proposals carry no reason.
func (current *turn) refusalReason() Reason {
	if !current.takesNewFlows(current.service.table.Current(current.index)) {
		return ReasonNoBackend
	}
	return ReasonAdmission
}
