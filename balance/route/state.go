package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

const (
	// historyWidth is the time that one bucket of the dispatch history covers.
	historyWidth = 20 * time.Millisecond
	// historyLen is the number of buckets; older reports are corrected by all of them.
	historyLen = 64
	// errorWeight is the weight of a new observation in the average prediction error.
	errorWeight = 0.25
	// failurePenalty is added to the prediction error for each failure.
	failurePenalty = time.Second
	// maxFailurePenalty bounds the prediction error that failures cause.
	maxFailurePenalty = 8 * time.Second
	// overdueIntervals is the number of report intervals after which an endpoint counts as silent.
	overdueIntervals = 3
)

// load is the last report of an endpoint. It is immutable.
type load struct {
	incarnation id.Incarnation
	seq         uint64
	draining    bool
	healthy     bool
	count       int64 // queued and running
	tokens      int64 // queued and running
	slots       int64
	step        time.Duration
	taken       time.Duration // when the load was taken, on the table's clock
	received    time.Duration // when the report arrived
	interval    time.Duration // average time between reports, zero after the first
}

// bucket sums the entry's own starts less its ends in one interval of time.
type bucket struct {
	index  int64
	count  int32
	tokens int64
}

// state is what an entry learned about an endpoint. It outlives changes of the
// endpoint's configuration. Pick reads only the atomic fields.
type state struct {
	load atomic.Pointer[load]
	// netCount and netTokens are own starts less own ends since the load was taken.
	netCount  atomic.Int64
	netTokens atomic.Int64
	// openCount and openTokens are own requests in flight.
	openCount  atomic.Int64
	openTokens atomic.Int64
	// errorNanos is the average of observed less predicted time to first token,
	// errorAt the time of the last observation.
	errorNanos atomic.Int64
	errorAt    atomic.Int64
	// listed is true while the view lists the endpoint as ready. Guarded by Table.mu for writes.
	listed atomic.Bool

	// mu guards the fields below and all writes of the fields above. It is taken
	// after Table.mu, never before it.
	mu       sync.Mutex
	previous id.Incarnation
	history  [historyLen]bucket
	zone     *zoneLoad
	counted  bool
	removed  bool          // no longer configured
	wait     time.Duration // part of the zone's sum while counted
	others   int64         // part of the zone's sum while counted
}

// setLoad records a report and tells whether it was newer than the last one.
func (s *state) setLoad(l *load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.load.Load()
	if l.incarnation == s.previous && s.previous != "" {
		return false
	}
	if old != nil && old.incarnation == l.incarnation && l.seq <= old.seq {
		return false
	}
	if old != nil && old.incarnation != l.incarnation {
		s.previous = old.incarnation
		s.reset()
	}
	if old != nil && old.incarnation == l.incarnation {
		l.interval = averageInterval(old, l.received)
	}
	count, tokens := s.since(l.taken)
	s.netCount.Store(count)
	s.netTokens.Store(tokens)
	s.load.Store(l)
	return true
}

// fail adds a penalty to the error of predictions.
func (s *state) fail(inc id.Incarnation, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load.Load()
	if l == nil || l.incarnation != inc {
		return
	}
	miss := max(s.errorNanos.Load(), 0) + int64(failurePenalty)
	s.errorNanos.Store(min(miss, int64(maxFailurePenalty)))
	s.errorAt.Store(int64(now))
}

// averageInterval averages the time between reports over the last few.
func averageInterval(old *load, received time.Duration) time.Duration {
	gap := received - old.received
	if old.interval == 0 {
		return gap
	}
	return old.interval + (gap-old.interval)/4
}

// overdue returns how much longer than usual an endpoint has been silent.
func (l *load) overdue(now time.Duration) time.Duration {
	if l.interval == 0 {
		return 0
	}
	return max(now-l.received-overdueIntervals*l.interval, 0)
}

// reset forgets what belongs to an earlier incarnation.
func (s *state) reset() {
	s.history = [historyLen]bucket{}
	s.openCount.Store(0)
	s.openTokens.Store(0)
	s.errorNanos.Store(0)
}

// since sums the history after a point in time.
func (s *state) since(taken time.Duration) (count, tokens int64) {
	first := int64(taken / historyWidth)
	for i := range s.history {
		b := &s.history[i]
		if b.index > first {
			count += int64(b.count)
			tokens += b.tokens
		}
	}
	return count, tokens
}

// add records own starts (count 1) and ends (count -1) of an incarnation.
func (s *state) add(inc id.Incarnation, count int32, tokens int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load.Load()
	if l == nil || l.incarnation != inc {
		return
	}
	index := int64(now / historyWidth)
	b := &s.history[uint64(index)%historyLen]
	if b.index != index {
		*b = bucket{index: index}
	}
	b.count += count
	b.tokens += tokens
	s.netCount.Add(int64(count))
	s.netTokens.Add(tokens)
	s.openCount.Add(int64(count))
	s.openTokens.Add(tokens)
}

// observe averages the error of a prediction.
func (s *state) observe(inc id.Incarnation, miss, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load.Load()
	if l == nil || l.incarnation != inc {
		return
	}
	old := float64(s.errorNanos.Load())
	s.errorNanos.Store(int64(old + errorWeight*(float64(miss)-old)))
	s.errorAt.Store(int64(now))
}

// settle adds the endpoint to its zone's sums if it is ready, or takes it out.
// The callback is called with the state locked.
func (s *state) settle(zone *zoneLoad, evaluate func() (ready bool, wait time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncount()
	ready, wait := evaluate()
	if !ready || s.removed {
		return
	}
	s.zone, s.counted, s.wait = zone, true, wait
	s.others = max(s.load.Load().count+s.netCount.Load()-s.openCount.Load(), 0)
	zone.add(1, s.wait, s.others)
}

// uncount takes the endpoint out of its zone's sums.
func (s *state) uncount() {
	if s.counted {
		s.zone.add(-1, -s.wait, -s.others)
	}
	s.counted = false
}

// remove takes an endpoint that is no longer configured out of its zone's sums for good.
func (s *state) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncount()
	s.removed = true
	s.listed.Store(false)
}

// zoneLoad sums the predicted waits of a zone's ready endpoints for one service.
type zoneLoad struct {
	ready atomic.Int64
	nanos atomic.Int64
	// others sums the requests of other entries.
	others atomic.Int64
	// summary is set while another entry reports the zone.
	summary atomic.Pointer[zoneSummary]
	// next counts the picks of the round robin policy.
	next atomic.Uint64
}

// zoneSummary is a ZoneSummary with the time it was taken on the table's clock.
type zoneSummary struct {
	wait  time.Duration
	taken time.Duration
}

func (z *zoneLoad) add(count int64, wait time.Duration, others int64) {
	z.ready.Add(count)
	z.nanos.Add(int64(wait))
	z.others.Add(others)
}

// meanOthers returns the average number of other entries' requests at an endpoint.
func (z *zoneLoad) meanOthers() float64 {
	n := z.ready.Load()
	if n <= 0 {
		return 0
	}
	return float64(z.others.Load()) / float64(n)
}

// mean returns the average wait, from a fresh summary before own reports.
func (z *zoneLoad) mean(now, maxAge time.Duration) time.Duration {
	if s := z.summary.Load(); s != nil && now-s.taken <= maxAge {
		return s.wait
	}
	n := z.ready.Load()
	if n <= 0 {
		return 0
	}
	return time.Duration(z.nanos.Load() / n)
}
