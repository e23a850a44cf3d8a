package steering

import "maps"

// indexShards is into how many parts an index is cut. A change copies those parts that
// it concerns: 40 hosts of 10,000.
const indexShards = 256

// index finds hosts by a number. It shares its parts with the index that it was copied
// from, until it changes them.
type index[K ~uint32 | ~uint64] struct {
	shards [indexShards]map[K]*Host
	// own are the parts that are not shared.
	own [indexShards]bool
}

func (x *index[K]) get(key K) *Host { return x.shards[key%indexShards][key] }

// copied gives a copy, which can be changed while others read this one.
func (x *index[K]) copied() *index[K] { return &index[K]{shards: x.shards} }

func (x *index[K]) set(key K, host *Host) { x.writable(key)[key] = host }

// remove removes what a key finds, if it is the host.
func (x *index[K]) remove(key K, host *Host) {
	if x.get(key) == host {
		delete(x.writable(key), key)
	}
}

// writable gives the part of a key, which nothing else shares.
func (x *index[K]) writable(key K) map[K]*Host {
	place := key % indexShards
	if x.own[place] {
		return x.shards[place]
	}
	shard := make(map[K]*Host, len(x.shards[place])+1)
	maps.Copy(shard, x.shards[place])
	x.shards[place], x.own[place] = shard, true
	return shard
}
