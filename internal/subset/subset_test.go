package subset

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// fleetOf gives back ends of zones, with sizes from one to three.
func fleetOf(perZone ...int) []Backend {
	var backends []Backend
	for zone, count := range perZone {
		for range count {
			backends = append(backends, Backend{
				Identity: Identity(len(backends) + 1), Zone: lb.Zone(fmt.Sprintf("zone-%d", zone)),
				Size: float64(1 + len(backends)%3),
			})
		}
	}
	return backends
}

// zoneWeights are those of three zones.
func zoneWeights(shares ...float64) map[lb.Zone]float64 {
	given := map[lb.Zone]float64{}
	for zone, share := range shares {
		given[lb.Zone(fmt.Sprintf("zone-%d", zone))] = share
	}
	return given
}

var oneZone = zoneWeights(1)

func fullWeight(int) float64 { return 1 }
func noRequests(int) int     { return 0 }

// countPicks gives how often each back end is picked.
func countPicks(d *Picker, zones map[lb.Zone]float64, backends, picks int, factor func(int) float64, busy func(int) int) []int {
	got := make([]int, backends)
	for range picks {
		got[d.Pick(zones, factor, busy)]++
	}
	return got
}

// TestHandsCoverBackendsEvenly: the nodes of a zone together deal to each back end by its size.
func TestHandsCoverBackendsEvenly(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 7, 24, 100} {
		for _, hosts := range []int{1, 3, 10, 40, 400} {
			is := is.New(t)
			backends := fleetOf(hosts)
			total := 0.0
			for _, backend := range backends {
				total += backend.Size
			}
			weights := make([]float64, hosts)
			for rank := range nodes {
				d := New(DefaultSettings())
				d.SetSubset(NewRing(backends), Position{Rank: rank, Nodes: nodes}, uint64(rank))
				for _, c := range d.subsets[0].members {
					weights[c.index] += c.weight / float64(nodes)
				}
			}
			for index, weight := range weights {
				is.True(math.Abs(weight-backends[index].Size/total) < 1e-9)
			}
		}
	}
}

// TestHandIsSmall: a node deals to few of many back ends, but each is dealt to by several.
func TestHandIsSmall(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{4, 24, 100} {
		backends := fleetOf(120)
		dealers := make([]int, len(backends))
		for rank := range nodes {
			d := New(DefaultSettings())
			d.SetSubset(NewRing(backends), Position{Rank: rank, Nodes: nodes}, 1)
			cards := d.subsets[0].members
			is.True(float64(len(cards)) < 2*max(DefaultSettings().SubsetSize, DefaultSettings().Replication*120/float64(nodes)))
			for _, c := range cards {
				dealers[c.index]++
			}
		}
		for _, count := range dealers {
			is.True(count >= 3)
		}
	}
}

// TestTurnsFollowWeights: no back end gets a flow more than a turn too early or late.
func TestTurnsFollowWeights(t *testing.T) {
	is := is.New(t)
	backends := fleetOf(40)
	d := New(DefaultSettings())
	d.SetSubset(NewRing(backends), Position{Rank: 5, Nodes: 24}, 7)
	const picks = 1000
	got := countPicks(d, oneZone, len(backends), picks, fullWeight, noRequests)
	for _, c := range d.subsets[0].members {
		is.True(math.Abs(float64(got[c.index])-picks*c.weight) <= 3)
	}
}

// TestZonesGetTheirShares whatever the sizes of hands in them.
func TestZonesGetTheirShares(t *testing.T) {
	is := is.New(t)
	backends := fleetOf(10, 40, 3)
	d := New(DefaultSettings())
	d.SetSubset(NewRing(backends), Position{Rank: 2, Nodes: 9}, 7)
	got := countPicks(d, zoneWeights(0.9, 0.08, 0.02), len(backends), 1000, fullWeight, noRequests)
	zones := map[lb.Zone]int{}
	for index, count := range got {
		zones[backends[index].Zone] += count
	}
	is.True(math.Abs(float64(zones["zone-0"])-900) <= 1)
	is.True(math.Abs(float64(zones["zone-1"])-80) <= 1)
	is.True(math.Abs(float64(zones["zone-2"])-20) <= 1)
}

// TestFactorsLowerParts: 0 takes a back end out, a half halves its part.
func TestFactorsLowerParts(t *testing.T) {
	is := is.New(t)
	backends := fleetOf(8)
	for index := range backends {
		backends[index].Size = 1
	}
	d := New(DefaultSettings())
	d.SetSubset(NewRing(backends), Position{Nodes: 1}, 7)
	factors := []float64{0, 0.5, 1, 1, 1, 1, 1, 1}
	got := countPicks(d, oneZone, len(backends), 1300, func(index int) float64 { return factors[index] }, noRequests)
	is.Equal(got[0], 0)
	is.True(math.Abs(float64(got[1])-100) <= 3)
	is.True(math.Abs(float64(got[2])-200) <= 3)
	is.Equal(d.Pick(oneZone, func(int) float64 { return 0 }, noRequests), -1)
	mostly := []float64{0, 0, 0, 0, 0, 1, 1, 1}
	is.Equal(d.Pick(oneZone, func(index int) float64 { return mostly[index] }, noRequests), -1)
	is.Equal(New(DefaultSettings()).Pick(oneZone, fullWeight, noRequests), -1)
}

// TestBusyBackendsWait: one with requests under way is passed over while others
// have none, and is not given what it was passed over for at once.
func TestBusyBackendsWait(t *testing.T) {
	is := is.New(t)
	backends := fleetOf(8)
	d := New(DefaultSettings())
	d.SetSubset(NewRing(backends), Position{Nodes: 1}, 7)
	stuck := func(index int) int {
		if index == 3 {
			return 5
		}
		return 0
	}
	is.Equal(countPicks(d, oneZone, len(backends), 400, fullWeight, stuck)[3], 0)
	after := countPicks(d, oneZone, len(backends), 16, fullWeight, noRequests)
	is.True(after[3] <= 2+16*3/15) // its own two turns, and two that it is owed
}

// TestNodesBeginAtDifferentBackends: those that start together do not all send
// their first flows to the same ones.
func TestNodesBeginAtDifferentBackends(t *testing.T) {
	is := is.New(t)
	const nodes = 120
	backends := fleetOf(8)
	for index := range backends {
		backends[index].Size = 1
	}
	first := make([]int, len(backends))
	for seed := range uint64(nodes) {
		d := New(DefaultSettings())
		d.SetSubset(NewRing(backends), Position{Nodes: 1}, seed*0x9e3779b97f4a7c15)
		first[d.Pick(oneZone, fullWeight, noRequests)]++
	}
	for _, count := range first {
		is.True(count > 4 && count < 30) // 15 in the mean
	}
}

// TestTurnsSurviveAChange: a hand that is dealt anew begins no new round.
func TestTurnsSurviveAChange(t *testing.T) {
	is := is.New(t)
	backends := fleetOf(8)
	for index := range backends {
		backends[index].Size = 1
	}
	d := New(DefaultSettings())
	got := make([]int, len(backends))
	for range 800 {
		d.SetSubset(NewRing(backends), Position{Nodes: 1}, 7)
		got[d.Pick(oneZone, fullWeight, noRequests)]++
	}
	for _, count := range got {
		is.True(math.Abs(float64(count)-100) <= 1)
	}
}

// TestPickAllocatesNothing: it is on the path of every opening.
func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	d := New(DefaultSettings())
	d.SetSubset(NewRing(fleetOf(40, 40, 40)), Position{Rank: 3, Nodes: 24}, 7)
	zones := zoneWeights(0.98, 0.01, 0.01)
	is.Equal(testing.AllocsPerRun(100, func() { d.Pick(zones, fullWeight, noRequests) }), 0.0)
}

// BenchmarkDeal deals a new hand among 3,000 back ends, as after each change of the zone's nodes.
func BenchmarkDeal(b *testing.B) {
	circle := NewRing(fleetOf(1000, 1000, 1000))
	d := New(DefaultSettings())
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		d.SetSubset(circle, Position{Rank: number % 100, Nodes: 100}, 5)
	}
}
