package node

import (
	"sync"

	"robinpulley.example/robinpulley/internal/controller"
)

// writeKey labels the publisher's writes.
type writeKey struct {
	kind    controller.Kind
	outcome controller.WriteOutcome
}

// writeCounts counts the publisher's writes by kind and outcome. It is safe for
// concurrent use.
type writeCounts struct {
	mutex  sync.Mutex
	counts map[writeKey]uint64
}

func (writes *writeCounts) add(kind controller.Kind, outcome controller.WriteOutcome) {
	writes.mutex.Lock()
	defer writes.mutex.Unlock()
	if writes.counts == nil {
		writes.counts = make(map[writeKey]uint64)
	}
	writes.counts[writeKey{kind, outcome}]++
}

// each passes on every count.
func (writes *writeCounts) each(take func(kind, outcome string, count uint64)) {
	writes.mutex.Lock()
	defer writes.mutex.Unlock()
	for key, count := range writes.counts {
		take(string(key.kind), outcomeName(key.outcome), count)
	}
}

// outcomeName names an outcome in metrics.
func outcomeName(outcome controller.WriteOutcome) string {
	switch outcome {
	case controller.WriteDone:
		return "done"
	case controller.WriteConflict:
		return "conflict"
	case controller.WriteUnknown:
		return "unknown"
	}
	return "not_run"
}
