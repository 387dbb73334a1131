// Package ledger records the attempts of one agent incarnation with their responses,
// and ensures that each attempt and each action starts at most once.
package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/wire/msg"
)

// Sink receives the frames of an attempt's response. Frame is called with the
// ledger's lock held: it must not block and must not call the ledger.
type Sink interface {
	Frame(f *msg.Frame)
}

// ActionKey identifies an action. Each team has its own namespace of actions.
type ActionKey struct {
	Team   id.Team
	Action id.Action
}

// Attempt identifies an attempt and the payload that it carries.
type Attempt struct {
	ID id.Attempt
	// Action is empty if the request is idempotent or carries no idempotency key.
	Action      id.Action
	Team        id.Team
	PayloadHash uint64
}

func (a Attempt) key() ActionKey { return ActionKey{Team: a.Team, Action: a.Action} }

// record is the state of one attempt with the frames of its response.
type record struct {
	attempt       Attempt
	state         msg.State
	frames        []*msg.Frame
	responseBytes int
	digest        *xxhash.Digest
	sinks         []Sink
	refusal       *msg.Refusal
	end           *msg.End
	// settledAt is when the attempt finished or was tombstoned.
	settledAt time.Time
	// orphanedAt is when the last sink was detached. It is zero while one is attached.
	orphanedAt time.Time
}

// Ledger is safe for concurrent use.
type Ledger struct {
	config Config
	now    func() time.Time

	// mu is taken before the locks of sinks.
	mu            sync.Mutex
	attempts      map[id.Attempt]*record
	actions       map[ActionKey]*record
	responseBytes int
	counts        map[msg.State]int
}

// New returns an empty ledger that reads the time from now.
func New(c Config, now func() time.Time) *Ledger {
	return &Ledger{
		config:   c,
		now:      now,
		attempts: make(map[id.Attempt]*record),
		actions:  make(map[ActionKey]*record),
		counts:   make(map[msg.State]int),
	}
}

// Admission is the result of Admit.
type Admission uint8

const (
	// AdmissionNew means that the attempt is recorded as queued; the caller starts it.
	AdmissionNew Admission = iota
	// AdmissionJoined means that the sink was attached to a recorded attempt.
	AdmissionJoined
	// AdmissionRefused means that the attempt will not start.
	AdmissionRefused
)

// Admit records an attempt as queued. If the attempt or its action is already
// recorded, it attaches the sink to that record and replays the frames instead.
func (l *Ledger) Admit(a Attempt, sink Sink) (Admission, *msg.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.attempts[a.ID]; ok {
		return l.join(r, a, sink)
	}
	if a.Action != "" {
		if r, ok := l.actions[a.key()]; ok {
			return l.join(r, a, sink)
		}
	}
	if refusal := l.refuseIfFull(a); refusal != nil {
		return AdmissionRefused, refusal
	}
	r := &record{attempt: a, digest: xxhash.New()}
	l.setState(r, msg.StateQueued)
	l.attempts[a.ID] = r
	if a.Action != "" {
		l.actions[a.key()] = r
	}
	l.attach(r, 0, sink)
	return AdmissionNew, nil
}

func (l *Ledger) refuseIfFull(a Attempt) *msg.Refusal {
	if len(l.attempts) >= l.config.MaxAttempts {
		return &msg.Refusal{Code: msg.CodeLedgerFull, Detail: "the agent records too many attempts"}
	}
	if a.Action != "" && len(l.actions) >= l.config.MaxActions {
		return &msg.Refusal{Code: msg.CodeLedgerFull, Detail: "the agent records too many actions"}
	}
	return nil
}

// join attaches sink to a recorded attempt. Payload and team must be equal.
func (l *Ledger) join(r *record, a Attempt, sink Sink) (Admission, *msg.Refusal) {
	if r.state == msg.StateTombstoned {
		return AdmissionRefused, r.refusal
	}
	if r.attempt.PayloadHash != a.PayloadHash || r.attempt.Team != a.Team {
		refusal := payloadRefusal()
		return AdmissionRefused, &refusal
	}
	l.attach(r, 0, sink)
	return AdmissionJoined, nil
}

// Known reports whether the attempt or its action is recorded.
func (l *Ledger) Known(a Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known(a)
}

func (l *Ledger) known(a Attempt) bool {
	if _, ok := l.attempts[a.ID]; ok {
		return true
	}
	if a.Action == "" {
		return false
	}
	_, ok := l.actions[a.key()]
	return ok
}

// Start moves a queued attempt to started. The caller may hand the attempt to the
// back end only if Start returns true.
func (l *Ledger) Start(attempt id.Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[attempt]
	if !ok || r.state != msg.StateQueued {
		return false
	}
	l.setState(r, msg.StateStarted)
	return true
}

// Append adds a frame to the response of a started attempt.
func (l *Ledger) Append(attempt id.Attempt, f msg.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[attempt]
	if !ok || r.state != msg.StateStarted {
		return
	}
	_, _ = r.digest.Write(f.Data)
	l.appendFrame(r, &f)
}

// Finish ends the response of a started attempt. It sets Count and Checksum of end.
func (l *Ledger) Finish(attempt id.Attempt, end msg.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[attempt]
	if !ok || r.state != msg.StateStarted {
		return
	}
	end.Count = uint32(len(r.frames))
	end.Checksum = r.digest.Sum64()
	r.end = &end
	l.appendFrame(r, &msg.Frame{End: &end})
	l.settle(r, msg.StateDone)
}

// Refuse tombstones an attempt that was not handed to the back end. It returns
// false if the attempt has started. An unknown attempt is recorded as tombstoned,
// so that a dispatch arriving later is refused.
func (l *Ledger) Refuse(attempt id.Attempt, refusal msg.Refusal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[attempt]
	if !ok {
		r = &record{attempt: Attempt{ID: attempt}}
		l.attempts[attempt] = r
	}
	switch r.state {
	case msg.StateTombstoned:
		return true
	case msg.StateStarted, msg.StateDone:
		return false
	}
	l.tombstone(r, refusal)
	return true
}

// RefuseNew records an attempt and its action as tombstoned without queueing it.
// It returns false and records nothing if either is already recorded or the ledger
// is full.
func (l *Ledger) RefuseNew(a Attempt, refusal msg.Refusal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known(a) || l.refuseIfFull(a) != nil {
		return false
	}
	r := &record{attempt: a}
	l.attempts[a.ID] = r
	if a.Action != "" {
		l.actions[a.key()] = r
	}
	l.tombstone(r, refusal)
	return true
}

// MarkNotStarted tombstones a started attempt of which the back end received nothing.
func (l *Ledger) MarkNotStarted(attempt id.Attempt, refusal msg.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[attempt]
	if !ok || r.state != msg.StateStarted || len(r.frames) > 0 {
		return
	}
	l.tombstone(r, refusal)
}

// tombstone settles r as refused. The action stays bound to r, so that no attempt
// of it, including one still in transit, runs in this incarnation.
func (l *Ledger) tombstone(r *record, refusal msg.Refusal) {
	r.refusal = &refusal
	for _, s := range r.sinks {
		s.Frame(&msg.Frame{Attempt: r.attempt.ID, Refused: r.refusal})
	}
	l.settle(r, msg.StateTombstoned)
}

func (l *Ledger) settle(r *record, s msg.State) {
	l.setState(r, s)
	r.settledAt = l.now()
	r.sinks = nil
}

func (l *Ledger) setState(r *record, s msg.State) {
	if r.state != "" {
		l.counts[r.state]--
	}
	r.state = s
	l.counts[s]++
}

// appendFrame stores a frame and sends it to the sinks.
func (l *Ledger) appendFrame(r *record, f *msg.Frame) {
	f.Attempt = r.attempt.ID
	f.Seq = uint32(len(r.frames))
	r.frames = append(r.frames, f)
	r.responseBytes += len(f.Data)
	l.responseBytes += len(f.Data)
	for _, s := range r.sinks {
		s.Frame(f)
	}
}

// Attach replays the frames of an attempt starting at a sequence number and keeps
// the sink attached for later ones. If only the action of the attempt is recorded,
// with the same payload, it attaches to the action's attempt; otherwise an unknown
// attempt is tombstoned.
func (l *Ledger) Attach(a Attempt, from uint32, sink Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[a.ID]
	if !ok {
		r = l.recordForUnknown(a)
	}
	l.attach(r, from, sink)
}

// recordForUnknown returns the record of the attempt's action if the payload is
// the same, else a new tombstone.
func (l *Ledger) recordForUnknown(a Attempt) *record {
	refusal := msg.Refusal{Code: msg.CodeUnknownAttempt, Detail: "the agent did not receive the attempt"}
	if a.Action != "" {
		r, ok := l.actions[a.key()]
		if ok && r.attempt.PayloadHash == a.PayloadHash {
			return r
		}
		if ok {
			refusal = payloadRefusal()
		}
	}
	r := &record{attempt: Attempt{ID: a.ID}}
	l.attempts[a.ID] = r
	l.tombstone(r, refusal)
	return r
}

func payloadRefusal() msg.Refusal {
	return msg.Refusal{Code: msg.CodePayload, Detail: "the action was used with another payload"}
}

func (l *Ledger) attach(r *record, from uint32, sink Sink) {
	switch {
	case r.state == msg.StateTombstoned:
		sink.Frame(&msg.Frame{Attempt: r.attempt.ID, Refused: r.refusal})
		return
	case r.state == msg.StateDone && r.frames == nil:
		sink.Frame(&msg.Frame{Attempt: r.attempt.ID, End: &msg.End{
			Outcome: r.end.Outcome, Error: "the answer is no longer kept",
		}})
		return
	}
	for i := int(from); i < len(r.frames); i++ {
		sink.Frame(r.frames[i])
	}
	if r.state != msg.StateDone {
		r.sinks = append(r.sinks, sink)
		r.orphanedAt = time.Time{}
	}
}

// Detach removes the matching sinks from all attempts.
func (l *Ledger) Detach(match func(Sink) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.attempts {
		if len(r.sinks) == 0 {
			continue
		}
		r.sinks = slices.DeleteFunc(r.sinks, match)
		if len(r.sinks) == 0 {
			r.orphanedAt = l.now()
		}
	}
}

// State returns the state of an attempt and whether it has an action.
func (l *Ledger) State(attempt id.Attempt) (s msg.State, hasAction bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.attempts[attempt]
	if !ok {
		return msg.StateUnknown, false
	}
	return r.state, r.attempt.Action != ""
}

// ActionStatus returns the state and outcome of an action. An unknown action has
// an unknown outcome, since a dispatch of it may still be in transit.
func (l *Ledger) ActionStatus(k ActionKey) msg.AttemptStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.actions[k]
	if !ok {
		return msg.AttemptStatus{State: msg.StateUnknown, Outcome: outcome.Unknown}
	}
	status := msg.AttemptStatus{State: r.state, Outcome: outcome.Unknown, Attempt: r.attempt.ID}
	switch r.state {
	case msg.StateDone:
		status.Outcome = r.end.Outcome
	case msg.StateTombstoned:
		status.Outcome = outcome.NotRun
	}
	return status
}

// Unsettled returns the number of attempts that are queued or started.
func (l *Ledger) Unsettled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[msg.StateQueued] + l.counts[msg.StateStarted]
}
