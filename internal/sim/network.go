package sim

import (
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Network gives the fate of each packet or message between two zones.
type Network struct {
	// Within and Between are one-way delays inside a zone and between zones.
	Within, Between time.Duration
	// Region is the extra one-way delay between zones of two regions.
	Region time.Duration
	// RegionOf tells a zone's region; nil puts all zones in one.
	RegionOf map[lb.Zone]string
	// Jitter is added, uniformly from zero up to it.
	Jitter time.Duration
	// Loss and Duplication are probabilities, 0 to 1.
	Loss, Duplication float64

	random *rand.Rand
	cuts   map[zonePair]bool
}

type zonePair struct{ from, to lb.Zone }

// NewRandom gives the random source of a seed; every run draws from its own.
func NewRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// Start readies the network with its random source.
func (network *Network) Start(random *rand.Rand) {
	network.random = random
	network.cuts = make(map[zonePair]bool)
}

// Cut stops (or lets through again) everything between two zones, both ways.
func (network *Network) Cut(one, other lb.Zone, cut bool) {
	network.cuts[zonePair{one, other}] = cut
	network.cuts[zonePair{other, one}] = cut
}

// Delays fills the buffer with the delays at which copies arrive: none when
// the packet is lost, two when it is duplicated.
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
