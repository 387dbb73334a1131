package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the settings of a Table. Zero values select the defaults.
type Config struct {
	// Start is the origin of the table's clock. Default: the time of NewTable.
	Start time.Time
	// MaxReportAge bounds the age of a ready endpoint's report. Unit: duration. Default: 3 s.
	MaxReportAge time.Duration
	// RandomCandidates is the number of endpoints sampled per zone. Default: 4. Range: 2 to 8.
	RandomCandidates int
	// RoundTrip is added to the predicted time of endpoints in other zones.
	// Unit: duration. Default: 3 ms.
	RoundTrip time.Duration
	// ErrorDecayTime is the time in which an observed prediction error decays to
	// zero. Unit: duration. Default: 4 s.
	ErrorDecayTime time.Duration
	// ReportHalfWeightAge is the age at which the other entries' requests in a report
	// have half their weight. Unit: duration. Default: 250 ms.
	ReportHalfWeightAge time.Duration
	// BlockTokens is the length of a prefix block. Unit: tokens. Default: 64.
	BlockTokens int
	// PrefillTokensPerStep is the prefill rate of uncached prompt tokens. Default: 256.
	PrefillTokensPerStep int
	// StepTime applies to endpoints that report none. Unit: duration. Default: 20 ms.
	StepTime time.Duration
	// Prefixes predicts prefix cache hits. Default: no hits.
	Prefixes PrefixIndex
	// Rand returns uniform random numbers and is safe for concurrent use.
	// Default: the runtime's generator.
	Rand func() uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxReportAge, 3*time.Second)
	setDefault(&c.RoundTrip, 3*time.Millisecond)
	setDefault(&c.ErrorDecayTime, 4*time.Second)
	setDefault(&c.ReportHalfWeightAge, 250*time.Millisecond)
	setDefault(&c.StepTime, 20*time.Millisecond)
	setDefault(&c.RandomCandidates, 4)
	setDefault(&c.BlockTokens, 64)
	setDefault(&c.PrefillTokensPerStep, 256)
	c.RandomCandidates = min(max(c.RandomCandidates, 2), maxRandomCandidates)
	if c.Start.IsZero() {
		c.Start = time.Now()
	}
	if c.Rand == nil {
		c.Rand = rand.Uint64
	}
	return c
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Table holds the state of all endpoints that an entry may use.
//
// Pick reads an immutable view without locks. Reports and configurations replace
// the part of the view that they change.
type Table struct {
	cfg  Config
	view atomic.Pointer[view]

	// mu guards replacement of view. Lock order: Table.mu before state.mu.
	mu sync.Mutex
}

// NewTable returns a table without endpoints.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg.withDefaults()}
	t.view.Store(&view{})
	return t
}

func (t *Table) clock(now time.Time) time.Duration { return now.Sub(t.cfg.Start) }

// SetEndpoints replaces the configured endpoints. Endpoints that remain keep their state.
func (t *Table) SetEndpoints(endpoints []Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.clock(now)
	v := t.view.Load().withEndpoints(endpoints)
	for name := range v.services {
		v = t.withReadySet(v, name, at)
	}
	t.view.Store(v)
}

// rebuildReadySet recomputes the ready endpoints of a service.
func (t *Table) rebuildReadySet(s id.Service, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.Store(t.withReadySet(t.view.Load(), s, now))
}

// Report records a load report. It returns false for a report that it drops: of an
// unknown endpoint or earlier incarnation, out of order or repeated.
func (t *Table) Report(r Report, now time.Time) bool {
	m := t.view.Load().members[r.Endpoint]
	if m == nil {
		return false
	}
	at := t.clock(now)
	if !m.state.applyReport(t.newLoad(r, at)) {
		return false
	}
	t.updateZoneSums(m, at)
	if (t.reason(m, at) == ReasonReady) != m.state.inReadySet.Load() {
		t.rebuildReadySet(m.Service, at)
	}
	return true
}

// updateZoneSums updates the endpoint's contribution to the load of its zone.
func (t *Table) updateZoneSums(m *member, now time.Duration) {
	m.state.updateZoneSums(m.zone, func() (bool, time.Duration) {
		return t.reason(m, now) == ReasonReady, t.wait(m, now)
	})
}

func (t *Table) newLoad(r Report, now time.Duration) *load {
	l := &load{
		incarnation: r.Incarnation,
		seq:         r.Seq,
		draining:    r.Draining,
		healthy:     r.Healthy,
		requests:    int64(r.Queued) + int64(r.Running),
		tokens:      int64(r.QueuedTokens) + int64(r.RunningTokens),
		slots:       max(int64(r.Slots), 1),
		stepTime:    r.StepTime,
		measured:    now - r.Age,
		received:    now,
	}
	if l.stepTime <= 0 {
		l.stepTime = t.cfg.StepTime
	}
	return l
}

// Expire removes endpoints whose reports are too old from the ready sets. A timer
// calls it; Pick does the same for its service.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.clock(now)
	v := t.view.Load()
	for name := range v.services {
		v = t.withReadySet(v, name, at)
	}
	t.view.Store(v)
}

// RecordStart records that a request was dispatched to the choice's endpoint.
func (t *Table) RecordStart(c Choice, now time.Time) {
	if c.state != nil {
		c.state.recordDispatch(c.Incarnation, 1, int64(c.Work), t.clock(now))
		c.gain.recordWork(c.Work)
	}
}

// RecordFinish records that a started request ended with any outcome.
func (t *Table) RecordFinish(c Choice, now time.Time) {
	if c.state != nil {
		c.state.recordDispatch(c.Incarnation, -1, -int64(c.Work), t.clock(now))
	}
}

// Observe records the time to first token of a started request. For an abandoned
// request, callers pass the time that it had waited.
func (t *Table) Observe(c Choice, firstToken time.Duration, now time.Time) {
	if c.state == nil {
		return
	}
	c.state.observeError(c.Incarnation, firstToken-c.Predicted, t.clock(now))
	if c.rawWait > 0 {
		c.gain.observe(c.rawWait, max(firstToken-c.prefill, 0), t.clock(now))
	}
}

// RecordFailure records that the endpoint refused a request or did not answer, so that an
// endpoint that fails fast does not attract requests by looking idle. It is called
// in addition to RecordFinish and instead of Observe.
func (t *Table) RecordFailure(c Choice, now time.Time) {
	if c.state != nil {
		c.state.addFailurePenalty(c.Incarnation, t.clock(now))
	}
}

// reason returns ReasonReady or why an endpoint may not receive requests.
func (t *Table) reason(m *member, now time.Duration) Reason {
	l := m.state.load.Load()
	switch {
	case m.Weight <= 0:
		return ReasonZeroWeight
	case m.Draining:
		return ReasonDraining
	case l == nil:
		return ReasonNoReport
	case l.draining:
		return ReasonDraining
	case now-l.measured > t.cfg.MaxReportAge:
		return ReasonStaleReport
	case !l.healthy:
		return ReasonUnhealthy
	default:
		return ReasonReady
	}
}

// noEndpoint returns the error for a service without a ready endpoint.
func (t *Table) noEndpoint(r Request, now time.Duration) error {
	err := &NoEndpointError{Service: r.Service}
	s := t.view.Load().services[r.Service]
	if s == nil {
		return err
	}
	for _, m := range s.members {
		reason := t.reason(m, now)
		if reason == ReasonReady && excluded(r.Exclude, m.Name) {
			reason = ReasonExcluded
		}
		err.Endpoints = append(err.Endpoints, EndpointReason{Endpoint: m.Name, Reason: reason})
	}
	return err
}

func excluded(list []id.Endpoint, e id.Endpoint) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}
