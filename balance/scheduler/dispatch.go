package scheduler

import (
	"slices"
	"time"
)

// Dispatch starts the requests for which there is capacity and refuses those that
// can no longer be served. The owner calls it after each change of loads and at an
// interval while requests wait.
func (s *Scheduler) Dispatch(now time.Duration) {
	s.updateOutage(now)
	s.refuseExpired(now)
	if s.groupsDown {
		return
	}
	if s.ranked {
		s.dispatchByRank(now)
		return
	}
	for len(s.waiting) > 0 && s.dispatchOne(now) {
	}
}

// start starts a request that is no longer in the queue.
func (s *Scheduler) start(item *Item, e *endpoint, late bool, now time.Duration) {
	if s.maxWait(&item.Request, now) <= 0 {
		s.lastTrial = now
	}
	s.recordStart(e, &item.Request, now)
	if open := s.breakers[e.group]; open != nil {
		open.lastTrial = now
	}
	s.decide(item, Decision{Endpoint: e.Name, Late: late}, now)
}

// dispatchOne starts the most urgent request for which there is capacity. Requests
// that can meet their target go before those that cannot.
func (s *Scheduler) dispatchOne(now time.Duration) bool {
	if s.freeSlots(now) <= 0 && s.waiting[0].sortKey != 0 {
		return false
	}
	for _, late := range []bool{false, true} {
		for i, item := range s.waiting {
			if s.isLate(&item.Request, now) != late {
				continue
			}
			e := s.leastCost(&item.Request, now)
			if e == nil {
				continue
			}
			s.waiting = slices.Delete(s.waiting, i, i+1)
			s.start(item, e, late, now)
			return true
		}
	}
	return false
}

// isLate reports whether a request can no longer meet its target.
func (s *Scheduler) isLate(r *Request, now time.Duration) bool {
	return !r.Resumed && now+s.firstEventLatency.at(now).mean > r.Target
}

// leastCost returns the endpoint of least cost among those with free capacity, or nil.
func (s *Scheduler) leastCost(r *Request, now time.Duration) *endpoint {
	var best *endpoint
	var least float64
	consider := func(e *endpoint) bool {
		if !e.accepts(now) || s.breakerBlocks(e, now) || s.zoneBlocks(e, now) || s.coldBlocks(e, now) || slices.Contains(r.Exclude, e.Name) {
			return false
		}
		if e.ownLoad.Running+e.peerLoad.Running >= s.limit(e, now) {
			return false
		}
		if cost := s.cost(e, now); best == nil || cost < least {
			best, least = e, cost
		}
		return true
	}
	if n := len(s.preferred); n > 0 {
		first := s.rng.IntN(n)
		for i := range n {
			consider(s.preferred[(first+i)%n])
		}
	}
	considered := 0
	for i := range s.others {
		j := i + s.rng.IntN(len(s.others)-i)
		s.others[i], s.others[j] = s.others[j], s.others[i]
		if consider(s.others[i]) {
			considered++
		}
		if considered == s.cfg.Choices && len(s.preferred) > 0 {
			break
		}
	}
	return best
}

// suspectCost exceeds the cost of any endpoint that is not suspect.
const suspectCost = 1e6

func (s *Scheduler) cost(e *endpoint, now time.Duration) float64 {
	running := float64(e.ownLoad.Running + e.peerLoad.Running)
	prompt := float64(e.ownLoad.PromptTokens + e.peerLoad.PromptTokens)
	requests := s.cfg.StepOverhead + running + 1 + prompt/s.cfg.PromptTokensPerRequest + s.coldCost(e, now)
	if !e.Preferred && len(s.preferred) > 0 {
		requests += s.cfg.Affinity
	}
	cost := requests * s.pace(e, now) / float64(max(e.Slots, 1))
	if e.suspectUntil > now {
		cost += suspectCost
	}
	return cost
}

// refuseOnArrival returns the refusal of a new request that is not queued, if any.
func (s *Scheduler) refuseOnArrival(item *Item, now time.Duration) (Decision, bool) {
	r := &item.Request
	if !s.anyUsable(r) {
		return Decision{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}, true
	}
	if now+s.firstEventLatency.at(now).mean/2 > r.Deadline && !s.trialDue(r, now) {
		return Decision{Reason: TooLate}, true
	}
	if s.zoneTrialDue(r, now) {
		return Decision{}, false
	}
	if d, ok := s.elsewhere(r); ok {
		return d, true
	}
	limit := s.maxWait(r, now)
	if s.down {
		if remaining := s.remainingOutage(now); remaining > limit {
			return Decision{Reason: GroupDown, RetryAfter: remaining}, true
		}
		return Decision{}, false
	}
	if wait := s.earliestStart(r, now) - now; wait > limit && wait > 0 {
		return Decision{Reason: Overload, RetryAfter: wait}, true
	}
	if wait := s.expectedWait(item, now); wait > limit && (wait > 0 || !s.trialDue(r, now)) {
		if !s.coldOnly(now) {
			wait -= limit
		}
		return Decision{Reason: Overload, RetryAfter: wait}, true
	}
	return Decision{}, false
}

// noEndpointRetryAfter is the retry time of a service without endpoints. The platform
// replaces them within about a second.
const noEndpointRetryAfter = time.Second

func (s *Scheduler) anyUsable(r *Request) bool {
	for _, e := range s.endpoints {
		if e.Usable && !slices.Contains(r.Exclude, e.Name) {
			return true
		}
	}
	return false
}

// maxWait returns the time for which a request may still wait in the queue.
func (s *Scheduler) maxWait(r *Request, now time.Duration) time.Duration {
	return r.lastStart() - s.firstEventLatency.at(now).upper() - now
}

// remainingOutage returns the time for which the groups are expected to stay down.
// Once an outage exceeds the estimate, its excess is the only evidence and the
// result grows with it.
func (s *Scheduler) remainingOutage(now time.Duration) time.Duration {
	remaining := s.outageEstimates[s.cause] - (now - s.downSince)
	return max(remaining, -remaining/overdueDivisor, minRemainingOutage)
}

const (
	// minRemainingOutage is the remaining time of an outage that reaches the estimate.
	minRemainingOutage = 500 * time.Millisecond
	// overdueDivisor divides the time by which an outage exceeds the estimate.
	overdueDivisor = 2
)

// expectedWait returns the time until a new request starts, from the number of
// requests ahead of it and the start rate.
func (s *Scheduler) expectedWait(item *Item, now time.Duration) time.Duration {
	if s.ranked {
		return s.expectedWaitByRank(item, now)
	}
	ahead := 0
	for _, w := range s.waiting {
		if w.sortKey <= item.sortKey && !s.isLate(&w.Request, now) {
			ahead++
		}
	}
	if wait, ok := s.coldWait(ahead+1, now); ok {
		return wait
	}
	if ahead -= s.freeCapacity(now); ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / s.startRate(now) * float64(time.Second))
}

// refuseExpired refuses the requests that can no longer be served.
func (s *Scheduler) refuseExpired(now time.Duration) {
	var out []*Item
	s.waiting = slices.DeleteFunc(s.waiting, func(item *Item) bool {
		if _, ok := s.elsewhere(&item.Request); ok {
			out = append(out, item)
			return true
		}
		if s.anyUsable(&item.Request) && (s.maxWait(&item.Request, now) > 0 || s.trialDue(&item.Request, now)) {
			return false
		}
		out = append(out, item)
		return true
	})
	for _, item := range out {
		d := Decision{Reason: Overload, RetryAfter: max(s.expectedWait(item, now), s.earliestStart(&item.Request, now)-now)}
		switch {
		case !s.anyUsable(&item.Request):
			d = Decision{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
		case s.down:
			if e, ok := s.elsewhere(&item.Request); ok {
				d = e
				break
			}
			d = Decision{Reason: GroupDown, RetryAfter: s.remainingOutage(now)}
		case s.allBreakersOpen():
			d = Decision{Reason: GroupDown, RetryAfter: minRemainingOutage}
		}
		s.decide(item, d, now)
	}
}
