package ledger

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// Expire removes the records older than their retention and drops responses above
// the memory bound. It returns the started attempts without an action that had no
// sink attached for longer than the orphan timeout; the caller cancels them.
func (l *Ledger) Expire() (orphans []id.Attempt) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.attempts {
		switch {
		case l.expired(r, now):
			l.remove(r)
		case l.orphaned(r, now):
			orphans = append(orphans, r.attempt.ID)
		}
	}
	l.dropResponses()
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

func (l *Ledger) remove(r *record) {
	delete(l.attempts, r.attempt.ID)
	if r.attempt.Action != "" && l.actions[r.attempt.key()] == r {
		delete(l.actions, r.attempt.key())
	}
	l.counts[r.state]--
	l.responseBytes -= r.responseBytes
}

// dropResponses frees the responses of settled attempts while the memory bound is
// exceeded, those without an action first. It keeps their outcome.
func (l *Ledger) dropResponses() {
	for _, actions := range []bool{false, true} {
		for _, r := range l.attempts {
			if l.responseBytes <= l.config.MaxAnswerBytes {
				return
			}
			if r.state == msg.StateDone && (r.attempt.Action != "") == actions {
				l.responseBytes -= r.responseBytes
				r.responseBytes = 0
				r.frames = nil
			}
		}
	}
}
