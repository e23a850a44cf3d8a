package lb

import "github.com/cockroachdb/errors"

// ErrStoppedImmediately is the error that a balancer's Run returns if its context ends before the
// planned stop is complete.
var ErrStoppedImmediately = errors.New("stopped immediately, before the planned stop was complete")
