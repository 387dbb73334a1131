package scheduler

import "time"

const (
	// congestionDelay is the time for which requests must wait without a break until the service counts as congested.
	// Shorter queues come from bursts, which the queue absorbs.
	congestionDelay = 500 * time.Millisecond
	// minCongestionRetry and maxCongestionRetry bound the retry time during a congestion. Clients follow retry times up to
	// a third of their deadline.
	minCongestionRetry = 300 * time.Millisecond
	maxCongestionRetry = 2500 * time.Millisecond
)

// congestion is a queue that does not drain. While it lasts, a long queue makes all requests late and serves
// none more: requests that cannot start by their target are refused, instead of those that cannot start by their deadline.
type congestion struct {
	// since is when the queue was last empty, meaningful while waiting is true.
	since   time.Duration
	waiting bool
}

// update takes the length of the queue.
func (c *congestion) update(waiting int, now time.Duration) {
	if waiting == 0 {
		c.waiting = false
		return
	}
	if !c.waiting {
		c.since, c.waiting = now, true
	}
}

// age returns how long the service has been congested, zero if it is not.
func (c *congestion) age(now time.Duration) time.Duration {
	if !c.waiting || now-c.since < congestionDelay {
		return 0
	}
	return now - c.since
}

// SetShortQueue sets whether a congestion shortens the queue.
func (s *Scheduler) SetShortQueue(on bool) { s.shortQueue = on }

// congested returns how long the service has been congested, zero if it is not or if the queue is not shortened.
func (s *Scheduler) congested(now time.Duration) time.Duration {
	if !s.shortQueue || s.down || len(s.breakers) > 0 {
		return 0
	}
	return s.congestion.age(now)
}

// queueLimit returns the time for which a request may wait: until its deadline, or during a congestion until its target.
func (s *Scheduler) queueLimit(r *Request, now time.Duration) time.Duration {
	limit := s.maxWait(r, now)
	if s.congested(now) == 0 || r.Resumed {
		return limit
	}
	return min(limit, max(r.Target-s.firstEventLatency.at(now).mean-now, 0))
}

// congestionRetry returns the retry time during a congestion: once it lasts, its age is the best estimate of the rest.
func (s *Scheduler) congestionRetry(now time.Duration) time.Duration {
	age := s.congested(now)
	if age == 0 {
		return 0
	}
	return min(max(age, minCongestionRetry), maxCongestionRetry)
}

// refuseCongested reports whether a request that waits is refused because it is late while others can be on time.
func (s *Scheduler) refuseCongested(r *Request, now time.Duration) bool {
	return s.congested(now) > 0 && !r.Resumed && s.isLate(r, now) && s.freeSlots() <= 0
}
