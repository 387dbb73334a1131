package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// engineRank models a rank as the platform's documentation and trials describe it.
type engineRank struct {
	version, content uint64
	prepared         uint64
	preparedContent  uint64
	highest          uint64
	armed, armedStep uint64
	held             uint64
}

// engine models a group of ranks that run in lock-step.
type engine struct {
	epoch uint64
	step  uint64
	ranks []engineRank
}

func newEngine(n int) *engine { return &engine{epoch: 1, ranks: make([]engineRank, n)} }

// content returns the number that identifies a map of mapWith.
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

// begin begins the next step unless a rank holds it. It fails if ranks have different maps.
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

// message is an order, result or report in flight.
type message struct {
	from       int // coordinator
	order      *Order
	answerLost bool // the result of the order is lost
	outcome    *Outcome
	orderID    uint64
	report     *Report
	// mapContent is the content of the report's version.
	mapContent uint64
}

// world models a group, its coordinators and the network between them.
type world struct {
	rng          *rand.Rand
	engine       *engine
	now          time.Duration
	coordinators []*Coordinator
	paused       []bool
	inFlight     []message
	delayed      []message
	nextContent  uint64 // content of the next map
	faults       bool
	// faultRate is the number of orders out of 16 that are lost, delayed or repeated.
	faultRate int
	// pingTimeout varies, so that in some worlds changes are undone for lack of an answer.
	pingTimeout time.Duration

	switches, undone int

	trace func(format string, args ...any)
	// mutate injects a fault into a coordinator before each tick.
	mutate func(*Coordinator)
	// spoil may change a report before it is sent.
	spoil func(*Report)
}

func newWorld(seed uint64, ranks int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), engine: newEngine(ranks), faults: true,
		faultRate: int(seed % 9), pingTimeout: time.Duration(1+seed%4) * 100 * time.Millisecond, trace: func(string, ...any) {}, mutate: func(*Coordinator) {}, spoil: func(*Report) {},
	}
	w.addCoordinator()
	return w
}

func (w *world) addCoordinator() {
	w.coordinators = append(w.coordinators, New(Config{Ranks: len(w.engine.ranks), PingTimeout: w.pingTimeout}, uint64(len(w.coordinators)+1)))
	w.paused = append(w.paused, false)
}

func (w *world) send(c int, orders []Order) {
	for _, o := range orders {
		f := message{from: c, order: &o}
		if w.faults && w.rng.IntN(16) < w.faultRate {
			switch w.rng.IntN(6) {
			case 0:
				continue // lost
			case 1, 2, 3:
				f.answerLost = true
				w.delayed = append(w.delayed, f)
				continue
			case 4:
				f.answerLost = true
			case 5: // executed twice
				w.delayed = append(w.delayed, message{from: c, order: &o, answerLost: true})
			}
		}
		w.inFlight = append(w.inFlight, f)
	}
}

func (w *world) deliver(f message) {
	switch {
	case f.order != nil:
		out := w.engine.apply(*f.order)
		w.trace("c%d rank %d %v version %d step %d -> %v, answer lost %v", f.from, f.order.Rank, f.order.Op, f.order.Version, f.order.Step, out, f.answerLost)
		if !f.answerLost {
			w.inFlight = append(w.inFlight, message{from: f.from, outcome: &out, orderID: f.order.ID})
		}
	case f.outcome != nil:
		w.coordinators[f.from].Result(f.orderID, *f.outcome, w.now)
	case f.report != nil:
		m := w.coordinators[f.from]
		m.Report(*f.report, w.now)
		w.trace("c%d sees %+v", f.from, *f.report)
		m.SetContent(f.report.Epoch, f.report.Version, mapWith(f.mapContent))
	}
}

// deliverAny delivers a random message. Reports of a rank stay in order.
func (w *world) deliverAny() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rng.IntN(len(w.inFlight))
	if f := w.inFlight[i]; f.report != nil {
		for j := range i {
			if g := w.inFlight[j]; g.report != nil && g.from == f.from && g.report.Rank == f.report.Rank {
				i = j
				break
			}
		}
	}
	f := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if w.paused[f.from] && f.order == nil {
		w.delayed = append(w.delayed, f) // Queued in the paused process.
		return
	}
	w.deliver(f)
}

func (w *world) sendReport(rank int) {
	for c := range w.coordinators {
		r := w.engine.report(rank)
		w.spoil(&r)
		w.inFlight = append(w.inFlight, message{from: c, report: &r, mapContent: w.engine.ranks[rank].content})
	}
}

func (w *world) tick(c int) {
	if w.paused[c] {
		return
	}
	m := w.coordinators[c]
	if m.Phase() == Idle && w.rng.IntN(4) == 0 {
		w.nextContent++
		m.Start(mapWith(w.nextContent), w.now)
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

// act performs one random action.
func (w *world) act() error {
	w.now += time.Duration(w.rng.IntN(10)) * time.Millisecond
	switch n := w.rng.IntN(100); {
	case n < 50:
		w.deliverAny()
	case n < 75:
		w.tick(w.rng.IntN(len(w.coordinators)))
	case n < 86:
		w.sendReport(w.rng.IntN(len(w.engine.ranks)))
	case n < 92:
		began, err := w.engine.begin()
		w.trace("step %d began %v", w.engine.step, began)
		return err
	case n < 96:
		if len(w.delayed) > 0 {
			i := w.rng.IntN(len(w.delayed))
			f := w.delayed[i]
			if f.order != nil || !w.paused[f.from] {
				w.delayed = slices.Delete(w.delayed, i, i+1)
				w.deliver(f)
			}
		}
	case n < 97 && w.rng.IntN(3) == 0:
		c := w.rng.IntN(len(w.coordinators))
		w.paused[c] = !w.paused[c]
	case n < 98 && w.rng.IntN(4) == 0:
		if len(w.coordinators) < 3 {
			w.addCoordinator()
		}
	case n < 99 && w.rng.IntN(10) == 0:
		w.engine.restart()
	}
	return nil
}

// settle lets the newest coordinator work without faults and returns the time at
// which it is idle and a step began.
func (w *world) settle() (time.Duration, error) {
	w.faults, w.spoil = false, func(*Report) {}
	w.inFlight, w.delayed = nil, nil
	newest := len(w.coordinators) - 1
	for i := range w.paused {
		w.paused[i] = i != newest
	}
	began := w.now
	for w.now-began < 5*time.Second {
		w.now += time.Millisecond
		for r := range w.engine.ranks {
			w.sendReport(r)
		}
		w.tick(newest)
		for len(w.inFlight) > 0 {
			w.deliverAny()
		}
		if w.rng.IntN(5) == 0 {
			began, err := w.engine.begin()
			if err != nil {
				return 0, err
			}
			if began && w.coordinators[newest].Phase() == Idle {
				return w.now, nil
			}
		}
		w.delayed = nil
	}
	return 0, fmt.Errorf("group still held or changing after 5 s: coordinator is %v, ranks %+v", w.coordinators[newest].Phase(), w.engine.ranks)
}
