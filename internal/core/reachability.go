package core

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/steering"
)

// applyReachabilitySigns passes answered and unanswered openings of back ends to the reachability
// tracker of their zones.
func (a *tokenAffinity) applyReachabilitySigns() {
	for _, sign := range a.observer.Observations() {
		host := a.table.HostOfInstance(uint64(sign.Identity))
		switch {
		case host == nil: // removed in the meantime
		case sign.Missing:
			a.reachability.RecordUnanswered(a.core.now, host.Zone, reachability.Identity(sign.Identity), sign.SentAt)
		default:
			a.reachability.RecordAnswer(a.core.now, host.Zone)
		}
	}
}

// updateReachability applies the membership's contact with zones that have back ends.
func (a *tokenAffinity) updateReachability(zones []ZoneContact) {
	a.reachability.Tick(a.core.now)
	for _, zone := range zones {
		a.reachability.RecordMemberSeen(a.core.now, zone.Zone, zone.At, zone.Lost)
	}
}

func (a *tokenAffinity) reachabilityChanges() []reachability.Change { return a.reachability.Changes() }

func (a *tokenAffinity) reachabilityStatus() []reachability.Status { return a.reachability.Status() }

// probeHost returns the back end for an opening that serves as a probe of an unreachable zone, or
// nil if no probe is due.
func (a *tokenAffinity) probeHost(service *steering.Service, flow lb.FlowID) *steering.Host {
	if a.reachability.AllReachable() {
		return nil
	}
	for _, host := range service.Ready {
		if !a.reachability.Reachable(host.Zone) && a.reachability.Probe(a.core.now, host.Zone) {
			return service.Pick(flow, nil, factorsOfZone(service, host.Zone))
		}
	}
	return nil
}

// factorsOfZone returns weight factors that limit a choice to the hosts of one zone.
func factorsOfZone(service *steering.Service, zone lb.Zone) []float64 {
	factors := make([]float64, len(service.Ready))
	for index, host := range service.Ready {
		factors[index] = steering.FactorUnreachable
		if host.Zone == zone {
			factors[index] = 1
		}
	}
	return factors
}

// allZonesUnreachable reports whether a service has back ends but none of them is in a zone that
// this node can reach.
func (a *tokenAffinity) allZonesUnreachable(service *steering.Service) bool {
	if a.reachability.AllReachable() {
		return false
	}
	hosts := 0
	for _, group := range [][]*steering.Host{service.Ready, service.Cold, service.Lapsed} {
		hosts += len(group)
		for _, host := range group {
			if a.reachability.Reachable(host.Zone) {
				return false
			}
		}
	}
	return hosts > 0
}
