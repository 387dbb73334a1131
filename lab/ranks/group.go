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

// pollInterval is the time between looks at which ranks can begin a step.
const pollInterval = 500 * time.Microsecond

// Group runs the engines of all ranks of a group. It is safe for concurrent use.
type Group struct {
	config Config

	// mu is a leaf lock that guards all fields below.
	mu         sync.Mutex
	rand       *rand.Rand
	engines    []*engine
	witness    *witness
	popularity *popularity
	drifted    time.Time
	// replicas holds the number of replicas of each expert by map, then layer.
	replicas map[lockstep.Version][][]int
}

// New returns a group whose ranks are outside any formation.
func New(c Config) *Group {
	c = c.withDefaults()
	now := time.Now()
	g := &Group{
		config: c, rand: rand.New(rand.NewPCG(c.Seed, 2)), witness: newWitness(c.Size, c.MaxRecords, now),
		popularity: newPopularity(c), drifted: now, replicas: map[lockstep.Version][][]int{},
	}
	for range c.Size {
		g.engines = append(g.engines, newEngine())
	}
	return g
}

// Run runs steps until ctx ends.
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

// Advance lets each rank begin its next step if it can at now.
func (g *Group) Advance(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.DriftInterval > 0 && now.Sub(g.drifted) >= g.config.DriftInterval {
		g.drifted = now
		g.popularity.drift()
	}
	for _, e := range g.engines {
		e.advance(now, g.config.Fencing)
	}
	for rank := range g.engines {
		g.begin(rank, now)
	}
}

// begin lets a rank begin its next step if its order and the other ranks permit it.
func (g *Group) begin(rank int, now time.Time) {
	e := g.engines[rank]
	v := e.nextMap()
	if v == 0 || now.Before(e.freeAt) || !g.reached(e, now) {
		return
	}
	key := stepKey{formation: e.state.Order.Formation, step: e.state.Next}
	tokens := e.begin(v, g.popularity.loads, g.replicasOf(v))
	d := g.config.StepTime + time.Duration(tokens*float64(g.config.TokenTime))
	e.freeAt = now.Add(d)
	if g.config.Jitter > 0 {
		e.freeAt = e.freeAt.Add(time.Duration(g.rand.Int64N(int64(g.config.Jitter))))
	}
	g.witness.begin(rank, key, v, d, now)
}

// reached reports whether every rank has finished the step before e's next one.
func (g *Group) reached(e *engine, now time.Time) bool {
	for _, other := range g.engines {
		if other.state.Order.Formation != e.state.Order.Formation || other.state.Next < e.state.Next {
			return false
		}
		if other.state.Next == e.state.Next && now.Before(other.freeAt) {
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
			g.count(out[i], e.layouts[v], i)
		}
	}
	clear(g.replicas)
	g.replicas[v] = out
	return out
}

func (g *Group) count(replicas []int, l groupmsg.Layout, layer int) {
	if layer >= len(l) {
		return
	}
	for _, x := range l[layer] {
		if x >= 0 && int(x) < len(replicas) {
			replicas[x]++
		}
	}
}

// Steps returns the records of the last steps that every rank began.
func (g *Group) Steps() []StepRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.witness.records)
}

// Summary returns the state of the witness.
func (g *Group) Summary() Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.witness.summary
	s.Violations = slices.Clone(s.Violations)
	s.Maps = slices.Clone(s.Maps)
	return s
}

// SetFaults replaces the faults of a rank.
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

// Restart replaces the engine of a rank by one that holds nothing.
func (g *Group) Restart(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[rank] = newEngine()
}

// enter waits while the rank is stalled and calls f with the lock held.
func (g *Group) enter(ctx context.Context, rank int, f func(e *engine) error) error {
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
