package core

import (
	"maps"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/subset"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// subsetPickers holds the subset pickers of all services and this node's position among the nodes
// of its zone.
type subsetPickers struct {
	position  subset.Position
	byService map[lb.ServiceName]*servicePicker
}

// servicePicker is the subset picker of a service, with the inputs from which its current subset
// was computed.
type servicePicker struct {
	picker *subset.Picker
	// service is the version of the service from which ring was built.
	service  *steering.Service
	ring     *subset.Ring
	position subset.Position
}

// retain deletes the pickers of services for which exists returns false.
func (p *subsetPickers) retain(exists func(lb.ServiceName) bool) {
	maps.DeleteFunc(p.byService, func(name lb.ServiceName, _ *servicePicker) bool { return !exists(name) })
}

// setMembers computes this node's position among the staying nodes of the zone. The nodes are
// ordered by hash, so that neighbours on the ring are unlikely to share a rack or to have been
// started together.
func (p *subsetPickers) setMembers(self lb.NodeID, members []Member) {
	var staying []lb.NodeID
	for _, member := range members {
		if !member.Leaving || member.ID == self {
			staying = append(staying, member.ID)
		}
	}
	slices.SortFunc(staying, func(a, b lb.NodeID) int {
		return compareHashes(a.Hash(), b.Hash())
	})
	p.position = subset.Position{Rank: max(0, slices.Index(staying, self)), Nodes: max(1, len(staying))}
}

func compareHashes(a, b lb.NodeHash) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// pickerFor returns the picker of a service, with a subset of the service's present back ends.
func (p *subsetPickers) pickerFor(core *Core, service *steering.Service) *subset.Picker {
	if p.byService == nil {
		p.byService = make(map[lb.ServiceName]*servicePicker)
	}
	entry := p.byService[service.Name]
	if entry == nil {
		entry = &servicePicker{picker: subset.New(core.settings.Subset)}
		p.byService[service.Name] = entry
	}
	if entry.service == service && entry.position == p.position {
		return entry.picker
	}
	if entry.service != service {
		entry.service, entry.ring = service, newRing(service)
	}
	entry.position = p.position
	entry.picker.SetSubset(entry.ring, p.position, rendezvous.Mix(uint64(core.settings.Self.Hash())))
	return entry.picker
}

// newRing returns a subset ring of the service's ready back ends, in the order of the service's
// ring.
func newRing(service *steering.Service) *subset.Ring {
	ring := service.Ring()
	backends := make([]subset.Backend, len(ring))
	for index, host := range ring {
		backends[index] = subset.Backend{
			Identity: subset.Identity(host.InstanceID), Zone: host.Zone, RelativeCapacity: host.RelativeCapacity(),
		}
	}
	return subset.NewRing(backends)
}

// zoneWeights returns the traffic split of this node's new flows of a service by zone.
func (a *tokenAffinity) zoneWeights(service *steering.Service) zoneweight.Weights {
	if weights := a.serviceWeights[service.Name]; weights != nil {
		return weights.byZone
	}
	return service.EvenZoneWeights()
}

// hostWeights returns the weights of the service's ready hosts that follow from the zone weights,
// or nil if the weights of the steering table apply.
func (a *tokenAffinity) hostWeights(service *steering.Service) []float64 {
	if weights := a.serviceWeights[service.Name]; weights != nil {
		return weights.hostWeights(service)
	}
	return nil
}

// pickHost returns the back end of a new flow. It uses smooth weighted round-robin within this
// node's subset. It falls back to rendezvous rank among all ready back ends if the settings say so
// or if most of the subset is unresponsive.
func (a *tokenAffinity) pickHost(service *steering.Service, flow lb.FlowID) *steering.Host {
	if a.core.settings.Picking == PickSubset {
		ring := service.Ring()
		index := a.subsets.pickerFor(a.core, service).Pick(a.zoneWeights(service),
			// Hosts in unreachable zones get no flows.
			func(index int) float64 { return max(0, a.weightFactor(service, ring[index])) },
			func(index int) int { return a.observer.InFlight(passivehealth.Identity(ring[index].InstanceID)) },
		)
		if index >= 0 {
			return ring[index]
		}
	}
	a.updateWeightFactors(service)
	return a.pickByRank(service, flow, a.hostWeights(service))
}

// pickUnsuspectedByRank returns the first ready back end by rank that is not a suspect, or nil if
// most back ends are suspects.
func (a *tokenAffinity) pickUnsuspectedByRank(service *steering.Service, flow lb.FlowID) *steering.Host {
	a.updateWeightFactors(service)
	for index, host := range service.Ready {
		if a.weightFactors[index] > 0 && a.observer.IsSuspect(passivehealth.Identity(host.InstanceID)) {
			a.weightFactors[index] = 0
		}
	}
	if steering.MostlyZero(a.weightFactors) {
		return nil
	}
	return a.pickByRank(service, flow, a.hostWeights(service))
}

// pickByRank returns the first ready back end of a service by rank. If the given weights leave no
// candidate because their zones are all unreachable, the weights of the steering table apply.
func (a *tokenAffinity) pickByRank(service *steering.Service, flow lb.FlowID, weights []float64) *steering.Host {
	found := service.Pick(flow, weights, a.weightFactors)
	if found == nil && weights != nil {
		found = service.Pick(flow, nil, a.weightFactors)
	}
	return found
}
