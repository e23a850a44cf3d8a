// Package baseline holds three well-known ways to balance flows without any
// word between balancers, to measure the core against: modulo hash, consistent
// hash alone, and consistent hash with a local flow table (Maglev, NSDI 2016,
// sections 3.3 and 3.4). They take the same events and placements as the core.
package baseline

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// Balancer decides for one balancer. The core is one.
type Balancer interface {
	// Step takes one event at the time now, counted from any fixed origin, and
	// fills effects.
	Step(now time.Duration, event *core.Event, effects *core.Effects)
}

// Method is a way to choose the back end of a flow.
type Method string

// The methods.
const (
	// ModuloHash takes the flow's hash modulo the number of back ends.
	ModuloHash Method = "modulo"
	// ConsistentHash takes the current table.
	ConsistentHash Method = "consistent"
	// ConsistentHashWithTable takes the current table for flows that this node
	// has not seen, and remembers what it took.
	ConsistentHashWithTable Method = "consistent-table"
)

// Methods lists all methods.
var Methods = []Method{ModuloHash, ConsistentHash, ConsistentHashWithTable}

// New gives a balancer of the method, or nil if there is no such method.
func New(method Method, settings core.Settings) Balancer {
	common := &stateless{
		settings:  settings,
		services:  make(map[lb.ServiceName]*service),
		frontends: make(map[lb.Frontend]*service),
		nodes:     1,
	}
	switch method {
	case ModuloHash:
		common.choose = modulo
	case ConsistentHash:
		common.choose = consistent
	case ConsistentHashWithTable:
		common.choose = consistent
		common.table = newFlowTable(settings.IdleTimeout)
	default:
		return nil
	}
	return common
}

// service is one service's placement in force.
type service struct {
	name  lb.ServiceName
	table *placement.Table
	limit opensLimit
}

// choice gives the back end of a flow that is not known.
type choice func(service *service, flow lb.FlowID) lb.BackendID

// modulo spreads flows over the back ends of the current generation, by number.
func modulo(service *service, flow lb.FlowID) lb.BackendID {
	document := service.table.Document()
	backends := document.Generations[document.Current].Backends
	if len(backends) == 0 {
		return lb.NoBackend
	}
	return backends[uint64(flow)%uint64(len(backends))].ID
}

// consistent takes the table of the current generation.
func consistent(service *service, flow lb.FlowID) lb.BackendID {
	return service.table.Current(flow.Bucket())
}
