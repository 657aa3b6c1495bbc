package tree

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount bounds the cost of a change, which copies only the shards that it modifies:
// 1/256 of the map for one entry.
const shardCount = 256

var hashSeed = maphash.MakeSeed()

// persistentMap is an immutable hash map. A mapBuilder makes a modified copy that shares
// the unmodified shards with the original.
type persistentMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
}

func shardOf[K comparable](k K) uint8 { return uint8(maphash.Comparable(hashSeed, k)) }

func (t *persistentMap[K, V]) get(k K) (V, bool) {
	v, ok := t.shards[shardOf(k)][k]
	return v, ok
}

func (t *persistentMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, m := range t.shards {
			for k, v := range m {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// mapBuilder makes a modified copy of a persistentMap, which is the embedded one once all
// changes are made.
type mapBuilder[K comparable, V any] struct {
	persistentMap[K, V]
	ownedShards [shardCount]bool
}

func (t *persistentMap[K, V]) newBuilder() *mapBuilder[K, V] {
	return &mapBuilder[K, V]{persistentMap: *t}
}

// writableShard returns the shard of k, copied on the first call so that the original map
// stays unmodified.
func (d *mapBuilder[K, V]) writableShard(k K) map[K]V {
	i := shardOf(k)
	if !d.ownedShards[i] {
		d.ownedShards[i] = true
		m := make(map[K]V, len(d.shards[i])+1)
		maps.Copy(m, d.shards[i])
		d.shards[i] = m
	}
	return d.shards[i]
}

func (d *mapBuilder[K, V]) set(k K, v V) { d.writableShard(k)[k] = v }

func (d *mapBuilder[K, V]) remove(k K) { delete(d.writableShard(k), k) }
