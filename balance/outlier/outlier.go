// Package outlier detects endpoints that pass health checks although their requests
// fail much more often than those of the other endpoints of their service.
//
// An outlier is suspect for a time that doubles with each repetition. At most a
// fraction of the endpoints is suspect at once, so that the rest is not overloaded.
package outlier

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the settings of a Detector. Zero values select the defaults.
type Config struct {
	// DecayTime is the time constant of the decay of outcome counts. Default: 4 s.
	DecayTime time.Duration
	// MinFailures is the least decayed number of failures of an outlier. Default: 2.5.
	MinFailures float64
	// FailureRateMargin is the excess over the failure rate of the other endpoints
	// above which an endpoint is an outlier. Default: 0.25.
	FailureRateMargin float64
	// BaseSuspectTime is the time for which a first-time outlier is suspect. Default: 1 s.
	BaseSuspectTime time.Duration
	// MaxSuspectTime bounds the doubled suspect time. Default: 8 s.
	MaxSuspectTime time.Duration
	// MaxSuspectFraction bounds the fraction of endpoints that are suspect. Default: 0.34.
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

// Detector finds the outliers of one service. It is not safe for concurrent use.
// Times are durations since an arbitrary fixed origin.
type Detector struct {
	cfg       Config
	endpoints map[id.Endpoint]*record
}

type record struct {
	ok, failed   float64
	updated      time.Duration
	suspectUntil time.Duration
	suspectTime  time.Duration
}

// New returns a detector without recorded outcomes.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), endpoints: make(map[id.Endpoint]*record)}
}

// Record counts the outcome of a request. It returns the time until which the
// endpoint is suspect, which may have passed, or zero if it never was.
func (d *Detector) Record(name id.Endpoint, ok bool, now time.Duration) time.Duration {
	r := d.recordOf(name, now)
	if ok {
		r.ok++
		return r.suspectUntil
	}
	r.failed++
	return d.evaluate(name, r, now)
}

// RecordHang counts a request that timed out without a response while other
// endpoints of the service responded. It counts as MinFailures failures, because
// each further request would wait as long. The result is that of Record.
func (d *Detector) RecordHang(name id.Endpoint, now time.Duration) time.Duration {
	r := d.recordOf(name, now)
	r.failed += d.cfg.MinFailures
	return d.evaluate(name, r, now)
}

// recordOf returns the decayed counts of an endpoint.
func (d *Detector) recordOf(name id.Endpoint, now time.Duration) *record {
	r := d.endpoints[name]
	if r == nil {
		r = &record{updated: now, suspectTime: d.cfg.BaseSuspectTime}
		d.endpoints[name] = r
	}
	d.decay(r, now)
	return r
}

// evaluate marks an endpoint as suspect after a failure if it is an outlier.
func (d *Detector) evaluate(name id.Endpoint, r *record, now time.Duration) time.Duration {
	if r.suspectUntil <= now && d.isOutlier(name, r, now) && d.belowSuspectLimit(now) {
		r.suspectUntil = now + r.suspectTime
		r.suspectTime = min(2*r.suspectTime, d.cfg.MaxSuspectTime)
		r.ok, r.failed = 0, 0
	}
	return r.suspectUntil
}

// Retain drops the records of endpoints that no longer exist.
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
	if r.suspectUntil <= now && r.failed == 0 && r.ok > 0 {
		r.suspectTime = max(d.cfg.BaseSuspectTime, r.suspectTime/2)
	}
	r.updated = now
}

func (d *Detector) isOutlier(name id.Endpoint, r *record, now time.Duration) bool {
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
	baseline := 0.0
	if ok+failed > 0 {
		baseline = failed / (ok + failed)
	}
	return r.failed/(r.ok+r.failed) > baseline+d.cfg.FailureRateMargin
}

func (d *Detector) belowSuspectLimit(now time.Duration) bool {
	suspect := 1
	for _, r := range d.endpoints {
		if r.suspectUntil > now {
			suspect++
		}
	}
	return float64(suspect) <= d.cfg.MaxSuspectFraction*float64(max(len(d.endpoints), 3))
}
