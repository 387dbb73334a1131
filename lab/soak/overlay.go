package soak

import "sync"

// overlay combines faults of the same nature that are in force at the same time.
// The zero value is not usable; see newOverlay.
type overlay[F any] struct {
	mu    sync.Mutex // taken before apply's locks
	next  int
	parts map[int]F
	apply func(parts []F)
}

func newOverlay[F any](apply func(parts []F)) *overlay[F] {
	return &overlay[F]{parts: make(map[int]F), apply: apply}
}

// add puts a fault in force until the returned function is called.
func (o *overlay[F]) add(f F) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.next
	o.next++
	o.parts[n] = f
	o.changed()
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.parts, n)
		o.changed()
	}
}

// changed applies the faults in force, in the order in which they came. The
// caller holds mu.
func (o *overlay[F]) changed() {
	var list []F
	for n := range o.next {
		if f, ok := o.parts[n]; ok {
			list = append(list, f)
		}
	}
	o.apply(list)
}
