package lockstep

import (
	"fmt"
	"slices"
)

// witness records which map every engine used at each step.
type witness struct {
	maps map[stepKey]Version
	ran  map[rankStep]bool
	// formation is the greatest formation in which an engine began a step.
	formation Epoch
	switches  int
}

type stepKey struct {
	formation Epoch
	step      Step
}

type rankStep struct {
	stepKey
	rank int
}

// splitError reports a broken invariant, as opposed to missing progress.
type splitError struct{ what string }

func (e *splitError) Error() string { return e.what }

func splitf(format string, args ...any) error {
	return &splitError{what: fmt.Sprintf(format, args...)}
}

func newWitness() *witness {
	return &witness{maps: map[stepKey]Version{}, ran: map[rankStep]bool{}}
}

// begin records a step and returns an error if it breaks the invariant.
func (w *witness) begin(rank int, f Epoch, s Step, v Version) error {
	key := stepKey{f, s}
	if used, ok := w.maps[key]; ok && used != v {
		return splitf("step %d of formation %d: rank %d uses map %d, another rank used %d", s, f, rank, v, used)
	}
	if f < w.formation {
		return splitf("rank %d began a step in formation %d after formation %d ran", rank, f, w.formation)
	}
	if w.ran[rankStep{key, rank}] {
		return splitf("rank %d began step %d of formation %d twice", rank, s, f)
	}
	if s > 0 && w.maps[stepKey{f, s - 1}] != v {
		w.switches++
	}
	w.maps[key] = v
	w.ran[rankStep{key, rank}] = true
	w.formation = f
	return nil
}

// fakeEngine steps on its own and applies orders.
type fakeEngine struct {
	rank        int
	state       EngineState
	ignoreFence bool
	loading     Version
}

func (e *fakeEngine) apply(o EngineOrder) {
	if !e.ignoreFence && o.Older(e.state.Order) {
		return
	}
	if o.Formation != e.state.Order.Formation {
		if !o.EntersFormation() {
			return
		}
		e.state.Next, e.state.LastMap = 0, 0
	}
	e.state.Order = o
}

func (e *fakeEngine) step(w *witness) error {
	v := e.state.Order.MapAt(e.state.Next)
	if v == 0 || e.state.Order.Formation == 0 {
		return nil
	}
	if !slices.Contains(e.state.Staged, v) {
		return splitf("rank %d runs map %d that is not staged", e.rank, v)
	}
	if err := w.begin(e.rank, e.state.Order.Formation, e.state.Next, v); err != nil {
		return err
	}
	e.state.Next++
	e.state.LastMap = v
	return nil
}

func (e *fakeEngine) finishLoading() {
	if e.loading != 0 && !slices.Contains(e.state.Staged, e.loading) {
		e.state.Staged = append(slices.Clone(e.state.Staged), e.loading)
		slices.Sort(e.state.Staged)
	}
}
