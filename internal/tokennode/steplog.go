package tokennode

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds of the lines on values that move.
const (
	// stepSize is by how much a part has changed before a line says so: a tenth of a zone's
	// flows, or of a priority's openings, is more than chance moves it by.
	stepSize = 0.1
	// stepInterval is the time between two lines on one value, and stepLines bounds the
	// lines on all of a kind in that time.
	stepInterval = time.Second
	stepLines    = 10
)

// stepLog finds the changes of parts that are worth a line. K tells them apart.
type stepLog[K comparable] struct {
	told  map[K]toldStep
	since time.Duration // when lines were last begun to be counted
	lines int
	away  int // of those told, not as usual
}

// toldStep is what was last told of a part.
type toldStep struct {
	value float64
	at    time.Duration
}

// step is a change that is worth a line.
type step[K comparable] struct {
	key           K
	before, value float64
}

func newStepLog[K comparable]() stepLog[K] { return stepLog[K]{told: make(map[K]toldStep)} }

// note gives the changes that are worth a line now, the largest first. Of a part that is
// new nothing is told: usual is what it was before. One that is gone is forgotten when it was as usual.
func (l *stepLog[K]) note(now time.Duration, values map[K]float64, usual func(K) float64) []step[K] {
	if now-l.since >= stepInterval {
		l.since, l.lines = now, 0
	}
	for key := range values {
		if _, known := l.told[key]; !known {
			l.told[key] = toldStep{value: usual(key), at: now - stepInterval}
		}
	}
	var steps []step[K]
	for key, before := range l.told {
		value, there := values[key]
		if !there {
			value = usual(key)
		}
		switch {
		case math.Abs(value-before.value) >= stepSize && now-before.at >= stepInterval:
			steps = append(steps, step[K]{key: key, before: before.value, value: value})
		case !there && math.Abs(value-before.value) < stepSize:
			delete(l.told, key)
		}
	}
	slices.SortFunc(steps, func(a, b step[K]) int {
		return cmp.Compare(math.Abs(b.value-b.before), math.Abs(a.value-a.before))
	})
	steps = steps[:max(0, min(len(steps), stepLines-l.lines))]
	l.lines += len(steps)
	for _, told := range steps {
		l.told[told.key] = toldStep{value: told.value, at: now}
	}
	l.away = 0
	for key, told := range l.told {
		if math.Abs(told.value-usual(key)) >= stepSize {
			l.away++
		}
	}
	return steps
}

// forget drops what is not to be kept.
func (l *stepLog[K]) forget(keep func(K) bool) {
	maps.DeleteFunc(l.told, func(key K, _ toldStep) bool { return !keep(key) })
}
