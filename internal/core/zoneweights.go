package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// ZoneWeights returns the zone weights of this node's new flows of each service, for AffinityToken.
// They follow the fleet-wide load if it is known, and the steering table otherwise.
func (core *Core) ZoneWeights() map[lb.ServiceName]zoneweight.Weights {
	affinity, ok := core.affinity.(*tokenAffinity)
	if !ok || affinity.table == nil {
		return nil
	}
	weightsByService := make(map[lb.ServiceName]zoneweight.Weights)
	for name, service := range affinity.table.Services() {
		weightsByService[name] = service.EvenZoneWeights()
		if weights := affinity.serviceWeights[name]; weights != nil {
			weightsByService[name] = weights.byZone
		}
	}
	return weightsByService
}

// HeldByLevel returns the number of held openings by service and priority, for AffinityToken.
func (core *Core) HeldByLevel() map[admissionqueue.Level]int {
	affinity, ok := core.affinity.(*tokenAffinity)
	if !ok {
		return nil
	}
	return affinity.admissionQueue.Levels()
}

// serviceWeights holds the weights by which this node splits new flows of a service, derived from
// the fleet-wide load.
type serviceWeights struct {
	byZone zoneweight.Weights
	// byHost are the weights of the ready hosts of computedFor; nil if they have not been computed
	// yet.
	byHost      []float64
	computedFor *steering.Service
}

// hostWeights returns the weights of the service's ready hosts. They are computed on demand,
// because only flows that are not placed by the subset picker need them.
func (s *serviceWeights) hostWeights(service *steering.Service) []float64 {
	if s.byHost == nil || s.computedFor != service {
		s.byHost, s.computedFor = service.HostWeights(s.byZone), service
	}
	return s.byHost
}

// setLoads applies the fleet-wide load of services. Each update moves the zone weights by at most
// one step. If the load of a service is no longer known, the weights of the steering table apply at
// once.
func (a *tokenAffinity) setLoads(loads map[lb.ServiceName]fleetload.Service) {
	a.fleetLoads = loads
	if a.table == nil {
		return
	}
	for name, load := range loads {
		if service := a.table.ServiceNamed(name); service != nil {
			a.overload.ApplyFleetLoad(a.core.now, name, &load, lb.TotalSlots(service.Capacity()))
		}
		if a.serviceWeights[name] == nil && a.table.HasService(name) {
			a.serviceWeights[name] = &serviceWeights{byZone: a.table.ServiceNamed(name).EvenZoneWeights()}
		}
	}
	for name, weights := range a.serviceWeights {
		service := a.table.ServiceNamed(name)
		target := a.targetZoneWeights(service)
		if target == nil {
			delete(a.serviceWeights, name)
			continue
		}
		weights.byZone = zoneweight.MoveTowards(weights.byZone, target, zoneweight.MaxStep)
		weights.byHost = nil
	}
}

// targetZoneWeights returns the zone weights that follow from the known load of a service, or nil
// if its load is unknown and the weights of the steering table apply.
func (a *tokenAffinity) targetZoneWeights(service *steering.Service) zoneweight.Weights {
	load, found := a.fleetLoads[service.Name]
	if !found {
		return nil
	}
	capacity := service.Capacity()
	return zoneweight.Split(a.core.settings.Zone, zoneweight.KnownZones(capacity, &load), zoneweight.LocalThreshold)
}

// sampleInterval is the time between load samples. It is short compared with the window of load
// reports.
const sampleInterval = 100 * time.Millisecond

// loadSamples returns the load measured since the last samples if they are due, and nil otherwise.
func (a *tokenAffinity) loadSamples() []fleetload.Sample {
	if a.core.now < a.nextSampleAt {
		return nil
	}
	a.nextSampleAt = a.core.now + sampleInterval
	samples := a.overload.Samples()
	if samples == nil {
		samples = []fleetload.Sample{} // an empty sample is reported, too
	}
	return samples
}
