package soak

import "sync"

// overlay combines faults of one type that are active at the same time. Create it by
// newOverlay.
type overlay[F any] struct {
	mu    sync.Mutex // taken before apply's locks
	next  int
	parts map[int]F
	apply func(parts []F)
}

func newOverlay[F any](apply func(parts []F)) *overlay[F] {
	return &overlay[F]{parts: make(map[int]F), apply: apply}
}

// add activates a fault until the returned function is called.
func (o *overlay[F]) add(f F) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.next
	o.next++
	o.parts[n] = f
	o.reapply()
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.parts, n)
		o.reapply()
	}
}

// reapply applies the active faults in the order in which they were added. The
// caller holds mu.
func (o *overlay[F]) reapply() {
	var list []F
	for n := range o.next {
		if f, ok := o.parts[n]; ok {
			list = append(list, f)
		}
	}
	o.apply(list)
}
