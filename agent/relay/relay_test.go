package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/relay"
)

// engine is a rank that a test moves.
type engine struct {
	mu     sync.Mutex
	state  relay.State
	counts relay.Counts
	err    error
	orders []relay.Order
	// other is the rank at any other address.
	other *engine
	// counted is the number of times that the counts were asked for.
	counted int
}

// awaitCounts waits until the counts were asked for n times.
func (e *engine) awaitCounts(t *testing.T, n int) {
	t.Helper()
	asked := 0
	for end := time.Now().Add(3 * time.Second); asked < n; time.Sleep(5 * time.Millisecond) {
		e.set(func() { asked = e.counted })
		if time.Now().After(end) {
			t.Fatalf("the counts were asked for %d times", asked)
		}
	}
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) State(context.Context) (relay.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, e.err
}

func (e *engine) Counts(context.Context) (relay.Counts, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counted++
	return e.counts, e.err
}

func (e *engine) Layout(context.Context) (relay.Layout, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return relay.Layout{Epoch: e.state.Epoch, Version: e.state.MapVersion, Experts: [][]int{{0, 1}}}, e.err
}

func (e *engine) Order(_ context.Context, o relay.Order) relay.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	return relay.Result{Outcome: relay.Done, Detail: string(o.Op)}
}

// entry is a connection of an entry to the relay.
type entry struct {
	t     *testing.T
	conn  net.Conn
	lines *bufio.Scanner
}

func connect(t *testing.T, e *engine) *entry {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := free.Addr().String()
	assert.NilError(t, free.Close())
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		ended <- New(e, func(string) relay.Engine { return e.other }, func(string, error) {}).Listen(ctx, address)
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	var conn net.Conn
	for range 100 {
		if conn, err = net.Dial("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &entry{t: t, conn: conn, lines: bufio.NewScanner(conn)}
}

func (x *entry) send(m relay.ToRelay) {
	x.t.Helper()
	assert.NilError(x.t, json.NewEncoder(x.conn).Encode(m))
}

// next returns the next message for which ok is true.
func (x *entry) next(what string, ok func(relay.FromRelay) bool) relay.FromRelay {
	x.t.Helper()
	assert.NilError(x.t, x.conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	for x.lines.Scan() {
		var m relay.FromRelay
		assert.NilError(x.t, json.Unmarshal(x.lines.Bytes(), &m))
		if ok(m) {
			return m
		}
	}
	x.t.Fatalf("no %s: %v", what, x.lines.Err())
	return relay.FromRelay{}
}

func TestStatesAndSamples(t *testing.T) {
	e := &engine{state: relay.State{StartMillis: 1, Group: "g", Epoch: 2, Step: 5, Open: true}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10, 20}}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, SampleMillis: 10}})
	e.awaitCounts(t, 1)
	layout := x.next("layout", func(m relay.FromRelay) bool { return m.Layout != nil })
	assert.Equal(t, layout.Layout.Epoch, uint64(2))
	state := x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	assert.Equal(t, state.State.Step, uint64(5))
	e.set(func() {
		e.state.Step, e.counts = 9, relay.Counts{Step: 9, Epoch: 2, Tokens: []uint64{10, 84}}
	})
	sample := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil }).Sample
	assert.Equal(t, sample.From, uint64(5))
	assert.Equal(t, sample.To, uint64(9))
	assert.DeepEqual(t, sample.Levels, []byte{relay.EncodeLevel(0), relay.EncodeLevel(64)})
}

// TestRestartedRankIsNoSample names the pattern "a rank begins anew": its counts
// are smaller than those before, or of another run.
func TestRestartedRankIsNoSample(t *testing.T) {
	e := &engine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10}}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, SampleMillis: 10}})
	e.awaitCounts(t, 1)
	e.set(func() {
		e.state = relay.State{StartMillis: 7, Epoch: 3, Step: 1}
		e.counts = relay.Counts{Step: 1, Epoch: 3, Tokens: []uint64{4}}
	})
	e.awaitCounts(t, 2)
	x.next("state of the new run", func(m relay.FromRelay) bool {
		assert.Assert(t, m.Sample == nil, "%v", m.Sample)
		return m.State != nil && m.State.StartMillis == 7
	})
	e.set(func() { e.state.Step, e.counts = 3, relay.Counts{Step: 3, Epoch: 3, Tokens: []uint64{9}} })
	sample := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil }).Sample
	assert.Equal(t, sample.Epoch, uint64(3))
	assert.Equal(t, sample.From, uint64(1))
}

// TestLooksAreCloserAfterAnOrder: outside of changes few states are sent, and what an
// order does is told soon.
func TestLooksAreCloserAfterAnOrder(t *testing.T) {
	e := &engine{state: relay.State{Step: 5}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 60000, ChangeMillis: 10}})
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	x.send(relay.ToRelay{Order: &relay.Order{ID: 7, Op: relay.Prepare, Version: 3}})
	x.next("result", func(m relay.FromRelay) bool { return m.Result != nil })
	e.set(func() { e.state.Prepared = 3 })
	x.next("state of the change", func(m relay.FromRelay) bool { return m.State != nil && m.State.Prepared == 3 })
	time.Sleep(changeTime)
	e.set(func() { e.state.Step = 9 })
	assert.NilError(t, x.conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	for x.lines.Scan() {
		assert.Assert(t, !strings.Contains(x.lines.Text(), `"step":9`), "looked at as during a change")
	}
}

// TestSamplesAfterAPauseBeginAnew: what was counted while nobody asked is of an older demand.
func TestSamplesAfterAPauseBeginAnew(t *testing.T) {
	e := &engine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10}}}
	x := connect(t, e)
	asked := &relay.Watch{StateMillis: 10, SampleMillis: 10}
	x.send(relay.ToRelay{Watch: asked})
	e.awaitCounts(t, 1)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10}})
	time.Sleep(50 * time.Millisecond)
	e.set(func() { e.state.Step, e.counts = 90, relay.Counts{Step: 90, Epoch: 2, Tokens: []uint64{1000}} })
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil && m.State.Step == 90 })
	x.send(relay.ToRelay{Watch: asked})
	e.awaitCounts(t, 2)
	e.set(func() { e.state.Step, e.counts = 91, relay.Counts{Step: 91, Epoch: 2, Tokens: []uint64{1002}} })
	sample := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil }).Sample
	assert.Equal(t, sample.From, uint64(90))
	assert.DeepEqual(t, sample.Levels, []byte{relay.EncodeLevel(2)})
}

// TestOrdersDoNotKeepFromLooking names the pattern "orders that come faster than looks".
func TestOrdersDoNotKeepFromLooking(t *testing.T) {
	e := &engine{state: relay.State{Step: 5}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 60, ChangeMillis: 50}})
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	e.set(func() { e.state.Step = 9 })
	told := false
	for n := uint64(1); n <= 40 && !told; n++ {
		x.send(relay.ToRelay{Order: &relay.Order{ID: n, Op: relay.Release, Step: 3}})
		m := x.next("message", func(relay.FromRelay) bool { return true })
		told = m.State != nil && m.State.Step == 9
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, told, "no look in 200 ms of orders")
}

// TestLookIsOneMessage: each message wakes the entry.
func TestLookIsOneMessage(t *testing.T) {
	e := &engine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{1}}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, SampleMillis: 10}})
	e.awaitCounts(t, 1)
	first := x.next("look", func(relay.FromRelay) bool { return true })
	assert.Assert(t, first.Layout != nil && first.State != nil)
	e.set(func() { e.state.Step, e.counts = 9, relay.Counts{Step: 9, Epoch: 2, Tokens: []uint64{3}} })
	look := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil })
	assert.Assert(t, look.State != nil && look.State.Step == 9)
}

// TestStandingStateIsRepeated lets an entry tell a standing group from a silent relay.
func TestStandingStateIsRepeated(t *testing.T) {
	x := connect(t, &engine{state: relay.State{Step: 5}})
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 20}})
	began := time.Now()
	for range 3 {
		x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	}
	assert.Assert(t, time.Since(began) >= 2*minRepeat)
	assert.Assert(t, time.Since(began) < 4*maxRepeat)
}

func TestOrders(t *testing.T) {
	e := &engine{}
	x := connect(t, e)
	x.send(relay.ToRelay{Order: &relay.Order{ID: 7, Op: relay.Hold, Step: 12}})
	r := x.next("result", func(m relay.FromRelay) bool { return m.Result != nil }).Result
	assert.DeepEqual(t, *r, relay.Result{ID: 7, Outcome: relay.Done, Detail: string(relay.Hold)})
	e.set(func() { assert.Equal(t, e.orders[0].Step, uint64(12)) })
}

// TestOrderForAnotherRank: it is carried out there, and a ping reaches no rank at all.
func TestOrderForAnotherRank(t *testing.T) {
	e := &engine{other: &engine{}}
	x := connect(t, e)
	x.send(relay.ToRelay{Order: &relay.Order{ID: 1, Op: relay.Hold, Endpoint: "b", Address: "127.0.0.1:1", Step: 12}})
	x.next("result", func(m relay.FromRelay) bool { return m.Result != nil && m.Result.Outcome == relay.Done })
	x.send(relay.ToRelay{Order: &relay.Order{ID: 2, Op: relay.Ping}})
	r := x.next("result", func(m relay.FromRelay) bool { return m.Result != nil }).Result
	assert.DeepEqual(t, *r, relay.Result{ID: 2, Outcome: relay.Done})
	e.set(func() { assert.Equal(t, len(e.orders), 0) })
	e.other.set(func() {
		assert.Equal(t, len(e.other.orders), 1)
		assert.Equal(t, e.other.orders[0].Endpoint, id.Endpoint("b"))
	})
}

func TestUnreachableRankIsToldOnce(t *testing.T) {
	e := &engine{err: errors.New("connection refused")}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10}})
	x.next("word of it", func(m relay.FromRelay) bool { return m.Unreachable != "" })
	time.Sleep(100 * time.Millisecond)
	e.set(func() { e.err = nil })
	x.next("state", func(m relay.FromRelay) bool {
		assert.Equal(t, m.Unreachable, "")
		return m.State != nil
	})
}

func TestMessageThatCannotBeReadEndsTheConnection(t *testing.T) {
	x := connect(t, &engine{})
	_, err := x.conn.Write([]byte("{\n"))
	assert.NilError(t, err)
	assert.NilError(t, x.conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	assert.Assert(t, !x.lines.Scan())
	assert.NilError(t, x.lines.Err(), "closed, not timed out")
}
