package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/wire/msg"
)

// recorder is a Sink that records all frames.
type recorder struct{ frames []*msg.Frame }

func (r *recorder) Frame(f *msg.Frame) { r.frames = append(r.frames, f) }

func (r *recorder) last() *msg.Frame { return r.frames[len(r.frames)-1] }

type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) read() time.Time { return c.now }

func TestSecondAttemptOfAnActionJoinsTheFirst(t *testing.T) {
	l := New(DefaultConfig(), newClock().read)
	var first, second recorder
	admission, refusal := l.Admit(Attempt{ID: "a1", Action: "k", Team: "puno", PayloadHash: 7}, &first)
	assert.Equal(t, admission, AdmissionNew)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, l.Start("a1"))
	l.Append("a1", msg.Frame{Data: []byte("x")})

	admission, _ = l.Admit(Attempt{ID: "a2", Action: "k", Team: "puno", PayloadHash: 7}, &second)
	assert.Equal(t, admission, AdmissionJoined)
	assert.Assert(t, !l.Start("a2"), "the second attempt must not start")
	l.Finish("a1", msg.End{Outcome: outcome.Ran})
	assert.Equal(t, len(first.frames), 2)
	assert.Equal(t, len(second.frames), 2)
	assert.Equal(t, second.frames[0].Attempt, id.Attempt("a1"))
}

func TestAdmitRefuses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(l *Ledger)
		attempt Attempt
		want    msg.Code
	}{
		{
			name:    "another payload under a used action",
			prepare: func(l *Ledger) { l.Admit(Attempt{ID: "a1", Action: "k", PayloadHash: 1}, &recorder{}) },
			attempt: Attempt{ID: "a2", Action: "k", PayloadHash: 2},
			want:    msg.CodePayload,
		},
		{
			name:    "dispatch after the attempt was asked for",
			prepare: func(l *Ledger) { l.Attach(Attempt{ID: "a1"}, 0, &recorder{}) },
			attempt: Attempt{ID: "a1"},
			want:    msg.CodeUnknownAttempt,
		},
		{
			name: "another attempt of a refused action",
			prepare: func(l *Ledger) {
				l.RefuseNew(Attempt{ID: "a1", Action: "k"}, msg.Refusal{Code: msg.CodeDraining})
			},
			attempt: Attempt{ID: "a2", Action: "k"},
			want:    msg.CodeDraining,
		},
		{
			name: "dispatch of a withdrawn attempt",
			prepare: func(l *Ledger) {
				l.Refuse("a1", msg.Refusal{Code: msg.CodeWithdrawn})
			},
			attempt: Attempt{ID: "a1"},
			want:    msg.CodeWithdrawn,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(DefaultConfig(), newClock().read)
			tc.prepare(l)
			admission, refusal := l.Admit(tc.attempt, &recorder{})
			assert.Equal(t, admission, AdmissionRefused)
			assert.Equal(t, refusal.Code, tc.want)
			assert.Assert(t, !l.Start(tc.attempt.ID))
		})
	}
}

func TestAdmitRefusesAboveMaxActions(t *testing.T) {
	c := DefaultConfig()
	c.MaxActions = 1
	l := New(c, newClock().read)
	l.Admit(Attempt{ID: "a1", Action: "k1"}, &recorder{})
	_, refusal := l.Admit(Attempt{ID: "a2", Action: "k2"}, &recorder{})
	assert.Equal(t, refusal.Code, msg.CodeLedgerFull)
	admission, _ := l.Admit(Attempt{ID: "a3"}, &recorder{})
	assert.Equal(t, admission, AdmissionNew, "attempts without an action have their own bound")
}

func TestAttachReplaysFromFrame(t *testing.T) {
	l := New(DefaultConfig(), newClock().read)
	l.Admit(Attempt{ID: "a1"}, &recorder{})
	l.Start("a1")
	for i := range 5 {
		l.Append("a1", msg.Frame{Data: fmt.Append(nil, i)})
	}
	l.Finish("a1", msg.End{Outcome: outcome.Ran})
	var again recorder
	l.Attach(Attempt{ID: "a1"}, 3, &again)
	assert.Equal(t, len(again.frames), 3)
	assert.Equal(t, again.frames[0].Seq, uint32(3))
	assert.Equal(t, again.last().End.Count, uint32(5))
}

func TestAttachByAction(t *testing.T) {
	for _, tc := range []struct {
		name    string
		payload uint64
		want    msg.Code
	}{
		{"same payload", 7, ""},
		{"another payload", 8, msg.CodePayload},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(DefaultConfig(), newClock().read)
			l.Admit(Attempt{ID: "a1", Action: "k", PayloadHash: 7}, &recorder{})
			l.Start("a1")
			l.Finish("a1", msg.End{Outcome: outcome.Ran})
			late := Attempt{ID: "a2", Action: "k", PayloadHash: tc.payload}
			var sink recorder
			l.Attach(late, 0, &sink)
			if tc.want == "" {
				assert.Equal(t, sink.last().End.Outcome, outcome.Ran)
				return
			}
			assert.Equal(t, sink.last().Refused.Code, tc.want)
			admission, _ := l.Admit(late, &recorder{})
			assert.Equal(t, admission, AdmissionRefused, "the late dispatch must not run")
		})
	}
}

func TestExpiry(t *testing.T) {
	c := DefaultConfig()
	now := newClock()
	l := New(c, now.read)
	l.Admit(Attempt{ID: "plain"}, &recorder{})
	l.Admit(Attempt{ID: "act", Action: "k"}, &recorder{})
	for _, a := range []id.Attempt{"plain", "act"} {
		l.Start(a)
		l.Append(a, msg.Frame{Data: []byte("x")})
		l.Finish(a, msg.End{Outcome: outcome.Ran})
	}
	now.now = now.now.Add(c.AttemptRetention + time.Second)
	l.Expire()
	state, _ := l.State("plain")
	assert.Equal(t, state, msg.StateUnknown)
	assert.Equal(t, l.ActionStatus(ActionKey{Action: "k"}).Outcome, outcome.Ran)
	now.now = now.now.Add(c.ActionRetention)
	l.Expire()
	assert.Equal(t, l.ActionStatus(ActionKey{Action: "k"}).State, msg.StateUnknown)
}

func TestDroppedResponseKeepsItsOutcome(t *testing.T) {
	c := DefaultConfig()
	c.MaxAnswerBytes = 1
	l := New(c, newClock().read)
	l.Admit(Attempt{ID: "a1", Action: "k"}, &recorder{})
	l.Start("a1")
	l.Append("a1", msg.Frame{Data: []byte("answer")})
	l.Finish("a1", msg.End{Outcome: outcome.Ran})
	l.Expire()
	var again recorder
	admission, _ := l.Admit(Attempt{ID: "a2", Action: "k"}, &again)
	assert.Equal(t, admission, AdmissionJoined)
	assert.Equal(t, again.last().End.Outcome, outcome.Ran)
	assert.Assert(t, again.last().End.Error != "")
}

func TestOrphans(t *testing.T) {
	c := DefaultConfig()
	now := newClock()
	l := New(c, now.read)
	var sink recorder
	l.Admit(Attempt{ID: "a1"}, &sink)
	l.Start("a1")
	l.Detach(func(s Sink) bool { return s == &sink })
	assert.Equal(t, len(l.Expire()), 0)
	now.now = now.now.Add(c.OrphanTimeout + time.Second)
	assert.DeepEqual(t, l.Expire(), []id.Attempt{"a1"})
}

// TestNothingStartsTwice applies random operations and checks that each action
// starts at most once, and never after it was refused.
func TestNothingStartsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(DefaultConfig(), newClock().read)
		starts := map[id.Action]int{}
		refused := map[id.Action]bool{}
		attempt := rapid.Custom(func(t *rapid.T) Attempt {
			action := rapid.IntRange(0, 2).Draw(t, "action")
			try := rapid.IntRange(0, 2).Draw(t, "try")
			return Attempt{
				ID:     id.Attempt(fmt.Sprintf("a%d.%d", action, try)),
				Action: id.Action(fmt.Sprintf("k%d", action)),
			}
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a := attempt.Draw(t, "attempt")
			switch rapid.SampledFrom([]string{"admit", "start", "refuse", "refuse-new", "attach", "finish", "not-started"}).Draw(t, "op") {
			case "admit":
				l.Admit(a, &recorder{})
			case "start":
				if l.Start(a.ID) {
					starts[a.Action]++
					if refused[a.Action] {
						t.Fatalf("action %s started after it was refused", a.Action)
					}
				}
			case "refuse":
				l.Refuse(a.ID, msg.Refusal{Code: msg.CodeWithdrawn})
			case "refuse-new":
				if l.RefuseNew(a, msg.Refusal{Code: msg.CodeDraining}) {
					refused[a.Action] = true
				}
			case "attach":
				l.Attach(a, 0, &recorder{})
			case "finish":
				l.Finish(a.ID, msg.End{Outcome: outcome.Ran})
			case "not-started":
				l.MarkNotStarted(a.ID, msg.Refusal{Code: msg.CodeBackend})
			}
			for action, n := range starts {
				if n > 1 {
					t.Fatalf("action %s started %d times", action, n)
				}
			}
		}
	})
}
