package steering

import "robinpulley.example/robinpulley/internal/lb"

// remoteShare is the part of a zone's new flows that goes to other zones at
// the least, so that their back ends are known to answer before they are needed.
const remoteShare = 0.02

// setShares gives each ready host of a service its weight for a balancer in
// zone. Demand is taken to be the same in each of the zones. A zone keeps its
// flows as far as its back ends hold their part of the service; what is too
// much for them goes to the zones that have room. So all hosts get the same
// load and no more bytes cross zones than that takes.
func (s *Service) setShares(zone lb.Zone, zones int) {
	capacity := make(map[lb.Zone]float64)
	total := 0.0
	for _, host := range s.Ready {
		capacity[host.Zone] += host.capacity()
		total += host.capacity()
	}
	fair := total / float64(max(zones, 1))
	own := capacity[zone]
	if own == 0 {
		s.shareBy(func(host *Host) float64 { return host.capacity() })
		return
	}
	room := 0.0
	for _, has := range capacity {
		room += max(0, has-fair)
	}
	local := min(1-remoteShare, own/fair)
	s.shareBy(func(host *Host) float64 {
		if host.Zone == zone {
			return local * host.capacity() / own
		}
		share := remoteShare * host.capacity() / total
		has := capacity[host.Zone]
		if local < 1-remoteShare && room > 0 && has > fair {
			share += (1 - local) * (has - fair) / room * host.capacity() / has
		}
		return share
	})
}

// setCapacities sums up what the ready hosts work on at once.
func (s *Service) setCapacities() {
	sum := uint64(0)
	for _, host := range s.Ready {
		sum += uint64(host.capacity())
		s.capacities = append(s.capacities, sum)
	}
}

// shareBy sets the weights.
func (s *Service) shareBy(share func(*Host) float64) {
	for _, host := range s.Ready {
		host.weight = share(host)
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
