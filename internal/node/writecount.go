package node

import (
	"sync"

	"robinpulley.example/robinpulley/internal/controller"
)

// writeKey holds the labels by which writes of placements are counted.
type writeKey struct {
	kind    controller.Kind
	outcome controller.WriteOutcome
}

// writeCounts counts writes of placements by kind and outcome. It is safe for concurrent use.
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

// each calls visit with every count.
func (writes *writeCounts) each(visit func(kind, outcome string, count uint64)) {
	writes.mutex.Lock()
	defer writes.mutex.Unlock()
	for key, count := range writes.counts {
		visit(string(key.kind), outcomeName(key.outcome), count)
	}
}

// outcomeName returns the name of an outcome in metrics.
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
