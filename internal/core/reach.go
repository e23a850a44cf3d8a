package core

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/steering"
)

// noteSigns tells what back ends show of their zones.
func (a *tokenAffinity) noteSigns() {
	for _, sign := range a.observer.Signs() {
		host := a.table.HostOfRun(uint64(sign.Identity))
		switch {
		case host == nil: // gone meanwhile
		case sign.Missing:
			a.reach.Unanswered(a.core.now, host.Zone, reachability.Identity(sign.Identity), sign.Sent)
		default:
			a.reach.Answered(a.core.now, host.Zone)
		}
	}
}

// heard takes what the membership knows of zones with back ends.
func (a *tokenAffinity) heard(zones []ZoneHeard) {
	a.reach.Tick(a.core.now)
	for _, zone := range zones {
		a.reach.Heard(a.core.now, zone.Zone, zone.At, zone.Lost)
	}
}

func (a *tokenAffinity) reached() []reachability.Change { return a.reach.Changes() }

func (a *tokenAffinity) zones() []reachability.Status { return a.reach.Status() }

// probe gives the back end of an opening that finds out whether a zone is reached
// again; nil: none is due.
func (a *tokenAffinity) probe(service *steering.Service, flow lb.FlowID) *steering.Host {
	if a.reach.All() {
		return nil
	}
	for _, host := range service.Ready {
		if !a.reach.Reaches(host.Zone) && a.reach.Probe(a.core.now, host.Zone) {
			return service.Pick(flow, nil, factorsWithin(service, host.Zone))
		}
	}
	return nil
}

// factorsWithin are those for a choice among the hosts of one zone.
func factorsWithin(service *steering.Service, zone lb.Zone) []float64 {
	factors := make([]float64, len(service.Ready))
	for index, host := range service.Ready {
		factors[index] = steering.FactorUnreached
		if host.Zone == zone {
			factors[index] = 1
		}
	}
	return factors
}

// outOfReach tells whether a service has back ends, of which none is in a zone that
// this node reaches.
func (a *tokenAffinity) outOfReach(service *steering.Service) bool {
	if a.reach.All() {
		return false
	}
	hosts := 0
	for _, group := range [][]*steering.Host{service.Ready, service.Cold, service.Lapsed} {
		hosts += len(group)
		for _, host := range group {
			if a.reach.Reaches(host.Zone) {
				return false
			}
		}
	}
	return hosts > 0
}
