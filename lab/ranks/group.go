package ranks

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

// pollInterval is the interval at which Run advances the group.
const pollInterval = 500 * time.Microsecond

// Group simulates the engines of all ranks. It is safe for concurrent use.
type Group struct {
	config Config

	// mu guards the fields below. No other lock is taken while it is held.
	mu         sync.Mutex
	rand       *rand.Rand
	engines    []*engine
	recorder   *recorder
	popularity *popularity
	lastDrift  time.Time
	// replicas caches the replica count of each expert by map, then layer. It holds one map.
	replicas map[lockstep.Version][][]int
}

// New returns a group whose ranks are in no formation.
func New(c Config) *Group {
	c = c.withDefaults()
	now := time.Now()
	g := &Group{
		config: c, rand: rand.New(rand.NewPCG(c.Seed, 2)), recorder: newRecorder(c.Size, c.MaxRecords, now),
		popularity: newPopularity(c), lastDrift: now, replicas: map[lockstep.Version][][]int{},
	}
	for range c.Size {
		g.engines = append(g.engines, newEngine())
	}
	return g
}

// Run calls Advance periodically until ctx ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Advance(time.Now())
		}
	}
}

// Advance applies what is due at now and starts each rank's next step where possible.
func (g *Group) Advance(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.DriftInterval > 0 && now.Sub(g.lastDrift) >= g.config.DriftInterval {
		g.lastDrift = now
		g.popularity.drift()
	}
	for _, e := range g.engines {
		e.applyDue(now, g.config.Fencing)
	}
	for rank := range g.engines {
		g.beginStep(rank, now)
	}
}

// beginStep starts the next step of a rank if its order and the other ranks permit it.
func (g *Group) beginStep(rank int, now time.Time) {
	e := g.engines[rank]
	v := e.nextMap()
	if v == 0 || now.Before(e.readyAt) || !g.ranksReady(e, now) {
		return
	}
	key := stepKey{formation: e.state.Order.Formation, step: e.state.Next}
	tokens := e.runStep(v, g.popularity.loads, g.replicasOf(v))
	d := g.config.StepTime + time.Duration(tokens*float64(g.config.TokenTime))
	e.readyAt = now.Add(d)
	if g.config.Jitter > 0 {
		e.readyAt = e.readyAt.Add(time.Duration(g.rand.Int64N(int64(g.config.Jitter))))
	}
	g.recorder.begin(rank, key, v, d, now)
}

// ranksReady reports whether every rank is in e's formation and has finished the step
// before e's next one.
func (g *Group) ranksReady(e *engine, now time.Time) bool {
	for _, other := range g.engines {
		if other.state.Order.Formation != e.state.Order.Formation || other.state.Next < e.state.Next {
			return false
		}
		if other.state.Next == e.state.Next && now.Before(other.readyAt) {
			return false
		}
	}
	return true
}

func (g *Group) replicasOf(v lockstep.Version) [][]int {
	if known := g.replicas[v]; known != nil {
		return known
	}
	out := make([][]int, g.config.Layers)
	for i := range out {
		out[i] = make([]int, g.config.Experts)
		for _, e := range g.engines {
			g.countReplicas(out[i], e.layouts[v], i)
		}
	}
	clear(g.replicas)
	g.replicas[v] = out
	return out
}

func (g *Group) countReplicas(replicas []int, l groupmsg.Layout, layer int) {
	if layer >= len(l) {
		return
	}
	for _, x := range l[layer] {
		if x >= 0 && int(x) < len(replicas) {
			replicas[x]++
		}
	}
}

// Steps returns the retained records of steps that every rank started.
func (g *Group) Steps() []StepRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.recorder.records)
}

// Summary returns a copy of the summary of all recorded steps.
func (g *Group) Summary() Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.recorder.summary
	s.Violations = slices.Clone(s.Violations)
	s.Maps = slices.Clone(s.Maps)
	return s
}

// SetFaults replaces the injected faults of a rank.
func (g *Group) SetFaults(rank int, f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[rank]
	e.faults = f
	if !f.Stall {
		close(e.resumed)
		e.resumed = make(chan struct{})
	}
}

// Restart replaces the engine of a rank by a new one without maps and orders.
func (g *Group) Restart(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[rank] = newEngine()
}

// withEngine blocks while the rank is stalled, then calls f with mu held.
func (g *Group) withEngine(ctx context.Context, rank int, f func(e *engine) error) error {
	for {
		g.mu.Lock()
		e := g.engines[rank]
		if !e.faults.Stall {
			err := f(e)
			g.mu.Unlock()
			return err
		}
		resumed := e.resumed
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-resumed:
		}
	}
}
