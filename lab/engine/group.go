package engine

import (
	"context"
	"sync"
)

// StepRecord records the expert maps used in one step of a group.
type StepRecord struct {
	Step uint64 `json:"step"`
	// MapVersions holds the expert map version used by each rank.
	MapVersions []uint64 `json:"map_versions"`
}

// Group makes ranks run in lock-step: a step begins only when every rank has joined it.
type Group struct {
	size       int
	maxRecords int

	// mu is locked after Engine.mu, never before it.
	mu         sync.Mutex
	engines    []*Engine
	active     bool
	barrier    *barrier
	step       uint64
	records    []StepRecord
	mismatched []StepRecord
}

// barrier collects the ranks of one step.
type barrier struct {
	joined   int
	busy     bool
	present  []bool
	versions []uint64
	open     chan struct{}
}

// maxMismatchedRecords bounds the retained records of steps on different maps.
const maxMismatchedRecords = 1024

// NewGroup returns a group of size ranks. It retains at least the last maxRecords
// step records and, separately, those of steps on different maps.
func NewGroup(size, maxRecords int) *Group {
	g := &Group{size: size, maxRecords: maxRecords, engines: make([]*Engine, size)}
	g.barrier = g.newBarrier()
	return g
}

func (g *Group) newBarrier() *barrier {
	return &barrier{present: make([]bool, g.size), versions: make([]uint64, g.size), open: make(chan struct{})}
}

// register sets the engine of a rank and returns its first step. If the engine
// that it replaces had joined the pending step, that join is withdrawn.
func (g *Group) register(rank int, e *Engine) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[rank] = e
	if g.barrier.present[rank] {
		g.barrier.present[rank] = false
		g.barrier.joined--
	}
	return g.step + 1
}

func (g *Group) isActive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// activate wakes all ranks so that they join the next step.
func (g *Group) activate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active {
		return
	}
	g.active = true
	for _, e := range g.engines {
		if e != nil {
			e.notify()
		}
	}
}

// join blocks until every rank has joined the step and reports whether any rank
// has work. ok is false if ctx ended first.
func (g *Group) join(ctx context.Context, rank int, version uint64, busy bool) (active, ok bool) {
	g.mu.Lock()
	b := g.barrier
	if !b.present[rank] {
		b.present[rank] = true
		b.joined++
	}
	b.versions[rank] = version
	b.busy = b.busy || busy
	if b.joined == g.size {
		g.complete(b)
	}
	g.mu.Unlock()
	select {
	case <-b.open:
		return b.busy, true
	case <-ctx.Done():
		return false, false
	}
}

// complete records the step and opens its barrier. g.mu must be held.
func (g *Group) complete(b *barrier) {
	g.step++
	record := StepRecord{Step: g.step, MapVersions: b.versions}
	g.records = append(g.records, record)
	if len(g.records) > 2*g.maxRecords {
		g.records = append(g.records[:0], g.records[g.maxRecords:]...)
	}
	if record.mapsDiffer() && len(g.mismatched) < maxMismatchedRecords {
		g.mismatched = append(g.mismatched, record)
	}
	g.active = b.busy
	g.barrier = g.newBarrier()
	close(b.open)
}

func (r StepRecord) mapsDiffer() bool {
	for _, version := range r.MapVersions {
		if version != r.MapVersions[0] {
			return true
		}
	}
	return false
}

// Steps returns the retained step records.
func (g *Group) Steps() []StepRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]StepRecord{}, g.records...)
}

// MismatchedSteps returns the records of steps whose ranks used different maps.
func (g *Group) MismatchedSteps() []StepRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]StepRecord{}, g.mismatched...)
}
