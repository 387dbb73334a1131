// Package bounded provides containers with a bounded number of elements.
package bounded

import "iter"

// Map is a map that evicts the oldest keys in bulk. When the current generation is full, it
// replaces the previous one, whose keys are evicted. Use NewMap.
type Map[K comparable, V any] struct {
	generationSize int
	current        map[K]V
	previous       map[K]V
}

// NewMap returns a map of at most size keys.
func NewMap[K comparable, V any](size int) *Map[K, V] {
	return &Map[K, V]{generationSize: max(size/2, 1), current: map[K]V{}, previous: map[K]V{}}
}

// Get returns the value of a key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if v, ok := m.current[key]; ok {
		return v, true
	}
	v, ok := m.previous[key]
	return v, ok
}

// Has reports whether there is a value for the key.
func (m *Map[K, V]) Has(key K) bool {
	_, ok := m.Get(key)
	return ok
}

// Put sets the value of a key, which becomes a key of the current generation.
func (m *Map[K, V]) Put(key K, v V) {
	if _, ok := m.current[key]; !ok && len(m.current) >= m.generationSize {
		clear(m.previous)
		m.current, m.previous = m.previous, m.current
	}
	delete(m.previous, key)
	m.current[key] = v
}

// Remove removes a key.
func (m *Map[K, V]) Remove(key K) {
	delete(m.current, key)
	delete(m.previous, key)
}

// Clear removes all keys.
func (m *Map[K, V]) Clear() {
	clear(m.current)
	clear(m.previous)
}

// All returns all keys and values, in no order.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, generation := range []map[K]V{m.current, m.previous} {
			for k, v := range generation {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.current) + len(m.previous) }
