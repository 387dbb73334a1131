package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// cutOffEntry returns an entry in zone a whose own zone has the ranks of a group that is down. The
// endpoints of the other group are in zones b and c.
func cutOffEntry(t *testing.T) *harness {
	var list []Endpoint
	for _, zone := range []id.Zone{"a", "b", "c"} {
		for i := range 8 {
			list = append(list, Endpoint{Name: id.Endpoint(fmt.Sprintf("%s%d", zone, i)), Zone: zone, Slots: 10, Usable: true})
		}
	}
	h := newHarness(t, Config{}, list...)
	for i := range 8 {
		h.scheduler.SetBlocked(id.Endpoint(fmt.Sprintf("a%d", i)), true)
	}
	return h
}

// send submits a request and, like an entry, again at another endpoint while connections fail. It returns the last
// decision and the number of connection attempts. All connections fail if cut is true.
func (h *harness) send(cut bool) (d *Decision, tried int) {
	r := h.chatRequest()
	for {
		if d = h.submit(r); d.Endpoint == "" || !cut {
			return d, tried
		}
		tried++
		h.scheduler.RecordUnreachable(d.Endpoint, h.now)
		h.scheduler.Suspect(d.Endpoint, h.now+time.Second)
		h.scheduler.RecordEnd(d.Endpoint, &r, false, 0, h.now)
		r.Exclude = append(r.Exclude, d.Endpoint)
	}
}

// TestCutOffEntryRefusesWithTheOutage guards against an entry that is cut off with its zone and tries the endpoints
// of all other zones one after the other for each request: it spends its processor time on connections, and
// its callers are held and told to come back at once, until they give up.
func TestCutOffEntryRefusesWithTheOutage(t *testing.T) {
	h := cutOffEntry(t)
	_, _ = h.send(true)
	attempts, refused := 0, 0
	for h.now < 3*time.Second {
		d, tried := h.send(true)
		attempts += tried
		if d.Reason != "" {
			refused++
			assert.Equal(t, d.Reason, GroupDown)
			assert.Assert(t, h.now+d.RetryAfter > 4*time.Second, "retry after %v at %v", d.RetryAfter, h.now)
		}
		h.advance(30 * ms)
	}
	assert.Assert(t, refused > 90, "%d of 100 refused", refused)
	assert.Assert(t, attempts <= 2*int(3*time.Second/zoneTrialInterval)+6, "%d connections tried", attempts)
	down, since := h.scheduler.Down()
	assert.Assert(t, down)
	assert.Equal(t, since, time.Duration(0))
}

// TestCutOffEntryServesWaitingRequestsAfterTheCut checks that requests that wait for the end of a cut start with the first
// sign of life.
func TestCutOffEntryServesWaitingRequestsAfterTheCut(t *testing.T) {
	h := cutOffEntry(t)
	_, _ = h.send(true)
	h.advance(4500 * ms) // The remaining outage is shorter than the client's patience.
	var waiting []*Decision
	for range 5 {
		waiting = append(waiting, h.submit(h.chatRequest()))
		h.advance(10 * ms)
	}
	// One of them is the trial of each zone.
	assert.Assert(t, h.scheduler.Waiting() >= 3)
	h.advance(100 * ms)
	assert.Assert(t, h.scheduler.RecordReachable("b", h.now))
	h.advance(ms)
	for _, d := range waiting {
		assert.Assert(t, d.Endpoint != "" && d.Reason == "")
	}
	down, _ := h.scheduler.Down()
	assert.Assert(t, !down)
}

// TestFewFailedConnectionsAreNoOutage guards against taking a whole zone out for one or two endpoints that ended.
func TestFewFailedConnectionsAreNoOutage(t *testing.T) {
	h := cutOffEntry(t)
	assert.Assert(t, !h.scheduler.RecordUnreachable("b0", h.now))
	assert.Assert(t, !h.scheduler.RecordUnreachable("b0", h.now))
	assert.Assert(t, !h.scheduler.RecordUnreachable("b1", h.now))
	h.advance(2 * time.Second)
	assert.Assert(t, !h.scheduler.RecordUnreachable("b2", h.now), "failures long apart count together")
	assert.Equal(t, h.scheduler.UnreachableZones(), 0)
	assert.Assert(t, !h.scheduler.RecordUnreachable("b3", h.now))
	assert.Assert(t, h.scheduler.RecordUnreachable("b4", h.now))
	assert.Equal(t, h.scheduler.UnreachableZones(), 1)
	d, _ := h.send(false)
	assert.Equal(t, d.Endpoint[0], byte('c'))
}

// TestOneFailedConnectionIsNoOutage guards against an outage of a service with one endpoint in each zone because a connection to
// each failed once.
func TestOneFailedConnectionIsNoOutage(t *testing.T) {
	h := newHarness(t, Config{}, Endpoint{Name: "a", Zone: "a", Slots: 4, Usable: true}, Endpoint{Name: "b", Zone: "b", Slots: 4, Usable: true})
	for _, name := range []id.Endpoint{"a", "b"} {
		assert.Assert(t, !h.scheduler.RecordUnreachable(name, h.now))
		assert.Assert(t, !h.scheduler.RecordUnreachable(name, h.now))
	}
	assert.Assert(t, h.submit(h.chatRequest()).Endpoint != "")
	assert.Assert(t, h.scheduler.RecordUnreachable("a", h.now))
}

// TestLateSignOfLifeDoesNotReopenZone guards against an answer from before a cut that is taken for the end of it.
func TestLateSignOfLifeDoesNotReopenZone(t *testing.T) {
	h := cutOffEntry(t)
	h.now = time.Second
	for i := range 3 {
		h.scheduler.RecordUnreachable(id.Endpoint(fmt.Sprintf("b%d", i)), h.now)
	}
	assert.Assert(t, !h.scheduler.RecordReachable("b", h.now-ms))
	assert.Equal(t, h.scheduler.UnreachableZones(), 1)
	assert.Assert(t, h.scheduler.RecordReachable("b", h.now+ms))
}

// TestStalledRequestsTakeNoSlotElsewhere guards against requests that hang at a group that is down and keep the
// free slots of the other groups from new ones.
func TestStalledRequestsTakeNoSlotElsewhere(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.scheduler.SetPeerLoad("a", Load{Running: 4})
	h.scheduler.SetBlocked("a", true)
	for range 4 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	}
}

// TestCutOffEntrySendsCallersElsewhere guards against callers who wait at an entry that is cut off until the end of the
// cut, although their next connection reaches an entry that serves.
func TestCutOffEntrySendsCallersElsewhere(t *testing.T) {
	h := cutOffEntry(t)
	_, _ = h.send(true)
	h.advance(4500 * ms)
	for range 2 { // The trials of the zones.
		assert.Assert(t, h.submit(h.chatRequest()).Endpoint != "")
	}
	waiting := h.submit(h.chatRequest())
	resumed := h.chatRequest()
	resumed.Resumed = true
	stream := h.submit(resumed)
	h.scheduler.SetElsewhere(700 * ms)
	h.advance(ms)
	assert.Equal(t, waiting.Reason, Elsewhere)
	assert.Equal(t, waiting.RetryAfter, 700*ms)
	assert.Equal(t, h.submit(h.chatRequest()).Reason, Elsewhere)
	assert.Equal(t, stream.Reason, Reason("")) // Its client cannot take it along.
	h.scheduler.SetElsewhere(-1)
	h.scheduler.RecordReachable("b", h.now+ms)
	h.advance(2 * ms)
	assert.Assert(t, stream.Endpoint != "")
}
