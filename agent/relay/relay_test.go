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

// fakeEngine is a rank whose state the test sets.
type fakeEngine struct {
	mu     sync.Mutex
	state  relay.State
	counts relay.Counts
	// experts and layoutErr are the answer of Layout; nil means one set of two experts.
	experts   [][]int
	layoutErr error
	err       error
	orders    []relay.Order
	// other is the rank at any other address.
	other *fakeEngine
	// stateCalls, countsCalls and layoutCalls are the numbers of calls of State, Counts and Layout.
	stateCalls, countsCalls, layoutCalls int
}

// awaitCounts waits until Counts was called n times.
func (e *fakeEngine) awaitCounts(t *testing.T, n int) {
	t.Helper()
	calls := 0
	for end := time.Now().Add(3 * time.Second); calls < n; time.Sleep(5 * time.Millisecond) {
		e.set(func() { calls = e.countsCalls })
		if time.Now().After(end) {
			t.Fatalf("Counts was called %d times", calls)
		}
	}
}

// awaitNoPoll waits until State was not called for a while. It fails if that takes longer than limit.
func (e *fakeEngine) awaitNoPoll(t *testing.T, quiet, limit time.Duration) {
	t.Helper()
	calls, since := -1, time.Now()
	for end := time.Now().Add(limit); time.Since(since) < quiet; time.Sleep(5 * time.Millisecond) {
		n := 0
		e.set(func() { n = e.stateCalls })
		if n != calls {
			calls, since = n, time.Now()
		}
		if time.Now().After(end) {
			t.Fatalf("State was called %d times and is still polled", n)
		}
	}
}

func (e *fakeEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeEngine) State(context.Context) (relay.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stateCalls++
	return e.state, e.err
}

func (e *fakeEngine) Counts(context.Context) (relay.Counts, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countsCalls++
	return e.counts, e.err
}

func (e *fakeEngine) Layout(context.Context) (relay.Layout, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.layoutCalls++
	experts := e.experts
	if experts == nil {
		experts = [][]int{{0, 1}}
	}
	return relay.Layout{Epoch: e.state.Epoch, Version: e.state.MapVersion, Experts: experts}, errors.Join(e.err, e.layoutErr)
}

func (e *fakeEngine) Order(_ context.Context, o relay.Order) relay.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	return relay.Result{Outcome: relay.Done, Detail: string(o.Op)}
}

// entryConn is the connection of an entry to the relay.
type entryConn struct {
	t     *testing.T
	conn  net.Conn
	lines *bufio.Scanner
}

func connect(t *testing.T, e *fakeEngine) *entryConn {
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
	return &entryConn{t: t, conn: conn, lines: bufio.NewScanner(conn)}
}

func (x *entryConn) send(m relay.ToRelay) {
	x.t.Helper()
	assert.NilError(x.t, json.NewEncoder(x.conn).Encode(m))
}

// next returns the next message for which ok is true.
func (x *entryConn) next(name string, ok func(relay.FromRelay) bool) relay.FromRelay {
	x.t.Helper()
	assert.NilError(x.t, x.conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	for x.lines.Scan() {
		var m relay.FromRelay
		assert.NilError(x.t, json.Unmarshal(x.lines.Bytes(), &m))
		if ok(m) {
			return m
		}
	}
	x.t.Fatalf("no %s: %v", name, x.lines.Err())
	return relay.FromRelay{}
}

func TestStatesAndSamples(t *testing.T) {
	e := &fakeEngine{state: relay.State{StartMillis: 1, Group: "g", Epoch: 2, Step: 5, Open: true}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10, 20}}}
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

// TestNoSampleAcrossRankRestart checks that counts from before and after a restart of
// the rank, which resets them, are not subtracted from each other.
func TestNoSampleAcrossRankRestart(t *testing.T) {
	e := &fakeEngine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10}}}
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

// TestPollsAtChangeIntervalAfterOrder checks that the effects of an order are reported at
// the change interval, and that polling slows down again after the change window.
func TestPollsAtChangeIntervalAfterOrder(t *testing.T) {
	e := &fakeEngine{state: relay.State{Step: 5}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 60000, ChangeMillis: 10}})
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	x.send(relay.ToRelay{Order: &relay.Order{ID: 7, Op: relay.Prepare, Version: 3}})
	x.next("result", func(m relay.FromRelay) bool { return m.Result != nil })
	e.set(func() { e.state.Prepared = 3 })
	x.next("state of the change", func(m relay.FromRelay) bool { return m.State != nil && m.State.Prepared == 3 })
	// The last poll of the window is armed before its end and may begin after it.
	e.awaitNoPoll(t, 300*time.Millisecond, changeWindow+time.Second)
	e.set(func() { e.state.Step = 9 })
	assert.NilError(t, x.conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	for x.lines.Scan() {
		assert.Assert(t, !strings.Contains(x.lines.Text(), `"step":9`), "still polled at the change interval")
	}
}

// TestNoSampleAcrossSamplingPause guards against counting the demand before sampling resumed.
func TestNoSampleAcrossSamplingPause(t *testing.T) {
	e := &fakeEngine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10}}}
	x := connect(t, e)
	sampling := &relay.Watch{StateMillis: 10, SampleMillis: 10}
	x.send(relay.ToRelay{Watch: sampling})
	e.awaitCounts(t, 1)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10}})
	time.Sleep(50 * time.Millisecond)
	e.set(func() { e.state.Step, e.counts = 90, relay.Counts{Step: 90, Epoch: 2, Tokens: []uint64{1000}} })
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil && m.State.Step == 90 })
	x.send(relay.ToRelay{Watch: sampling})
	e.awaitCounts(t, 2)
	e.set(func() { e.state.Step, e.counts = 91, relay.Counts{Step: 91, Epoch: 2, Tokens: []uint64{1002}} })
	sample := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil }).Sample
	assert.Equal(t, sample.From, uint64(90))
	assert.DeepEqual(t, sample.Levels, []byte{relay.EncodeLevel(2)})
}

// TestFrequentOrdersDoNotPreventPolls guards against orders that keep restarting the poll timer.
func TestFrequentOrdersDoNotPreventPolls(t *testing.T) {
	e := &fakeEngine{state: relay.State{Step: 5}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 60, ChangeMillis: 50}})
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	e.set(func() { e.state.Step = 9 })
	polled := false
	for n := uint64(1); n <= 40 && !polled; n++ {
		x.send(relay.ToRelay{Order: &relay.Order{ID: n, Op: relay.Release, Step: 3}})
		m := x.next("message", func(relay.FromRelay) bool { return true })
		polled = m.State != nil && m.State.Step == 9
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, polled, "no poll in 200 ms of orders")
}

// TestPollResultIsOneMessage guards against waking the entry more than once per poll.
func TestPollResultIsOneMessage(t *testing.T) {
	e := &fakeEngine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{1}}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, SampleMillis: 10}})
	e.awaitCounts(t, 1)
	first := x.next("poll result", func(relay.FromRelay) bool { return true })
	assert.Assert(t, first.Layout != nil && first.State != nil)
	e.set(func() { e.state.Step, e.counts = 9, relay.Counts{Step: 9, Epoch: 2, Tokens: []uint64{3}} })
	message := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil })
	assert.Assert(t, message.State != nil && message.State.Step == 9)
}

// TestUnchangedStateIsResent checks that a stopped group differs from a silent relay.
func TestUnchangedStateIsResent(t *testing.T) {
	x := connect(t, &fakeEngine{state: relay.State{Step: 5}})
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 20}})
	began := time.Now()
	for range 3 {
		x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
	}
	assert.Assert(t, time.Since(began) >= 2*minResendInterval)
	assert.Assert(t, time.Since(began) < 4*maxResendInterval)
}

func TestOrders(t *testing.T) {
	e := &fakeEngine{}
	x := connect(t, e)
	x.send(relay.ToRelay{Order: &relay.Order{ID: 7, Op: relay.Hold, Step: 12}})
	r := x.next("result", func(m relay.FromRelay) bool { return m.Result != nil }).Result
	assert.DeepEqual(t, *r, relay.Result{ID: 7, Outcome: relay.Done, Detail: string(relay.Hold)})
	e.set(func() { assert.Equal(t, e.orders[0].Step, uint64(12)) })
}

// TestOrderForOtherRankAndPing checks that an order goes to the rank at its address, and a
// ping to none.
func TestOrderForOtherRankAndPing(t *testing.T) {
	e := &fakeEngine{other: &fakeEngine{}}
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

func TestUnreachableRankIsReportedOnce(t *testing.T) {
	e := &fakeEngine{err: errors.New("connection refused")}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10}})
	x.next("unreachable message", func(m relay.FromRelay) bool { return m.Unreachable != "" })
	time.Sleep(100 * time.Millisecond)
	e.set(func() { e.err = nil })
	x.next("state", func(m relay.FromRelay) bool {
		assert.Equal(t, m.Unreachable, "")
		return m.State != nil
	})
}

func TestInvalidMessageClosesConnection(t *testing.T) {
	x := connect(t, &fakeEngine{})
	_, err := x.conn.Write([]byte("{\n"))
	assert.NilError(t, err)
	assert.NilError(t, x.conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	assert.Assert(t, !x.lines.Scan())
	assert.NilError(t, x.lines.Err(), "closed, not timed out")
}

// TestLayoutIsReadAgain guards against one wrong answer about the layout that stays with the entry
// until the map changes: without a true layout there is no change.
func TestLayoutIsReadAgain(t *testing.T) {
	e := &fakeEngine{state: relay.State{Group: "g", Epoch: 2, Step: 5, Open: true}, experts: [][]int{{0, 64}}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, LayoutMillis: 10}})
	wrong := x.next("layout", func(m relay.FromRelay) bool { return m.Layout != nil })
	assert.DeepEqual(t, wrong.Layout.Experts, [][]int{{0, 64}})
	e.set(func() { e.experts = nil })
	right := x.next("corrected layout", func(m relay.FromRelay) bool { return m.Layout != nil })
	assert.DeepEqual(t, right.Layout.Experts, [][]int{{0, 1}})
}

// TestInvalidLayoutHidesNoState guards against a wrong answer about the layout that keeps the entry
// from seeing the rank's state.
func TestInvalidLayoutHidesNoState(t *testing.T) {
	e := &fakeEngine{state: relay.State{Group: "g", Epoch: 2, Step: 5, Open: true}, layoutErr: relay.ErrInvalid}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10}})
	x.next("invalid answer", func(m relay.FromRelay) bool { return m.Invalid != "" && m.Unreachable == "" })
	x.next("state", func(m relay.FromRelay) bool { return m.State != nil })
}

// TestCountsFarAheadAreInvalid guards against counts whose wrong step ends the samples of a rank.
func TestCountsFarAheadAreInvalid(t *testing.T) {
	e := &fakeEngine{state: relay.State{StartMillis: 1, Epoch: 2, Step: 5}, counts: relay.Counts{Step: 5, Epoch: 2, Tokens: []uint64{10}}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, SampleMillis: 10}})
	e.awaitCounts(t, 1)
	e.set(func() { e.state.Step, e.counts = 6, relay.Counts{Step: 906, Epoch: 2, Tokens: []uint64{12}} })
	x.next("invalid answer", func(m relay.FromRelay) bool { return m.Invalid != "" })
	e.set(func() { e.state.Step, e.counts = 9, relay.Counts{Step: 9, Epoch: 2, Tokens: []uint64{20}} })
	sample := x.next("sample", func(m relay.FromRelay) bool { return m.Sample != nil }).Sample
	assert.Equal(t, sample.To, uint64(9))
}

// TestLayoutIsNotReadWhileSwitching guards against a call beside the orders of a switch, which delays
// the answer to a ping at a slow host, so that the change is undone.
func TestLayoutIsNotReadWhileSwitching(t *testing.T) {
	e := &fakeEngine{state: relay.State{Group: "g", Epoch: 2, Step: 5, Open: true}}
	x := connect(t, e)
	x.send(relay.ToRelay{Watch: &relay.Watch{StateMillis: 10, LayoutMillis: 10}})
	x.next("layout", func(m relay.FromRelay) bool { return m.Layout != nil })
	x.send(relay.ToRelay{Order: &relay.Order{ID: 1, Op: relay.Hold, Step: 9}})
	x.next("result", func(m relay.FromRelay) bool { return m.Result != nil })
	calls := func() (n int) {
		e.set(func() { n = e.layoutCalls })
		return n
	}
	before := calls()
	time.Sleep(changeWindow / 2)
	assert.Equal(t, calls(), before)
	for end := time.Now().Add(3 * time.Second); calls() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the layout was not read again after the switch")
	}
}
