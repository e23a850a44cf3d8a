package steering

import (
	"sync"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// setShares gives each ready host of a service its weight for a balancer in
// zone while nothing is known of the load of zones: demand is taken to be the same
// in each of them; see package zoneshare.
func (s *Service) setShares(zone lb.Zone, zones int) {
	s.zones = zonesOf(s.ring)
	s.even = zoneweight.Split(zone, zoneweight.Even(s.zones, zone, zones), 0)
}

// serviceSums are sums over all ready hosts of a service.
type serviceSums struct {
	once sync.Once
	// weights are those of the ready hosts by Even.
	weights []float64
	// capacities are the running sums of what they work on at once.
	capacities []uint64
}

// summed makes the sums when they are first needed: a node whose view changes five times
// a second before thousands of hosts mostly places no flow by them in between.
func (s *Service) summed() *serviceSums {
	s.sums.once.Do(func() {
		s.sums.weights = s.Weights(s.even)
		s.sums.capacities = runningCapacities(s.Ready)
	})
	return &s.sums
}

func (s *Service) evenWeights() []float64 { return s.summed().weights }

func (s *Service) capacities() []uint64 { return s.summed().capacities }

// Capacity gives what the ready hosts work on at once, by zone. It is not to be changed.
func (s *Service) Capacity() map[lb.Zone]float64 { return s.zones }

// Even gives the parts of zones while nothing is known of their load. It is not to be changed.
func (s *Service) Even() zoneweight.Weights { return s.even }

// Weights gives the weight of each ready host where zones get these parts of the new flows.
func (s *Service) Weights(parts zoneweight.Weights) []float64 {
	weights := make([]float64, len(s.Ready))
	for index, host := range s.Ready {
		weights[index] = parts[host.Zone] * host.capacity() / s.zones[host.Zone]
	}
	return weights
}

// zonesOf sums up what hosts work on at once, by zone. It looks a zone up once for each
// run of hosts in it.
func zonesOf(hosts []*Host) map[lb.Zone]float64 {
	zones := make(map[lb.Zone]float64)
	for from := 0; from < len(hosts); {
		zone, sum, to := hosts[from].Zone, 0.0, from
		for ; to < len(hosts) && hosts[to].Zone == zone; to++ {
			sum += hosts[to].capacity()
		}
		zones[zone] += sum
		from = to
	}
	return zones
}

// runningCapacities gives the running sums of what hosts work on at once.
func runningCapacities(hosts []*Host) []uint64 {
	sums := make([]uint64, len(hosts))
	sum := uint64(0)
	for index, host := range hosts {
		sum += uint64(host.capacity())
		sums[index] = sum
	}
	return sums
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
