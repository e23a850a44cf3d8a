package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// refuse answers the caller at once, with a verdict and the time to come back.
func (current *turn) refuse(verdict lb.Verdict, reason Reason) {
	current.decision.refuse(reason, lb.Refusal{Verdict: verdict, RetryAfter: current.retryAfter()})
}

// retryAfter is when the caller should come back.
func (current *turn) retryAfter() time.Duration {
	return spreadRetry(current.core.settings.RetryAfter, current.flow, current.packet.OpeningID)
}

// refusalReason says why a tail that refuses does so, as far as it can tell:
// proposals carry no reason.
func (current *turn) refusalReason() Reason {
	if !current.takesNewFlows(current.service.table.Current(current.index)) {
		return ReasonNoBackend
	}
	return ReasonAdmission
}
