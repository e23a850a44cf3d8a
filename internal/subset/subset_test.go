package subset

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// makeBackends returns back ends in zones, with sizes from one to three.
func makeBackends(perZone ...int) []Backend {
	var backends []Backend
	for zone, count := range perZone {
		for range count {
			backends = append(backends, Backend{
				Identity: Identity(len(backends) + 1), Zone: lb.Zone(fmt.Sprintf("zone-%d", zone)),
				RelativeCapacity: float64(1 + len(backends)%3),
			})
		}
	}
	return backends
}

// zoneWeights returns the weights of the zones of makeBackends.
func zoneWeights(fractions ...float64) map[lb.Zone]float64 {
	weights := map[lb.Zone]float64{}
	for zone, fraction := range fractions {
		weights[lb.Zone(fmt.Sprintf("zone-%d", zone))] = fraction
	}
	return weights
}

var oneZone = zoneWeights(1)

func fullWeight(int) float64 { return 1 }
func noRequests(int) int     { return 0 }

// countPicks returns how often each back end is picked.
func countPicks(p *Picker, zones map[lb.Zone]float64, backends, picks int, factor func(int) float64, busy func(int) int) []int {
	picked := make([]int, backends)
	for range picks {
		picked[p.Pick(zones, factor, busy)]++
	}
	return picked
}

// TestSubsetsCoverBackendsEvenly checks that the nodes of a zone together send flows to each back
// end in proportion to its size.
func TestSubsetsCoverBackendsEvenly(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 7, 24, 100} {
		for _, hosts := range []int{1, 3, 10, 40, 400} {
			is := is.New(t)
			backends := makeBackends(hosts)
			total := 0.0
			for _, backend := range backends {
				total += backend.RelativeCapacity
			}
			weights := make([]float64, hosts)
			for rank := range nodes {
				p := New(DefaultSettings())
				p.SetSubset(NewRing(backends), Position{Rank: rank, Nodes: nodes}, uint64(rank))
				for _, m := range p.subsets[0].members {
					weights[m.index] += m.weight / float64(nodes)
				}
			}
			for index, weight := range weights {
				is.True(math.Abs(weight-backends[index].RelativeCapacity/total) < 1e-9)
			}
		}
	}
}

// TestSubsetIsSmall checks that a node's subset has few of many back ends, while each back end is
// in at least three subsets.
func TestSubsetIsSmall(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{4, 24, 100} {
		backends := makeBackends(120)
		nodesPerBackend := make([]int, len(backends))
		for rank := range nodes {
			p := New(DefaultSettings())
			p.SetSubset(NewRing(backends), Position{Rank: rank, Nodes: nodes}, 1)
			members := p.subsets[0].members
			is.True(float64(len(members)) < 2*max(DefaultSettings().SubsetSize, DefaultSettings().Replication*120/float64(nodes)))
			for _, m := range members {
				nodesPerBackend[m.index]++
			}
		}
		for _, count := range nodesPerBackend {
			is.True(count >= 3)
		}
	}
}

// TestPicksFollowWeights checks that the number of picks of each back end differs from the number
// that follows from its weight by at most three.
func TestPicksFollowWeights(t *testing.T) {
	is := is.New(t)
	backends := makeBackends(40)
	p := New(DefaultSettings())
	p.SetSubset(NewRing(backends), Position{Rank: 5, Nodes: 24}, 7)
	const picks = 1000
	picked := countPicks(p, oneZone, len(backends), picks, fullWeight, noRequests)
	for _, m := range p.subsets[0].members {
		is.True(math.Abs(float64(picked[m.index])-picks*m.weight) <= 3)
	}
}

// TestZonesGetTheirWeights checks the zone weights with subsets of different sizes.
func TestZonesGetTheirWeights(t *testing.T) {
	is := is.New(t)
	backends := makeBackends(10, 40, 3)
	p := New(DefaultSettings())
	p.SetSubset(NewRing(backends), Position{Rank: 2, Nodes: 9}, 7)
	picked := countPicks(p, zoneWeights(0.9, 0.08, 0.02), len(backends), 1000, fullWeight, noRequests)
	zones := map[lb.Zone]int{}
	for index, count := range picked {
		zones[backends[index].Zone] += count
	}
	is.True(math.Abs(float64(zones["zone-0"])-900) <= 1)
	is.True(math.Abs(float64(zones["zone-1"])-80) <= 1)
	is.True(math.Abs(float64(zones["zone-2"])-20) <= 1)
}

// TestFactorsReduceWeights: factor 0 excludes a back end, and factor 0.5 halves its flows.
func TestFactorsReduceWeights(t *testing.T) {
	is := is.New(t)
	backends := makeBackends(8)
	for index := range backends {
		backends[index].RelativeCapacity = 1
	}
	p := New(DefaultSettings())
	p.SetSubset(NewRing(backends), Position{Nodes: 1}, 7)
	factors := []float64{0, 0.5, 1, 1, 1, 1, 1, 1}
	picked := countPicks(p, oneZone, len(backends), 1300, func(index int) float64 { return factors[index] }, noRequests)
	is.Equal(picked[0], 0)
	is.True(math.Abs(float64(picked[1])-100) <= 3)
	is.True(math.Abs(float64(picked[2])-200) <= 3)
	is.Equal(p.Pick(oneZone, func(int) float64 { return 0 }, noRequests), -1)
	mostlyZero := []float64{0, 0, 0, 0, 0, 1, 1, 1}
	is.Equal(p.Pick(oneZone, func(index int) float64 { return mostlyZero[index] }, noRequests), -1)
	is.Equal(New(DefaultSettings()).Pick(oneZone, fullWeight, noRequests), -1)
}

// TestBusyBackendsArePassedOver checks that a back end with requests in flight is passed over while
// others have none, and that it does not receive all the missed flows at once afterwards.
func TestBusyBackendsArePassedOver(t *testing.T) {
	is := is.New(t)
	backends := makeBackends(8)
	p := New(DefaultSettings())
	p.SetSubset(NewRing(backends), Position{Nodes: 1}, 7)
	busy := func(index int) int {
		if index == 3 {
			return 5
		}
		return 0
	}
	is.Equal(countPicks(p, oneZone, len(backends), 400, fullWeight, busy)[3], 0)
	after := countPicks(p, oneZone, len(backends), 16, fullWeight, noRequests)
	is.True(after[3] <= 2+16*3/15) // the picks that follow from its weight, at most three, and two by its credit
}

// TestNodesStartAtDifferentBackends checks that nodes that start together do not all send their
// first flows to the same back ends.
func TestNodesStartAtDifferentBackends(t *testing.T) {
	is := is.New(t)
	const nodes = 120
	backends := makeBackends(8)
	for index := range backends {
		backends[index].RelativeCapacity = 1
	}
	firstPicks := make([]int, len(backends))
	for seed := range uint64(nodes) {
		p := New(DefaultSettings())
		p.SetSubset(NewRing(backends), Position{Nodes: 1}, seed*0x9e3779b97f4a7c15)
		firstPicks[p.Pick(oneZone, fullWeight, noRequests)]++
	}
	for _, count := range firstPicks {
		is.True(count > 4 && count < 30) // 15 on average
	}
}

// TestCreditSurvivesANewSubset checks that setting the subset again does not restart the
// round-robin.
func TestCreditSurvivesANewSubset(t *testing.T) {
	is := is.New(t)
	backends := makeBackends(8)
	for index := range backends {
		backends[index].RelativeCapacity = 1
	}
	p := New(DefaultSettings())
	picked := make([]int, len(backends))
	for range 800 {
		p.SetSubset(NewRing(backends), Position{Nodes: 1}, 7)
		picked[p.Pick(oneZone, fullWeight, noRequests)]++
	}
	for _, count := range picked {
		is.True(math.Abs(float64(count)-100) <= 1)
	}
}

// TestPickAllocatesNothing: Pick runs on the path of every opening.
func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	p := New(DefaultSettings())
	p.SetSubset(NewRing(makeBackends(40, 40, 40)), Position{Rank: 3, Nodes: 24}, 7)
	zones := zoneWeights(0.98, 0.01, 0.01)
	is.Equal(testing.AllocsPerRun(100, func() { p.Pick(zones, fullWeight, noRequests) }), 0.0)
}

// BenchmarkSetSubset computes a new subset of 3,000 back ends, as after each change of the zone's
// nodes.
func BenchmarkSetSubset(b *testing.B) {
	ring := NewRing(makeBackends(1000, 1000, 1000))
	p := New(DefaultSettings())
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		p.SetSubset(ring, Position{Rank: number % 100, Nodes: 100}, 5)
	}
}
