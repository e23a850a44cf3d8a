// Package maglev builds the lookup table that spreads buckets over back ends
// by weight. The table is a pure function of its entries, in integers only, so
// that every node computes the same one. It follows Maglev (NSDI 2016, section
// 3.4): each back end claims buckets in the order of its own permutation, in
// turns; here the turns are in proportion to the weights.
package maglev

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// Entry is one back end that takes part in a table.
type Entry struct {
	// ID fills the buckets that the back end claims.
	ID lb.BackendID
	// Key selects the back end's permutation. It must differ between back
	// ends and stay the same from one generation to the next.
	Key uint64
	// Weight is the back end's share relative to the others, at least 1.
	Weight uint16
}

// Table names the back end of each bucket.
type Table [lb.BucketCount]lb.BackendID

// claimant is one back end while the table is being filled.
type claimant struct {
	id      lb.BackendID
	key     uint64
	quota   int // buckets it is to have
	claimed int // buckets it has
	next    int // next bucket of its permutation
	skip    int // step of its permutation, 1..BucketCount-1
	// remainder of its exact share, in units of 1/total weight of a bucket
	remainder uint64
}

// Fill sets every bucket of table. Without entries all buckets have
// lb.NoBackend. Shares are proportional to the weights, rounded to whole
// buckets by the largest remainder. The order of entries has no influence.
func Fill(table *Table, entries []Entry) {
	*table = Table{}
	if len(entries) == 0 {
		return
	}
	claimants := newClaimants(entries)
	shareOut(claimants, entries)
	for range table {
		claim(table, nextInTurn(claimants))
	}
}

// newClaimants derives each back end's permutation from its key.
func newClaimants(entries []Entry) []claimant {
	claimants := make([]claimant, len(entries))
	for index, entry := range entries {
		claimants[index] = claimant{
			id:   entry.ID,
			key:  entry.Key,
			next: int((entry.Key >> 32) % lb.BucketCount),
			skip: int((entry.Key&0xffffffff)%(lb.BucketCount-1)) + 1,
		}
	}
	return claimants
}

// shareOut sets the quotas. They add up to lb.BucketCount, and each is the
// exact share rounded down or up. It leaves the claimants ordered by key.
func shareOut(claimants []claimant, entries []Entry) {
	var total uint64
	for _, entry := range entries {
		total += uint64(entry.Weight)
	}
	left := lb.BucketCount
	for index, entry := range entries {
		scaled := uint64(entry.Weight) * lb.BucketCount
		claimants[index].quota = int(scaled / total)
		claimants[index].remainder = scaled % total
		left -= claimants[index].quota
	}
	slices.SortFunc(claimants, func(a, b claimant) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), compareIdentity(a, b))
	})
	for index := range left {
		claimants[index].quota++
	}
	slices.SortFunc(claimants, compareIdentity)
}

// compareIdentity orders claimants in a way that does not depend on weights.
func compareIdentity(a, b claimant) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id))
}

// nextInTurn gives the claimant that is furthest behind its quota: the one with
// the least (claimed + 1/2) / quota. Ties go to the first in order.
func nextInTurn(claimants []claimant) *claimant {
	var best *claimant
	for index := range claimants {
		candidate := &claimants[index]
		if candidate.claimed == candidate.quota {
			continue
		}
		if best == nil || isBefore(candidate, best) {
			best = candidate
		}
	}
	return best
}

// isBefore compares (2*claimed + 1) / quota without division.
func isBefore(a, b *claimant) bool {
	return (2*a.claimed+1)*b.quota < (2*b.claimed+1)*a.quota
}

// claim gives the claimant the first free bucket of its permutation.
func claim(table *Table, owner *claimant) {
	for table[owner.next] != lb.NoBackend {
		owner.advance()
	}
	table[owner.next] = owner.id
	owner.claimed++
	owner.advance()
}

// advance moves to the next bucket of the permutation.
func (owner *claimant) advance() {
	owner.next += owner.skip
	if owner.next >= lb.BucketCount {
		owner.next -= lb.BucketCount
	}
}
