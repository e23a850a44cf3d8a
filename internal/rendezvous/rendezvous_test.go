package rendezvous_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

func candidates(count, zones int) []rendezvous.Candidate {
	list := make([]rendezvous.Candidate, count)
	for index := range list {
		id := lb.NodeID(fmt.Sprintf("node-%d", index))
		list[index] = rendezvous.Candidate{ID: id, Zone: lb.Zone(fmt.Sprintf("zone-%d", index%zones)), Hash: id.Hash()}
	}
	return list
}

// TestChainIsTheFirstNodeAndTheFirstInAnotherZone compares the chain with a complete sort.
func TestChainIsTheFirstNodeAndTheFirstInAnotherZone(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ nodes, zones int }{{0, 1}, {1, 1}, {2, 1}, {5, 1}, {2, 2}, {7, 3}, {40, 12}} {
		list := candidates(size.nodes, size.zones)
		for bucket := range uint16(500) {
			key := rendezvous.NewKey("service").BucketKey(bucket)
			ranked := slices.Clone(list)
			slices.SortFunc(ranked, func(a, b rendezvous.Candidate) int {
				if rendezvous.Before(key, &a, &b) {
					return -1
				}
				return 1
			})
			head, tail := rendezvous.Chain(key, list)
			if size.nodes == 0 {
				is.Equal(head, -1)
				continue
			}
			is.Equal(list[head], ranked[0])
			want := slices.IndexFunc(ranked, func(node rendezvous.Candidate) bool { return node.Zone != ranked[0].Zone })
			if want < 0 && size.nodes > 1 {
				want = 1 // with one zone, the second node
			}
			is.Equal(tail < 0, want < 0)
			if want >= 0 {
				is.Equal(list[tail], ranked[want])
			}
		}
	}
}

// TestWatchersAreTheFirstTwoOfEachZone compares the watchers with a complete sort by zone and rank.
func TestWatchersAreTheFirstTwoOfEachZone(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ nodes, zones int }{{0, 1}, {1, 1}, {5, 4}, {30, 4}, {200, 12}} {
		list := candidates(size.nodes, size.zones)
		ranked := slices.Clone(list)
		slices.SortFunc(ranked, func(a, b rendezvous.Candidate) int {
			switch key := rendezvous.NewKey("watchers"); {
			case a.Zone != b.Zone:
				return cmp.Compare(a.Zone, b.Zone)
			case rendezvous.Before(key, &a, &b):
				return -1
			}
			return 1
		})
		var want []rendezvous.Candidate
		count := make(map[lb.Zone]int)
		for _, node := range ranked {
			if count[node.Zone] < rendezvous.WatchersPerZone {
				want = append(want, node)
			}
			count[node.Zone]++
		}
		is.Equal(rendezvous.Watchers(list), want)
	}
}

func BenchmarkWatchers840(b *testing.B) {
	list := candidates(840, 12)
	for range b.N {
		rendezvous.Watchers(list)
	}
}

func BenchmarkChain840(b *testing.B) {
	list := candidates(840, 12)
	for index := range b.N {
		rendezvous.Chain(rendezvous.NewKey("service").BucketKey(uint16(index)), list)
	}
}
