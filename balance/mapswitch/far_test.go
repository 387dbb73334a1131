package mapswitch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// remoteWorld is a group that a coordinator reaches with given round-trip times, by rank.
type remoteWorld struct {
	*world
	rtts       []time.Duration
	deliveries []delivery
	// waited is the total time for which held steps waited, longestWait the longest wait.
	waited, longestWait time.Duration
	changes             int
}

// delivery is a message that arrives at a time.
type delivery struct {
	at      time.Duration
	deliver func()
}

func newRemoteWorld(rtts ...time.Duration) *remoteWorld {
	w := newWorld(0, len(rtts))
	w.faults = false
	w.coordinators[0] = New(Config{Ranks: len(rtts)}, 1)
	return &remoteWorld{world: w, rtts: rtts}
}

func (w *remoteWorld) schedule(d time.Duration, deliver func()) {
	w.deliveries = append(w.deliveries, delivery{w.now + d, deliver})
}

// run executes steps of a given length and starts a change whenever that is possible.
func (w *remoteWorld) run(t *testing.T, length, stepTime time.Duration) {
	t.Helper()
	m := w.coordinators[0]
	began := w.now
	for end := w.now + length; w.now < end; w.now += time.Millisecond {
		w.deliverDue()
		if w.now%(15*time.Millisecond) == 0 {
			w.sendReports()
		}
		if m.Phase() == Idle {
			w.nextContent++
			m.Start(mapWith(w.nextContent), w.now)
		}
		w.sendOrders(m.Tick(w.now))
		for _, e := range m.Events() {
			if e.Phase == Settling {
				w.changes++
			}
		}
		if w.now-began < stepTime {
			continue
		}
		ok, err := w.engine.begin()
		assert.NilError(t, err)
		if !ok {
			w.waited += time.Millisecond
			w.longestWait = max(w.longestWait, w.now-began-stepTime)
			continue
		}
		began = w.now
	}
}

func (w *remoteWorld) deliverDue() {
	kept := w.deliveries[:0]
	var due []delivery
	for _, a := range w.deliveries {
		if a.at <= w.now {
			due = append(due, a)
		} else {
			kept = append(kept, a)
		}
	}
	w.deliveries = kept
	for _, a := range due {
		a.deliver()
	}
}

func (w *remoteWorld) sendReports() {
	for i := range w.engine.ranks {
		r, c := w.engine.report(i), w.engine.ranks[i].content
		w.schedule(w.rtts[i]/2, func() {
			w.coordinators[0].Report(r, w.now)
			w.coordinators[0].SetContent(r.Epoch, r.Version, mapWith(c))
		})
	}
}

func (w *remoteWorld) sendOrders(orders []Order) {
	for _, o := range orders {
		half := w.rtts[o.Via] / 2
		w.schedule(half, func() {
			out := w.engine.apply(o)
			w.schedule(half, func() { w.coordinators[0].Result(o.ID, out, w.now) })
		})
	}
}

// TestFarRanks checks that a coordinator in another region completes changes and that
// steps hardly wait for them.
func TestFarRanks(t *testing.T) {
	ms := time.Millisecond
	for name, rtts := range map[string][]time.Duration{
		"same zone":       {ms, ms, ms, ms},
		"other zones":     {ms, 4 * ms, 4 * ms, 6 * ms},
		"other region":    {42 * ms, 41 * ms, 44 * ms, 42 * ms},
		"spread":          {2 * ms, 42 * ms, 4 * ms, 42 * ms},
		"across an ocean": {120 * ms, 120 * ms, 121 * ms, 125 * ms},
		"one slow path":   {4 * ms, 4 * ms, 90 * ms, 4 * ms},
		"resend interval": {40 * ms, 40 * ms, 40 * ms, 40 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRemoteWorld(rtts...)
			w.run(t, 10*time.Second, 60*ms)
			t.Logf("%d changes, steps waited for %v in all, %v at most", w.changes, w.waited, w.longestWait)
			assert.Assert(t, w.changes >= 5, "%d changes", w.changes)
			assert.Assert(t, w.longestWait <= 60*ms, "a step waited for %v", w.longestWait)
			assert.Assert(t, w.waited <= 300*ms, "steps waited for %v", w.waited)
		})
	}
}

// TestUndoneChangesAreRarer checks the growing backoff after undone changes, each of
// which may have held the group.
func TestUndoneChangesAreRarer(t *testing.T) {
	w := newRemoteWorld(time.Millisecond, time.Millisecond, time.Millisecond)
	m := w.coordinators[0]
	undone := 0
	for end := 20 * time.Second; w.now < end; w.now += time.Millisecond {
		w.deliverDue()
		w.sendReports()
		if m.Phase() == Idle {
			m.Start(mapWith(1), w.now)
		}
		for _, o := range m.Tick(w.now) {
			if o.Op != Ping { // No relay answers a ping after a hold.
				w.sendOrders([]Order{o})
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

// TestReportBurstsKeepStepTime guards against taking delayed reports for short steps, which
// would postpone changes: an entry short of processor time handles reports in bursts.
func TestReportBurstsKeepStepTime(t *testing.T) {
	const stepTime, burst = 30 * time.Millisecond, 5
	m := New(Config{Ranks: 2}, 1)
	var step uint64
	for now := time.Duration(0); now < 3*time.Second; now += burst * stepTime {
		for range burst {
			step++
			for r := range 2 {
				m.Report(Report{Rank: r, Epoch: 1, Open: true, Step: step}, now)
				m.ranks[r].rtt = 4 * time.Millisecond
			}
		}
		assert.Assert(t, m.leadSteps() <= 3, "after %v the lead is %d", now, m.leadSteps())
	}
	assert.Assert(t, m.stepTime > stepTime/2 && m.stepTime < 2*stepTime, "a step takes %v", m.stepTime)
}

// TestMapsAreNotSentTwiceWhileOnTheirWay covers a large group behind one link: the maps of a
// change take longer on the link than the usual resend interval, and copies of them would keep
// the link full until the change is given up.
func TestMapsAreNotSentTwiceWhileOnTheirWay(t *testing.T) {
	const ranks, transfer = 192, 300 * time.Millisecond
	for _, known := range []bool{true, false} {
		cfg := Config{Ranks: ranks}
		if known {
			cfg.MapTransferTime = transfer
		}
		c := New(cfg, 1)
		for r := range ranks {
			c.Report(Report{Rank: r, Epoch: 1, Open: true, Step: 5}, 0)
		}
		content := Map{make([][]int, ranks)}
		for r := range content[0] {
			content[0][r] = []int{r}
		}
		c.SetContent(1, 0, content)
		now := time.Duration(0)
		for ; c.Phase() != Idle && now < time.Second; now += 10 * time.Millisecond {
			for _, o := range c.Tick(now) {
				c.Result(o.ID, Done, now+time.Millisecond)
			}
		}
		next := Map{append([][]int{{1}}, content[0][1:]...)}
		assert.Assert(t, c.Start(next, now), "phase %v", c.Phase())
		// Each map takes its share of the transfer time on the link, in the order of sending.
		var free time.Duration
		sent, answered := 0, 0
		arrivals := make(map[uint64]time.Duration)
		for end := now + 2*transfer; now < end && c.Phase() == Preparing; now += 10 * time.Millisecond {
			for _, o := range c.Tick(now) {
				if o.Op == Prepare {
					free = max(free, now) + transfer/ranks
					arrivals[o.ID] = free
					sent++
				}
			}
			for order, at := range arrivals {
				if at <= now {
					c.Result(order, Done, now)
					delete(arrivals, order)
					answered++
				}
			}
		}
		t.Logf("transfer time known: %v: %d maps sent, %d answered", known, sent, answered)
		assert.Equal(t, sent == ranks, known)
	}
}
