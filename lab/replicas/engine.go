package replicas

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/siskinford/siskinford/wire/relay"
)

var errRankUnavailable = errors.New("rank is unavailable")

// Engine returns the relay interface of a rank.
func (g *Group) Engine(rankIndex int) relay.Engine { return engine{g, rankIndex} }

type engine struct {
	group *Group
	index int
}

// rank returns the engine's rank. The caller holds mu.
func (e engine) rank() (*rank, error) {
	if _, lost := e.group.missing[e.index]; lost {
		return nil, errRankUnavailable
	}
	return e.group.ranks[e.index], nil
}

// State implements relay.Engine.
func (e engine) State(context.Context) (relay.State, error) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r, err := e.rank()
	if err != nil {
		return relay.State{}, err
	}
	s := relay.State{
		StartMillis: r.startMillis, Group: g.cfg.Name, Epoch: g.epoch, Rank: e.index, Size: len(g.ranks),
		Open: len(g.missing) == 0 && g.opensAt.IsZero(), Step: g.step, MapVersion: r.version, Armed: r.armed, Held: r.heldStep,
		Waiting: len(r.waiting), Running: len(r.running), Slowdown: 1,
	}
	if r.prepared != 0 && !time.Now().Before(r.preparedAt) {
		s.Prepared = r.prepared
	}
	return s, nil
}

// Counts implements relay.Engine.
func (e engine) Counts(context.Context) (relay.Counts, error) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r, err := e.rank()
	if err != nil {
		return relay.Counts{}, err
	}
	return relay.Counts{Step: g.step, Epoch: g.epoch, Tokens: slices.Clone(r.counts)}, nil
}

// Layout implements relay.Engine.
func (e engine) Layout(context.Context) (relay.Layout, error) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r, err := e.rank()
	if err != nil {
		return relay.Layout{}, err
	}
	return relay.Layout{Epoch: g.epoch, Version: r.version, Experts: r.experts}, nil
}

// Order implements relay.Engine.
func (e engine) Order(_ context.Context, o relay.Order) relay.Result {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rng.Float64() < g.delayedShare {
		time.AfterFunc(g.orderDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			_ = e.apply(o) // The order was already reported as unanswered.
		})
		return relay.Result{Outcome: relay.Unknown, Detail: "no answer"}
	}
	return relay.Result{Outcome: e.apply(o)}
}

// apply applies an order. The caller holds mu.
func (e engine) apply(o relay.Order) relay.Outcome {
	g := e.group
	r, err := e.rank()
	if err != nil {
		return relay.Unknown
	}
	if o.Epoch != g.epoch {
		return relay.Conflict
	}
	switch o.Op {
	case relay.Prepare:
		return g.prepare(e.index, r, o)
	case relay.Arm:
		if r.prepared != o.Version || time.Now().Before(r.preparedAt) || o.Step <= g.step {
			return relay.Conflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case relay.Disarm:
		if o.Version == r.version {
			return relay.Conflict
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case relay.Hold:
		if o.Step <= g.step || (r.heldStep > g.step && r.heldStep != o.Step) {
			return relay.Conflict
		}
		r.heldStep = o.Step
	case relay.Release:
		if r.heldStep == o.Step {
			r.heldStep = 0
		}
	default:
		return relay.Refused
	}
	return relay.Done
}

func (g *Group) prepare(index int, r *rank, o relay.Order) relay.Outcome {
	switch {
	case r.armed != 0:
		return relay.Conflict
	case o.Version == r.prepared:
		return relay.Done
	case o.Version <= r.highestVersion || len(o.Experts) != g.cfg.LayerSets:
		return relay.Conflict
	}
	newExperts := 0
	experts := make([][]int, g.cfg.LayerSets)
	for set := range experts {
		if len(o.Experts[set]) != len(g.ranks) || len(o.Experts[set][index]) > g.cfg.MaxPerRank {
			return relay.Refused
		}
		experts[set] = slices.Clone(o.Experts[set][index])
		added := 0
		for _, e := range experts[set] {
			if !slices.Contains(r.experts[set], e) {
				added++
			}
		}
		if added > g.cfg.MaxNewPerMap {
			return relay.Conflict
		}
		newExperts += added
	}
	r.prepared, r.highestVersion, r.preparedExperts = o.Version, o.Version, experts
	r.preparedAt = time.Now().Add(time.Duration(newExperts) * g.cfg.CopyTime)
	return relay.Done
}
