package snapshot

import "maps"

// tableBuckets is the number of buckets of a table; a power of two.
const tableBuckets = 1024

// table is an immutable map of many buckets. A table and the tables edited from
// it share the buckets in which they do not differ.
type table[K comparable, V any] struct {
	buckets []map[K]V
	hash    func(K) uint64
	size    int
}

func newTable[K comparable, V any](hash func(K) uint64) *table[K, V] {
	return &table[K, V]{buckets: make([]map[K]V, tableBuckets), hash: hash}
}

func (t *table[K, V]) get(key K) (V, bool) {
	value, ok := t.buckets[t.hash(key)%tableBuckets][key]
	return value, ok
}

// tableEditor builds an edited copy of a table.
type tableEditor[K comparable, V any] struct {
	next *table[K, V]
	// copied marks the buckets that this editor has already cloned.
	copied [tableBuckets]bool
}

func (t *table[K, V]) edit() *tableEditor[K, V] {
	next := &table[K, V]{buckets: make([]map[K]V, tableBuckets), hash: t.hash, size: t.size}
	copy(next.buckets, t.buckets)
	return &tableEditor[K, V]{next: next}
}

func (e *tableEditor[K, V]) bucket(key K) map[K]V {
	index := e.next.hash(key) % tableBuckets
	if !e.copied[index] {
		e.copied[index] = true
		e.next.buckets[index] = maps.Clone(e.next.buckets[index])
	}
	if e.next.buckets[index] == nil {
		e.next.buckets[index] = make(map[K]V)
	}
	return e.next.buckets[index]
}

func (e *tableEditor[K, V]) get(key K) (V, bool) { return e.next.get(key) }

func (e *tableEditor[K, V]) set(key K, value V) {
	if _, ok := e.next.get(key); !ok {
		e.next.size++
	}
	e.bucket(key)[key] = value
}

func (e *tableEditor[K, V]) remove(key K) {
	if _, ok := e.next.get(key); !ok {
		return
	}
	e.next.size--
	delete(e.bucket(key), key)
}
