package mapswitch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// farWorld is a group that a coordinator reaches over a long way. Ranks[i] is reached
// in half of trips[i].
type farWorld struct {
	*world
	trips   []time.Duration
	arrives []arrival
	// held is the time for which passes waited, longest the longest such time.
	held, longest time.Duration
	made          int
}

// arrival is something that arrives at a time.
type arrival struct {
	at     time.Duration
	happen func()
}

func newFarWorld(trips ...time.Duration) *farWorld {
	w := newWorld(0, len(trips))
	w.faults = false
	w.coords[0] = New(Config{Ranks: len(trips)}, 1)
	return &farWorld{world: w, trips: trips}
}

func (w *farWorld) after(d time.Duration, happen func()) {
	w.arrives = append(w.arrives, arrival{w.now + d, happen})
}

// play runs passes of a length and starts a change whenever that is possible.
func (w *farWorld) play(t *testing.T, length, pass time.Duration) {
	t.Helper()
	m := w.coords[0]
	began := w.now
	for end := w.now + length; w.now < end; w.now += time.Millisecond {
		w.arrive()
		if w.now%(15*time.Millisecond) == 0 {
			w.report()
		}
		if m.Phase() == Idle {
			w.next++
			m.Start(mapWith(w.next), w.now)
		}
		w.order(m.Tick(w.now))
		for _, e := range m.Events() {
			if e.Phase == Settling {
				w.made++
			}
		}
		if w.now-began < pass {
			continue
		}
		ok, err := w.engine.begin()
		assert.NilError(t, err)
		if !ok {
			w.held += time.Millisecond
			w.longest = max(w.longest, w.now-began-pass)
			continue
		}
		began = w.now
	}
}

func (w *farWorld) arrive() {
	kept := w.arrives[:0]
	var due []arrival
	for _, a := range w.arrives {
		if a.at <= w.now {
			due = append(due, a)
		} else {
			kept = append(kept, a)
		}
	}
	w.arrives = kept
	for _, a := range due {
		a.happen()
	}
}

func (w *farWorld) report() {
	for i := range w.engine.ranks {
		r, c := w.engine.report(i), w.engine.ranks[i].content
		w.after(w.trips[i]/2, func() {
			w.coords[0].Report(r, w.now)
			w.coords[0].SetContent(r.Epoch, r.Version, mapWith(c))
		})
	}
}

func (w *farWorld) order(orders []Order) {
	for _, o := range orders {
		half := w.trips[o.Via] / 2
		w.after(half, func() {
			out := w.engine.apply(o)
			w.after(half, func() { w.coords[0].Result(o.ID, out, w.now) })
		})
	}
}

// TestFarRanks names the pattern "the coordinator sits in another region": changes are
// made, and passes hardly wait for them.
func TestFarRanks(t *testing.T) {
	ms := time.Millisecond
	for name, trips := range map[string][]time.Duration{
		"same zone":      {ms, ms, ms, ms},
		"other zones":    {ms, 4 * ms, 4 * ms, 6 * ms},
		"other region":   {42 * ms, 41 * ms, 44 * ms, 42 * ms},
		"spread":         {2 * ms, 42 * ms, 4 * ms, 42 * ms},
		"other shore":    {120 * ms, 120 * ms, 121 * ms, 125 * ms},
		"a slow path":    {4 * ms, 4 * ms, 90 * ms, 4 * ms},
		"as the resends": {40 * ms, 40 * ms, 40 * ms, 40 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFarWorld(trips...)
			w.play(t, 10*time.Second, 60*ms)
			t.Logf("%d changes, passes waited for %v in all, %v at most", w.made, w.held, w.longest)
			assert.Assert(t, w.made >= 5, "%d changes", w.made)
			assert.Assert(t, w.longest <= 60*ms, "a pass waited for %v", w.longest)
			assert.Assert(t, w.held <= 300*ms, "passes waited for %v", w.held)
		})
	}
}

// TestUndoneChangesAreRarer: each one may have held the group, so that the next tries
// come after growing pauses.
func TestUndoneChangesAreRarer(t *testing.T) {
	w := newFarWorld(time.Millisecond, time.Millisecond, time.Millisecond)
	m := w.coords[0]
	undone := 0
	for end := 20 * time.Second; w.now < end; w.now += time.Millisecond {
		w.arrive()
		w.report()
		if m.Phase() == Idle {
			m.Start(mapWith(1), w.now)
		}
		for _, o := range m.Tick(w.now) {
			if o.Op != Ping { // No relay answers after a hold.
				w.order([]Order{o})
			}
		}
		for _, e := range m.Events() {
			if e.Phase == Undoing {
				undone++
			}
		}
		if w.now%(60*time.Millisecond) == 0 {
			_, err := w.engine.begin()
			assert.NilError(t, err)
		}
	}
	assert.Assert(t, undone >= 2 && undone <= 7, "%d changes were undone in 20 s", undone)
}

// TestBurstsOfReportsAreNoShortPasses names the pattern "an entry without processor time":
// reports that waited are handled together, and the step of a change must not move away for it.
func TestBurstsOfReportsAreNoShortPasses(t *testing.T) {
	const pass, burst = 30 * time.Millisecond, 5
	m := New(Config{Ranks: 2}, 1)
	var step uint64
	for now := time.Duration(0); now < 3*time.Second; now += burst * pass {
		for range burst {
			step++
			for r := range 2 {
				m.Report(Report{Rank: r, Epoch: 1, Open: true, Step: step}, now)
				m.ranks[r].trip = 4 * time.Millisecond
			}
		}
		assert.Assert(t, m.lead() <= 3, "after %v the lead is %d", now, m.lead())
	}
	assert.Assert(t, m.pass > pass/2 && m.pass < 2*pass, "a pass takes %v", m.pass)
}
