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

// cuts says which zones this node is cut off from, by fault injection: no
// message and no relayed packet passes, either way. The zero value has no cut.
type cuts struct {
	blocked atomic.Pointer[map[netip.AddrPort]bool] // nil: no cut

	mutex sync.Mutex
	zones []lb.Zone
	// zoneOf remembers every machine ever listed, so that a cut holds when
	// the membership has given up the machine.
	zoneOf map[netip.AddrPort]lb.Zone
}

// learn takes the addresses of machines.
func (cuts *cuts) learn(list ...member.Machine) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	if cuts.zoneOf == nil {
		cuts.zoneOf = make(map[netip.AddrPort]lb.Zone)
	}
	for _, machine := range list {
		cuts.zoneOf[machine.Control] = machine.Zone
		cuts.zoneOf[machine.Data] = machine.Zone
	}
	cuts.update()
}

// set replaces the cut; no zones end it.
func (cuts *cuts) set(zones []lb.Zone) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	cuts.zones = zones
	cuts.update()
}

func (cuts *cuts) update() {
	if len(cuts.zones) == 0 {
		cuts.blocked.Store(nil)
		return
	}
	blocked := make(map[netip.AddrPort]bool)
	for address, zone := range cuts.zoneOf {
		if slices.Contains(cuts.zones, zone) {
			blocked[address] = true
		}
	}
	cuts.blocked.Store(&blocked)
}

// blocks tells whether the address is beyond a cut.
func (cuts *cuts) blocks(address netip.AddrPort) bool {
	blocked := cuts.blocked.Load()
	return blocked != nil && (*blocked)[address]
}

// serveCut cuts this node off from the zones given as ?zone=A&zone=B. Without
// any it ends the cut.
func (node *Node) serveCut(response http.ResponseWriter, request *http.Request) {
	names := request.URL.Query()["zone"]
	zones := make([]lb.Zone, len(names))
	for index, name := range names {
		zones[index] = lb.Zone(name)
	}
	node.cuts.set(zones)
	node.logger.Warn().
		Str(logging.FieldEvent, string(logging.EventFaultInjected)).
		Strs(logging.FieldPeerZone, names).
		Send()
	response.WriteHeader(http.StatusNoContent)
}
