package quarantine

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// MaxPartBytes bounds the ID of a part.
const MaxPartBytes = 64

// Parts returns the IDs of a prompt's parts as the table knows them: sorted, each once, long ones replaced by a hash.
func Parts(names []string) []id.Part {
	if len(names) == 0 {
		return nil
	}
	out := make([]id.Part, len(names))
	for i, name := range names {
		if len(name) > MaxPartBytes {
			name = fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
		}
		out[i] = id.Part(name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// maxUnsorted is the number of parts up to which a list is searched from its start.
const maxUnsorted = 32

// contains reports whether a list has a part. Lists of more than maxUnsorted parts must be sorted.
func contains(parts []id.Part, p id.Part) bool {
	if len(parts) <= maxUnsorted {
		return slices.Contains(parts, p)
	}
	_, ok := slices.BinarySearch(parts, p)
	return ok
}

// Action is what to do with a request. Of the actions for its parts, the greatest counts.
type Action uint8

const (
	// Pass means that no part of the request is in question.
	Pass Action = iota
	// Claim means that the request may be the trial of a part, if no other entry objects.
	Claim
	// Wait means that it will soon be known whether a part does harm.
	Wait
	// Refuse means that the request has a blocked part.
	Refuse
)

// Verdict is the result of Check.
type Verdict struct {
	Action Action
	// Record is that of the part that decided, unless the request passes or the cause of an
	// end is not known yet.
	Record Record
}

// Check returns what to do with a request that has the parts.
func (t *Table) Check(parts []id.Part, team id.Team, now time.Duration) Verdict {
	v := Verdict{Action: Pass}
	if len(parts) == 0 || (len(t.records) == 0 && len(t.collecting) == 0 && t.hints.Len() == 0) {
		return v
	}
	if t.collectingAny(parts) {
		v.Action = Wait
	}
	t.suspectHinted(parts, now)
	triedLately := sync.OnceValue(func() bool { return t.triedLately(now) })
	for _, p := range parts {
		r := t.records[p]
		if r == nil || r.State == Cleared {
			continue
		}
		r.UsedAt = max(r.UsedAt, now)
		if a := t.check(r, parts, team, now, triedLately); a > v.Action {
			v = Verdict{Action: a, Record: *r}
		}
	}
	return v
}

// check returns what to do with a request because of one of its parts.
func (t *Table) check(r *Record, parts []id.Part, team id.Team, now time.Duration, triedLately func() bool) Action {
	whole := r.State == Blocked && t.hasAllBlamed(r, parts, team)
	switch {
	case r.ByOperator:
		return Refuse
	case now-r.BlamedAt < t.cfg.SettleTime:
		return Wait
	case !whole && r.claimed(now):
		return Wait
	case !whole:
		return Claim
	case now < r.Until || r.Trials >= t.cfg.MaxTrials || r.claimed(now) || triedLately():
		return Refuse
	}
	return Claim
}

// triedLately reports whether a blocked part is being tried or was tried less than a pause ago.
func (t *Table) triedLately(now time.Duration) bool {
	for _, r := range t.records {
		if r.State == Blocked && (r.claimed(now) || r.Trials > 0 && now < r.Until-t.pause(r.Trials)+t.cfg.Pause) {
			return true
		}
	}
	return false
}

// hasAllBlamed reports whether a request has all parts that may have caused the ends for which
// one of them is blocked. If not, or if only another team's requests are the evidence and none of
// its parts was ever the only one blamed, the request's answer tells the parts apart.
func (t *Table) hasAllBlamed(r *Record, parts []id.Part, team id.Team) bool {
	if r.Ambiguous && team != r.Team && len(r.Ends) < certainEnds {
		return false
	}
	return !slices.ContainsFunc(r.Companions, func(p id.Part) bool {
		c := t.records[p]
		return c != nil && c.State != Cleared && !contains(parts, p)
	})
}

// certainEnds is the number of ends from which on a part is blocked for all teams.
const certainEnds = 3

// MustEnd reports whether a request that is running without an answer should be ended: it has
// all parts of which one is blocked, and is no trial of this entry.
func (t *Table) MustEnd(parts []id.Part, team id.Team) bool {
	return slices.ContainsFunc(parts, func(p id.Part) bool {
		r := t.records[p]
		return r != nil && r.State == Blocked && (r.Claimant == "" || r.Claimant != t.self) && t.hasAllBlamed(r, parts, team)
	})
}

func (t *Table) collectingAny(parts []id.Part) bool {
	for _, c := range t.collecting {
		for _, l := range c.list {
			if slices.ContainsFunc(t.suspects(l.Parts, l.Answering), func(p id.Part) bool { return contains(parts, p) }) {
				return true
			}
		}
	}
	return false
}

// InQuestion reports whether a part of a request is not cleared.
func (t *Table) InQuestion(parts []id.Part) bool { return len(t.inQuestion(parts)) > 0 }

// inQuestion returns the records of the parts that are not cleared.
func (t *Table) inQuestion(parts []id.Part) []*Record {
	var out []*Record
	for _, p := range parts {
		if r := t.records[p]; r != nil && r.State != Cleared {
			out = append(out, r)
		}
	}
	return out
}

// BeginTrial claims the trial of a request's parts. The trial may start when ClaimTime has
// passed, if HoldsClaim still returns true.
func (t *Table) BeginTrial(parts []id.Part, request id.Request, now time.Duration) {
	for _, r := range t.inQuestion(parts) {
		r.Claimant, r.ClaimUntil = t.self, now+t.cfg.TrialTimeout
		t.changed(r, now)
		t.emit(KindClaimed, r, request, false)
	}
}

// ClaimTime returns the time that other entries have to object to a claim.
func (t *Table) ClaimTime() time.Duration { return t.cfg.ClaimTime }

// SettleTime returns the time that other entries have to vouch for a part.
func (t *Table) SettleTime() time.Duration { return t.cfg.SettleTime }

// HoldsClaim reports whether this entry may send a request with the parts as a trial, or all of
// them have been cleared.
func (t *Table) HoldsClaim(parts []id.Part, now time.Duration) bool {
	for _, r := range t.inQuestion(parts) {
		if r.Claimant != t.self || now >= r.ClaimUntil || r.ByOperator {
			return false
		}
	}
	return true
}

// holdsClaim reports whether this entry tries one of the parts.
func (t *Table) holdsClaim(parts []id.Part, now time.Duration) bool {
	return slices.ContainsFunc(t.inQuestion(parts), func(r *Record) bool { return r.Claimant == t.self && now < r.ClaimUntil })
}

// StartTrial records that the trial is sent to an endpoint.
func (t *Table) StartTrial(parts []id.Part, request id.Request, now time.Duration) {
	for _, r := range t.inQuestion(parts) {
		r.ClaimUntil = now + t.cfg.TrialTimeout
		if r.State == Blocked {
			r.Trials++
			r.Until = now + t.pause(r.Trials)
		}
		t.changed(r, now)
		t.emit(KindTried, r, request, false)
	}
}

// EndTrial releases the claims of a trial that ended without an answer and without an end of
// its endpoint.
func (t *Table) EndTrial(parts []id.Part, request id.Request, now time.Duration) {
	for _, r := range t.inQuestion(parts) {
		if r.Claimant != t.self {
			continue
		}
		r.Claimant = ""
		t.changed(r, now)
		t.emit(KindReleased, r, request, false)
	}
}
