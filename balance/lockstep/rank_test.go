package lockstep

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const testEpoch = Epoch(1 << leaseShift)

// preparedRank returns a rank that runs map 1 and has a prepared change to map 2 at step 10.
func preparedRank(t *testing.T) *Rank {
	t.Helper()
	r := NewRank(0, "inc_1")
	form := Decision{Formation: testEpoch, Map: 1}
	receive := func(kind CommandKind, decision Decision) {
		assert.Assert(t, r.Receive(Command{Kind: kind, Incarnation: "inc_1", Epoch: testEpoch, Decision: decision}))
	}
	receive(Join, Decision{})
	receive(Prepare, form)
	r.Observe(EngineState{Order: r.order, Staged: []Version{1, 2}})
	receive(Commit, form)
	assert.Equal(t, r.Report().Committed, form)
	receive(Prepare, Decision{Formation: testEpoch, Index: 1, Step: 10, Map: 2})
	return r
}

// observeOrder makes the engine of a prepared rank show the order before step 10.
func observeOrder(r *Rank) {
	r.Observe(EngineState{Order: r.order, Next: 5, LastMap: 1, Staged: []Version{1, 2}})
}

func TestRankPromise(t *testing.T) {
	change := Decision{Formation: testEpoch, Index: 1, Step: 10, Map: 2}
	other := Decision{Formation: testEpoch, Index: 1, Step: 12, Map: 3}
	command := func(kind CommandKind, epoch Epoch, decision Decision) Command {
		return Command{Kind: kind, Incarnation: "inc_1", Epoch: epoch, Decision: decision}
	}
	tests := []struct {
		name string
		do   func(r *Rank)
		want func(r Report) bool
	}{
		{"promises once the engine shows the order", observeOrder, func(r Report) bool {
			return r.Promised && r.Pending == change
		}},
		{"does not promise while the engine shows an earlier order", func(r *Rank) {
			old := r.order
			old.Turn--
			r.Observe(EngineState{Order: old, Next: 5, LastMap: 1, Staged: []Version{1, 2}})
		}, func(r Report) bool { return !r.Promised && !r.Refused }},
		{"refuses when the engine is past the step", func(r *Rank) {
			r.Observe(EngineState{Order: r.order, Next: 11, LastMap: 1, Staged: []Version{1, 2}})
		}, func(r Report) bool { return !r.Promised && r.Refused && !r.Diverged }},
		{"refuses without the weights", func(r *Rank) {
			r.Observe(EngineState{Order: r.order, Next: 5, LastMap: 1, Staged: []Version{1}})
		}, func(r Report) bool { return !r.Promised && r.Refused }},
		{"promises one target per epoch", func(r *Rank) {
			r.Receive(command(Prepare, testEpoch, other))
			observeOrder(r)
		}, func(r Report) bool { return r.Promised && r.Pending == change }},
		{"keeps its promise when it joins a higher epoch", func(r *Rank) {
			observeOrder(r)
			r.Receive(command(Join, testEpoch+1, Decision{}))
		}, func(r Report) bool { return r.Promised && r.Pending == change && r.Epoch == testEpoch+1 }},
		{"ignores the commit of a lower epoch", func(r *Rank) {
			observeOrder(r)
			r.Receive(command(Join, testEpoch+1, Decision{}))
			r.Receive(command(Commit, testEpoch, change))
		}, func(r Report) bool { return r.Promised && r.Pending == change }},
		{"ignores the commit of another target", func(r *Rank) {
			observeOrder(r)
			r.Receive(command(Commit, testEpoch, other))
		}, func(r Report) bool { return r.Promised && r.Pending == change }},
		{"ignores a commit without its promise", func(r *Rank) {
			r.Receive(command(Commit, testEpoch, change))
		}, func(r Report) bool { return r.Pending == change }},
		{"ignores an abort of the epoch that it promised in", func(r *Rank) {
			observeOrder(r)
			r.Receive(command(Abort, testEpoch, Decision{}))
		}, func(r Report) bool { return r.Promised && r.Pending == change }},
		{"aborts for a higher epoch", func(r *Rank) {
			observeOrder(r)
			r.Receive(command(Join, testEpoch+1, Decision{}))
			r.Receive(command(Abort, testEpoch+1, Decision{}))
		}, func(r Report) bool { return !r.Promised && r.Pending.IsZero() && r.Committed.Index == 0 }},
		{"ignores commands for another incarnation", func(r *Rank) {
			observeOrder(r)
			r.Receive(Command{Kind: Commit, Incarnation: "inc_2", Epoch: testEpoch, Decision: change})
		}, func(r Report) bool { return r.Promised && r.Pending == change }},
		{"reports an engine that broke the promise", func(r *Rank) {
			observeOrder(r)
			r.Observe(EngineState{Order: r.order, Next: 11, LastMap: 1, Staged: []Version{1, 2}})
		}, func(r Report) bool { return r.Diverged }},
		{"reports an engine that lost its state", func(r *Rank) {
			r.Observe(EngineState{})
		}, func(r Report) bool { return r.Diverged }},
		{"commits with its promise", func(r *Rank) {
			observeOrder(r)
			r.Receive(command(Commit, testEpoch, change))
		}, func(r Report) bool { return !r.Diverged && r.Committed == change && r.Pending.IsZero() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := preparedRank(t)
			tt.do(r)
			report := r.Report()
			assert.Assert(t, tt.want(report), "%+v", report)
		})
	}
}

// traffic counts messages and their encoded bytes.
type traffic struct{ messages, bytes int }

func (c *traffic) add(t *testing.T, v any) {
	t.Helper()
	b, err := cbor.Marshal(v)
	assert.NilError(t, err)
	c.messages++
	c.bytes += len(b)
}

// roundTrip delivers all messages without faults and counts them.
func (m *model) roundTrip(t *testing.T, count *traffic) {
	t.Helper()
	for len(m.inFlight) > 0 {
		p := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		switch {
		case p.cmd != nil:
			count.add(t, *p.cmd)
		case p.report != nil:
			count.add(t, *p.report)
		}
		m.deliver(p)
	}
}

// TestTraffic counts the messages of one change and of 1,000 steps without one,
// for 64 ranks and a poll every 30 steps (about one second).
func TestTraffic(t *testing.T) {
	const (
		ranks        = 64
		steps        = 1000
		stepsPerPoll = 30
	)
	m := newModel(ranks)
	m.lateOrders = false
	round := func(count *traffic, tick bool) {
		if tick {
			m.sendCommands(0, m.coordinators[0].Tick())
		}
		m.roundTrip(t, count)
		for i := range ranks {
			m.sync(i)
			m.engines[i].finishLoading()
			m.sync(i)
			assert.NilError(t, m.engines[i].step(m.checker))
		}
		m.roundTrip(t, count)
	}
	var forming, change, steady traffic
	for i := 0; !m.settled(); i++ {
		round(&forming, i%stepsPerPoll == 0)
	}
	m.newTarget()
	m.sendCommands(0, m.coordinators[0].pendingCommands(false))
	for !m.settled() {
		round(&change, false)
	}
	m.coordinators[0].cfg.PollTicks = 1
	for i := range steps {
		round(&steady, i%stepsPerPoll == 0)
	}
	t.Logf("forming %+v, change %+v, %d steps %+v", forming, change, steps, steady)
	assert.Equal(t, change.messages, 8*ranks)
	assert.Equal(t, steady.messages, 2*ranks*((steps+stepsPerPoll-1)/stepsPerPoll))
}
