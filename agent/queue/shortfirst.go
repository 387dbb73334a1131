package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// ShortFirst keeps short work from waiting behind long work. Short work goes
// first; long work that has waited or been paused for its bound goes before
// it, but only while it holds fewer slots than its own. Long work leaves
// reserved slots free, and is paused down to its own slots when short work has
// waited for its bound.
type ShortFirst struct {
	config    Config
	epoch     time.Time // of the ageing keys
	waiting   map[id.Attempt]*entry
	started   map[id.Attempt]*started
	short     *class
	long      *class
	deadlines entryHeap
	decided   time.Time // of the last call of Next
}

var _ Queue = (*ShortFirst)(nil)

// started is what the policy remembers of an attempt until it has ended.
type started struct {
	class     msg.Class
	pauses    int
	paused    bool
	pausedAt  time.Time
	remaining uint32
	seen      bool // in the current call of Next
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
	if c == msg.Short {
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
	if q.epoch.IsZero() {
		q.epoch = now
	}
	aged := q.config.AgeingRate * now.Sub(q.epoch).Seconds()
	e := &entry{item: item, arrived: now, key: float64(item.Work) + aged, at: [heapKinds]int{notInHeap, notInHeap}}
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
	q.forget(e)
	return true
}

// forget removes an entry that is in no class any more.
func (q *ShortFirst) forget(e *entry) {
	delete(q.waiting, e.item.Attempt)
	q.deadlines.remove(e)
}

// Len implements Queue.
func (q *ShortFirst) Len() int { return len(q.waiting) }

// Next implements Queue.
func (q *ShortFirst) Next(now time.Time, active []Active) Decision {
	q.observe(now, active)
	r := round{ShortFirst: q, now: now}
	r.count()
	r.expire()
	r.fill()
	r.preempt()
	q.decided = now
	return r.decision
}

// observe takes over which attempts run, are paused or have ended.
func (q *ShortFirst) observe(now time.Time, active []Active) {
	for _, a := range active {
		s, ok := q.started[a.Attempt]
		if !ok {
			s = &started{class: msg.Long} // Started by an earlier queue.
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

// round is one call of Next.
type round struct {
	*ShortFirst
	now      time.Time
	decision Decision
	// running and longRunning count the attempts in the batch.
	running, longRunning int
}

func (r *round) count() {
	for _, s := range r.started {
		if s.paused {
			continue
		}
		r.running++
		if s.class != msg.Short {
			r.longRunning++
		}
	}
}

func (r *round) expire() {
	for e := r.deadlines.first(); e != nil && !r.now.Before(e.item.Deadline); e = r.deadlines.first() {
		r.class(e.item.Class).remove(e)
		r.forget(e)
		r.decision.Expired = append(r.decision.Expired, e.item)
	}
}

// fill gives free slots away until nothing is left that may run.
func (r *round) fill() {
	for r.running < r.config.Slots {
		switch {
		case r.longBelowShare() && r.resume(r.config.MaxPauseTime):
		case r.longBelowShare() && r.long.overdue(r.now, r.config.MaxLongWait):
			r.start(r.long.takeOldest())
		case r.short.len() > 0:
			r.start(r.short.take())
		case r.longMayRun() && r.resume(0):
		case r.longMayRun() && r.long.len() > 0:
			r.start(r.long.take())
		default:
			return
		}
	}
}

func (r *round) longMayRun() bool {
	return r.longRunning < r.config.Slots-r.config.ReservedShortSlots
}

// longBelowShare reports whether long work has fewer slots than it may claim
// from short work.
func (r *round) longBelowShare() bool {
	return r.longRunning < r.config.MinLongSlots
}

func (r *round) start(e *entry) {
	r.forget(e)
	r.started[e.item.Attempt] = &started{class: e.item.Class, remaining: e.item.Work}
	r.decision.Start = append(r.decision.Start, e.item)
	r.running++
	if e.item.Class != msg.Short {
		r.longRunning++
	}
}

// resume continues the attempt that has been paused longest, if that is at
// least for the given time.
func (r *round) resume(least time.Duration) bool {
	attempt, s := r.longestPaused()
	if s == nil || r.now.Sub(s.pausedAt) < least {
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

// preempt pauses long work for short work that has waited for its bound. The
// batch is full if short work still waits.
func (r *round) preempt() {
	limit := min(r.longRunning-r.config.MinLongSlots, r.config.Slots-r.pausedCount())
	overdue := r.short.countOverdue(r.now, r.config.MaxShortWait, limit)
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
		r.start(r.short.take())
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

// pausable returns up to n long attempts, those with most remaining work
// first. Attempts of this round and those with all their pauses used stay.
func (r *round) pausable(n int) []id.Attempt {
	var attempts []id.Attempt
	for attempt, s := range r.started {
		if s.class != msg.Short && !s.paused && s.pauses < r.config.MaxPauses && !r.moved(attempt) {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b id.Attempt) int {
		return cmp.Or(cmp.Compare(r.started[b].remaining, r.started[a].remaining), cmp.Compare(a, b))
	})
	return attempts[:min(n, len(attempts))]
}

// moved reports whether an attempt was started or resumed in this round.
func (r *round) moved(attempt id.Attempt) bool {
	return slices.Contains(r.decision.Resume, attempt) ||
		slices.ContainsFunc(r.decision.Start, func(item Item) bool { return item.Attempt == attempt })
}

// NextWake implements Queue. Short work whose bound has passed already waits for an
// event, since Next found no long work to pause for it.
func (q *ShortFirst) NextWake() (time.Time, bool) {
	var wake time.Time
	if e := q.deadlines.first(); e != nil {
		wake = e.item.Deadline
	}
	if e := q.short.oldest(); e != nil {
		overdue := e.arrived.Add(q.config.MaxShortWait)
		if overdue.After(q.decided) {
			wake = earlier(wake, overdue)
		}
	}
	return wake, !wake.IsZero()
}
