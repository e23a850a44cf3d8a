package lb

import "github.com/cockroachdb/errors"

// ErrStoppedAtOnce is the error that a balancer's Run returns if its context ends before the
// planned stop is complete.
var ErrStoppedAtOnce = errors.New("stopped immediately, before the planned stop was complete")
