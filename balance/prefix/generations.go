package prefix

// generations is a bounded map that evicts the oldest keys in bulk. When the
// current generation is full, it replaces the previous one, whose keys are evicted.
type generations[V any] struct {
	generationSize int
	current        map[uint64]V
	previous       map[uint64]V
}

func newGenerations[V any](size int) *generations[V] {
	return &generations[V]{
		generationSize: max(size/2, 1),
		current:        map[uint64]V{},
		previous:       map[uint64]V{},
	}
}

func (g *generations[V]) get(key uint64) (V, bool) {
	if v, ok := g.current[key]; ok {
		return v, true
	}
	v, ok := g.previous[key]
	return v, ok
}

func (g *generations[V]) has(key uint64) bool {
	_, ok := g.get(key)
	return ok
}

func (g *generations[V]) put(key uint64, v V) {
	if _, ok := g.current[key]; !ok && len(g.current) >= g.generationSize {
		clear(g.previous)
		g.current, g.previous = g.previous, g.current
	}
	delete(g.previous, key)
	g.current[key] = v
}

func (g *generations[V]) remove(key uint64) {
	delete(g.current, key)
	delete(g.previous, key)
}

func (g *generations[V]) clear() {
	clear(g.current)
	clear(g.previous)
}

func (g *generations[V]) len() int { return len(g.current) + len(g.previous) }
