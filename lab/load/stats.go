package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/siskinford/siskinford/core/outcome"
)

// maxRecorded is the longest time that a histogram holds.
const maxRecorded = 5 * time.Minute

// bucket is the resolution of the course over time.
const bucket = 250 * time.Millisecond

// observation is what became of one request.
type observation struct {
	arrival Arrival
	status  int
	outcome outcome.Outcome
	code    string
	// first and last are counted from the intended time of sending, which
	// corrects for coordinated omission. First is zero without a token.
	first, last time.Duration
	// gaps are the times between tokens.
	gaps     []time.Duration
	complete bool
}

// good reports whether the answer was complete and began within the deadline.
func (o observation) good() bool { return o.complete && o.first <= deadline }

// Summary describes one class of requests.
type Summary struct {
	Class    Class `json:"class"`
	Requests int   `json:"requests"`
	// Good counts complete answers whose first token came within the deadline.
	Good int `json:"good"`
	// Refused counts requests that were not run, Unknown those without a certain outcome.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Late counts complete answers past the deadline.
	Late int `json:"late"`
	// FirstToken and Gap are in milliseconds. FirstToken covers complete answers.
	FirstToken QuantilesMillis `json:"first_token_ms"`
	TokenGap   QuantilesMillis `json:"gap_ms"`
	// RefusalP95 is the time until a refusal in milliseconds.
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
	mu  sync.Mutex // a leaf lock
	all []observation
}

func (r *recorder) add(o observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, o)
}

// summarize returns the summary of the observations that keep selects.
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

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxRecorded), 3) }

func quantiles(h *hdrhistogram.Histogram) QuantilesMillis {
	return QuantilesMillis{
		P50: milliseconds(h.ValueAtQuantile(50)),
		P95: milliseconds(h.ValueAtQuantile(95)),
		P99: milliseconds(h.ValueAtQuantile(99)),
	}
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

// TimeSeries is the service over time.
type TimeSeries struct {
	// At is the start of each interval in seconds.
	At []float64 `json:"at_s"`
	// Sent and Good are requests a second by intended time of sending.
	Sent []float64 `json:"sent"`
	Good []float64 `json:"good"`
	// P95 is the time to first token of complete answers in milliseconds.
	P95 []float64 `json:"first_token_p95_ms"`
}

func course(all []observation, duration time.Duration) TimeSeries {
	n := int(duration/bucket) + 1
	sent, good := make([]float64, n), make([]float64, n)
	first := make([]*hdrhistogram.Histogram, n)
	for i := range first {
		first[i] = newHistogram()
	}
	for _, o := range all {
		i := min(int(o.arrival.At/bucket), n-1)
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
		c.At = append(c.At, (time.Duration(i) * bucket).Seconds())
		c.Sent = append(c.Sent, sent[i]/bucket.Seconds())
		c.Good = append(c.Good, good[i]/bucket.Seconds())
		c.P95 = append(c.P95, milliseconds(first[i].ValueAtQuantile(95)))
	}
	return c
}
