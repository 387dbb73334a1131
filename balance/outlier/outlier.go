// Package outlier finds endpoints that fail much more often than the others of
// their service although they count as healthy, by the outcomes of requests.
//
// An outlier is suspect for a time that doubles with each repetition. At most a
// part of the endpoints is suspect at a time, so that the rest is not overloaded.
package outlier

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the settings of a Detector. Zero values select the defaults.
type Config struct {
	// DecayTime is the time constant with which outcomes are forgotten. Default: 4 s.
	DecayTime time.Duration
	// MinFailures is the least number of remembered failures of an outlier. Default: 2.5.
	MinFailures float64
	// FailureRateMargin is added to the usual part of failures of the other endpoints. An
	// outlier fails more often. Default: 0.25.
	FailureRateMargin float64
	// BaseSuspectTime is the time for which an outlier is suspect at first. Default: 1 s.
	BaseSuspectTime time.Duration
	// MaxSuspectTime bounds that time. Default: 8 s.
	MaxSuspectTime time.Duration
	// MaxSuspectFraction bounds the part of the endpoints that are suspect. Default: 0.34.
	MaxSuspectFraction float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.DecayTime, 4*time.Second)
	setDefault(&c.MinFailures, 2.5)
	setDefault(&c.FailureRateMargin, 0.25)
	setDefault(&c.BaseSuspectTime, time.Second)
	setDefault(&c.MaxSuspectTime, 8*time.Second)
	setDefault(&c.MaxSuspectFraction, 0.34)
	return c
}

func setDefault[T float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Detector judges the endpoints of one service. It is not safe for concurrent
// use; times are durations since any fixed moment.
type Detector struct {
	cfg       Config
	endpoints map[id.Endpoint]*record
}

type record struct {
	ok, failed float64
	updated    time.Duration
	until      time.Duration
	next       time.Duration
}

// New returns a detector that knows no endpoint.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), endpoints: make(map[id.Endpoint]*record)}
}

// Record takes in the outcome of a request and returns the time until which the
// endpoint is suspect, zero if it is not.
func (d *Detector) Record(name id.Endpoint, ok bool, now time.Duration) time.Duration {
	r := d.recall(name, now)
	if ok {
		r.ok++
		return r.until
	}
	r.failed++
	return d.judge(name, r, now)
}

// RecordHang takes in a request that the endpoint left without a word while others of
// the service were served. It weighs as much as the least failures of an outlier:
// each further request would wait as long. It returns what Record does.
func (d *Detector) RecordHang(name id.Endpoint, now time.Duration) time.Duration {
	r := d.recall(name, now)
	r.failed += d.cfg.MinFailures
	return d.judge(name, r, now)
}

// recall returns what is still remembered of an endpoint.
func (d *Detector) recall(name id.Endpoint, now time.Duration) *record {
	r := d.endpoints[name]
	if r == nil {
		r = &record{updated: now, next: d.cfg.BaseSuspectTime}
		d.endpoints[name] = r
	}
	d.decay(r, now)
	return r
}

// judge makes an endpoint suspect after a failure if it is an outlier.
func (d *Detector) judge(name id.Endpoint, r *record, now time.Duration) time.Duration {
	if r.until <= now && d.outlier(name, r, now) && d.mayAdd(now) {
		r.until = now + r.next
		r.next = min(2*r.next, d.cfg.MaxSuspectTime)
		r.ok, r.failed = 0, 0
	}
	return r.until
}

// Retain drops what is known of endpoints that no longer exist.
func (d *Detector) Retain(exists func(id.Endpoint) bool) {
	for name := range d.endpoints {
		if !exists(name) {
			delete(d.endpoints, name)
		}
	}
}

func (d *Detector) decay(r *record, now time.Duration) {
	keep := max(0, 1-float64(now-r.updated)/float64(d.cfg.DecayTime))
	r.ok *= keep
	r.failed *= keep
	if r.until <= now && r.failed == 0 && r.ok > 0 {
		r.next = max(d.cfg.BaseSuspectTime, r.next/2)
	}
	r.updated = now
}

func (d *Detector) outlier(name id.Endpoint, r *record, now time.Duration) bool {
	if r.failed < d.cfg.MinFailures {
		return false
	}
	var ok, failed float64
	for other, o := range d.endpoints {
		if other != name {
			d.decay(o, now)
			ok += o.ok
			failed += o.failed
		}
	}
	usual := 0.0
	if ok+failed > 0 {
		usual = failed / (ok + failed)
	}
	return r.failed/(r.ok+r.failed) > usual+d.cfg.FailureRateMargin
}

func (d *Detector) mayAdd(now time.Duration) bool {
	suspect := 1
	for _, r := range d.endpoints {
		if r.until > now {
			suspect++
		}
	}
	return float64(suspect) <= d.cfg.MaxSuspectFraction*float64(max(len(d.endpoints), 3))
}
