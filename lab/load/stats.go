package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/siskinford/siskinford/core/outcome"
)

// histogramMax is the largest duration that a histogram records.
const histogramMax = 5 * time.Minute

// seriesInterval is the resolution of a TimeSeries.
const seriesInterval = 250 * time.Millisecond

// observation is the measured outcome of one request.
type observation struct {
	arrival Arrival
	status  int
	outcome outcome.Outcome
	code    string
	// first and last are relative to the intended send time, which avoids
	// coordinated omission. first is zero if no token arrived.
	first, last time.Duration
	// gaps are the inter-token latencies.
	gaps     []time.Duration
	complete bool
}

// good reports whether the response completed and its first token met the deadline.
func (o observation) good() bool { return o.complete && o.first <= deadline }

// Summary aggregates the requests of a class.
type Summary struct {
	Class    Class `json:"class"`
	Requests int   `json:"requests"`
	// Good counts complete responses whose first token met the deadline.
	Good int `json:"good"`
	// Refused counts requests reported as not run, Unknown all other incomplete ones.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Late counts complete responses whose first token missed the deadline.
	Late int `json:"late"`
	// FirstToken and TokenGap cover complete responses only.
	FirstToken QuantilesMillis `json:"first_token_ms"`
	TokenGap   QuantilesMillis `json:"gap_ms"`
	// RefusalP95 is the latency of refusals in milliseconds.
	RefusalP95 float64 `json:"refusal_p95_ms"`
}

// QuantilesMillis holds quantiles in milliseconds.
type QuantilesMillis struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// recorder collects observations. It is safe for concurrent use.
type recorder struct {
	mu  sync.Mutex // leaf lock
	all []observation
}

func (r *recorder) add(o observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, o)
}

// summarize aggregates the observations that keep selects.
func summarize(class Class, all []observation, keep func(observation) bool) Summary {
	s := Summary{Class: class}
	first, gap, refusal := newHistogram(), newHistogram(), newHistogram()
	for _, o := range all {
		if !keep(o) {
			continue
		}
		s.Requests++
		switch {
		case o.good():
			s.Good++
		case o.complete:
			s.Late++
		case o.outcome == outcome.NotRun:
			s.Refused++
			_ = refusal.RecordValue(int64(o.last))
		default:
			s.Unknown++
		}
		if o.complete {
			_ = first.RecordValue(int64(o.first))
			for _, g := range o.gaps {
				_ = gap.RecordValue(int64(g))
			}
		}
	}
	s.FirstToken, s.TokenGap = quantiles(first), quantiles(gap)
	s.RefusalP95 = milliseconds(refusal.ValueAtQuantile(95))
	return s
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(histogramMax), 3) }

func quantiles(h *hdrhistogram.Histogram) QuantilesMillis {
	return QuantilesMillis{
		P50: milliseconds(h.ValueAtQuantile(50)),
		P95: milliseconds(h.ValueAtQuantile(95)),
		P99: milliseconds(h.ValueAtQuantile(99)),
	}
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

// TimeSeries holds one value per interval of the run.
type TimeSeries struct {
	// At is the start of each interval in seconds.
	At []float64 `json:"at_s"`
	// Sent and Good are rates in requests per second, by intended send time.
	Sent []float64 `json:"sent"`
	Good []float64 `json:"good"`
	// P95 is the time to first token of complete responses in milliseconds.
	P95 []float64 `json:"first_token_p95_ms"`
}

func timeSeries(all []observation, duration time.Duration) TimeSeries {
	n := int(duration/seriesInterval) + 1
	sent, good := make([]float64, n), make([]float64, n)
	first := make([]*hdrhistogram.Histogram, n)
	for i := range first {
		first[i] = newHistogram()
	}
	for _, o := range all {
		i := min(int(o.arrival.At/seriesInterval), n-1)
		sent[i]++
		if o.good() {
			good[i]++
		}
		if o.complete {
			_ = first[i].RecordValue(int64(o.first))
		}
	}
	var c TimeSeries
	for i := range n {
		c.At = append(c.At, (time.Duration(i) * seriesInterval).Seconds())
		c.Sent = append(c.Sent, sent[i]/seriesInterval.Seconds())
		c.Good = append(c.Good, good[i]/seriesInterval.Seconds())
		c.P95 = append(c.P95, milliseconds(first[i].ValueAtQuantile(95)))
	}
	return c
}
