package tree

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount bounds the work of a change: it copies only the shards that it
// touches, 1/256 of the table for one entry.
const shardCount = 256

var seed = maphash.MakeSeed()

// table is an immutable map. A draft makes a changed copy that shares the shards
// that did not change.
type table[K comparable, V any] struct {
	shards [shardCount]map[K]V
}

func shardOf[K comparable](k K) uint8 { return uint8(maphash.Comparable(seed, k)) }

func (t *table[K, V]) get(k K) (V, bool) {
	v, ok := t.shards[shardOf(k)][k]
	return v, ok
}

func (t *table[K, V]) all() iter.Seq2[K, V] {
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

// draft is a table under change.
type draft[K comparable, V any] struct {
	table[K, V]
	copied [shardCount]bool
}

func (t *table[K, V]) draft() *draft[K, V] {
	return &draft[K, V]{table: *t}
}

func (d *draft[K, V]) own(k K) map[K]V {
	i := shardOf(k)
	if !d.copied[i] {
		d.copied[i] = true
		m := make(map[K]V, len(d.shards[i])+1)
		maps.Copy(m, d.shards[i])
		d.shards[i] = m
	}
	return d.shards[i]
}

func (d *draft[K, V]) set(k K, v V) { d.own(k)[k] = v }

func (d *draft[K, V]) remove(k K) { delete(d.own(k), k) }
