package steering

import "maps"

// indexShards is the number of shards of an index. A change copies only the affected shards: 40 of
// 10,000 hosts.
const indexShards = 256

// index maps a numeric key to a host. A clone shares its shards with the original and copies a
// shard before it changes it.
type index[K ~uint32 | ~uint64] struct {
	shards [indexShards]map[K]*Host
	// owned marks the shards that are not shared with another index.
	owned [indexShards]bool
}

func (x *index[K]) get(key K) *Host { return x.shards[key%indexShards][key] }

// clone returns a copy that can be modified while others read the original.
func (x *index[K]) clone() *index[K] { return &index[K]{shards: x.shards} }

func (x *index[K]) set(key K, host *Host) { x.writable(key)[key] = host }

// remove deletes the entry of a key if it maps to the host.
func (x *index[K]) remove(key K, host *Host) {
	if x.get(key) == host {
		delete(x.writable(key), key)
	}
}

// writable returns the shard of a key, copying it first if it is shared.
func (x *index[K]) writable(key K) map[K]*Host {
	shard := key % indexShards
	if x.owned[shard] {
		return x.shards[shard]
	}
	hosts := make(map[K]*Host, len(x.shards[shard])+1)
	maps.Copy(hosts, x.shards[shard])
	x.shards[shard], x.owned[shard] = hosts, true
	return hosts
}
