package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// engineRank is a rank as the platform's pages and a trial describe it.
type engineRank struct {
	version, content uint64
	prepared         uint64
	preparedContent  uint64
	highest          uint64
	armed, armedStep uint64
	held             uint64
}

// engine is a group of ranks that run in lock-step.
type engine struct {
	epoch uint64
	step  uint64
	ranks []engineRank
}

func newEngine(n int) *engine { return &engine{epoch: 1, ranks: make([]engineRank, n)} }

// content identifies what a map holds.
func content(m Map) uint64 { return uint64(m[0][0][0]) }

func mapWith(c uint64) Map { return Map{{{int(c)}}} }

func (e *engine) apply(o Order) Outcome {
	if o.Epoch != e.epoch {
		return Conflict
	}
	r := &e.ranks[o.Rank]
	switch o.Op {
	case Prepare:
		if r.armed != 0 {
			return Conflict
		}
		if o.Version == r.prepared {
			return Done
		}
		if o.Version <= r.highest {
			return Conflict
		}
		r.prepared, r.preparedContent, r.highest = o.Version, content(o.Map), o.Version
	case Arm:
		if r.prepared != o.Version || o.Step <= e.step {
			return Conflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case Disarm:
		if o.Version == r.version {
			return Conflict
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case Hold:
		if o.Step <= e.step || (r.held > e.step && r.held != o.Step) {
			return Conflict
		}
		r.held = o.Step
	case Release:
		if r.held == o.Step {
			r.held = 0
		}
	}
	return Done
}

// begin begins the next step unless a rank holds it. The error reports two maps.
func (e *engine) begin() (bool, error) {
	next := e.step + 1
	for _, r := range e.ranks {
		if r.held == next {
			return false, nil
		}
	}
	e.step = next
	for i := range e.ranks {
		r := &e.ranks[i]
		if r.armed != 0 && r.armedStep == next {
			r.version, r.content = r.armed, r.preparedContent
			r.armed, r.armedStep, r.prepared = 0, 0, 0
		}
	}
	for i, r := range e.ranks {
		if r.version != e.ranks[0].version || r.content != e.ranks[0].content {
			return true, fmt.Errorf("step %d begins with version %d (content %d) at rank 0 and version %d (content %d) at rank %d",
				next, e.ranks[0].version, e.ranks[0].content, r.version, r.content, i)
		}
	}
	return true, nil
}

func (e *engine) restart() {
	e.epoch++
	clear(e.ranks)
}

func (e *engine) report(i int) Report {
	r := e.ranks[i]
	return Report{
		Rank: i, Epoch: e.epoch, Open: true, Step: e.step, Version: r.version,
		Prepared: r.prepared, Armed: r.armed, Held: r.held,
	}
}

// flight is an order or a report on its way.
type flight struct {
	from    int // coordinator
	order   *Order
	silent  bool // the order's answer is lost
	outcome *Outcome
	orderID uint64
	report  *Report
	// contentOf is the content of the report's version.
	contentOf uint64
}

// world is a group, its coordinators and the network between them.
type world struct {
	rng    *rand.Rand
	engine *engine
	now    time.Duration
	coords []*Coordinator
	paused []bool
	flight []flight
	late   []flight
	next   uint64 // content of the next map
	faults bool
	// harm is the part of the orders, of 16, that something happens to.
	harm int
	// pingLimit varies, so that changes are undone for a silent relay in some worlds.
	pingLimit time.Duration

	switches, undone int

	trace func(format string, args ...any)
	// mutate changes a machine before each tick, for tests of the checker.
	mutate func(*Coordinator)
}

func newWorld(seed uint64, ranks int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), engine: newEngine(ranks), faults: true,
		harm: int(seed % 9), pingLimit: time.Duration(1+seed%4) * 100 * time.Millisecond, trace: func(string, ...any) {}, mutate: func(*Coordinator) {},
	}
	w.addCoordinator()
	return w
}

func (w *world) addCoordinator() {
	w.coords = append(w.coords, New(Config{Ranks: len(w.engine.ranks), PingTimeout: w.pingLimit}, uint64(len(w.coords)+1)))
	w.paused = append(w.paused, false)
}

func (w *world) send(c int, orders []Order) {
	for _, o := range orders {
		f := flight{from: c, order: &o}
		if w.faults && w.rng.IntN(16) < w.harm {
			switch w.rng.IntN(6) {
			case 0:
				continue // lost
			case 1, 2, 3:
				f.silent = true
				w.late = append(w.late, f)
				continue
			case 4:
				f.silent = true
			case 5: // carried out twice
				w.late = append(w.late, flight{from: c, order: &o, silent: true})
			}
		}
		w.flight = append(w.flight, f)
	}
}

func (w *world) deliver(f flight) {
	switch {
	case f.order != nil:
		out := w.engine.apply(*f.order)
		w.trace("c%d rank %d %v version %d step %d -> %v silent %v", f.from, f.order.Rank, f.order.Op, f.order.Version, f.order.Step, out, f.silent)
		if !f.silent {
			w.flight = append(w.flight, flight{from: f.from, outcome: &out, orderID: f.order.ID})
		}
	case f.outcome != nil:
		w.coords[f.from].Result(f.orderID, *f.outcome, w.now)
	case f.report != nil:
		m := w.coords[f.from]
		m.Report(*f.report, w.now)
		w.trace("c%d sees %+v", f.from, *f.report)
		m.SetContent(f.report.Epoch, f.report.Version, mapWith(f.contentOf))
	}
}

// deliverAny delivers one message. Reports of a rank stay in their order.
func (w *world) deliverAny() {
	if len(w.flight) == 0 {
		return
	}
	i := w.rng.IntN(len(w.flight))
	if f := w.flight[i]; f.report != nil {
		for j := range i {
			if g := w.flight[j]; g.report != nil && g.from == f.from && g.report.Rank == f.report.Rank {
				i = j
				break
			}
		}
	}
	f := w.flight[i]
	w.flight = slices.Delete(w.flight, i, i+1)
	if w.paused[f.from] && f.order == nil {
		w.late = append(w.late, f) // It waits in the paused process.
		return
	}
	w.deliver(f)
}

func (w *world) look(rank int) {
	for c := range w.coords {
		r := w.engine.report(rank)
		w.flight = append(w.flight, flight{from: c, report: &r, contentOf: w.engine.ranks[rank].content})
	}
}

func (w *world) tick(c int) {
	if w.paused[c] {
		return
	}
	m := w.coords[c]
	if m.Phase() == Idle && w.rng.IntN(4) == 0 {
		w.next++
		m.Start(mapWith(w.next), w.now)
	}
	w.mutate(m)
	w.send(c, m.Tick(w.now))
	for _, e := range m.Events() {
		w.trace("c%d %v version %d step %d: %s", c, e.Phase, e.Version, e.Step, e.Reason)
		switch e.Phase {
		case Settling:
			w.switches++
		case Undoing:
			w.undone++
		}
	}
}

// act does one thing at random.
func (w *world) act() error {
	w.now += time.Duration(w.rng.IntN(10)) * time.Millisecond
	switch n := w.rng.IntN(100); {
	case n < 50:
		w.deliverAny()
	case n < 75:
		w.tick(w.rng.IntN(len(w.coords)))
	case n < 86:
		w.look(w.rng.IntN(len(w.engine.ranks)))
	case n < 92:
		began, err := w.engine.begin()
		w.trace("step %d began %v", w.engine.step, began)
		return err
	case n < 96:
		if len(w.late) > 0 {
			i := w.rng.IntN(len(w.late))
			f := w.late[i]
			if f.order != nil || !w.paused[f.from] {
				w.late = slices.Delete(w.late, i, i+1)
				w.deliver(f)
			}
		}
	case n < 97 && w.rng.IntN(3) == 0:
		c := w.rng.IntN(len(w.coords))
		w.paused[c] = !w.paused[c]
	case n < 98 && w.rng.IntN(4) == 0:
		if len(w.coords) < 3 {
			w.addCoordinator()
		}
	case n < 99 && w.rng.IntN(10) == 0:
		w.engine.restart()
	}
	return nil
}

// settle lets the newest coordinator work without faults and returns the time
// until the group holds no step and a change was made.
func (w *world) settle() (time.Duration, error) {
	w.faults = false
	w.flight, w.late = nil, nil
	newest := len(w.coords) - 1
	for i := range w.paused {
		w.paused[i] = i != newest
	}
	began := w.now
	for w.now-began < 5*time.Second {
		w.now += time.Millisecond
		for r := range w.engine.ranks {
			w.look(r)
		}
		w.tick(newest)
		for len(w.flight) > 0 {
			w.deliverAny()
		}
		if w.rng.IntN(5) == 0 {
			began, err := w.engine.begin()
			if err != nil {
				return 0, err
			}
			if began && w.coords[newest].Phase() == Idle {
				return w.now, nil
			}
		}
		w.late = nil
	}
	return 0, fmt.Errorf("group not free after 5 s: coordinator is %v, ranks %+v", w.coords[newest].Phase(), w.engine.ranks)
}
