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

// hands are the dealers of all services, and what their hands are dealt by.
type hands struct {
	place   subset.Position
	dealers map[lb.ServiceName]*hand
}

// hand is the dealer of a service, and what its present hand is of.
type hand struct {
	dealer *subset.Picker
	// service is what circle is the order of the back ends of.
	service *steering.Service
	circle  *subset.Ring
	place   subset.Position
}

// keep forgets the hands of services but those to keep.
func (h *hands) keep(service func(lb.ServiceName) bool) {
	maps.DeleteFunc(h.dealers, func(name lb.ServiceName, _ *hand) bool { return !service(name) })
}

// setMembers takes the living nodes of the zone. Their order is by hash, so that
// neighbours on a circle are of no one rack or batch of starts.
func (h *hands) setMembers(self lb.NodeID, members []Member) {
	var staying []lb.NodeID
	for _, member := range members {
		if !member.Leaving || member.ID == self {
			staying = append(staying, member.ID)
		}
	}
	slices.SortFunc(staying, func(a, b lb.NodeID) int {
		return compareHashes(a.Hash(), b.Hash())
	})
	h.place = subset.Position{Rank: max(0, slices.Index(staying, self)), Nodes: max(1, len(staying))}
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

// of gives the dealer of a service, with a hand of its present back ends.
func (h *hands) of(core *Core, service *steering.Service) *subset.Picker {
	if h.dealers == nil {
		h.dealers = make(map[lb.ServiceName]*hand)
	}
	known := h.dealers[service.Name]
	if known == nil {
		known = &hand{dealer: subset.New(core.settings.Subset)}
		h.dealers[service.Name] = known
	}
	if known.service == service && known.place == h.place {
		return known.dealer
	}
	if known.service != service {
		known.service, known.circle = service, circleOf(service)
	}
	known.place = h.place
	known.dealer.SetSubset(known.circle, h.place, rendezvous.Mix(uint64(core.settings.Self.Hash())))
	return known.dealer
}

// circleOf gives the order of the ready back ends of a service, those of its ring.
func circleOf(service *steering.Service) *subset.Ring {
	ring := service.Ring()
	backends := make([]subset.Backend, len(ring))
	for index, host := range ring {
		backends[index] = subset.Backend{
			Identity: subset.Identity(host.Run), Zone: host.Zone, Size: host.Size(),
		}
	}
	return subset.NewRing(backends)
}

// parts gives those of zones of this node's new flows of a service.
func (a *tokenAffinity) parts(service *steering.Service) zoneweight.Weights {
	if known := a.shares[service.Name]; known != nil {
		return known.parts
	}
	return service.Even()
}

// weights gives those of the ready hosts of a service that follow from parts; nil: those
// of its table.
func (a *tokenAffinity) weights(service *steering.Service) []float64 {
	if known := a.shares[service.Name]; known != nil {
		return known.weightsOf(service)
	}
	return nil
}

// deal gives the back end of a new flow of a service: the next by turns, or the first
// by rank among all where that is the setting or most of this node's hand is silent.
func (a *tokenAffinity) deal(service *steering.Service, flow lb.FlowID) *steering.Host {
	if a.core.settings.Picking == PickSubset {
		ring := service.Ring()
		index := a.hands.of(a.core, service).Pick(a.parts(service),
			func(index int) float64 { return max(0, a.factor(service, ring[index])) }, // those out of reach get nothing
			func(index int) int { return a.observer.Busy(passivehealth.Identity(ring[index].Run)) },
		)
		if index >= 0 {
			return ring[index]
		}
	}
	a.weigh(service)
	return a.rank(service, flow, a.weights(service))
}

// rankTrusted gives the first by rank of a service but the suspects; nil: these are the most.
func (a *tokenAffinity) rankTrusted(service *steering.Service, flow lb.FlowID) *steering.Host {
	a.weigh(service)
	for index, host := range service.Ready {
		if a.factors[index] > 0 && a.observer.Suspect(passivehealth.Identity(host.Run)) {
			a.factors[index] = 0
		}
	}
	if steering.MostlyZero(a.factors) {
		return nil
	}
	return a.rank(service, flow, a.weights(service))
}

// rank gives the first by rank of a service, by the weights of its table where all of
// the zones that others go by are out of reach.
func (a *tokenAffinity) rank(service *steering.Service, flow lb.FlowID, weights []float64) *steering.Host {
	found := service.Pick(flow, weights, a.factors)
	if found == nil && weights != nil {
		found = service.Pick(flow, nil, a.factors)
	}
	return found
}
