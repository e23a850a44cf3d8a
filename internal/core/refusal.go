package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// refuse replies to the client at once with a verdict and a retry time.
func (handler *packetHandler) refuse(verdict lb.Verdict, reason Reason) {
	handler.decision.refuse(reason, lb.Refusal{Verdict: verdict, RetryAfter: handler.retryAfter()})
}

// retryAfter returns the time after which the client should retry.
func (handler *packetHandler) retryAfter() time.Duration {
	return jitteredRetryAfter(handler.core.settings.RetryAfter, handler.flow, handler.packet.OpeningID)
}

// refusalReason returns the probable reason of a refusal at the tail, since proposals carry no
// reason.
func (handler *packetHandler) refusalReason() Reason {
	if !handler.notFailed(handler.service.table.Current(handler.index)) {
		return ReasonNoBackend
	}
	return ReasonAdmission
}
