package ledger

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// Expire forgets what is older than its retention and drops answers above the
// memory bound. It returns the started attempts that no entry has been attached
// to for longer than the orphan timeout; the caller cancels them.
func (l *Ledger) Expire() (orphans []id.Attempt) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.attempts {
		switch {
		case l.expired(r, now):
			l.forget(r)
		case l.orphaned(r, now):
			orphans = append(orphans, r.attempt.ID)
		}
	}
	l.dropAnswers()
	return orphans
}

func (l *Ledger) expired(r *record, now time.Time) bool {
	if r.settledAt.IsZero() {
		return false
	}
	retention := l.config.AttemptRetention
	if r.attempt.Action != "" {
		retention = l.config.ActionRetention
	}
	return now.Sub(r.settledAt) > retention
}

func (l *Ledger) orphaned(r *record, now time.Time) bool {
	return r.state == msg.StateStarted && r.attempt.Action == "" &&
		!r.orphanedAt.IsZero() && now.Sub(r.orphanedAt) > l.config.OrphanTimeout
}

func (l *Ledger) forget(r *record) {
	delete(l.attempts, r.attempt.ID)
	if r.attempt.Action != "" && l.actions[r.attempt.key()] == r {
		delete(l.actions, r.attempt.key())
	}
	l.counts[r.state]--
	l.bytes -= r.bytes
}

// dropAnswers frees the answers of settled attempts while the memory bound is
// exceeded, those without an action first. Their outcome stays known.
func (l *Ledger) dropAnswers() {
	for _, actions := range []bool{false, true} {
		for _, r := range l.attempts {
			if l.bytes <= l.config.MaxAnswerBytes {
				return
			}
			if r.state == msg.StateDone && (r.attempt.Action != "") == actions {
				l.bytes -= r.bytes
				r.bytes = 0
				r.frames = nil
			}
		}
	}
}
