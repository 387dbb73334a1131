package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

const (
	// historyBucketTime is the time that one bucket of the dispatch history covers.
	historyBucketTime = 20 * time.Millisecond
	// historyBuckets is the number of buckets; older reports are corrected by all of them.
	historyBuckets = 64
	// errorWeight is the weight of an observation in the average prediction error.
	errorWeight = 0.25
	// failurePenalty is added to the prediction error for each failure.
	failurePenalty = time.Second
	// maxFailurePenalty bounds the prediction error after a failure.
	maxFailurePenalty = 8 * time.Second
	// overdueIntervals is the number of report intervals after which a report is overdue.
	overdueIntervals = 3
)

// load is the last report of an endpoint. It is immutable.
type load struct {
	incarnation id.Incarnation
	seq         uint64
	draining    bool
	healthy     bool
	requests    int64 // queued and running
	tokens      int64 // queued and running
	slots       int64
	stepTime    time.Duration
	measured    time.Duration // when the load was measured, on the table's clock
	received    time.Duration // when the report arrived
	interval    time.Duration // average time between reports, zero after the first
}

// bucket counts the entry's own starts minus ends in one interval of time.
type bucket struct {
	index  int64
	count  int32
	tokens int64
}

// state is the observed state of an endpoint. It outlives changes of the endpoint's
// configuration. Pick reads only the atomic fields.
type state struct {
	load atomic.Pointer[load]
	// netCount and netTokens are own starts minus ends since the load was measured.
	netCount  atomic.Int64
	netTokens atomic.Int64
	// openCount and openTokens are own requests in flight.
	openCount  atomic.Int64
	openTokens atomic.Int64
	// errorNanos is the average of observed minus predicted time to first token,
	// errorAt the time of the last observation.
	errorNanos atomic.Int64
	errorAt    atomic.Int64
	// inReadySet is true while the view has the endpoint as ready. Table.mu guards writes.
	inReadySet atomic.Bool

	// mu guards the fields below and all writes of the fields above. Lock order:
	// Table.mu before state.mu.
	mu                  sync.Mutex
	previousIncarnation id.Incarnation
	history             [historyBuckets]bucket
	zone                *zoneLoad
	inZoneSums          bool
	removed             bool          // no longer configured
	wait                time.Duration // in the zone's sum while inZoneSums
	peerRequests        int64         // in the zone's sum while inZoneSums
}

// applyReport stores a report unless it is older than the last one.
func (s *state) applyReport(l *load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.load.Load()
	if l.incarnation == s.previousIncarnation && s.previousIncarnation != "" {
		return false
	}
	if old != nil && old.incarnation == l.incarnation && l.seq <= old.seq {
		return false
	}
	if old != nil && old.incarnation != l.incarnation {
		s.previousIncarnation = old.incarnation
		s.reset()
	}
	if old != nil && old.incarnation == l.incarnation {
		l.interval = averageInterval(old, l.received)
	}
	count, tokens := s.dispatchedSince(l.measured)
	s.netCount.Store(count)
	s.netTokens.Store(tokens)
	s.load.Store(l)
	return true
}

// addFailurePenalty adds the penalty of a failure to the prediction error.
func (s *state) addFailurePenalty(inc id.Incarnation, now time.Duration) {
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

// averageInterval returns the moving average of the time between reports.
func averageInterval(old *load, received time.Duration) time.Duration {
	gap := received - old.received
	if old.interval == 0 {
		return gap
	}
	return old.interval + (gap-old.interval)/4
}

// overdue returns for how long the next report has been overdue.
func (l *load) overdue(now time.Duration) time.Duration {
	if l.interval == 0 {
		return 0
	}
	return max(now-l.received-overdueIntervals*l.interval, 0)
}

// reset drops the state of an earlier incarnation.
func (s *state) reset() {
	s.history = [historyBuckets]bucket{}
	s.openCount.Store(0)
	s.openTokens.Store(0)
	s.errorNanos.Store(0)
}

// dispatchedSince sums the dispatch history after the measurement of a load.
func (s *state) dispatchedSince(measured time.Duration) (count, tokens int64) {
	first := int64(measured / historyBucketTime)
	for i := range s.history {
		b := &s.history[i]
		if b.index > first {
			count += int64(b.count)
			tokens += b.tokens
		}
	}
	return count, tokens
}

// recordDispatch records a start (count 1) or an end (count -1) at an incarnation.
func (s *state) recordDispatch(inc id.Incarnation, count int32, tokens int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load.Load()
	if l == nil || l.incarnation != inc {
		return
	}
	index := int64(now / historyBucketTime)
	b := &s.history[uint64(index)%historyBuckets]
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

// observeError adds the error of a prediction to the average.
func (s *state) observeError(inc id.Incarnation, miss, now time.Duration) {
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

// updateZoneSums adds a ready endpoint to the sums of its zone and removes any other.
// It calls evaluate with the state locked.
func (s *state) updateZoneSums(zone *zoneLoad, evaluate func() (ready bool, wait time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveZoneSums()
	ready, wait := evaluate()
	if !ready || s.removed {
		return
	}
	s.zone, s.inZoneSums, s.wait = zone, true, wait
	s.peerRequests = max(s.load.Load().requests+s.netCount.Load()-s.openCount.Load(), 0)
	zone.add(1, s.wait, s.peerRequests)
}

// leaveZoneSums removes the endpoint from the sums of its zone.
func (s *state) leaveZoneSums() {
	if s.inZoneSums {
		s.zone.add(-1, -s.wait, -s.peerRequests)
	}
	s.inZoneSums = false
}

// remove permanently removes an endpoint that is no longer configured from the sums.
func (s *state) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveZoneSums()
	s.removed = true
	s.inReadySet.Store(false)
}

// zoneLoad sums the predicted waits of a zone's ready endpoints for one service.
type zoneLoad struct {
	ready     atomic.Int64
	waitNanos atomic.Int64
	// peerRequests is the sum of the requests of other entries.
	peerRequests atomic.Int64
	// summary is the last summary of the zone from another entry, or nil.
	summary atomic.Pointer[zoneSummary]
	// picks counts the picks of the baseline policies, to rotate.
	picks atomic.Uint64
}

// zoneSummary is a ZoneSummary with its time on the table's clock.
type zoneSummary struct {
	wait     time.Duration
	computed time.Duration
}

func (z *zoneLoad) add(count int64, wait time.Duration, peerRequests int64) {
	z.ready.Add(count)
	z.waitNanos.Add(int64(wait))
	z.peerRequests.Add(peerRequests)
}

// meanPeerRequests returns the average number of other entries' requests at an endpoint.
func (z *zoneLoad) meanPeerRequests() float64 {
	n := z.ready.Load()
	if n <= 0 {
		return 0
	}
	return float64(z.peerRequests.Load()) / float64(n)
}

// meanWait returns the average wait, preferring a fresh summary to own reports.
func (z *zoneLoad) meanWait(now, maxAge time.Duration) time.Duration {
	if s := z.summary.Load(); s != nil && now-s.computed <= maxAge {
		return s.wait
	}
	n := z.ready.Load()
	if n <= 0 {
		return 0
	}
	return time.Duration(z.waitNanos.Load() / n)
}
