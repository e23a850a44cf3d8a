package sim

import (
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Network simulates the network between zones. It determines the delay of each packet or message,
// whether it is lost and whether it is duplicated.
type Network struct {
	// Within and Between are the one-way delays within a zone and between two zones.
	Within, Between time.Duration
	// Region is the additional one-way delay between zones of different regions.
	Region time.Duration
	// RegionOf maps a zone to its region. If it is nil, all zones are in one region.
	RegionOf map[lb.Zone]string
	// Jitter is the upper bound of a random delay that is added, uniformly distributed from zero.
	Jitter time.Duration
	// Loss and Duplication are the probabilities, from 0 to 1, that a packet is lost or duplicated.
	Loss, Duplication float64

	random *rand.Rand
	cuts   map[zonePair]bool
}

// zonePair is a direction between two zones.
type zonePair struct{ from, to lb.Zone }

// NewRandom returns a random source for the seed. Each run uses its own sources, so that runs are
// reproducible.
func NewRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// Start sets the network's random source and removes all cuts. It must be called before the first
// call of Cut or Delays.
func (network *Network) Start(random *rand.Rand) {
	network.random = random
	network.cuts = make(map[zonePair]bool)
}

// Cut blocks all packets between two zones in both directions, or, if cut is false, delivers them
// again.
func (network *Network) Cut(one, other lb.Zone, cut bool) {
	network.cuts[zonePair{one, other}] = cut
	network.cuts[zonePair{other, one}] = cut
}

// Delays returns the delay of each copy of a packet that arrives: none when the packet is lost or
// the zones are cut, two when it is duplicated. It overwrites the buffer and returns it, to save an
// allocation.
func (network *Network) Delays(from, to lb.Zone, buffer []time.Duration) []time.Duration {
	buffer = buffer[:0]
	if network.cuts[zonePair{from, to}] {
		return buffer
	}
	if network.Loss > 0 && network.random.Float64() < network.Loss {
		return buffer
	}
	buffer = append(buffer, network.delay(from, to))
	if network.Duplication > 0 && network.random.Float64() < network.Duplication {
		buffer = append(buffer, network.delay(from, to))
	}
	return buffer
}

// delay draws the one-way delay of one copy of a packet.
func (network *Network) delay(from, to lb.Zone) time.Duration {
	delay := network.Within
	if from != to {
		delay = network.Between
		if network.RegionOf != nil && network.RegionOf[from] != network.RegionOf[to] {
			delay += network.Region
		}
	}
	if network.Jitter > 0 {
		delay += time.Duration(network.random.Int64N(int64(network.Jitter)))
	}
	return delay
}
