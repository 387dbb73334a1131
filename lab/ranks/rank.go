package ranks

import (
	"errors"
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

var (
	errFenced         = errors.New("order has a stale fencing token")
	errOtherFormation = errors.New("engine is not in the order's formation")
	errUnknownMap     = errors.New("unknown map")
)

// maxMaps bounds the maps staged on a rank.
const maxMaps = 4

// Faults are the injected faults of one rank.
type Faults struct {
	// Stall blocks the responses and the steps of the rank.
	Stall bool `json:"stall"`
	// OrderDelayMS delays the effect of accepted orders.
	OrderDelayMS int `json:"order_delay_ms"`
}

// engine is the engine of one rank. It is guarded by Group.mu.
type engine struct {
	state   lockstep.EngineState
	layouts map[lockstep.Version]groupmsg.Layout
	staging map[lockstep.Version]time.Time
	counts  groupmsg.Loads
	delayed []delayedOrder
	faults  Faults
	// readyAt is the end of the current step and of the jitter after it.
	readyAt time.Time
	// resumed is closed and replaced when the stall is cleared.
	resumed chan struct{}
}

type delayedOrder struct {
	order lockstep.EngineOrder
	at    time.Time
}

func newEngine() *engine {
	return &engine{
		layouts: map[lockstep.Version]groupmsg.Layout{}, staging: map[lockstep.Version]time.Time{},
		resumed: make(chan struct{}),
	}
}

// acceptOrder checks an order and applies it at once, or after the injected delay.
func (e *engine) acceptOrder(o lockstep.EngineOrder, fencing bool, now time.Time) error {
	if fencing && o.Older(e.state.Order) {
		return errFenced
	}
	if o.Formation != e.state.Order.Formation && !o.EntersFormation() {
		return errOtherFormation
	}
	if e.faults.OrderDelayMS > 0 {
		at := now.Add(time.Duration(e.faults.OrderDelayMS) * time.Millisecond)
		e.delayed = append(e.delayed, delayedOrder{order: o, at: at})
		return nil
	}
	e.apply(o)
	return nil
}

func (e *engine) apply(o lockstep.EngineOrder) {
	if o.Formation != e.state.Order.Formation {
		e.state.Next, e.state.LastMap = 0, 0
	}
	e.state.Order = o
}

// applyDue completes staged weights and applies delayed orders that are due.
func (e *engine) applyDue(now time.Time, fencing bool) {
	for len(e.delayed) > 0 && !now.Before(e.delayed[0].at) {
		o := e.delayed[0].order
		e.delayed = e.delayed[1:]
		if !fencing || !o.Older(e.state.Order) {
			e.apply(o)
		}
	}
	for v, at := range e.staging {
		if now.Before(at) {
			continue
		}
		delete(e.staging, v)
		e.state.Staged = append(e.state.Staged, v)
		slices.Sort(e.state.Staged)
	}
	e.evict()
}

// evict drops the oldest unused maps in excess of maxMaps.
func (e *engine) evict() {
	for len(e.state.Staged) > maxMaps {
		i := slices.IndexFunc(e.state.Staged, func(v lockstep.Version) bool {
			return v != e.state.Order.Map && v != e.state.Order.Next
		})
		delete(e.layouts, e.state.Staged[i])
		e.state.Staged = slices.Delete(e.state.Staged, i, i+1)
	}
}

func (e *engine) stage(w groupmsg.Weights, until time.Time) {
	if e.layouts[w.Map] == nil {
		e.layouts[w.Map] = w.Layout
		e.staging[w.Map] = until
	}
}

// nextMap returns the map of the next step, or zero if the step may not start.
func (e *engine) nextMap() lockstep.Version {
	v := e.state.Order.MapAt(e.state.Next)
	if e.faults.Stall || e.state.Order.Formation == 0 || !slices.Contains(e.state.Staged, v) {
		return 0
	}
	return v
}

// runStep runs one step on map v and returns the tokens routed to the rank.
func (e *engine) runStep(v lockstep.Version, loads []expertmap.Load, replicas [][]int) float64 {
	if e.counts.Map != v {
		e.counts = groupmsg.Loads{Map: v, Tokens: make([][]uint64, len(loads))}
	}
	var sum float64
	for i, slots := range e.layouts[v] {
		if e.counts.Tokens[i] == nil {
			e.counts.Tokens[i] = make([]uint64, len(slots))
		}
		for s, x := range slots {
			if x == expertmap.NoExpert || replicas[i][x] == 0 {
				continue
			}
			tokens := loads[i][x] / float64(replicas[i][x])
			e.counts.Tokens[i][s] += uint64(tokens)
			sum += tokens
		}
	}
	e.counts.Steps++
	e.state.Next++
	e.state.LastMap = v
	return sum
}
