package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// TestHighEstimateDoesNotRefuseForever guards against a scheduler that refuses every request
// because of an estimate that only a start can correct. Streams that begin slowly during a
// fault leave an estimate beyond the time for which clients wait for a first event.
func TestHighEstimateDoesNotRefuseForever(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.recordSlowFirstEvents(40, 6*time.Second)
	d := h.submit(h.chatRequest())
	assert.Assert(t, d.Endpoint != "", "refused although nothing runs: %s", d.Reason)
}

// TestHighEstimateAdmitsTrialRequests covers endpoints that are more than half full: while the
// estimate says that requests start too late, one per interval starts and corrects it.
func TestHighEstimateAdmitsTrialRequests(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 8))
	for range 6 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("a"))
	}
	h.advance(time.Second)
	h.recordSlowFirstEvents(40, 6*time.Second)
	started := 0
	for range 20 {
		if h.submit(h.chatRequest()).Endpoint != "" {
			started++
		}
		h.advance(estimateTrialInterval / 10)
	}
	assert.Equal(t, started, 2)
}

// TestEstimateLosesWeightWithAge checks that an estimate without new observations returns to
// its initial value.
func TestEstimateLosesWeightWithAge(t *testing.T) {
	e := newEstimate(100 * ms)
	for range 100 {
		e.add(4*time.Second, 10*time.Second)
	}
	fresh := e.at(10 * time.Second)
	assert.Assert(t, fresh.mean > 3900*ms, "%v", fresh.mean)
	assert.Equal(t, e.at(10*time.Second+estimateFreshFor), fresh)
	half := e.at(10*time.Second + estimateFreshFor + estimateHalfLife)
	assert.Assert(t, half.mean > 1900*ms && half.mean < 2200*ms, "%v", half.mean)
	old := e.at(60 * time.Second)
	assert.Assert(t, old.upper() < 130*ms, "%v", old.upper())
	// The next observation continues from the aged value.
	e.add(100*ms, 60*time.Second)
	assert.Assert(t, e.at(60*time.Second).upper() < 130*ms)
}

// maxEstimateRefusal bounds the time for which a service with free capacity and an empty queue
// may refuse all requests because of its estimates.
const maxEstimateRefusal = time.Second

// TestFreeCapacityIsUsed checks over random histories of starts, first events, ends, failures,
// outages and breakers that free capacity is not refused for longer than maxEstimateRefusal
// because of an estimate.
func TestFreeCapacityIsUsed(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		h := newHarness(t, Config{}, usableEndpoint("a", 1+rng.IntN(6)), usableEndpoint("b", 1+rng.IntN(6)))
		checkFreeCapacity(h, rng, seed)
	}
}

func checkFreeCapacity(h *harness, rng *rand.Rand, seed uint64) {
	type started struct {
		endpoint id.Endpoint
		request  Request
		at       time.Duration
		answered bool
	}
	var running []started
	// refusedSince is when the unbroken sequence of refusals by an estimate began.
	refusedSince := time.Duration(-1)
	slow := 1 + rng.Float64()*30
	for range 1500 {
		switch x := rng.IntN(100); {
		case x < 45:
			r := h.chatRequest()
			free := h.scheduler.freeCapacity(h.now) > 0 && h.scheduler.Waiting() == 0 && !h.scheduler.down && !h.scheduler.allBreakersOpen()
			d := h.submit(r)
			if d.Endpoint != "" {
				running = append(running, started{endpoint: d.Endpoint, request: r, at: h.now})
			}
			switch {
			case !free || d.Reason == "":
				refusedSince = -1
			case refusedSince < 0:
				refusedSince = h.now
			default:
				assert.Assert(h.t, h.now-refusedSince <= maxEstimateRefusal, "seed %d: refused from %v to %v (%s)", seed, refusedSince, h.now, d.Reason)
			}
		case x < 75 && len(running) > 0:
			i := rng.IntN(len(running))
			x := running[i]
			if !x.answered && rng.IntN(4) > 0 {
				running[i].answered = true
				h.scheduler.RecordFirstEvent(x.endpoint, &x.request, time.Duration(slow*float64(h.now-x.at)), h.now)
				continue
			}
			running = append(running[:i], running[i+1:]...)
			h.scheduler.RecordEnd(x.endpoint, &x.request, x.answered, h.now-x.at, h.now)
		case x == 75:
			slow = 1 + rng.Float64()*30
		case x == 76:
			h.scheduler.SetDown(rng.IntN(3) == 0, h.now)
		case x == 77:
			h.scheduler.TripBreaker("a", h.now)
		case x == 78:
			h.scheduler.RecordGroupProgress("", h.now)
		default:
			h.advance(time.Duration(rng.IntN(120)) * ms)
		}
	}
}

// recordSlowFirstEvents records first events that took latency each.
func (h *harness) recordSlowFirstEvents(n int, latency time.Duration) {
	r := h.chatRequest()
	for range n {
		h.scheduler.RecordFirstEvent("", &r, latency, h.now)
	}
}
