package tokennode

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits on the log lines about values that change continuously.
const (
	// minLoggedChange is the minimum change of a value that is logged. A change of a tenth, of a
	// zone's flows or of a priority's openings, is larger than random variation.
	minLoggedChange = 0.1
	// valueLineInterval is the minimum time between two lines on one value. maxValueLines limits
	// the lines on all values of a log in that time.
	valueLineInterval = time.Second
	maxValueLines     = 10
)

// valueLog selects the changes of a set of values that are large enough to be logged, within the
// limits above. K is the key of a value.
type valueLog[K comparable] struct {
	logged      map[K]loggedValue
	windowStart time.Duration // start of the interval in which lines are counted
	lines       int
	deviating   int // number of values whose last logged value differs from the usual one
}

// loggedValue is the last logged value of a key, and when it was logged.
type loggedValue struct {
	value float64
	at    time.Duration
}

// valueChange is a change to be logged.
type valueChange[K comparable] struct {
	key           K
	before, value float64
}

func newValueLog[K comparable]() valueLog[K] { return valueLog[K]{logged: make(map[K]loggedValue)} }

// changes returns the changes to be logged now, the largest first. usual returns the value that a
// key has by default: a new key is assumed to have had its usual value before, and a key without a
// current value to have returned to it. A key without a value is deleted once its last logged value
// is close to the usual one.
func (l *valueLog[K]) changes(now time.Duration, values map[K]float64, usual func(K) float64) []valueChange[K] {
	if now-l.windowStart >= valueLineInterval {
		l.windowStart, l.lines = now, 0
	}
	for key := range values {
		if _, found := l.logged[key]; !found {
			l.logged[key] = loggedValue{value: usual(key), at: now - valueLineInterval}
		}
	}
	var changes []valueChange[K]
	for key, before := range l.logged {
		value, present := values[key]
		if !present {
			value = usual(key)
		}
		switch {
		case math.Abs(value-before.value) >= minLoggedChange && now-before.at >= valueLineInterval:
			changes = append(changes, valueChange[K]{key: key, before: before.value, value: value})
		case !present && math.Abs(value-before.value) < minLoggedChange:
			delete(l.logged, key)
		}
	}
	slices.SortFunc(changes, func(a, b valueChange[K]) int {
		return cmp.Compare(math.Abs(b.value-b.before), math.Abs(a.value-a.before))
	})
	changes = changes[:max(0, min(len(changes), maxValueLines-l.lines))]
	l.lines += len(changes)
	for _, change := range changes {
		l.logged[change.key] = loggedValue{value: change.value, at: now}
	}
	l.deviating = 0
	for key, last := range l.logged {
		if math.Abs(last.value-usual(key)) >= minLoggedChange {
			l.deviating++
		}
	}
	return changes
}

// retain deletes the keys for which keep returns false.
func (l *valueLog[K]) retain(keep func(K) bool) {
	maps.DeleteFunc(l.logged, func(key K, _ loggedValue) bool { return !keep(key) })
}
