package maglev_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/maglev"
)

// entries returns count back ends with the weights that the function weight returns.
func entries(count int, weight func(index int) uint16) []maglev.Entry {
	list := make([]maglev.Entry, count)
	for index := range list {
		list[index] = maglev.Entry{
			ID:     lb.BackendID(index + 1),
			Key:    xxhash.Sum64String(fmt.Sprintf("backend-%d", index+1)),
			Weight: weight(index),
		}
	}
	return list
}

func equalWeight(int) uint16 { return 100 }

func shares(table *maglev.Table) map[lb.BackendID]int {
	counts := make(map[lb.BackendID]int)
	for _, id := range table {
		counts[id]++
	}
	return counts
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{1, 2, 3, 4, 14, 100, 1021} {
		list := entries(count, func(int) uint16 { return uint16(random.IntN(1000) + 1) })
		total := 0
		for _, entry := range list {
			total += int(entry.Weight)
		}
		var table maglev.Table
		maglev.Fill(&table, list)
		counts := shares(&table)
		is.Equal(counts[lb.NoBackend], 0) // every bucket has a back end
		for _, entry := range list {
			exact := float64(entry.Weight) * lb.BucketCount / float64(total)
			difference := float64(counts[entry.ID]) - exact
			is.True(difference > -1 && difference < 1) // within one bucket of the exact share
		}
	}
}

func TestTableIsIndependentOfEntryOrder(t *testing.T) {
	is := is.New(t)
	list := entries(14, func(index int) uint16 { return uint16(100 + index%3) })
	var first, second maglev.Table
	maglev.Fill(&first, list)
	slices.Reverse(list)
	maglev.Fill(&second, list)
	is.Equal(first, second)
}

// TestTableIsStable compares a table with a fixed digest: nodes of different releases must compute
// the same tables.
func TestTableIsStable(t *testing.T) {
	is := is.New(t)
	var table maglev.Table
	maglev.Fill(&table, entries(14, func(index int) uint16 { return uint16(100 - index) }))
	digest := xxhash.New()
	for _, id := range table {
		_, _ = digest.Write([]byte{byte(id >> 8), byte(id)})
	}
	is.Equal(fmt.Sprintf("%016x", digest.Sum64()), "049dd3e1f8055794")
}

func TestFillWithoutEntries(t *testing.T) {
	is := is.New(t)
	table := maglev.Table{0: 7}
	maglev.Fill(&table, nil)
	is.Equal(table, maglev.Table{})
}

// movedBetweenOthers counts the buckets whose back end changes although neither the old nor the new
// one is removed.
func movedBetweenOthers(before, after *maglev.Table, removed lb.BackendID) int {
	moved := 0
	for bucket := range before {
		if before[bucket] != removed && after[bucket] != removed && before[bucket] != after[bucket] {
			moved++
		}
	}
	return moved
}

func TestRemovalMovesFewOtherBuckets(t *testing.T) {
	is := is.New(t)
	list := entries(14, equalWeight)
	var before, after maglev.Table
	maglev.Fill(&before, list)
	maxMoved, sum := 0, 0
	for index, entry := range list {
		maglev.Fill(&after, slices.Delete(slices.Clone(list), index, index+1))
		moved := movedBetweenOthers(&before, &after, entry.ID)
		maxMoved = max(maxMoved, moved)
		sum += moved
	}
	t.Logf("buckets moved between remaining back ends, of %d: at most %d, on average %.1f", lb.BucketCount, maxMoved, float64(sum)/14)
	is.True(maxMoved < lb.BucketCount/10)
}

func TestWeightChangeMovesFewBuckets(t *testing.T) {
	is := is.New(t)
	var before, after maglev.Table
	maglev.Fill(&before, entries(14, equalWeight))
	maglev.Fill(&after, entries(14, func(index int) uint16 {
		if index == 3 {
			return 80
		}
		return 100
	}))
	moved := movedBetweenOthers(&before, &after, lb.NoBackend)
	t.Logf("buckets moved when one of 14 loses a fifth of its weight: %d", moved)
	is.True(moved < lb.BucketCount/10)
}

func BenchmarkFill(b *testing.B) {
	for _, count := range []int{4, 14, 100, 1000} {
		list := entries(count, equalWeight)
		b.Run(fmt.Sprintf("backends=%d", count), func(b *testing.B) {
			var table maglev.Table
			for b.Loop() {
				maglev.Fill(&table, list)
			}
		})
	}
}
