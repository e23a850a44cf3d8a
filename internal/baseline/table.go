package baseline

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// sweepEvery is the time between two looks at all flows.
const sweepEvery = 30 * time.Second

// flowKey names a flow of one service.
type flowKey struct {
	service *service
	flow    lb.FlowID
}

type flowEntry struct {
	backend  lb.BackendID
	lastSeen time.Duration
}

// flowTable remembers the back ends of the flows that one node has seen.
type flowTable struct {
	lifetime time.Duration
	entries  map[flowKey]flowEntry
	swept    time.Duration
}

func newFlowTable(lifetime time.Duration) *flowTable {
	return &flowTable{lifetime: lifetime, entries: make(map[flowKey]flowEntry)}
}

func (table *flowTable) get(service *service, flow lb.FlowID, now time.Duration) (lb.BackendID, bool) {
	key := flowKey{service, flow}
	entry, found := table.entries[key]
	if !found || now-entry.lastSeen > table.lifetime {
		return lb.NoBackend, false
	}
	entry.lastSeen = now
	table.entries[key] = entry
	return entry.backend, true
}

func (table *flowTable) put(service *service, flow lb.FlowID, backend lb.BackendID, now time.Duration) {
	if backend != lb.NoBackend {
		table.entries[flowKey{service, flow}] = flowEntry{backend: backend, lastSeen: now}
	}
}

// sweep forgets idle flows.
func (table *flowTable) sweep(now time.Duration) {
	if now-table.swept < sweepEvery {
		return
	}
	table.swept = now
	for key, entry := range table.entries {
		if now-entry.lastSeen > table.lifetime {
			delete(table.entries, key)
		}
	}
}
