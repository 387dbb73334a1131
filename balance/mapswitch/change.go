package mapswitch

import "time"

// learn waits for a report of every rank of an open group.
func (m *Coordinator) learn(now time.Duration) {
	for i := range m.ranks {
		if k := &m.ranks[i]; !k.known || !k.report.Open {
			return
		}
	}
	if _, _, ok := m.Current(); !ok {
		return
	}
	m.beginRecovery(now, "an earlier coordinator may have left a change")
}

// idle watches for the traces of another coordinator.
func (m *Coordinator) idle(now time.Duration) {
	if m.foreign() {
		m.beginRecovery(now, "another coordinator is at work")
	}
}

// foreign reports whether a rank is armed or holds a step by another's order.
func (m *Coordinator) foreign() bool {
	for i := range m.ranks {
		r := &m.ranks[i].report
		if r.Armed != 0 && r.Armed != m.version {
			return true
		}
		if r.Held != 0 && !m.decided[hold{i, r.Held}] && (i != m.holder || r.Held != m.step) {
			return true
		}
	}
	return false
}

func (m *Coordinator) prepare(now time.Duration) []Order {
	if now-m.since > m.cfg.PrepareTimeout {
		m.abandon(now, "the weights were not copied in time")
		return nil
	}
	if m.foreign() {
		m.abandon(now, "another coordinator is at work")
		return nil
	}
	var out []Order
	ready := true
	for i := range m.ranks {
		k := &m.ranks[i]
		if k.report.Prepared == m.version {
			continue
		}
		ready = false
		if !k.prepared {
			out = append(out, m.ask(Order{Rank: i, Op: Prepare, Version: m.version, Map: m.target}, now)...)
		}
	}
	if ready {
		m.step = m.stepAfter(m.lastStep() + m.lead())
		m.enter(Holding, now, "all ranks hold the weights")
	}
	return out
}

func (m *Coordinator) onPrepare(k *rank, o Order, got Outcome, now time.Duration) {
	switch m.phase {
	case Preparing:
		if o.Version != m.version {
			return
		}
		if got == Conflict && k.report.Prepared != m.version {
			m.abandon(now, "a rank refused the map")
			return
		}
		k.prepared = true
	case Recovering, Deciding, Undoing:
		if o.Version <= m.version {
			return // The map of the change, not a fence.
		}
		if got == Done {
			k.fence = max(k.fence, o.Version)
			return
		}
		k.conflict, k.conflictAt, k.disarmed = true, k.reports, false
	default:
	}
}

// abandon gives up a change of which no rank was armed.
func (m *Coordinator) abandon(now time.Duration, reason string) {
	m.version, m.target = 0, nil
	m.enter(Idle, now, reason)
}

func (m *Coordinator) hold(now time.Duration) []Order {
	if m.holdTries > maxHoldTries || now-m.since > m.cfg.PrepareTimeout {
		m.permit() // No rank was armed for it.
		m.abandon(now, "no step could be held")
		return nil
	}
	via := (m.via + 1) % len(m.ranks)
	if via == m.holder {
		via = (via + 1) % len(m.ranks)
	}
	out := m.askVia(Order{Rank: m.holder, Via: via, Op: Hold, Step: m.step}, now)
	if len(out) > 0 {
		m.via = via
		m.ranks[via].doubted = true
	}
	return out
}

func (m *Coordinator) onHold(o Order, got Outcome, now time.Duration) {
	if m.phase != Holding || o.Step != m.step {
		return
	}
	if got == Conflict {
		m.permit() // An earlier try may still be carried out.
		m.holdTries++
		m.step = m.stepAfter(m.lastStep() + m.lead())
		return
	}
	m.heldAt = now
	m.enter(Arming, now, "the step is held")
}

func (m *Coordinator) arm(now time.Duration) []Order {
	if m.allArmed() {
		m.permit()
		m.enter(Releasing, now, "every rank is armed")
		return nil
	}
	if now-m.heldAt > max(m.cfg.HoldTimeout, m.cfg.PingDelay+holdTrips*m.longestTrip()) {
		m.enter(Deciding, now, "the step was held for too long")
		return nil
	}
	var out []Order
	for i := range m.ranks {
		k := &m.ranks[i]
		switch {
		case k.armed:
		case k.doubted && now-m.heldAt > max(m.cfg.PingTimeout, m.cfg.PingDelay+resendTrips*k.trip):
			m.enter(Deciding, now, "the relay that passed the hold on is silent")
			return out
		case k.doubted && now-m.heldAt < m.cfg.PingDelay:
		case k.doubted:
			out = append(out, m.ask(Order{Rank: i, Op: Ping}, now)...)
		default:
			k.asked = true
			out = append(out, m.ask(Order{Rank: i, Op: Arm, Version: m.version, Step: m.step}, now)...)
		}
	}
	return out
}

func (m *Coordinator) onArm(k *rank, o Order, got Outcome, now time.Duration) {
	if o.Version != m.version {
		return
	}
	if got == Done {
		k.armed = true
		return
	}
	if m.phase == Arming {
		m.enter(Deciding, now, "a rank refused to be armed")
	}
}

func (m *Coordinator) allArmed() bool {
	for i := range m.ranks {
		if !m.ranks[i].armed {
			return false
		}
	}
	return true
}

// decide fences the ranks that were not seen armed. The first fence that takes, or a
// rank that was not asked, means that the change can be undone; a rank that refuses
// the fence and reports that it is armed counts as armed.
func (m *Coordinator) decide(now time.Duration) []Order {
	if m.allArmed() {
		m.permit()
		m.enter(Releasing, now, "every rank is armed")
		return nil
	}
	against := m.mostArmed()
	for i := range m.ranks {
		if m.unarmed(i, against) {
			m.enter(Undoing, now, "a rank was never armed")
			return nil
		}
	}
	var out []Order
	for i := range m.ranks {
		if !m.ranks[i].armed {
			out = append(out, m.fence(i, now)...)
		}
	}
	return out
}

// unarmed reports whether the version of the change cannot be armed at a rank, now or
// later. Only this lease's orders name the version. Against is that of mostArmed.
func (m *Coordinator) unarmed(i int, against uint64) bool {
	return m.ranks[i].fenced(against) || m.version != 0 && m.target != nil && !m.ranks[i].asked && m.ranks[i].report.Armed == 0
}

// mostArmed returns the highest version that is or may be armed.
func (m *Coordinator) mostArmed() uint64 {
	v := m.version
	for i := range m.ranks {
		v = max(v, m.ranks[i].report.Armed)
	}
	return v
}

// fenced reports whether a rank took a fence that counts against the versions
// which are or may be armed. A fence of a lower version tells nothing: the rank
// may have been armed after it, or a later coordinator has prepared a map there and may
// arm it at any time.
func (k *rank) fenced(against uint64) bool {
	return k.fence > against && k.fence >= k.report.Prepared
}

// fence asks a rank to prepare the map in use under a new version.
func (m *Coordinator) fence(i int, now time.Duration) []Order {
	k := &m.ranks[i]
	content, ok := m.current[k.report.Version]
	if !ok || m.waits(i, Prepare, now) {
		return nil
	}
	if k.conflict && k.reports == k.conflictAt {
		return nil // The next report tells why the last one was refused.
	}
	return m.ask(Order{Rank: i, Op: Prepare, Version: m.newVersion(), Map: content}, now)
}

// undo disarms and fences all ranks.
func (m *Coordinator) undo(now time.Duration) []Order {
	var out []Order
	fenced := true
	against := m.mostArmed()
	for i := range m.ranks {
		k := &m.ranks[i]
		if m.unarmed(i, against) {
			continue
		}
		fenced = false
		armed := k.report.Armed
		if armed == 0 {
			armed = m.version
		}
		if !m.mayDisarm(armed, against) {
			m.beginRecovery(now, "another coordinator armed a rank")
			return out
		}
		if !k.disarmed && armed != 0 {
			out = append(out, m.ask(Order{Rank: i, Op: Disarm, Version: armed}, now)...)
			continue
		}
		out = append(out, m.fence(i, now)...)
	}
	if !fenced {
		return out
	}
	m.permit()
	if m.allFenced() {
		m.decideHeld()
	}
	m.version, m.target = 0, nil
	m.enter(Releasing, now, "no rank is armed")
	return out
}

// allFenced reports whether no rank is armed with any version, so that holds of other
// coordinators are needed no more.
func (m *Coordinator) allFenced() bool {
	against := m.mostArmed()
	for i := range m.ranks {
		if !m.ranks[i].fenced(against) {
			return false
		}
	}
	return true
}

// mayDisarm reports whether a version cannot be armed at some rank.
func (m *Coordinator) mayDisarm(version, against uint64) bool {
	for i := range m.ranks {
		if m.ranks[i].fence > version || version == m.version && m.unarmed(i, against) {
			return true
		}
	}
	return false
}

func (m *Coordinator) release(now time.Duration) []Order {
	if m.step == 0 || m.lastStep() >= m.step {
		m.released(now)
		return nil
	}
	return m.ask(Order{Rank: m.holder, Op: Release, Step: m.step}, now)
}

func (m *Coordinator) onRelease(o Order, now time.Duration) {
	if m.phase == Releasing && o.Step == m.step {
		m.released(now)
	}
}

func (m *Coordinator) released(now time.Duration) {
	if m.version == 0 {
		m.pause(now)
		m.enter(Idle, now, "the change was undone")
		return
	}
	m.enter(Settling, now, "the step was released")
}

// settle waits until every rank has the armed map in use.
func (m *Coordinator) settle(now time.Duration) {
	for i := range m.ranks {
		if m.ranks[i].report.Version != m.version {
			m.permitWhileArmed()
			m.superseded(now)
			return
		}
	}
	if m.target != nil {
		m.current[m.version] = m.target
	}
	m.undone = 0
	m.enter(Idle, now, "the map is in use")
}

// permitWhileArmed lets holds of other coordinators be released. As every rank is
// armed with one version, none takes another map into use before that.
func (m *Coordinator) permitWhileArmed() {
	for i := range m.ranks {
		if r := &m.ranks[i].report; r.Held != 0 && r.Armed == m.version {
			m.decided[hold{i, r.Held}] = true
		}
	}
}

// superseded starts anew if another coordinator changed the map after this one.
func (m *Coordinator) superseded(now time.Duration) {
	if m.lastStep() <= m.step+1 {
		return
	}
	for i := range m.ranks {
		if r := &m.ranks[i].report; r.Version != m.ranks[0].report.Version || r.Armed != 0 {
			return
		}
	}
	m.version, m.target = 0, nil
	m.enter(Learning, now, "another map is in use")
}

// releaseDecided ends the holds that nobody needs any more, among them those
// that were carried out late.
func (m *Coordinator) releaseDecided(now time.Duration) []Order {
	if m.phase == Releasing {
		return nil
	}
	var out []Order
	for i := range m.ranks {
		r := &m.ranks[i].report
		if r.Held != 0 && m.decided[hold{i, r.Held}] && r.Step < r.Held {
			out = append(out, m.ask(Order{Rank: i, Op: Release, Step: r.Held}, now)...)
		}
	}
	return out
}
