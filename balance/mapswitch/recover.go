package mapswitch

import "time"

func (m *Coordinator) beginRecovery(now time.Duration, reason string) {
	m.clearProgress()
	for i := range m.ranks {
		m.ranks[i].pending = nil
	}
	m.version, m.target = 0, nil
	m.enter(Recovering, now, reason)
}

// recover fences every rank. If all ranks are armed with one version instead,
// the change of the earlier coordinator is completed. If some are, it is undone,
// which the fences that took permit.
func (m *Coordinator) recover(now time.Duration) []Order {
	var out []Order
	var fenced, armed int
	against := m.mostArmed()
	for i := range m.ranks {
		k := &m.ranks[i]
		switch {
		case k.fenced(against):
			fenced++
		case k.conflict && k.reports > k.conflictAt && k.report.Armed != 0:
			armed++
		default:
			out = append(out, m.fence(i, now)...)
		}
	}
	if fenced+armed < len(m.ranks) {
		return out
	}
	m.adopt()
	switch {
	case armed == 0:
		m.finishRecovery(now, "no rank was armed")
	case fenced == 0 && m.sameArmed():
		m.version = m.ranks[0].report.Armed
		m.enter(Settling, now, "every rank was armed")
		m.decideHeld()
	case fenced == 0:
		m.beginRecovery(now, "ranks report different armed versions")
	default:
		m.enter(Undoing, now, "some ranks were armed")
	}
	return out
}

// adopt takes over the step that another coordinator held.
func (m *Coordinator) adopt() {
	m.step, m.target = 0, nil
	for i := range m.ranks {
		if h := m.ranks[i].report.Held; h != 0 {
			m.step, m.holder = h, i
		}
	}
}

// finishRecovery permits the release of all holds.
func (m *Coordinator) finishRecovery(now time.Duration, reason string) {
	m.decideHeld()
	m.version = 0
	m.enter(Idle, now, reason)
}

func (m *Coordinator) decideHeld() {
	for i := range m.ranks {
		if h := m.ranks[i].report.Held; h != 0 {
			m.decided[hold{i, h}] = true
		}
	}
}

func (m *Coordinator) sameArmed() bool {
	for i := range m.ranks {
		if m.ranks[i].report.Armed != m.ranks[0].report.Armed {
			return false
		}
	}
	return true
}
