// Package rendezvous ranks nodes by rendezvous (highest random weight) hashing
// (Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998).
// Every node that knows the same nodes computes the same ranking, without
// agreement: for the chains of buckets and for the watchers of the store.
package rendezvous

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
)

// WatchersPerZone is the number of nodes in each zone that watch the store and
// may publish placements.
const WatchersPerZone = 2

// watcherKey is the fixed key by which watchers are ranked.
const watcherKey = "watchers"

// Key is the hash of what is being placed on nodes.
type Key uint64

// Candidate is a node that may be chosen.
type Candidate struct {
	ID   lb.NodeID
	Zone lb.Zone
	Hash lb.NodeHash
}

// NewKey hashes a name.
func NewKey(name string) Key { return Key(xxhash.Sum64String(name)) }

// BucketKey gives the key of one bucket of a service whose name has the key service.
func (service Key) BucketKey(bucket uint16) Key {
	return Key(Mix(uint64(service) + uint64(bucket)*0x9e3779b97f4a7c15))
}

// Score gives the node's weight for the key; the highest ranks first.
func Score(key Key, node lb.NodeHash) uint64 { return Mix(uint64(key) ^ uint64(node)) }

// Mix is the finalizer of splitmix64 (Steele, Lea and Flood, OOPSLA 2014).
func Mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// Uniform maps a hash to a number above 0 and below 1.
func Uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Before tells whether a ranks before b for the key. Equal scores are ranked by ID.
func Before(key Key, a, b *Candidate) bool {
	return ranksBefore(Score(key, a.Hash), a, Score(key, b.Hash), b)
}

// Chain gives the indexes of the head and the tail for the key: the first node,
// and the first after it in another zone, or, with one zone, the second. An
// absent one is -1.
func Chain(key Key, nodes []Candidate) (head, tail int) {
	head, tail = -1, -1
	var best, second uint64
	for index := range nodes {
		score := Score(key, nodes[index].Hash)
		if head < 0 || ranksBefore(score, &nodes[index], best, &nodes[head]) {
			head, best = index, score
		}
	}
	if head < 0 {
		return head, tail
	}
	other := false // the tail is in another zone than the head
	for index := range nodes {
		if index == head {
			continue
		}
		isOther := nodes[index].Zone != nodes[head].Zone
		if other && !isOther {
			continue
		}
		score := Score(key, nodes[index].Hash)
		if tail < 0 || isOther && !other || ranksBefore(score, &nodes[index], second, &nodes[tail]) {
			tail, second, other = index, score, isOther
		}
	}
	return head, tail
}

// ranksBefore is Before with the scores known.
func ranksBefore(scoreA uint64, a *Candidate, scoreB uint64, b *Candidate) bool {
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.ID < b.ID
}

// Watchers gives the nodes that watch the store: the first of each zone,
// sorted by zone and rank. nodes is left as it is. It takes one pass, since every
// change of the membership asks for it.
func Watchers(nodes []Candidate) []Candidate {
	key := NewKey(watcherKey)
	first := make(map[lb.Zone][]Candidate)
	for index := range nodes {
		node := &nodes[index]
		first[node.Zone] = insertRanked(key, first[node.Zone], node)
	}
	var watchers []Candidate
	for _, zone := range slices.Sorted(maps.Keys(first)) {
		watchers = append(watchers, first[zone]...)
	}
	return watchers
}

// insertRanked puts a node into a list of at most WatchersPerZone, by rank.
func insertRanked(key Key, ranked []Candidate, node *Candidate) []Candidate {
	position := len(ranked)
	for position > 0 && Before(key, node, &ranked[position-1]) {
		position--
	}
	if position == WatchersPerZone {
		return ranked
	}
	ranked = slices.Insert(ranked, position, *node)
	return ranked[:min(len(ranked), WatchersPerZone)]
}
