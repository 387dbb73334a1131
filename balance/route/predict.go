package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gainWeight is the weight of a new observation in the averages of a gain.
	gainWeight = 1.0 / 128
	// initialGain applies until the first observation. It is low so that the first
	// requests are admitted.
	initialGain = 1.0 / 16
	// minGain and maxGain bound the gain.
	minGain = 1.0 / 128
	maxGain = 8
	// typicalWeight is the weight of a new request in the average of typical work.
	typicalWeight = 1.0 / 64
	// longThreshold is the work relative to the typical above which requests are long.
	longThreshold = 2
	// longWork is the assumed work of a long request relative to the typical.
	longWork = 16
)

// gain is the ratio of observed to predicted waits of a service, with the typical
// work of its requests. It calibrates predictions for requests that take more or
// fewer steps than predicted tokens.
type gain struct {
	ratioBits   atomic.Uint64 // the ratio as float64
	observedAt  atomic.Int64  // time of the last observation
	typicalBits atomic.Uint64 // the typical work in tokens as float64

	// mu guards the averages and writes of the fields above. It is a leaf lock.
	mu        sync.Mutex
	logWork   float64 // average logarithm of the work
	samples   float64
	predicted float64
	observed  float64
}

func newGain() *gain {
	g := &gain{}
	g.ratioBits.Store(math.Float64bits(initialGain))
	g.typicalBits.Store(math.Float64bits(1))
	return g
}

// recordWork adds a request's tokens to the typical work. That is a geometric mean,
// so that few long requests hardly change it.
func (g *gain) recordWork(work uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	log := math.Log(float64(max(work, 1)))
	if g.logWork == 0 {
		g.logWork = log
	}
	g.logWork += typicalWeight * (log - g.logWork)
	g.typicalBits.Store(math.Float64bits(math.Exp(g.logWork)))
}

func (g *gain) typicalWork() float64 { return math.Float64frombits(g.typicalBits.Load()) }

// value returns the ratio. After decayTime without observations it halves per
// decayTime: predictions too high to admit any request would otherwise persist.
func (g *gain) value(now, decayTime time.Duration) float64 {
	v := math.Float64frombits(g.ratioBits.Load())
	idle := now - time.Duration(g.observedAt.Load())
	if idle <= decayTime {
		return v
	}
	return v * math.Exp2(1-float64(idle)/float64(decayTime))
}

// observe adds a wait that was predicted with a gain of 1. The first 128
// observations are averaged with equal weight, the later ones exponentially.
func (g *gain) observe(predicted, observed, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples++
	weight := max(gainWeight, 1/g.samples)
	g.predicted += weight * (float64(predicted) - g.predicted)
	g.observed += weight * (float64(observed) - g.observed)
	ratio := min(max(g.observed/g.predicted, minGain), maxGain)
	g.ratioBits.Store(math.Float64bits(ratio))
	g.observedAt.Store(int64(now))
}

// prediction holds the components of the expected time to first token.
type prediction struct {
	raw     time.Duration // wait behind other requests at a gain of 1
	wait    time.Duration // until a slot is free
	prefill time.Duration
	err     time.Duration // average error of earlier predictions
}

func (p prediction) base() time.Duration { return p.wait + p.prefill }

func (p prediction) expected() time.Duration { return max(p.base()+p.err, p.prefill) }

// estimateRequests estimates the requests at an endpoint. The entry's own are exact.
// The reported requests of others weigh less the older the report is; the average of
// the zone gets the remaining weight.
func (t *Table) estimateRequests(m *member, l *load, now time.Duration) float64 {
	open := m.state.openCount.Load()
	peers := float64(max(l.requests+m.state.netCount.Load()-open, 0))
	reportWeight := float64(t.cfg.ReportHalfWeightAge) / float64(t.cfg.ReportHalfWeightAge+max(now-l.measured, 0))
	mean := m.zone.meanPeerRequests()
	return float64(open) + mean + reportWeight*(peers-mean)
}

// estimateBacklog estimates the tokens that an endpoint has still to process.
func estimateBacklog(s *state, l *load) float64 {
	tokens := l.tokens + s.netTokens.Load()
	return float64(max(tokens, s.openTokens.Load()/2, 0))
}

// estimateWait predicts the time until the endpoint starts one more request. The raw
// wait assumes one step of one slot per token; busy allows for the chance that the
// last free slots are taken before the request arrives.
//
// A long request occupies its slot for long but does not delay the requests in the
// other slots. It is therefore counted as a slot that is not available.
func (t *Table) estimateWait(m *member, now time.Duration) (raw, busy time.Duration) {
	l := m.state.load.Load()
	if l == nil {
		return 0, 0
	}
	count := t.estimateRequests(m, l, now)
	slots := float64(l.slots)
	if count < slots {
		utilization := count / slots
		return 0, time.Duration(utilization * utilization * utilization * utilization * float64(l.stepTime))
	}
	typical := m.gain.typicalWork()
	tokens := estimateBacklog(m.state, l)
	long := math.Ceil((tokens - longThreshold*count*typical) / (longWork * typical))
	free := slots - max(long, 0)
	if free < 1 {
		return time.Duration(tokens / slots * float64(l.stepTime)), l.stepTime
	}
	return time.Duration((count - slots + 1) * typical / free * float64(l.stepTime)), l.stepTime
}

// wait returns the predicted time until the endpoint starts one more request.
func (t *Table) wait(m *member, now time.Duration) time.Duration {
	raw, busy := t.estimateWait(m, now)
	return time.Duration(float64(raw)*m.gain.value(now, t.cfg.ErrorDecayTime)) + busy
}

// predict returns the prediction for a request at an endpoint that holds
// cached blocks of its prompt.
func (t *Table) predict(m *member, blocks, cached int, now time.Duration) prediction {
	s := m.state
	raw, busy := t.estimateWait(m, now)
	p := prediction{raw: raw, err: t.predictionError(s, now)}
	p.wait = time.Duration(float64(raw)*m.gain.value(now, t.cfg.ErrorDecayTime)) + busy
	if l := s.load.Load(); l != nil {
		steps := 1 + (blocks-cached)*t.cfg.BlockTokens/t.cfg.PrefillTokensPerStep
		p.prefill = time.Duration(steps) * l.stepTime
	}
	return p
}

// predictionError returns the average error of earlier predictions, decayed by its age.
func (t *Table) predictionError(s *state, now time.Duration) time.Duration {
	miss := s.errorNanos.Load()
	age := now - time.Duration(s.errorAt.Load())
	if miss <= 0 || age >= t.cfg.ErrorDecayTime {
		return 0
	}
	weight := 1 - float64(max(age, 0))/float64(t.cfg.ErrorDecayTime)
	return time.Duration(float64(miss) * weight)
}
