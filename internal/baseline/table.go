package baseline

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// sweepInterval is the time between two scans of the table for idle flows.
const sweepInterval = 30 * time.Second

// flowKey identifies a flow of a service.
type flowKey struct {
	service *service
	flow    lb.FlowID
}

// flowEntry is the back end of a flow and the time of the flow's last packet.
type flowEntry struct {
	backend  lb.BackendID
	lastSeen time.Duration
}

// flowTable stores the back ends of the flows whose packets one node has handled. Entries expire
// after lifetime without a packet.
type flowTable struct {
	lifetime  time.Duration
	entries   map[flowKey]flowEntry
	lastSweep time.Duration // time of the last sweep
}

func newFlowTable(lifetime time.Duration) *flowTable {
	return &flowTable{lifetime: lifetime, entries: make(map[flowKey]flowEntry)}
}

// get returns the back end of a flow and renews its entry.
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

// put stores the back end of a flow.
func (table *flowTable) put(service *service, flow lb.FlowID, backend lb.BackendID, now time.Duration) {
	if backend != lb.NoBackend {
		table.entries[flowKey{service, flow}] = flowEntry{backend: backend, lastSeen: now}
	}
}

// sweep removes expired entries, at most once per sweepInterval.
func (table *flowTable) sweep(now time.Duration) {
	if now-table.lastSweep < sweepInterval {
		return
	}
	table.lastSweep = now
	for key, entry := range table.entries {
		if now-entry.lastSeen > table.lifetime {
			delete(table.entries, key)
		}
	}
}
