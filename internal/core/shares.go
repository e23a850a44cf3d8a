package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// Shares gives where this node's new flows of each service go, by zone, for AffinityToken:
// by what the fleet knows of its load, or else by the table.
func (core *Core) Shares() map[lb.ServiceName]zoneweight.Weights {
	affinity, is := core.affinity.(*tokenAffinity)
	if !is || affinity.table == nil {
		return nil
	}
	shares := make(map[lb.ServiceName]zoneweight.Weights)
	for name, service := range affinity.table.Services() {
		shares[name] = service.Even()
		if known := affinity.shares[name]; known != nil {
			shares[name] = known.parts
		}
	}
	return shares
}

// WaitingBy gives how many openings are held by service and priority, for AffinityToken.
func (core *Core) WaitingBy() map[admissionqueue.Level]int {
	affinity, is := core.affinity.(*tokenAffinity)
	if !is {
		return nil
	}
	return affinity.waiting.Levels()
}

// share is where this node's new flows of a service go, by what the fleet knows.
type share struct {
	parts zoneweight.Weights
	// weights are those of the ready hosts of a service; nil: not worked out yet.
	weights []float64
	of      *steering.Service
}

// weightsOf gives the weights of the ready hosts of a service. Few openings need them:
// those that are not dealt by turns.
func (s *share) weightsOf(service *steering.Service) []float64 {
	if s.weights == nil || s.of != service {
		s.weights, s.of = service.Weights(s.parts), service
	}
	return s.weights
}

// setLoads takes what the fleet knows of services. The parts of zones move by a step with
// each news; where nothing is known any more, those of the table hold at once.
func (a *tokenAffinity) setLoads(loads map[lb.ServiceName]fleetload.Service) {
	a.loads = loads
	if a.table == nil {
		return
	}
	for name, known := range loads {
		if service := a.table.ServiceNamed(name); service != nil {
			a.overload.Learn(a.core.now, name, &known, lb.TotalSlots(service.Capacity()))
		}
		if a.shares[name] == nil && a.table.HasService(name) {
			a.shares[name] = &share{parts: a.table.ServiceNamed(name).Even()}
		}
	}
	for name, known := range a.shares {
		service := a.table.ServiceNamed(name)
		wanted := a.wantedParts(service)
		if wanted == nil {
			delete(a.shares, name)
			continue
		}
		known.parts = zoneweight.Approach(known.parts, wanted, zoneweight.MostStep)
		known.weights = nil
	}
}

// wantedParts gives the parts of zones for a service, by what is known; nil: nothing is
// known, and the parts are those of the table.
func (a *tokenAffinity) wantedParts(service *steering.Service) zoneweight.Weights {
	known, found := a.loads[service.Name]
	if !found {
		return nil
	}
	capacity := service.Capacity()
	return zoneweight.Split(a.core.settings.Zone, zoneweight.Known(capacity, &known), zoneweight.Home)
}

// sampleInterval is the time between samples of load: short beside the window of reports.
const sampleInterval = 100 * time.Millisecond

// samples gives what was seen of the load of services, when it is due: nil before.
func (a *tokenAffinity) samples() []fleetload.Sample {
	if a.core.now < a.sampleAt {
		return nil
	}
	a.sampleAt = a.core.now + sampleInterval
	samples := a.overload.Samples()
	if samples == nil {
		samples = []fleetload.Sample{} // nothing was seen, which is news as well
	}
	return samples
}
