package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/faults"
)

// exchange is one request with what the client got.
type exchange struct {
	Request
	Entry    int
	At, Done time.Time
	Reply    Reply
	// Left is when the client went away on its own account, zero if it did not.
	Left time.Time
}

// span is a time in which something was not as usual. Its end is zero while it lasts.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// acked is a generation of the configuration with the time of its acknowledgement.
type acked struct {
	generation int
	sent, at   time.Time
}

// record holds what clients and back ends saw and what was done to them. It is
// safe for concurrent use.
type record struct {
	mu        sync.Mutex // leaf lock
	exchanges []*exchange
	byID      map[id.Request]*exchange
	arrivals  map[id.Request][]arrival
	// troubled holds the times in which a host, its process or one of its links was
	// struck.
	troubled map[Host][]span
	// stopping holds the planned stops of entries.
	stopping map[int][]span
	acks     []acked
	leaving  map[id.Endpoint]time.Time
	// started holds the starts of entries' processes.
	started map[int][]time.Time
	broken  []Violation
}

// arrival is a request at a back end, from an entry.
type arrival struct {
	faults.Arrival
	entry int
}

// Violation is a promise that was seen broken.
type Violation struct {
	Promise string
	At      time.Time
	Request id.Request
	Detail  string
}

func newRecord() *record {
	return &record{
		byID: make(map[id.Request]*exchange), arrivals: make(map[id.Request][]arrival), troubled: make(map[Host][]span),
		stopping: make(map[int][]span), leaving: make(map[id.Endpoint]time.Time), started: make(map[int][]time.Time),
	}
}

func (r *record) send(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, x)
	r.byID[x.ID] = x
}

func (r *record) arrive(a faults.Arrival, entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[a.Request] = append(r.arrivals[a.Request], arrival{a, entry})
}

// trouble notes that hosts are struck until the returned function is called.
func (r *record) trouble(hosts ...Host) (end func()) {
	from := time.Now()
	index := make(map[Host]int, len(hosts))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		index[h] = len(r.troubled[h])
		r.troubled[h] = append(r.troubled[h], span{from: from})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for h, i := range index {
			r.troubled[h][i].to = time.Now()
		}
	}
}

// calm reports whether none of the hosts was struck or stopped between two times,
// nor so shortly before that the product may not have coped with it yet. The caller
// holds mu.
func (r *record) calm(from, to time.Time, hosts ...Host) bool {
	for _, h := range hosts {
		if h.Kind == Entry && overlap(r.stopping[h.Index], from.Add(-settle), to) {
			return false
		}
	}
	return r.unstruck(from, to, hosts...)
}

// unstruck is calm but for planned stops. The caller holds mu.
func (r *record) unstruck(from, to time.Time, hosts ...Host) bool {
	for _, h := range hosts {
		if overlap(r.troubled[h], from.Add(-settle), to) {
			return false
		}
	}
	return true
}

// undisturbed reports whether a host was not struck between two times.
func (r *record) undisturbed(from, to time.Time, h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unstruck(from, to, h)
}

func overlap(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.overlaps(from, to) })
}

// stop notes that an entry was asked to end until the returned function is called.
func (r *record) stop(entry int) (end func()) {
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

// leave notes that the platform acknowledged that an endpoint leaves.
func (r *record) leave(e id.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[e] = time.Now()
}

func (r *record) start(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[entry] = append(r.started[entry], time.Now())
}

// accepted notes that the platform acknowledged a generation that was sent at a time.
func (r *record) accepted(generation int, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, acked{generation, sent, time.Now()})
}

// done notes what a client got.
func (r *record) done(x *exchange, reply Reply, left time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.Reply, x.Left, x.Done = reply, left, time.Now()
}

func (r *record) violate(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report(v)
}

// report notes a violation. The caller holds mu.
func (r *record) report(v Violation) {
	if v.At.IsZero() {
		v.At = time.Now()
	}
	for _, b := range r.broken {
		if b.Promise == v.Promise && b.Request == v.Request {
			return
		}
	}
	r.broken = append(r.broken, v)
}

// Broken returns the promises that were seen broken, in order of time.
func (r *record) violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.broken)
	slices.SortStableFunc(out, func(a, b Violation) int { return a.At.Compare(b.At) })
	return out
}
