package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gainWeight is the weight of a new observation in the sums of a gain.
	gainWeight = 1.0 / 128
	// initialGain holds until the first observation. It is low so that the first
	// requests are let through.
	initialGain = 1.0 / 16
	// minGain and maxGain bound the gain.
	minGain = 1.0 / 128
	maxGain = 8
	// typicalWeight is the weight of a new request in the typical work.
	typicalWeight = 1.0 / 64
	// longPart is the work relative to the typical above which requests count as long.
	longPart = 2
	// longFactor is the work of a long request relative to the typical.
	longFactor = 16
)

// gain is the ratio of observed to predicted waits of a service, with the typical
// work of its requests. It adapts the predictions to work that takes more or less
// than one step for each token.
type gain struct {
	bits    atomic.Uint64 // the ratio as float64
	seen    atomic.Int64  // time of the last observation
	typical atomic.Uint64 // the typical work in tokens as float64

	// mu guards the sums and writes of the fields above. It is taken last of all locks.
	mu        sync.Mutex
	logWork   float64 // average logarithm of the work
	samples   float64
	predicted float64
	observed  float64
}

func newGain() *gain {
	g := &gain{}
	g.bits.Store(math.Float64bits(initialGain))
	g.typical.Store(math.Float64bits(1))
	return g
}

// started adds a request's work in tokens to the typical work, which is the
// geometric mean, so that few long requests hardly change it.
func (g *gain) started(work uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	log := math.Log(float64(max(work, 1)))
	if g.logWork == 0 {
		g.logWork = log
	}
	g.logWork += typicalWeight * (log - g.logWork)
	g.typical.Store(math.Float64bits(math.Exp(g.logWork)))
}

func (g *gain) typicalWork() float64 { return math.Float64frombits(g.typical.Load()) }

// value returns the ratio. It halves with each memory that passes without an
// observation: an entry whose predictions are too high to let any request
// through would otherwise keep them.
func (g *gain) value(now, memory time.Duration) float64 {
	v := math.Float64frombits(g.bits.Load())
	idle := now - time.Duration(g.seen.Load())
	if idle <= memory {
		return v
	}
	return v * math.Exp2(1-float64(idle)/float64(memory))
}

// observe adds a wait that was predicted with a gain of 1. The first
// observations weigh as much as the later ones together.
func (g *gain) observe(predicted, observed, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples++
	weight := max(gainWeight, 1/g.samples)
	g.predicted += weight * (float64(predicted) - g.predicted)
	g.observed += weight * (float64(observed) - g.observed)
	ratio := min(max(g.observed/g.predicted, minGain), maxGain)
	g.bits.Store(math.Float64bits(ratio))
	g.seen.Store(int64(now))
}

// prediction is the expected time to first token at one endpoint, in parts.
type prediction struct {
	raw     time.Duration // wait behind other requests at a gain of 1
	wait    time.Duration // until a slot is free
	prefill time.Duration
	err     time.Duration // correction by the error of earlier predictions
}

func (p prediction) base() time.Duration { return p.wait + p.prefill }

func (p prediction) expected() time.Duration { return max(p.base()+p.err, p.prefill) }

// requests estimates the requests at an endpoint. The entry knows its own ones
// exactly. What a report says of the others' counts less the older it is; the
// zone's average takes its place.
func (t *Table) requests(m *member, l *load, now time.Duration) float64 {
	open := m.state.openCount.Load()
	others := float64(max(l.count+m.state.netCount.Load()-open, 0))
	trust := float64(t.cfg.ReportHalfWeightAge) / float64(t.cfg.ReportHalfWeightAge+max(now-l.taken, 0))
	mean := m.zone.meanOthers()
	return float64(open) + mean + trust*(others-mean)
}

// backlog estimates the tokens that an endpoint has to work off.
func backlog(s *state, l *load) float64 {
	tokens := l.tokens + s.netTokens.Load()
	return float64(max(tokens, s.openTokens.Load()/2, 0))
}

// waits predicts the time until the endpoint starts one more request. The raw
// wait assumes that each token takes one step of one slot; the other part is
// for the chance that the last free slots are taken meanwhile.
//
// Work far beyond the typical holds its slot for long but does not delay the
// requests that use the other slots. It is therefore counted as slots taken away.
func (t *Table) waits(m *member, now time.Duration) (raw, busy time.Duration) {
	l := m.state.load.Load()
	if l == nil {
		return 0, 0
	}
	count := t.requests(m, l, now)
	slots := float64(l.slots)
	if count < slots {
		part := count / slots
		return 0, time.Duration(part * part * part * part * float64(l.step))
	}
	typical := m.gain.typicalWork()
	tokens := backlog(m.state, l)
	long := math.Ceil((tokens - longPart*count*typical) / (longFactor * typical))
	free := slots - max(long, 0)
	if free < 1 {
		return time.Duration(tokens / slots * float64(l.step)), l.step
	}
	return time.Duration((count - slots + 1) * typical / free * float64(l.step)), l.step
}

// wait returns the predicted time until the endpoint starts one more request.
func (t *Table) wait(m *member, now time.Duration) time.Duration {
	raw, busy := t.waits(m, now)
	return time.Duration(float64(raw)*m.gain.value(now, t.cfg.ErrorDecayTime)) + busy
}

// predict returns the prediction for a request at an endpoint that holds
// cached blocks of its prompt.
func (t *Table) predict(m *member, blocks, cached int, now time.Duration) prediction {
	s := m.state
	raw, busy := t.waits(m, now)
	p := prediction{raw: raw, err: t.missed(s, now)}
	p.wait = time.Duration(float64(raw)*m.gain.value(now, t.cfg.ErrorDecayTime)) + busy
	if l := s.load.Load(); l != nil {
		steps := 1 + (blocks-cached)*t.cfg.BlockTokens/t.cfg.PrefillTokensPerStep
		p.prefill = time.Duration(steps) * l.step
	}
	return p
}

// missed returns the average error of earlier predictions, which fades with its age.
func (t *Table) missed(s *state, now time.Duration) time.Duration {
	miss := s.errorNanos.Load()
	age := now - time.Duration(s.errorAt.Load())
	if miss <= 0 || age >= t.cfg.ErrorDecayTime {
		return 0
	}
	fresh := 1 - float64(max(age, 0))/float64(t.cfg.ErrorDecayTime)
	return time.Duration(float64(miss) * fresh)
}
