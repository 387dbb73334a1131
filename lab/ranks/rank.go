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
	errFenced  = errors.New("order has an old fencing number")
	errOutside = errors.New("engine is not in the order's formation")
	errUnknown = errors.New("map is not known")
)

// maxMaps bounds the maps whose weights a rank holds.
const maxMaps = 4

// Faults are injected failures of one rank.
type Faults struct {
	// Stall keeps the rank from answering and from beginning steps.
	Stall bool `json:"stall"`
	// OrderDelayMS is the time until an accepted order takes effect. Unit: milliseconds.
	OrderDelayMS int `json:"order_delay_ms"`
}

// engine is the engine of one rank. It is guarded by Group.mu.
type engine struct {
	state   lockstep.EngineState
	layouts map[lockstep.Version]groupmsg.Layout
	loading map[lockstep.Version]time.Time
	counts  groupmsg.Loads
	delayed []delayedOrder
	faults  Faults
	// freeAt is the end of the current step, and the delay before the next.
	freeAt time.Time
	// resumed is closed and replaced when a stall ends.
	resumed chan struct{}
}

type delayedOrder struct {
	order lockstep.EngineOrder
	at    time.Time
}

func newEngine() *engine {
	return &engine{
		layouts: map[lockstep.Version]groupmsg.Layout{}, loading: map[lockstep.Version]time.Time{},
		resumed: make(chan struct{}),
	}
}

// order takes an order, which takes effect at once unless the rank delays it.
func (e *engine) order(o lockstep.EngineOrder, fencing bool, now time.Time) error {
	if fencing && o.Older(e.state.Order) {
		return errFenced
	}
	if o.Formation != e.state.Order.Formation && !o.EntersFormation() {
		return errOutside
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

// advance lets weights arrive and delayed orders take effect.
func (e *engine) advance(now time.Time, fencing bool) {
	for len(e.delayed) > 0 && !now.Before(e.delayed[0].at) {
		o := e.delayed[0].order
		e.delayed = e.delayed[1:]
		if !fencing || !o.Older(e.state.Order) {
			e.apply(o)
		}
	}
	for v, at := range e.loading {
		if now.Before(at) {
			continue
		}
		delete(e.loading, v)
		e.state.Staged = append(e.state.Staged, v)
		slices.Sort(e.state.Staged)
	}
	e.evict()
}

// evict drops the oldest maps that are not in use, beyond the bound.
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
		e.loading[w.Map] = until
	}
}

// nextMap returns the map of the step that the engine may begin, zero for none.
func (e *engine) nextMap() lockstep.Version {
	v := e.state.Order.MapAt(e.state.Next)
	if e.faults.Stall || e.state.Order.Formation == 0 || !slices.Contains(e.state.Staged, v) {
		return 0
	}
	return v
}

// begin runs one step on map v and returns its tokens.
func (e *engine) begin(v lockstep.Version, loads []expertmap.Load, replicas [][]int) float64 {
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
