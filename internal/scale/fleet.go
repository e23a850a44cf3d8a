// Package scale runs hollow nodes: the real deterministic parts of a balancer
// with the real control messages, without packets, on a virtual clock and a
// virtual store. It measures what one node spends on control at a given size
// of the fleet (docs/CAPACITY.md).
package scale

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
)

// Plan is the size of a fleet and what happens to it.
type Plan struct {
	Nodes    int
	Regions  int
	Zones    int // over all regions
	Services int
	// Addresses are spread evenly over the services; zero gives each one.
	Addresses int
	Hosts     int
	// Warmup is not measured: the nodes join and take the placements.
	Warmup time.Duration
	// Duration is the measured time.
	Duration time.Duration
	// Changes of configuration in Duration, evenly spread.
	Changes int
	// Restarts are nodes stopped as planned, one after the other, each replaced by a new one.
	Restarts int
	// Deaths are nodes that die without warning.
	Deaths int
	// Rack, if above zero, is the number of nodes of one zone that die at one time.
	Rack int
	// CutZone cuts one zone from all others for CutFor.
	CutZone bool
	CutFor  time.Duration
	// Quiet is how long before the end no more failures begin.
	Quiet time.Duration
	Seed  uint64
	// ControlBytesPerSecond is each node's budget.
	ControlBytesPerSecond int
}

// Validate names the first value that cannot be used.
func (plan *Plan) Validate() error {
	switch {
	case plan.Nodes < 1 || plan.Nodes > maxNodes:
		return errors.Newf("nodes %d is not in 1..%d", plan.Nodes, maxNodes)
	case plan.Zones < 1 || plan.Zones > plan.Nodes:
		return errors.Newf("zones %d is not in 1..%d", plan.Zones, plan.Nodes)
	case plan.Regions < 1 || plan.Regions > plan.Zones:
		return errors.Newf("regions %d is not in 1..%d", plan.Regions, plan.Zones)
	case plan.Services < 1 || plan.Services > maxServices:
		return errors.Newf("services %d is not in 1..%d", plan.Services, maxServices)
	case plan.Hosts < plan.Services:
		return errors.Newf("hosts %d is below services %d: every service needs one", plan.Hosts, plan.Services)
	case plan.Duration <= 0 || plan.Warmup <= 0:
		return errors.Newf("duration %s or warmup %s is not positive", plan.Duration, plan.Warmup)
	case plan.ControlBytesPerSecond <= 0:
		return errors.Newf("control bytes per second %d is not positive", plan.ControlBytesPerSecond)
	case plan.Rack > plan.Nodes/plan.Zones:
		return errors.Newf("rack %d is larger than a zone of %d nodes", plan.Rack, plan.Nodes/plan.Zones)
	}
	return nil
}

// Limits of the address plan.
const (
	maxNodes    = 1 << 15
	maxServices = 1 << 15
)

// zoneName gives the name of a zone by its index.
func zoneName(zone int) lb.Zone { return lb.Zone(fmt.Sprintf("zone-%02d", zone)) }

// regions gives each zone's region.
func (plan *Plan) regions() map[lb.Zone]string {
	regions := make(map[lb.Zone]string, plan.Zones)
	for zone := range plan.Zones {
		regions[zoneName(zone)] = fmt.Sprintf("region-%d", zone*plan.Regions/plan.Zones)
	}
	return regions
}

// machineOf gives the machine of a node by its index and its zone's index.
func machineOf(index, zone int) member.Machine {
	high, low := byte(index>>8), byte(index)
	return member.Machine{
		ID:      lb.NodeID(fmt.Sprintf("node-%04d", index)),
		Zone:    zoneName(zone),
		Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, high, low}), 7000),
		Data:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, high, low}), 6081),
	}
}

// serviceName gives the name of a service by its index.
func serviceName(index int) lb.ServiceName { return lb.ServiceName(fmt.Sprintf("service-%04d", index)) }

// documents gives the operators' configuration: each host serves one service,
// chosen by label.
func (plan *Plan) documents() ([]catalog.Service, []catalog.Backend) {
	services := make([]catalog.Service, plan.Services)
	for i := range services {
		services[i] = catalog.Service{Name: serviceName(i), Selector: "app=" + string(serviceName(i))}
	}
	for i := range max(plan.Addresses, plan.Services) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		service := &services[i%plan.Services]
		service.Frontends = append(service.Frontends, lb.Frontend{Address: address, Protocol: lb.TCP})
	}
	backends := make([]catalog.Backend, plan.Hosts)
	for i := range backends {
		backends[i] = catalog.Backend{
			Name:   lb.BackendName(fmt.Sprintf("host-%04d", i)),
			Host:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 6081),
			Zone:   zoneName(i % plan.Zones),
			Labels: map[string]string{"app": string(serviceName(i % plan.Services))},
			Weight: 100,
		}
	}
	return services, backends
}
