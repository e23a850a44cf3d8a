// Package maglev builds the lookup table that distributes buckets over back ends by weight. The
// table is a pure function of its entries and uses integer arithmetic only, so that every node
// computes the same table. It follows Maglev (NSDI 2016, section 3.4): the back ends alternate in
// claiming buckets, each in the order of its own permutation. Here the number of claims is
// proportional to the weight.
package maglev

import (
	"cmp"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
)

// Entry is one back end of a table.
type Entry struct {
	// ID is stored in the buckets of the back end.
	ID lb.BackendID
	// Key determines the back end's permutation. It must be unique among the back ends and stay the
	// same across generations.
	Key uint64
	// Weight is relative to the weights of the other entries and at least 1.
	Weight uint16
}

// Table holds the back end of each bucket.
type Table [lb.BucketCount]lb.BackendID

// claimant is one back end while the table is filled.
type claimant struct {
	id      lb.BackendID
	key     uint64
	quota   int // buckets to be claimed in total
	claimed int // buckets claimed so far
	next    int // next bucket of its permutation
	skip    int // step of its permutation, 1..BucketCount-1
	// remainder is the fraction of its exact share that the quota leaves out, in units of 1/total
	// weight of a bucket.
	remainder uint64
}

// Fill sets every bucket of table. Without entries, all buckets are set to lb.NoBackend. The
// numbers of buckets are proportional to the weights, rounded by the largest remainder method. They
// do not depend on the order of entries.
func Fill(table *Table, entries []Entry) {
	*table = Table{}
	if len(entries) == 0 {
		return
	}
	claimants := newClaimants(entries)
	assignQuotas(claimants, entries)
	for range table {
		claim(table, nextClaimant(claimants))
	}
}

// newClaimants returns the claimants, whose permutations are derived from the keys.
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

// assignQuotas sets the quotas. They add up to lb.BucketCount, and each is the exact share rounded
// down or up. It sorts the claimants by key.
func assignQuotas(claimants []claimant, entries []Entry) {
	var total uint64
	for _, entry := range entries {
		total += uint64(entry.Weight)
	}
	unassigned := lb.BucketCount
	for index, entry := range entries {
		scaled := uint64(entry.Weight) * lb.BucketCount
		claimants[index].quota = int(scaled / total)
		claimants[index].remainder = scaled % total
		unassigned -= claimants[index].quota
	}
	slices.SortFunc(claimants, func(a, b claimant) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), compareIdentity(a, b))
	})
	for index := range unassigned {
		claimants[index].quota++
	}
	slices.SortFunc(claimants, compareIdentity)
}

// compareIdentity compares two claimants independently of their weights.
func compareIdentity(a, b claimant) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id))
}

// nextClaimant returns the claimant that is furthest behind its quota: the one with the smallest
// (claimed + 1/2) / quota. Of equal claimants it returns the first.
func nextClaimant(claimants []claimant) *claimant {
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

// claim assigns the first free bucket of the claimant's permutation to it.
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
