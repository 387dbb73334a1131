package lockstep

import (
	"fmt"
	"slices"
)

// invariantChecker records which map every engine used at each step.
type invariantChecker struct {
	maps map[stepKey]Version
	ran  map[rankStep]bool
	// formation is the highest formation in which an engine began a step.
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

// violation is a broken invariant, as opposed to missing progress.
type violation struct{ message string }

func (e *violation) Error() string { return e.message }

func violationf(format string, args ...any) error {
	return &violation{message: fmt.Sprintf(format, args...)}
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{maps: map[stepKey]Version{}, ran: map[rankStep]bool{}}
}

// begin records a step and returns an error if it breaks the invariant.
func (c *invariantChecker) begin(rank int, f Epoch, s Step, v Version) error {
	key := stepKey{f, s}
	if used, ok := c.maps[key]; ok && used != v {
		return violationf("step %d of formation %d: rank %d uses map %d, another rank used %d", s, f, rank, v, used)
	}
	if f < c.formation {
		return violationf("rank %d began a step in formation %d after formation %d ran", rank, f, c.formation)
	}
	if c.ran[rankStep{key, rank}] {
		return violationf("rank %d began step %d of formation %d twice", rank, s, f)
	}
	if s > 0 && c.maps[stepKey{f, s - 1}] != v {
		c.switches++
	}
	c.maps[key] = v
	c.ran[rankStep{key, rank}] = true
	c.formation = f
	return nil
}

// fakeEngine applies orders and runs steps on its own.
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

func (e *fakeEngine) step(checker *invariantChecker) error {
	v := e.state.Order.MapAt(e.state.Next)
	if v == 0 || e.state.Order.Formation == 0 {
		return nil
	}
	if !slices.Contains(e.state.Staged, v) {
		return violationf("rank %d runs map %d that is not staged", e.rank, v)
	}
	if err := checker.begin(e.rank, e.state.Order.Formation, e.state.Next, v); err != nil {
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
