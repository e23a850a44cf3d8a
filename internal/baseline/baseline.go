// Package baseline implements three well-known methods of balancing flows without communication
// between balancers, for comparison with the decision core: modulo hashing, consistent hashing, and
// consistent hashing with a local flow table (Maglev, NSDI 2016, sections 3.3 and 3.4). They accept
// the same events and placements as the core.
package baseline

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// Balancer is the decision logic of one balancer node. The decision core implements it, too.
type Balancer interface {
	// Step handles one event at the time now, which is relative to any fixed origin, and writes the
	// results to effects.
	Step(now time.Duration, event *core.Event, effects *core.Effects)
}

// Method is a method of selecting the back end of a flow.
type Method string

// The methods.
const (
	// ModuloHash selects the back end by the flow's hash modulo the number of back ends.
	ModuloHash Method = "modulo"
	// ConsistentHash selects the back end with the consistent-hash table of the current placement.
	ConsistentHash Method = "consistent"
	// ConsistentHashWithTable selects the back end like ConsistentHash for the first packet of a
	// flow at this node, and stores it in a flow table for later packets.
	ConsistentHashWithTable Method = "consistent-table"
)

// Methods lists all methods.
var Methods = []Method{ModuloHash, ConsistentHash, ConsistentHashWithTable}

// New returns a balancer that uses the method, or nil if the method is unknown.
func New(method Method, settings core.Settings) Balancer {
	common := &hashBalancer{
		settings:    settings,
		services:    make(map[lb.ServiceName]*service),
		frontends:   make(map[lb.Frontend]*service),
		memberCount: 1,
	}
	switch method {
	case ModuloHash:
		common.selectBackend = selectByModulo
	case ConsistentHash:
		common.selectBackend = selectByConsistentHash
	case ConsistentHashWithTable:
		common.selectBackend = selectByConsistentHash
		common.table = newFlowTable(settings.IdleTimeout)
	default:
		return nil
	}
	return common
}

// service is the current placement of one service.
type service struct {
	name           lb.ServiceName
	table          *placement.Table
	admissionLimit tokenBucket
}

// selectFunc selects the back end of a flow that is not in the flow table.
type selectFunc func(service *service, flow lb.FlowID) lb.BackendID

// selectByModulo selects a back end of the current generation by the flow's hash modulo their
// number.
func selectByModulo(service *service, flow lb.FlowID) lb.BackendID {
	document := service.table.Document()
	backends := document.Generations[document.Current].Backends
	if len(backends) == 0 {
		return lb.NoBackend
	}
	return backends[uint64(flow)%uint64(len(backends))].ID
}

// selectByConsistentHash selects a back end with the consistent-hash table of the current
// generation.
func selectByConsistentHash(service *service, flow lb.FlowID) lb.BackendID {
	return service.table.Current(flow.Bucket())
}
