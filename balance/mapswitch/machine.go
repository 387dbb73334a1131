package mapswitch

import (
	"slices"
	"time"
)

// Coordinator decides which orders to send to the ranks of one group. It acts for
// one lease. It is not safe for concurrent use.
type Coordinator struct {
	cfg Config
	// nextVersion is higher than all versions of earlier leases.
	nextVersion uint64
	nextID      uint64

	epoch uint64
	ranks []rank
	phase Phase
	// since is when the phase began.
	since time.Duration

	// version and target are the change under way.
	version uint64
	target  Map
	// step is the step of the change, and holder the rank that holds it.
	step   uint64
	holder int
	// own is the rank at which this lease holds steps. It holds those steps only
	// that leave residue when divided by residues.
	own               int
	residue, residues uint64
	// lastDecided is the highest step that was decided at the own rank.
	lastDecided uint64
	heldAt      time.Duration
	holdTries   int
	// via is the rank whose relay passed the last hold on.
	via int

	// current is the content of the maps in use, by version.
	current map[uint64]Map
	// decided lists the holds that may be released at any time.
	decided map[hold]bool

	events []Event

	// pass is about the time between two steps, counted since countedAt from countedStep on.
	pass, countedAt time.Duration
	countedStep     uint64
	// undone counts the changes in a row that were undone. None is started before pausedUntil.
	undone      int
	pausedUntil time.Duration
}

// hold is a step held at a rank.
type hold struct {
	rank int
	step uint64
}

// rank is what a machine knows of one rank.
type rank struct {
	report Report
	known  bool
	// reports counts the reports received.
	reports uint64

	// prepared is true once the rank accepted the change's map.
	prepared bool
	// doubted is true from when the rank's relay passed a hold on until it answers again.
	doubted bool
	// asked is true once the rank was asked to be armed.
	asked bool
	// armed is true once the rank was seen armed with the version of the change.
	armed bool
	// disarmed is true once the rank answered the last Disarm.
	disarmed bool
	// fence is the version of the last fence that the rank took.
	fence uint64
	// conflictAt is the number of reports at the last refusal of a fence.
	conflictAt uint64
	conflict   bool
	// trip is about the time in which the rank answers an order.
	trip time.Duration
	// pending holds the orders that were not answered yet.
	pending []pending
}

// pending is an order that was not answered yet.
type pending struct {
	Order
	sent time.Duration
	// stale is true for orders whose answer counts only for the time that it took.
	stale bool
}

// New returns a machine for the holder of a lease with a fencing number that is
// higher than that of any earlier holder. The number must be below 2^32.
func New(cfg Config, lease uint64) *Coordinator {
	n := uint64(cfg.Ranks)
	residues := (distinctHolds + n - 1) / n
	return &Coordinator{
		cfg:         cfg.withDefaults(),
		nextVersion: lease<<versionBits + 1,
		own:         int(lease % n),
		residue:     lease / n % residues,
		residues:    residues,
		ranks:       make([]rank, cfg.Ranks),
		current:     make(map[uint64]Map),
		decided:     make(map[hold]bool),
	}
}

// stepAfter returns the first step from one on that the lease may hold.
func (m *Coordinator) stepAfter(s uint64) uint64 {
	s = max(s, m.lastDecided+1)
	return s + (m.residue+m.residues-s%m.residues)%m.residues
}

// permit lets the step of the change be released at any time.
func (m *Coordinator) permit() {
	if m.step == 0 {
		return
	}
	m.decided[hold{m.holder, m.step}] = true
	if m.holder == m.own {
		m.lastDecided = max(m.lastDecided, m.step)
	}
}

// Phase returns what the machine is doing.
func (m *Coordinator) Phase() Phase { return m.phase }

// Epoch returns the epoch of the group, zero if none is known.
func (m *Coordinator) Epoch() uint64 { return m.epoch }

// Current returns the map in use if all ranks report the same version and its
// content is known.
func (m *Coordinator) Current() (version uint64, content Map, ok bool) {
	for i := range m.ranks {
		if !m.ranks[i].known || m.ranks[i].report.Version != m.ranks[0].report.Version {
			return 0, nil, false
		}
	}
	version = m.ranks[0].report.Version
	content, ok = m.current[version]
	return version, content, ok
}

// SetContent tells the content of a version that is or was in use in an epoch.
func (m *Coordinator) SetContent(epoch, version uint64, content Map) {
	if epoch == m.epoch {
		m.current[version] = content
	}
}

// Events returns what was decided since the last call.
func (m *Coordinator) Events() []Event {
	e := m.events
	m.events = nil
	return e
}

// Report takes in the state of a rank.
func (m *Coordinator) Report(r Report, now time.Duration) {
	if r.Rank < 0 || r.Rank >= len(m.ranks) || r.Epoch < m.epoch {
		return
	}
	if r.Epoch > m.epoch {
		m.reset(r.Epoch, now)
	}
	k := &m.ranks[r.Rank]
	if k.known && r.Step < k.report.Step {
		return // Reports from another host may overtake each other.
	}
	m.notePass(r.Step, now)
	k.report, k.known = r, true
	k.reports++
	if r.Armed != 0 && r.Armed == m.version {
		k.armed = true
	}
}

// reset forgets the former epoch, whose orders no rank accepts any more.
func (m *Coordinator) reset(epoch uint64, now time.Duration) {
	m.epoch = epoch
	for i := range m.ranks {
		m.ranks[i] = rank{trip: m.ranks[i].trip}
	}
	clear(m.current)
	clear(m.decided)
	m.version, m.target, m.step, m.lastDecided = 0, nil, 0, 0
	m.pass, m.countedStep = 0, 0
	m.enter(Learning, now, "the group formed anew")
}

func (m *Coordinator) enter(p Phase, now time.Duration, reason string) {
	m.phase, m.since = p, now
	m.events = append(m.events, Event{Phase: p, Version: m.version, Step: m.step, Reason: reason})
}

// Start begins a change to a map, which differs from the current one. It is
// false if the machine is not idle.
func (m *Coordinator) Start(target Map, now time.Duration) bool {
	if _, _, ok := m.Current(); m.phase != Idle || !ok || now < m.pausedUntil {
		return false
	}
	m.version, m.target, m.step, m.holdTries = m.newVersion(), target, 0, 0
	m.holder, m.via = m.own, m.own
	m.clearProgress()
	m.enter(Preparing, now, "a map was proposed")
	return true
}

// Version returns the version of the change under way or last made.
func (m *Coordinator) Version() uint64 { return m.version }

func (m *Coordinator) newVersion() uint64 {
	v := m.nextVersion
	m.nextVersion++
	return v
}

func (m *Coordinator) clearProgress() {
	for i := range m.ranks {
		k := &m.ranks[i]
		k.prepared, k.armed, k.disarmed, k.fence, k.conflict = false, false, false, 0, false
		k.doubted, k.asked = false, false
	}
}

// Result takes in the answer to an order.
func (m *Coordinator) Result(orderID uint64, o Outcome, now time.Duration) {
	k := &m.ranks[orderID%uint64(len(m.ranks))]
	i := slices.IndexFunc(k.pending, func(p pending) bool { return p.ID == orderID })
	if i < 0 || k.pending[i].Epoch != m.epoch {
		return
	}
	if o == Unknown {
		return // It is sent again after the usual time.
	}
	p := k.pending[i]
	k.pending = slices.Delete(k.pending, i, i+1)
	k.noteTrip(now - p.sent)
	if p.stale {
		return
	}
	switch p.Op {
	case Prepare:
		m.onPrepare(k, p.Order, o, now)
	case Arm:
		m.onArm(k, p.Order, o, now)
	case Disarm:
		// A conflict means that the version is in use, which a fence will show.
		k.disarmed = true
	case Hold:
		m.onHold(p.Order, o, now)
	case Release:
		m.onRelease(p.Order, now)
	case Ping:
		k.doubted = k.doubted && o != Done
	}
}

// Tick advances the machine to a time and returns the orders to send. The owner
// calls it after each report and result, and at an interval.
func (m *Coordinator) Tick(now time.Duration) []Order {
	var out []Order
	for before := Phase(0xff); before != m.phase; {
		before = m.phase
		out = append(out, m.advance(now)...)
	}
	return append(out, m.releaseDecided(now)...)
}

func (m *Coordinator) advance(now time.Duration) []Order {
	switch m.phase {
	case Learning:
		m.learn(now)
	case Recovering:
		return m.recover(now)
	case Idle:
		m.idle(now)
	case Preparing:
		return m.prepare(now)
	case Holding:
		return m.hold(now)
	case Arming:
		return m.arm(now)
	case Deciding:
		return m.decide(now)
	case Undoing:
		return m.undo(now)
	case Releasing:
		return m.release(now)
	case Settling:
		m.settle(now)
	}
	return nil
}

// ask returns an order that the rank's own relay passes on, unless the same one was
// sent lately and not answered.
func (m *Coordinator) ask(o Order, now time.Duration) []Order {
	o.Via = o.Rank
	return m.askVia(o, now)
}

func (m *Coordinator) askVia(o Order, now time.Duration) []Order {
	k := &m.ranks[o.Rank]
	k.pending = slices.DeleteFunc(k.pending, func(p pending) bool { return now-p.sent > maxTrip })
	for i := range k.pending {
		p := &k.pending[i]
		if p.stale || p.Op != o.Op {
			continue
		}
		if same(p.Order, o) && now-p.sent < m.resend(p.Order) {
			return nil
		}
		p.stale = true // Given up, or of an earlier change.
	}
	m.nextID++
	o.ID, o.Epoch = m.nextID*uint64(len(m.ranks))+uint64(o.Rank), m.epoch
	k.pending = append(k.pending, pending{Order: o, sent: now})
	return []Order{o}
}

func same(a, b Order) bool { return a.Version == b.Version && a.Step == b.Step }

// waits reports whether an order of a kind was sent to a rank lately and not answered.
func (m *Coordinator) waits(rank int, op Op, now time.Duration) bool {
	for _, p := range m.ranks[rank].pending {
		if p.Op == op && !p.stale && now-p.sent < m.resend(p.Order) {
			return true
		}
	}
	return false
}

// lastStep returns the last step that a rank reported.
func (m *Coordinator) lastStep() uint64 {
	var s uint64
	for i := range m.ranks {
		s = max(s, m.ranks[i].report.Step)
	}
	return s
}
