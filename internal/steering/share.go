package steering

import (
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/zoneshare"
)

// setShares gives each ready host of a service its weight for a balancer in
// zone while nothing is known of the load of zones: demand is taken to be the same
// in each of them; see package zoneshare.
func (s *Service) setShares(zone lb.Zone, zones int) {
	s.zones = zonesOf(s.Ready)
	parts := zoneshare.Split(zone, zoneshare.Even(s.zones, zone, zones), 0)
	weights := s.Weights(parts)
	for index, host := range s.Ready {
		host.weight = weights[index]
	}
	s.even = parts
}

// Capacity gives what the ready hosts work on at once, by zone. It is not to be changed.
func (s *Service) Capacity() map[lb.Zone]float64 { return s.zones }

// Even gives the parts of zones while nothing is known of their load. It is not to be changed.
func (s *Service) Even() zoneshare.Parts { return s.even }

// Weights gives the weight of each ready host where zones get these parts of the new flows.
func (s *Service) Weights(parts zoneshare.Parts) []float64 {
	weights := make([]float64, len(s.Ready))
	for index, host := range s.Ready {
		weights[index] = parts[host.Zone] * host.capacity() / s.zones[host.Zone]
	}
	return weights
}

// zonesOf sums up what hosts work on at once, by zone.
func zonesOf(hosts []*Host) map[lb.Zone]float64 {
	zones := make(map[lb.Zone]float64)
	for _, host := range hosts {
		zones[host.Zone] += host.capacity()
	}
	return zones
}

// setCapacities sums up what the ready hosts work on at once.
func (s *Service) setCapacities() {
	sum := uint64(0)
	for _, host := range s.Ready {
		sum += uint64(host.capacity())
		s.capacities = append(s.capacities, sum)
	}
}

// capacityOf sums up what hosts work on at once.
func capacityOf(hosts []*Host) float64 {
	sum := 0.0
	for _, host := range hosts {
		sum += host.capacity()
	}
	return sum
}

// capacity is what the host says that it works on at once; one if it does not say.
func (h *Host) capacity() float64 { return float64(max(h.Slots, 1)) }

// warmingPart is what a back end that has just started is taken to do, against what it does
// when it is warm: one that is slow for longer shows by its requests that are under way.
const warmingPart = 0.5

// Size is what the host can do against others of its service, as far as its own word goes.
func (h *Host) Size() float64 {
	if h.Warming {
		return warmingPart * h.capacity()
	}
	return h.capacity()
}
