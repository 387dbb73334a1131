package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// TestDoubtedGroupGetsTrials names the pattern "reports say that the group is
// up, but it refuses": one request at a time tries, the others wait for it.
func TestDoubtedGroupGetsTrials(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4), slots("b", 4))
	b.n.SetGroup("a", "g")
	b.n.SetGroup("b", "g")
	b.n.TripBreaker("a", b.now)
	var waiting []*Decision
	for range 5 {
		waiting = append(waiting, b.submit(b.chat()))
	}
	started := func() (n int) {
		for _, d := range waiting {
			assert.Equal(t, d.Reason, Reason(""))
			if d.Endpoint != "" {
				n++
			}
		}
		return n
	}
	assert.Equal(t, started(), 0)
	b.after(trialInterval)
	assert.Equal(t, started(), 1)
	b.after(trialInterval / 2)
	assert.Equal(t, started(), 1)
	b.n.TripBreaker("b", b.now) // The trial was refused as well.
	b.after(trialInterval / 2)
	assert.Equal(t, started(), 2)
	b.n.GroupProgressed("g", b.now+ms)
	b.after(0)
	assert.Equal(t, started(), 5)
}

func TestFirstEventEndsDoubt(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4))
	b.n.TripBreaker("a", b.now)
	r := b.chat()
	b.after(trialInterval)
	d := b.submit(r)
	assert.Equal(t, d.Endpoint, id.Endpoint("a"))
	waits := b.submit(b.chat())
	assert.Equal(t, waits.Endpoint, id.Endpoint(""))
	b.after(100 * ms)
	// A stream from before the doubt says nothing about the group now.
	b.n.FirstEvent("a", &r, 500*ms, b.now)
	b.after(0)
	assert.Equal(t, waits.Endpoint, id.Endpoint(""))
	b.n.FirstEvent("a", &r, 100*ms, b.now)
	b.after(0)
	assert.Equal(t, waits.Endpoint, id.Endpoint("a"))
}

// TestOtherGroupsTakeOver checks that the doubt about a group keeps nothing from
// another one.
func TestOtherGroupsTakeOver(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4), slots("b", 4))
	b.n.SetGroup("a", "g")
	b.n.SetGroup("b", "h")
	b.n.TripBreaker("a", b.now)
	for range 4 {
		assert.Equal(t, b.submit(b.chat()).Endpoint, id.Endpoint("b"))
	}
}

// TestDoubtLeavesWithItsGroup checks that neither a group that is replaced nor one
// that was not known yet stays in doubt.
func TestDoubtLeavesWithItsGroup(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4))
	b.n.TripBreaker("a", b.now)
	b.n.SetGroup("a", "g")
	assert.Equal(t, b.submit(b.chat()).Endpoint, id.Endpoint("a"))
	b.n.TripBreaker("a", b.now)
	b.n.SetEndpoints([]Endpoint{slots("b", 4)})
	assert.Equal(t, b.submit(b.chat()).Endpoint, id.Endpoint("b"))
	assert.Assert(t, !b.n.recovering(b.now))
}

// TestDoubtEndsInRefusals checks that requests which can't wait any longer are
// refused with the time that is left.
func TestDoubtEndsInRefusals(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4))
	b.n.TripBreaker("a", b.now)
	r := b.chat()
	r.FirstEventDeadline = b.now + time.Second
	d := b.submit(r)
	for range 20 {
		b.n.TripBreaker("a", b.now)
		b.n.doubts[""].trial = b.now // Other requests are the trials.
		b.after(50 * ms)
	}
	assert.Equal(t, d.Reason, GroupDown)
	assert.Equal(t, d.RetryAfter, minOutageLeft)
}

// TestShortReturnIsTheSameOutage names the pattern "looks cross the return of a
// group": the time that is left is counted from the beginning.
func TestShortReturnIsTheSameOutage(t *testing.T) {
	b := newBench(t, Config{OutageDuration: 4 * time.Second}, slots("a", 4))
	b.after(time.Second)
	b.n.SetDown(true, b.now)
	b.after(3 * time.Second)
	b.n.SetDown(false, b.now)
	b.after(100 * ms)
	b.n.SetDown(true, b.now)
	d := b.submit(b.chat())
	assert.Equal(t, d.Reason, Reason(""), "the rest of the outage is short: %v", d.RetryAfter)
}

// TestRateInDoubt names the pattern "everybody waits for a group": what was not
// started meanwhile says nothing about how fast the queue will get shorter.
func TestRateInDoubt(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 2))
	for range 200 { // 50 requests a second
		r := b.chat()
		b.submit(r)
		b.after(20 * ms)
		b.n.Ended("a", &r, true, 20*ms)
	}
	b.n.TripBreaker("a", b.now)
	for range 8 {
		b.after(2 * trialInterval)
		r := b.chat()
		assert.Equal(t, b.submit(r).Endpoint, id.Endpoint("a"))
		b.n.Ended("a", &r, false, 5*ms)
		b.n.TripBreaker("a", b.now)
	}
	for range 20 {
		assert.Equal(t, b.submit(b.chat()).Reason, Reason(""))
	}
}
