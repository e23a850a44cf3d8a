package lb

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Objective is the service level objective that operators set for the requests of a front end. The
// zero value sets none.
type Objective struct {
	// Priority orders requests when not all can be served: lower values are served first.
	Priority uint16 `json:"priority,omitempty"`
	// TargetMillis is the target response time in milliseconds; 0: none is set.
	TargetMillis uint32 `json:"target_ms,omitempty"`
}

// MaxTargetMillis is the maximum target, a day. A longer target is considered a mistake.
const MaxTargetMillis = 24 * 60 * 60 * 1000

// Target returns the target as a duration; 0: none is set.
func (o Objective) Target() time.Duration { return time.Duration(o.TargetMillis) * time.Millisecond }

// Validate returns an error that names the first invalid value, or nil.
func (o Objective) Validate() error {
	if o.TargetMillis > MaxTargetMillis {
		return errors.Newf("target_ms %d: must be at most %d", o.TargetMillis, MaxTargetMillis)
	}
	return nil
}
