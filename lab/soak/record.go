package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/faults"
)

// exchange is a request with the client's reply.
type exchange struct {
	Request
	Entry      int
	Start, End time.Time
	Reply      Reply
	// AbortedAt is when the client canceled the request, zero if it did not.
	AbortedAt time.Time
}

// span is a time interval. Its end is zero while it is open.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// acknowledgement is an acknowledged generation of the configuration.
type acknowledgement struct {
	generation int
	sent, at   time.Time
}

// record holds what clients and back ends observed, and the faults and stops injected.
// It is safe for concurrent use.
type record struct {
	mu        sync.Mutex // leaf lock
	exchanges []*exchange
	byID      map[id.Request]*exchange
	arrivals  map[id.Request][]arrival
	// faultSpans holds the spans in which a host, its process or one of its links had a
	// fault.
	faultSpans map[Host][]span
	// stopping holds the spans of graceful stops by entry.
	stopping map[int][]span
	acks     []acknowledgement
	leaving  map[id.Endpoint]time.Time
	// starts holds the start times of processes by entry.
	starts     map[int][]time.Time
	violations []Violation
}

// arrival is a request received by a back end, with the entry that sent it.
type arrival struct {
	faults.Arrival
	entry int
}

// Violation is an observed breach of a promise.
type Violation struct {
	Promise string
	At      time.Time
	Request id.Request
	Detail  string
}

func newRecord() *record {
	return &record{
		byID: make(map[id.Request]*exchange), arrivals: make(map[id.Request][]arrival), faultSpans: make(map[Host][]span),
		stopping: make(map[int][]span), leaving: make(map[id.Endpoint]time.Time), starts: make(map[int][]time.Time),
	}
}

func (r *record) addExchange(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, x)
	r.byID[x.ID] = x
}

func (r *record) addArrival(a faults.Arrival, entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[a.Request] = append(r.arrivals[a.Request], arrival{a, entry})
}

// markFaulty records a fault of hosts that lasts until the returned function is called.
func (r *record) markFaulty(hosts ...Host) (end func()) {
	from := time.Now()
	index := make(map[Host]int, len(hosts))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		index[h] = len(r.faultSpans[h])
		r.faultSpans[h] = append(r.faultSpans[h], span{from: from})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for h, i := range index {
			r.faultSpans[h][i].to = time.Now()
		}
	}
}

// undisturbed reports whether none of the hosts had a fault or a graceful stop between
// two times or within settleTime before, in which the product may still recover. The
// caller holds mu.
func (r *record) undisturbed(from, to time.Time, hosts ...Host) bool {
	for _, h := range hosts {
		if h.Kind == Entry && overlap(r.stopping[h.Index], from.Add(-settleTime), to) {
			return false
		}
	}
	return r.faultFree(from, to, hosts...)
}

// faultFree is undisturbed without regard to graceful stops. The caller holds mu.
func (r *record) faultFree(from, to time.Time, hosts ...Host) bool {
	for _, h := range hosts {
		if overlap(r.faultSpans[h], from.Add(-settleTime), to) {
			return false
		}
	}
	return true
}

// faultFreeLocking is faultFree for callers that do not hold mu.
func (r *record) faultFreeLocking(from, to time.Time, h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultFree(from, to, h)
}

func overlap(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.overlaps(from, to) })
}

// markStopping records a graceful stop of an entry that lasts until the returned function is called.
func (r *record) markStopping(entry int) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.stopping[entry])
	r.stopping[entry] = append(r.stopping[entry], span{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.stopping[entry][i].to = time.Now()
	}
}

// markLeaving records that the platform acknowledged that an endpoint is leaving.
func (r *record) markLeaving(e id.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[e] = time.Now()
}

func (r *record) addStart(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[entry] = append(r.starts[entry], time.Now())
}

// addAck records the platform's acknowledgement of a generation that was sent at a time.
func (r *record) addAck(generation int, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, acknowledgement{generation, sent, time.Now()})
}

// finish records the client's reply.
func (r *record) finish(x *exchange, reply Reply, left time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.Reply, x.AbortedAt, x.End = reply, left, time.Now()
}

func (r *record) addViolation(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(v)
}

// addViolationLocked records a violation once per promise and request. The caller holds mu.
func (r *record) addViolationLocked(v Violation) {
	if v.At.IsZero() {
		v.At = time.Now()
	}
	for _, b := range r.violations {
		if b.Promise == v.Promise && b.Request == v.Request {
			return
		}
	}
	r.violations = append(r.violations, v)
}

// sortedViolations returns the violations in order of time.
func (r *record) sortedViolations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.violations)
	slices.SortStableFunc(out, func(a, b Violation) int { return a.At.Compare(b.At) })
	return out
}
