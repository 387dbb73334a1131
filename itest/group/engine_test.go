package group

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

var (
	errStalled        = errors.New("engine does not answer")
	errFenced         = errors.New("order has an outdated fencing token")
	errWrongFormation = errors.New("engine is not in the order's formation")
)

// loadRounds is the number of rounds from StageWeights until a map is staged.
const loadRounds = 2

// engine is a fake engine of one rank.
type engine struct {
	rank        int
	ignoreFence bool

	mu      sync.Mutex
	stalled bool
	state   lockstep.EngineState
	layouts map[lockstep.Version]groupmsg.Layout
	loading map[lockstep.Version]int
	counts  groupmsg.Loads
	// delay is the number of rounds after which an accepted order takes effect.
	delay     int
	delayed   *lockstep.EngineOrder
	delayLeft int
}

func newEngine(rank int, ignoreFence bool) *engine {
	return &engine{
		rank: rank, ignoreFence: ignoreFence,
		layouts: map[lockstep.Version]groupmsg.Layout{}, loading: map[lockstep.Version]int{},
	}
}

func (e *engine) ReadState(context.Context) (lockstep.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return lockstep.EngineState{}, errStalled
	}
	s := e.state
	s.Staged = slices.Clone(s.Staged)
	return s, nil
}

func (e *engine) SetMap(_ context.Context, o lockstep.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stalled:
		return errStalled
	case !e.ignoreFence && o.Older(e.state.Order):
		return errFenced
	case o.Formation != e.state.Order.Formation && !o.EntersFormation():
		return errWrongFormation
	}
	if e.delay == 0 {
		e.apply(o)
	} else if e.delayed == nil {
		e.delayed, e.delayLeft = &o, e.delay
	}
	return nil
}

func (e *engine) apply(o lockstep.EngineOrder) {
	if o.Formation != e.state.Order.Formation {
		e.state.Next, e.state.LastMap = 0, 0
	}
	e.state.Order = o
}

func (e *engine) StageWeights(_ context.Context, w groupmsg.Weights) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return errStalled
	}
	if e.layouts[w.Map] == nil {
		e.layouts[w.Map] = w.Layout
		e.loading[w.Map] = loadRounds
	}
	return nil
}

func (e *engine) Layout(_ context.Context, v lockstep.Version) (groupmsg.Layout, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled || e.layouts[v] == nil {
		return nil, errStalled
	}
	return e.layouts[v], nil
}

func (e *engine) Loads(context.Context) (groupmsg.Loads, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return groupmsg.Loads{}, errStalled
	}
	l := e.counts
	e.counts = groupmsg.Loads{}
	return l, nil
}

// advance moves weight loading and a delayed order ahead by one round.
func (e *engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delayed != nil {
		e.delayLeft--
		if e.delayLeft == 0 {
			e.apply(*e.delayed)
			e.delayed = nil
		}
	}
	for v, left := range e.loading {
		if left > 1 {
			e.loading[v] = left - 1
			continue
		}
		delete(e.loading, v)
		e.state.Staged = append(e.state.Staged, v)
		slices.Sort(e.state.Staged)
	}
}

// nextMap returns the map of the next step, zero if it is not staged or the engine is stalled.
func (e *engine) nextMap() lockstep.Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.state.Order.MapAt(e.state.Next)
	if e.stalled || !slices.Contains(e.state.Staged, v) {
		return 0
	}
	return v
}

// step runs one step on map v; load and replica counts are indexed by layer and expert.
func (e *engine) step(v lockstep.Version, load []expertmap.Load, replicas [][]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts.Map != v {
		e.counts = groupmsg.Loads{Map: v, Tokens: make([][]uint64, len(load))}
	}
	for i, slots := range e.layouts[v] {
		if e.counts.Tokens[i] == nil {
			e.counts.Tokens[i] = make([]uint64, len(slots))
		}
		for s, x := range slots {
			if x != expertmap.NoExpert {
				e.counts.Tokens[i][s] += uint64(load[i][x]) / uint64(replicas[i][x])
			}
		}
	}
	e.counts.Steps++
	e.state.Next++
	e.state.LastMap = v
}

// snapshot returns the state even while the engine is stalled.
func (e *engine) snapshot() lockstep.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *engine) layout(v lockstep.Version) groupmsg.Layout {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layouts[v]
}

func (e *engine) setDelay(rounds int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = rounds
}

func (e *engine) setStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
}

type stepKey struct {
	formation lockstep.Epoch
	step      lockstep.Step
}

// stepChecker verifies that all ranks run a step on the same map.
type stepChecker struct {
	maps            map[stepKey]lockstep.Version
	ranks           map[stepKey]int
	latestFormation lockstep.Epoch
}

func newStepChecker() *stepChecker {
	return &stepChecker{maps: map[stepKey]lockstep.Version{}, ranks: map[stepKey]int{}}
}

// record returns an error if ranks ran a step on two maps or its formation is outdated.
func (c *stepChecker) record(rank int, key stepKey, v lockstep.Version) error {
	if used, ok := c.maps[key]; ok && used != v {
		return fmt.Errorf("step %d of formation %d: rank %d uses map %d, another rank used %d", key.step, key.formation, rank, v, used)
	}
	if key.formation < c.latestFormation {
		return fmt.Errorf("rank %d began a step in formation %d after formation %d ran", rank, key.formation, c.latestFormation)
	}
	c.maps[key] = v
	c.ranks[key]++
	c.latestFormation = key.formation
	return nil
}

// completed returns the number of steps that n ranks ran.
func (c *stepChecker) completed(n int) int {
	var count int
	for _, ranks := range c.ranks {
		if ranks == n {
			count++
		}
	}
	return count
}
