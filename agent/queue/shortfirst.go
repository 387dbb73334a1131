package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// ShortFirst avoids head-of-line blocking of short work by long work. Short work
// starts first, and after MaxShortWait it preempts long work down to MinLongSlots.
// Long work never takes ReservedShortSlots. It goes before short work after
// MaxLongWait, or MaxPauseTime if paused, while it holds fewer than MinLongSlots.
type ShortFirst struct {
	config      Config
	ageingEpoch time.Time // arrivals are aged relative to this time
	waiting     map[id.Attempt]*entry
	started     map[id.Attempt]*started
	short       *class
	long        *class
	deadlines   entryHeap
	lastNext    time.Time // last call of Next
}

var _ Queue = (*ShortFirst)(nil)

// started is the state of an attempt between its start and its end.
type started struct {
	class     msg.Class
	pauses    int
	paused    bool
	pausedAt  time.Time
	remaining uint32
	seen      bool // listed as active in the current call of Next
}

// NewShortFirst returns an empty queue.
func NewShortFirst(c Config) *ShortFirst {
	c = c.withDefaults()
	return &ShortFirst{
		config:    c,
		waiting:   make(map[id.Attempt]*entry),
		started:   make(map[id.Attempt]*started),
		short:     newClass(c.Weights),
		long:      newClass(c.Weights),
		deadlines: entryHeap{kind: byDeadline},
	}
}

func (q *ShortFirst) class(c msg.Class) *class {
	if c == msg.ClassShort {
		return q.short
	}
	return q.long
}

// Push implements Queue.
func (q *ShortFirst) Push(item Item, now time.Time) error {
	_, waits := q.waiting[item.Attempt]
	_, runs := q.started[item.Attempt]
	if waits || runs {
		return &DuplicateError{Attempt: item.Attempt}
	}
	if len(q.waiting) >= q.config.MaxItems {
		return ErrFull
	}
	if q.ageingEpoch.IsZero() {
		q.ageingEpoch = now
	}
	aged := q.config.AgeingRate * now.Sub(q.ageingEpoch).Seconds()
	e := &entry{item: item, arrived: now, agedWork: float64(item.Work) + aged, indices: [heapKinds]int{notInHeap, notInHeap}}
	q.waiting[item.Attempt] = e
	q.class(item.Class).add(e)
	if !item.Deadline.IsZero() {
		q.deadlines.add(e)
	}
	return nil
}

// Remove implements Queue.
func (q *ShortFirst) Remove(attempt id.Attempt) bool {
	e, ok := q.waiting[attempt]
	if !ok {
		return false
	}
	q.class(e.item.Class).remove(e)
	q.removeWaiting(e)
	return true
}

// removeWaiting removes an entry that has already left its class.
func (q *ShortFirst) removeWaiting(e *entry) {
	delete(q.waiting, e.item.Attempt)
	q.deadlines.remove(e)
}

// Len implements Queue.
func (q *ShortFirst) Len() int { return len(q.waiting) }

// Next implements Queue.
func (q *ShortFirst) Next(now time.Time, active []Active) Decision {
	q.updateStarted(now, active)
	r := pass{ShortFirst: q, now: now}
	r.countRunning()
	r.expire()
	r.fillSlots()
	r.preempt()
	q.lastNext = now
	return r.decision
}

// updateStarted updates the started attempts from the active ones and drops those
// that have ended.
func (q *ShortFirst) updateStarted(now time.Time, active []Active) {
	for _, a := range active {
		s, ok := q.started[a.Attempt]
		if !ok {
			s = &started{class: msg.ClassLong} // Not started by this queue; its class is unknown.
			q.started[a.Attempt] = s
		}
		if a.Paused && !s.paused {
			s.pausedAt = now
		}
		s.paused = a.Paused
		s.remaining = a.Remaining
		s.seen = true
	}
	for attempt, s := range q.started {
		if !s.seen {
			delete(q.started, attempt)
		}
		s.seen = false
	}
}

// pass is one call of Next.
type pass struct {
	*ShortFirst
	now      time.Time
	decision Decision
	// running and longRunning count the attempts in the batch.
	running, longRunning int
}

func (r *pass) countRunning() {
	for _, s := range r.started {
		if s.paused {
			continue
		}
		r.running++
		if s.class != msg.ClassShort {
			r.longRunning++
		}
	}
}

func (r *pass) expire() {
	for e := r.deadlines.min(); e != nil && !r.now.Before(e.item.Deadline); e = r.deadlines.min() {
		r.class(e.item.Class).remove(e)
		r.removeWaiting(e)
		r.decision.Expired = append(r.decision.Expired, e.item)
	}
}

// fillSlots assigns free slots until no attempt may run.
func (r *pass) fillSlots() {
	for r.running < r.config.Slots {
		switch {
		case r.longBelowMin() && r.resumeLongestPaused(r.config.MaxPauseTime):
		case r.longBelowMin() && r.long.oldestWaited(r.now, r.config.MaxLongWait):
			r.start(r.long.popOldest())
		case r.short.len() > 0:
			r.start(r.short.pop())
		case r.longSlotFree() && r.resumeLongestPaused(0):
		case r.longSlotFree() && r.long.len() > 0:
			r.start(r.long.pop())
		default:
			return
		}
	}
}

func (r *pass) longSlotFree() bool {
	return r.longRunning < r.config.Slots-r.config.ReservedShortSlots
}

// longBelowMin reports whether long work holds fewer slots than it is guaranteed.
func (r *pass) longBelowMin() bool {
	return r.longRunning < r.config.MinLongSlots
}

func (r *pass) start(e *entry) {
	r.removeWaiting(e)
	r.started[e.item.Attempt] = &started{class: e.item.Class, remaining: e.item.Work}
	r.decision.Start = append(r.decision.Start, e.item)
	r.running++
	if e.item.Class != msg.ClassShort {
		r.longRunning++
	}
}

// resumeLongestPaused resumes the attempt that has been paused longest if it was
// paused for at least minPause. It reports whether it did.
func (r *pass) resumeLongestPaused(minPause time.Duration) bool {
	attempt, s := r.longestPaused()
	if s == nil || r.now.Sub(s.pausedAt) < minPause {
		return false
	}
	s.paused = false
	r.decision.Resume = append(r.decision.Resume, attempt)
	r.running++
	r.longRunning++
	return true
}

func (q *ShortFirst) longestPaused() (id.Attempt, *started) {
	var attempt id.Attempt
	var longest *started
	for a, s := range q.started {
		if !s.paused {
			continue
		}
		if longest == nil || cmp.Or(s.pausedAt.Compare(longest.pausedAt), cmp.Compare(a, attempt)) < 0 {
			attempt, longest = a, s
		}
	}
	return attempt, longest
}

// preempt replaces long work by short work that has waited for MaxShortWait. It
// runs after fillSlots, so the batch is full if short work still waits.
func (r *pass) preempt() {
	limit := min(r.longRunning-r.config.MinLongSlots, r.config.Slots-r.pausedCount())
	overdue := r.short.countWaited(r.now, r.config.MaxShortWait, limit)
	if overdue <= 0 {
		return
	}
	for _, attempt := range r.pausable(overdue) {
		s := r.started[attempt]
		s.paused = true
		s.pausedAt = r.now
		s.pauses++
		r.decision.Pause = append(r.decision.Pause, attempt)
		r.running--
		r.longRunning--
		r.start(r.short.pop())
	}
}

func (q *ShortFirst) pausedCount() int {
	n := 0
	for _, s := range q.started {
		if s.paused {
			n++
		}
	}
	return n
}

// pausable returns up to n long attempts, those with most remaining work first. It
// skips attempts that this pass started or resumed, or that reached MaxPauses.
func (r *pass) pausable(n int) []id.Attempt {
	var attempts []id.Attempt
	for attempt, s := range r.started {
		if s.class != msg.ClassShort && !s.paused && s.pauses < r.config.MaxPauses && !r.changed(attempt) {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b id.Attempt) int {
		return cmp.Or(cmp.Compare(r.started[b].remaining, r.started[a].remaining), cmp.Compare(a, b))
	})
	return attempts[:min(n, len(attempts))]
}

// changed reports whether an attempt was started or resumed in this pass.
func (r *pass) changed(attempt id.Attempt) bool {
	return slices.Contains(r.decision.Resume, attempt) ||
		slices.ContainsFunc(r.decision.Start, func(item Item) bool { return item.Attempt == attempt })
}

// NextWake implements Queue. Short work that exceeded MaxShortWait before the last
// Next is left out: Next found no long work to pause for it, and only an event
// changes that.
func (q *ShortFirst) NextWake() (time.Time, bool) {
	var wake time.Time
	if e := q.deadlines.min(); e != nil {
		wake = e.item.Deadline
	}
	if e := q.short.oldest(); e != nil {
		overdue := e.arrived.Add(q.config.MaxShortWait)
		if overdue.After(q.lastNext) {
			wake = earlier(wake, overdue)
		}
	}
	return wake, !wake.IsZero()
}
