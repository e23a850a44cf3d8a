package node

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/member"
)

// partition is a network partition that fault injection simulates: no message and no relayed packet
// passes between this node and the zones on the other side, in either direction. The zero value is
// no partition.
type partition struct {
	blockedAddresses atomic.Pointer[map[netip.AddrPort]bool] // nil without a partition

	mutex sync.Mutex
	zones []lb.Zone
	// zoneOf contains every machine ever listed, so that the partition stays in force after the
	// membership has removed a machine.
	zoneOf map[netip.AddrPort]lb.Zone
}

// addMachines adds the addresses of machines.
func (partition *partition) addMachines(list ...member.Machine) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if partition.zoneOf == nil {
		partition.zoneOf = make(map[netip.AddrPort]lb.Zone)
	}
	for _, machine := range list {
		partition.zoneOf[machine.Control] = machine.Zone
		partition.zoneOf[machine.Data] = machine.Zone
	}
	partition.update()
}

// set partitions this node from the given zones. An empty list ends the partition.
func (partition *partition) set(zones []lb.Zone) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.zones = zones
	partition.update()
}

// update recomputes the blocked addresses. The caller holds the mutex.
func (partition *partition) update() {
	if len(partition.zones) == 0 {
		partition.blockedAddresses.Store(nil)
		return
	}
	blocked := make(map[netip.AddrPort]bool)
	for address, zone := range partition.zoneOf {
		if slices.Contains(partition.zones, zone) {
			blocked[address] = true
		}
	}
	partition.blockedAddresses.Store(&blocked)
}

// blocks reports whether an address is on the other side of the partition.
func (partition *partition) blocks(address netip.AddrPort) bool {
	blocked := partition.blockedAddresses.Load()
	return blocked != nil && (*blocked)[address]
}

// servePartition partitions this node from the zones given as ?zone=A&zone=B. Without any zone it
// ends the partition.
func (node *Node) servePartition(response http.ResponseWriter, request *http.Request) {
	names := request.URL.Query()["zone"]
	zones := make([]lb.Zone, len(names))
	for index, name := range names {
		zones[index] = lb.Zone(name)
	}
	node.partition.set(zones)
	node.logger.Warn().
		Str(logging.FieldEvent, string(logging.EventFaultInjected)).
		Strs(logging.FieldPeerZone, names).
		Send()
	response.WriteHeader(http.StatusNoContent)
}
