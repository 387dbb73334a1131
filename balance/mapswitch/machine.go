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
	// phaseStart is when the phase began.
	phaseStart time.Duration

	// version and target describe the change in progress.
	version uint64
	target  Map
	// step is the step of the change, and holder the rank that holds it.
	step   uint64
	holder int
	// ownRank is the rank at which this lease holds steps, and only those that leave
	// residue when divided by residues.
	ownRank           int
	residue, residues uint64
	// lastReleasable is the highest step at ownRank that the lease held and may release.
	lastReleasable uint64
	heldAt         time.Duration
	holdTries      int
	// holdVia is the rank whose relay forwarded the last hold.
	holdVia int

	// contents holds the maps that are or were in use, by version. Those in ordered are known from
	// the coordinator's own orders.
	contents map[uint64]Map
	ordered  map[uint64]bool
	// releasable holds the held steps that may be released at any time.
	releasable map[heldStep]bool

	events []Event

	// stepTime is the estimated time per step, measured from windowStart and windowStep on.
	stepTime, windowStart time.Duration
	windowStep            uint64
	// undoneInARow counts consecutive undone changes. None is started before backoffUntil.
	undoneInARow int
	backoffUntil time.Duration
}

// heldStep is a step held at a rank.
type heldStep struct {
	rank int
	step uint64
}

// rank is the state of one rank as reported, and its progress in the current change.
type rank struct {
	report   Report
	reported bool
	// reports counts the reports received.
	reports uint64

	// prepared is set once the rank accepted the change's map.
	prepared bool
	// relaySuspect is set from when the rank's relay is sent a hold until it answers a ping.
	relaySuspect bool
	// armSent is set once the rank was sent an arm order.
	armSent bool
	// armed is set once the rank confirmed that it is armed with the version of the change.
	armed bool
	// disarmed is set once the rank answered the last Disarm.
	disarmed bool
	// fence is the version of the last fence that the rank accepted.
	fence uint64
	// refusedAtReport is the number of reports when the rank last refused a fence.
	refusedAtReport uint64
	fenceRefused    bool
	// rtt is the estimated time from an order to its answer.
	rtt time.Duration
	// pending holds the unanswered orders.
	pending []pendingOrder
}

// pendingOrder is an unanswered order.
type pendingOrder struct {
	Order
	sentAt time.Duration
	// superseded is set for orders whose answer only updates the round-trip time.
	superseded bool
}

// New returns a coordinator for a lease whose fencing token is higher than that of
// any earlier lease and below 2^32. The low sequenceBits of consecutive tokens count up.
func New(cfg Config, lease uint64) *Coordinator {
	n, sequence := uint64(cfg.Ranks), lease&(1<<sequenceBits-1)
	residues := (distinctHoldLeases + n - 1) / n
	return &Coordinator{
		cfg:         cfg.withDefaults(),
		nextVersion: lease<<versionBits + 1,
		ownRank:     int(sequence % n),
		residue:     sequence / n % residues,
		residues:    residues,
		ranks:       make([]rank, cfg.Ranks),
		contents:    make(map[uint64]Map),
		ordered:     make(map[uint64]bool),
		releasable:  make(map[heldStep]bool),
	}
}

// nextHoldStep returns the first step from s on that the lease may hold. Releasable steps may be
// above lastReleasable if a report named a wrong one as held.
func (c *Coordinator) nextHoldStep(s uint64) uint64 {
	s = max(s, c.lastReleasable+1)
	s += (c.residue + c.residues - s%c.residues) % c.residues
	for c.releasable[heldStep{c.ownRank, s}] {
		s += c.residues
	}
	return s
}

// allowRelease permits releasing the step of the change at any time.
func (c *Coordinator) allowRelease() {
	if c.step == 0 {
		return
	}
	c.releasable[heldStep{c.holder, c.step}] = true
	if c.holder == c.ownRank {
		c.lastReleasable = max(c.lastReleasable, c.step)
	}
}

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Epoch returns the epoch of the group, zero if none is known.
func (c *Coordinator) Epoch() uint64 { return c.epoch }

// Current returns the map in use if all ranks report the same version and its
// content is known.
func (c *Coordinator) Current() (version uint64, content Map, ok bool) {
	for i := range c.ranks {
		if !c.ranks[i].reported || c.ranks[i].report.Version != c.ranks[0].report.Version {
			return 0, nil, false
		}
	}
	version = c.ranks[0].report.Version
	content, ok = c.contents[version]
	return version, content, ok
}

// SetContent provides the content of a version that is or was in use in an epoch, as the ranks
// report it. A version that the coordinator has ordered keeps its content.
func (c *Coordinator) SetContent(epoch, version uint64, content Map) {
	if epoch == c.epoch && !c.ordered[version] {
		c.contents[version] = content
	}
}

// Events returns the phase transitions since the last call.
func (c *Coordinator) Events() []Event {
	e := c.events
	c.events = nil
	return e
}

// Report processes the reported state of a rank. The last report counts, whatever its step: a step
// may have been wrong.
func (c *Coordinator) Report(r Report, now time.Duration) {
	if r.Rank < 0 || r.Rank >= len(c.ranks) || r.Epoch < c.epoch {
		return
	}
	if r.Epoch > c.epoch {
		c.reset(r.Epoch, now)
	}
	k := &c.ranks[r.Rank]
	c.recordStepTime(r.Step, now)
	k.report, k.reported = r, true
	k.reports++
	if r.Armed != 0 && r.Armed == c.version {
		k.armed = true
	}
}

// Form begins an epoch, which may be lower than the former one if that was a mistake.
func (c *Coordinator) Form(epoch uint64, now time.Duration) {
	if epoch != c.epoch {
		c.reset(epoch, now)
	}
}

// reset discards the former epoch, whose orders no rank accepts any more.
func (c *Coordinator) reset(epoch uint64, now time.Duration) {
	c.epoch = epoch
	for i := range c.ranks {
		c.ranks[i] = rank{rtt: c.ranks[i].rtt}
	}
	clear(c.contents)
	clear(c.ordered)
	clear(c.releasable)
	c.version, c.target, c.step, c.lastReleasable = 0, nil, 0, 0
	c.stepTime, c.windowStep = 0, 0
	c.enter(Learning, now, "the group formed again")
}

func (c *Coordinator) enter(p Phase, now time.Duration, reason string) {
	c.phase, c.phaseStart = p, now
	c.events = append(c.events, Event{Phase: p, Version: c.version, Step: c.step, Reason: reason})
}

// Start begins a change to a map that differs from the current one. It returns
// false unless the coordinator is idle and not backing off.
func (c *Coordinator) Start(target Map, now time.Duration) bool {
	if _, _, ok := c.Current(); c.phase != Idle || !ok || now < c.backoffUntil {
		return false
	}
	c.version, c.target, c.step, c.holdTries = c.newVersion(), target, 0, 0
	c.holder, c.holdVia = c.ownRank, c.ownRank
	c.clearProgress()
	c.enter(Preparing, now, "a change to a new map was requested")
	return true
}

// Version returns the version of the change in progress or last completed.
func (c *Coordinator) Version() uint64 { return c.version }

func (c *Coordinator) newVersion() uint64 {
	v := c.nextVersion
	c.nextVersion++
	return v
}

func (c *Coordinator) clearProgress() {
	for i := range c.ranks {
		k := &c.ranks[i]
		k.prepared, k.armed, k.disarmed, k.fence, k.fenceRefused = false, false, false, 0, false
		k.relaySuspect, k.armSent = false, false
	}
}

// Result processes the answer to an order.
func (c *Coordinator) Result(orderID uint64, o Outcome, now time.Duration) {
	k := &c.ranks[orderID%uint64(len(c.ranks))]
	i := slices.IndexFunc(k.pending, func(p pendingOrder) bool { return p.ID == orderID })
	if i < 0 || k.pending[i].Epoch != c.epoch {
		return
	}
	if o == Unknown {
		return // The order is sent again after its resend interval.
	}
	p := k.pending[i]
	k.pending = slices.Delete(k.pending, i, i+1)
	// The time that a map is on its way says little about the round trip.
	if transfer := c.transferTime(p.Order); transfer == 0 || k.rtt == 0 {
		k.recordRTT(max(now-p.sentAt-transfer, time.Millisecond))
	}
	if p.superseded {
		return
	}
	switch p.Op {
	case Prepare:
		c.onPrepare(k, p.Order, o, now)
	case Arm:
		c.onArm(k, p.Order, o, now)
	case Disarm:
		// A conflict means that the version is in use, which a fence will show.
		k.disarmed = true
	case Hold:
		c.onHold(p.Order, o, now)
	case Release:
		c.onRelease(p.Order, now)
	case Ping:
		k.relaySuspect = k.relaySuspect && o != Done
	}
}

// Tick advances the coordinator to a time and returns the orders to send. The owner
// calls it after each report and result, and at an interval.
func (c *Coordinator) Tick(now time.Duration) []Order {
	var out []Order
	for before := Phase(0xff); before != c.phase; {
		before = c.phase
		out = append(out, c.advance(now)...)
	}
	return append(out, c.releaseAllowed(now)...)
}

func (c *Coordinator) advance(now time.Duration) []Order {
	switch c.phase {
	case Learning:
		c.learn(now)
	case Recovering:
		return c.recover(now)
	case Idle:
		c.idle(now)
	case Preparing:
		return c.prepare(now)
	case Holding:
		return c.hold(now)
	case Arming:
		return c.arm(now)
	case Deciding:
		return c.decide(now)
	case Undoing:
		return c.undo(now)
	case Releasing:
		return c.release(now)
	case Settling:
		c.settle(now)
	}
	return nil
}

// issue returns an order that the rank's own relay forwards, or none while the same
// order awaits its answer.
func (c *Coordinator) issue(o Order, now time.Duration) []Order {
	o.Via = o.Rank
	return c.issueVia(o, now)
}

func (c *Coordinator) issueVia(o Order, now time.Duration) []Order {
	k := &c.ranks[o.Rank]
	k.pending = slices.DeleteFunc(k.pending, func(p pendingOrder) bool { return now-p.sentAt > maxRTT+c.transferTime(p.Order) })
	for i := range k.pending {
		p := &k.pending[i]
		if p.superseded || p.Op != o.Op {
			continue
		}
		if sameChange(p.Order, o) && now-p.sentAt < c.resendInterval(p.Order) {
			return nil
		}
		p.superseded = true // Timed out, or part of an earlier change.
	}
	c.nextID++
	o.ID, o.Epoch = c.nextID*uint64(len(c.ranks))+uint64(o.Rank), c.epoch
	k.pending = append(k.pending, pendingOrder{Order: o, sentAt: now})
	return []Order{o}
}

func sameChange(a, b Order) bool { return a.Version == b.Version && a.Step == b.Step }

// awaitsAnswer reports whether an order of a kind is unanswered and not yet due for resending.
func (c *Coordinator) awaitsAnswer(rank int, op Op, now time.Duration) bool {
	for _, p := range c.ranks[rank].pending {
		if p.Op == op && !p.superseded && now-p.sentAt < c.resendInterval(p.Order) {
			return true
		}
	}
	return false
}

// lastStep returns the highest step that a rank reported.
func (c *Coordinator) lastStep() uint64 {
	var s uint64
	for i := range c.ranks {
		s = max(s, c.ranks[i].report.Step)
	}
	return s
}
