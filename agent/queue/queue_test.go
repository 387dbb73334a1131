package queue_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/siskinford/siskinford/agent/queue"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// TestMain fixes the seed of the property tests unless a flag sets another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // fails only for an undefined flag
	os.Exit(m.Run())
}

// itemState is the stage that an attempt has reached.
type itemState int

const (
	waiting itemState = iota + 1
	started
	ended
	expired
	removed
)

// model mirrors the state of a queue and checks its invariants after each step.
type model struct {
	*rapid.T
	queue  queue.Queue
	config queue.Config
	policy bool
	now    time.Time
	items  map[id.Attempt]queue.Item
	states map[id.Attempt]itemState
	pauses map[id.Attempt]int
	active []queue.Active
}

func (m *model) count(f itemState) int {
	n := 0
	for _, other := range m.states {
		if other == f {
			n++
		}
	}
	return n
}

// transition changes the state of an attempt, which must be in the state from.
func (m *model) transition(attempt id.Attempt, from, to itemState) {
	if m.states[attempt] != from {
		m.Fatalf("attempt %q goes from %d to %d, expected it in %d", attempt, m.states[attempt], to, from)
	}
	m.states[attempt] = to
}

func (m *model) push() {
	item := queue.Item{
		Attempt: id.Attempt(fmt.Sprintf("att_%d", len(m.items))),
		Team:    id.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "team")),
		Class:   rapid.SampledFrom([]msg.Class{msg.ClassShort, msg.ClassLong}).Draw(m.T, "class"),
		Work:    rapid.Uint32Range(0, 1000).Draw(m.T, "work"),
	}
	if rapid.Bool().Draw(m.T, "has deadline") {
		item.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(m.T, "deadline")) * time.Millisecond)
	}
	err := m.queue.Push(item, m.now)
	if m.count(waiting) == m.config.MaxItems {
		assert.Assert(m, errors.Is(err, queue.ErrFull))
		return
	}
	assert.NilError(m, err)
	m.items[item.Attempt] = item
	m.states[item.Attempt] = waiting
	var duplicate *queue.DuplicateError
	assert.Assert(m, errors.As(m.queue.Push(item, m.now), &duplicate))
}

func (m *model) remove() {
	if len(m.items) == 0 {
		return
	}
	attempt := id.Attempt(fmt.Sprintf("att_%d", rapid.IntRange(0, len(m.items)-1).Draw(m.T, "attempt")))
	waits := m.states[attempt] == waiting
	assert.Equal(m, m.queue.Remove(attempt), waits)
	if waits {
		m.transition(attempt, waiting, removed)
	}
}

func (m *model) end() {
	if len(m.active) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.active)-1).Draw(m.T, "active")
	m.transition(m.active[i].Attempt, started, ended)
	m.active = append(m.active[:i], m.active[i+1:]...)
}

func (m *model) next() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(m.T, "elapsed")) * time.Millisecond)
	d := m.queue.Next(m.now, m.active)
	for _, item := range d.Expired {
		assert.Assert(m, !item.Deadline.IsZero() && !m.now.Before(item.Deadline))
		m.transition(item.Attempt, waiting, expired)
	}
	for _, attempt := range d.Pause {
		m.setPaused(attempt, true)
		m.pauses[attempt]++
		assert.Assert(m, m.pauses[attempt] <= m.config.MaxPauses)
		assert.Equal(m, m.items[attempt].Class, msg.ClassLong)
	}
	for _, attempt := range d.Resume {
		m.setPaused(attempt, false)
	}
	for _, item := range d.Start {
		assert.DeepEqual(m, item, m.items[item.Attempt])
		assert.Assert(m, item.Deadline.IsZero() || m.now.Before(item.Deadline))
		m.transition(item.Attempt, waiting, started)
		m.active = append(m.active, queue.Active{Attempt: item.Attempt, Remaining: item.Work})
	}
	m.checkSlots()
}

func (m *model) setPaused(attempt id.Attempt, paused bool) {
	for i := range m.active {
		if m.active[i].Attempt == attempt {
			assert.Equal(m, m.active[i].Paused, !paused)
			m.active[i].Paused = paused
			return
		}
	}
	m.Fatalf("attempt %q is not active", attempt)
}

// checkSlots verifies the limits of the batch and that no slot is idle that waiting work may use.
func (m *model) checkSlots() {
	running, long, paused := 0, 0, 0
	for _, a := range m.active {
		switch {
		case a.Paused:
			paused++
		case m.items[a.Attempt].Class == msg.ClassLong:
			long++
			running++
		default:
			running++
		}
	}
	waitingBy := map[msg.Class]int{}
	for attempt, f := range m.states {
		if f == waiting {
			waitingBy[m.items[attempt].Class]++
		}
	}
	assert.Equal(m, m.queue.Len(), waitingBy[msg.ClassShort]+waitingBy[msg.ClassLong])
	assert.Assert(m, running <= m.config.Slots)
	if !m.policy {
		assert.Assert(m, running == m.config.Slots || m.queue.Len() == 0)
		return
	}
	longSlots := m.config.Slots - m.config.ReservedShortSlots
	assert.Assert(m, long <= longSlots && paused <= m.config.Slots)
	assert.Assert(m, running == m.config.Slots || waitingBy[msg.ClassShort] == 0, "short work waits beside a free slot")
	assert.Assert(m, running == m.config.Slots || long == longSlots || waitingBy[msg.ClassLong]+paused == 0, "long work waits beside a free slot")
}

func TestQueueProperties(t *testing.T) {
	for _, policy := range []bool{true, false} {
		t.Run(fmt.Sprintf("policy=%v", policy), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				m := newModel(r, policy)
				r.Repeat(map[string]func(*rapid.T){
					"push":   func(*rapid.T) { m.push() },
					"remove": func(*rapid.T) { m.remove() },
					"end":    func(*rapid.T) { m.end() },
					"next":   func(*rapid.T) { m.next() },
					"":       func(*rapid.T) { assert.Equal(m, m.queue.Len(), m.count(waiting)) },
				})
				m.drain()
			})
		})
	}
}

func newModel(r *rapid.T, policy bool) *model {
	slots := rapid.IntRange(1, 5).Draw(r, "slots")
	config := queue.Config{
		Slots:              slots,
		ReservedShortSlots: min(1, slots-1),
		MaxItems:           12,
		MaxPauses:          2,
		MaxShortWait:       time.Duration(rapid.IntRange(0, 20).Draw(r, "bound")) * time.Millisecond,
		MaxLongWait:        40 * time.Millisecond,
		MaxPauseTime:       20 * time.Millisecond,
		Weights:            map[id.Team]float64{"a": 3},
	}
	if slots == 1 {
		config.ReservedShortSlots = -1
	}
	m := &model{
		T: r, config: config, policy: policy, now: simStart,
		items: map[id.Attempt]queue.Item{}, states: map[id.Attempt]itemState{}, pauses: map[id.Attempt]int{},
	}
	m.queue = queue.NewFIFO(config)
	if policy {
		m.queue = queue.NewShortFirst(config)
	}
	m.config.ReservedShortSlots = max(config.ReservedShortSlots, 0)
	return m
}

// drain runs the queue without new arrivals; every attempt must end.
func (m *model) drain() {
	for range 3 * len(m.items) {
		m.next()
		for i, a := range m.active {
			if !a.Paused {
				m.transition(a.Attempt, started, ended)
				m.active = append(m.active[:i], m.active[i+1:]...)
				break
			}
		}
	}
	assert.Equal(m, m.count(waiting), 0, "attempts were lost in the queue")
	assert.Equal(m, m.count(started), 0, "attempts stayed paused for good")
}

// serve starts all items of a queue with one slot and returns their order.
func serve(t *testing.T, q queue.Queue, now time.Time) []queue.Item {
	t.Helper()
	var order []queue.Item
	for q.Len() > 0 {
		d := q.Next(now, nil)
		assert.Equal(t, len(d.Start), 1)
		order = append(order, d.Start...)
	}
	return order
}

func push(t *testing.T, q queue.Queue, now time.Time, items ...queue.Item) {
	t.Helper()
	for _, item := range items {
		assert.NilError(t, q.Push(item, now))
	}
}

func TestShortestFirstWithAgeing(t *testing.T) {
	q := queue.NewShortFirst(queue.Config{Slots: 1, AgeingRate: 100})
	push(t, q, simStart, queue.Item{Attempt: "300", Work: 300}, queue.Item{Attempt: "100", Work: 100})
	push(t, q, simStart.Add(time.Second), queue.Item{Attempt: "50 later", Work: 50}, queue.Item{Attempt: "250 later", Work: 250})
	var got []string
	for _, item := range serve(t, q, simStart.Add(2*time.Second)) {
		got = append(got, string(item.Attempt))
	}
	assert.DeepEqual(t, got, []string{"100", "50 later", "300", "250 later"})
}

func TestTeamsShareByWeight(t *testing.T) {
	q := queue.NewShortFirst(queue.Config{Slots: 1, Weights: map[id.Team]float64{"b": 3}})
	for i := range 200 { // Team a arrives first, with more and shorter work.
		push(t, q, simStart, queue.Item{Attempt: id.Attempt(fmt.Sprintf("a%d", i)), Team: "a", Work: 10})
	}
	for i := range 60 {
		push(t, q, simStart, queue.Item{Attempt: id.Attempt(fmt.Sprintf("b%d", i)), Team: "b", Work: 20})
	}
	tokens := map[id.Team]uint32{}
	for _, item := range serve(t, q, simStart) {
		tokens[item.Team] += item.Work
		if tokens["b"] == 1200 {
			break
		}
		assert.Assert(t, tokens["a"] <= tokens["b"]/3+20, "%v", tokens)
		assert.Assert(t, tokens["b"] <= 3*tokens["a"]+60, "%v", tokens)
	}
}

func TestPreemption(t *testing.T) {
	const bound = 20 * time.Millisecond
	config := queue.Config{Slots: 4, ReservedShortSlots: -1, MinLongSlots: 1, MaxShortWait: bound, MaxPauses: 1, MaxPauseTime: time.Hour}
	q := queue.NewShortFirst(config)
	var active []queue.Active
	for i := range 4 {
		attempt := id.Attempt(fmt.Sprintf("long-%d", i))
		push(t, q, simStart, queue.Item{Attempt: attempt, Class: msg.ClassLong, Work: 1000})
		active = append(active, queue.Active{Attempt: attempt, Remaining: uint32(1000 - 100*i)})
	}
	assert.Equal(t, len(q.Next(simStart, nil).Start), 4)
	for i := range 5 {
		push(t, q, simStart, queue.Item{Attempt: id.Attempt(fmt.Sprintf("short-%d", i)), Work: 10})
	}
	early := q.Next(simStart, active)
	assert.Equal(t, len(early.Pause)+len(early.Start), 0)
	wake, ok := q.NextWake()
	assert.Assert(t, ok && wake.Equal(simStart.Add(bound)))

	d := q.Next(wake, active)
	assert.DeepEqual(t, d.Pause, []id.Attempt{"long-0", "long-1", "long-2"})
	assert.Equal(t, len(d.Start), 3)
	_, ok = q.NextWake()
	assert.Assert(t, !ok, "a queue that can do nothing must not ask to be called")

	// All short attempts end: the two waiting ones start, then a paused attempt resumes.
	now := []queue.Active{
		{Attempt: "long-0", Paused: true}, {Attempt: "long-1", Paused: true}, {Attempt: "long-2", Paused: true}, {Attempt: "long-3"},
	}
	after := q.Next(wake, now)
	assert.Equal(t, len(after.Start), 2)
	assert.DeepEqual(t, after.Resume, []id.Attempt{"long-0"})

	// The active list corrects pauses that the engine failed to carry out.
	now[1].Paused = false
	now[0].Paused = false
	push(t, q, wake, queue.Item{Attempt: "short-9", Work: 10})
	last := q.Next(wake.Add(bound), append(now, queue.Active{Attempt: after.Start[0].Attempt}))
	assert.DeepEqual(t, last.Pause, []id.Attempt{"long-3"}) // The others have reached MaxPauses.
}
