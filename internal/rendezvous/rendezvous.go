// Package rendezvous ranks nodes by rendezvous hashing, also called highest random weight hashing
// (Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998). All nodes with the same
// membership list compute the same ranking without coordination. The ranking determines the chains
// of buckets and the watchers of the store.
package rendezvous

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
)

// WatchersPerZone is the number of nodes in each zone that watch the store and may publish
// placements.
const WatchersPerZone = 2

// watcherKey is the fixed key for the ranking of watchers.
const watcherKey = "watchers"

// Key is the hash of the item to be placed on nodes.
type Key uint64

// Candidate is a node to be ranked.
type Candidate struct {
	ID   lb.NodeID
	Zone lb.Zone
	Hash lb.NodeHash
}

// NewKey returns the hash of a name.
func NewKey(name string) Key { return Key(xxhash.Sum64String(name)) }

// BucketKey returns the key of one bucket of a service; the receiver is the key of the service's
// name.
func (service Key) BucketKey(bucket uint16) Key {
	return Key(Mix(uint64(service) + uint64(bucket)*0x9e3779b97f4a7c15))
}

// Score returns the node's score for the key; the node with the highest score ranks first.
func Score(key Key, node lb.NodeHash) uint64 { return Mix(uint64(key) ^ uint64(node)) }

// Mix is the finalizer of splitmix64 (Steele, Lea and Flood, OOPSLA 2014).
func Mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// Uniform maps a hash to a number greater than 0 and less than 1.
func Uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Before reports whether a ranks before b for the key. Nodes with equal scores are ranked by ID.
func Before(key Key, a, b *Candidate) bool {
	return ranksBefore(Score(key, a.Hash), a, Score(key, b.Hash), b)
}

// Chain returns the indexes of the head and the tail for the key. The head is the first node in
// rank. The tail is the first in another zone than the head, or the second node if there is only
// one zone. An index is -1 if there is no such node.
func Chain(key Key, nodes []Candidate) (head, tail int) {
	head, tail = -1, -1
	var headScore, tailScore uint64
	for index := range nodes {
		score := Score(key, nodes[index].Hash)
		if head < 0 || ranksBefore(score, &nodes[index], headScore, &nodes[head]) {
			head, headScore = index, score
		}
	}
	if head < 0 {
		return head, tail
	}
	inOtherZone := false // the tail is in another zone than the head
	for index := range nodes {
		if index == head {
			continue
		}
		isOther := nodes[index].Zone != nodes[head].Zone
		if inOtherZone && !isOther {
			continue
		}
		score := Score(key, nodes[index].Hash)
		if tail < 0 || isOther && !inOtherZone || ranksBefore(score, &nodes[index], tailScore, &nodes[tail]) {
			tail, tailScore, inOtherZone = index, score, isOther
		}
	}
	return head, tail
}

// ranksBefore implements Before for known scores.
func ranksBefore(scoreA uint64, a *Candidate, scoreB uint64, b *Candidate) bool {
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.ID < b.ID
}

// Watchers returns the nodes that watch the store: the first WatchersPerZone of each zone, sorted
// by zone and rank. It does not modify nodes. It makes a single pass over the nodes, since it is
// called on every membership change.
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

// insertRanked inserts a node by rank into a list that is limited to WatchersPerZone nodes.
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
