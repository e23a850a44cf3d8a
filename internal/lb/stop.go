package lb

import "github.com/cockroachdb/errors"

// ErrStoppedAtOnce is what a balancer's Run returns when its context ended
// before the planned stop was finished.
var ErrStoppedAtOnce = errors.New("stopped at once, before the planned stop was finished")
