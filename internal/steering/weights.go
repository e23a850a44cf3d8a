package steering

import (
	"sync"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// setEvenWeights sets the zone weights that a balancer in zone uses while the load of the zones is
// unknown: it assumes the same demand in each of the zones. See package zoneweight.
func (s *Service) setEvenWeights(zone lb.Zone, zones int) {
	s.zoneCapacity = capacityByZone(s.ring)
	s.even = zoneweight.Split(zone, zoneweight.EvenZones(s.zoneCapacity, zone, zones), 0)
}

// serviceSums holds sums over all ready hosts of a service.
type serviceSums struct {
	once sync.Once
	// weights holds the weights of the ready hosts that follow from EvenZoneWeights.
	weights []float64
	// capacities holds the running sums of the capacities of the ready hosts.
	capacities []uint64
}

// lazySums computes the sums when they are first needed. A node whose view changes five times a
// second, with thousands of back ends, usually places no flow by these sums between two changes.
func (s *Service) lazySums() *serviceSums {
	s.sums.once.Do(func() {
		s.sums.weights = s.HostWeights(s.even)
		s.sums.capacities = sumCapacities(s.Ready)
	})
	return &s.sums
}

func (s *Service) evenWeights() []float64 { return s.lazySums().weights }

func (s *Service) runningCapacities() []uint64 { return s.lazySums().capacities }

// Capacity returns the total capacity of the ready hosts by zone, in slots. The caller must not
// modify it.
func (s *Service) Capacity() map[lb.Zone]float64 { return s.zoneCapacity }

// EvenZoneWeights returns the zone weights used while the load of the zones is unknown. The caller
// must not modify them.
func (s *Service) EvenZoneWeights() zoneweight.Weights { return s.even }

// HostWeights returns the weight of each ready host under the given zone weights for new flows.
func (s *Service) HostWeights(zones zoneweight.Weights) []float64 {
	weights := make([]float64, len(s.Ready))
	for index, host := range s.Ready {
		weights[index] = zones[host.Zone] * host.capacity() / s.zoneCapacity[host.Zone]
	}
	return weights
}

// capacityByZone sums the capacities of the hosts by zone. It accesses the map once per sequence of
// adjacent hosts of the same zone.
func capacityByZone(hosts []*Host) map[lb.Zone]float64 {
	zones := make(map[lb.Zone]float64)
	for start := 0; start < len(hosts); {
		zone, sum, end := hosts[start].Zone, 0.0, start
		for ; end < len(hosts) && hosts[end].Zone == zone; end++ {
			sum += hosts[end].capacity()
		}
		zones[zone] += sum
		start = end
	}
	return zones
}

// sumCapacities returns the running sums of the capacities of the hosts.
func sumCapacities(hosts []*Host) []uint64 {
	sums := make([]uint64, len(hosts))
	sum := uint64(0)
	for index, host := range hosts {
		sum += uint64(host.capacity())
		sums[index] = sum
	}
	return sums
}

// capacity returns the number of requests that the back end states it processes concurrently, or 1
// if it states none.
func (h *Host) capacity() float64 { return float64(max(h.Slots, 1)) }

// warmingFactor is the assumed capacity of a back end that has just started, relative to its
// capacity when warm. A back end that stays slow for longer accumulates requests in flight, which
// then reduces its share of new flows.
const warmingFactor = 0.5

// RelativeCapacity returns the capacity of the host relative to other hosts of its service, as
// stated by the back end.
func (h *Host) RelativeCapacity() float64 {
	if h.Warming {
		return warmingFactor * h.capacity()
	}
	return h.capacity()
}
