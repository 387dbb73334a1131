package intake

import (
	"slices"
	"time"
)

// Dispatch starts and refuses what is due. The owner calls it after each change of
// loads and at an interval while requests wait.
func (n *Scheduler) Dispatch(now time.Duration) {
	n.refuseWaiting(now)
	if n.down {
		return
	}
	for len(n.waiting) > 0 && n.startOne(now) {
	}
}

// startOne starts the most urgent request for which there is a place. Requests
// that can be on time go before those that cannot.
func (n *Scheduler) startOne(now time.Duration) bool {
	if float64(n.running()) >= n.cfg.MaxUtilization*float64(n.slots()) && n.waiting[0].key != 0 {
		return false
	}
	for _, late := range []bool{false, true} {
		for i, t := range n.waiting {
			if n.late(&t.Request, now) != late {
				continue
			}
			e := n.place(&t.Request, now)
			if e == nil {
				continue
			}
			n.waiting = slices.Delete(n.waiting, i, i+1)
			n.start(e, &t.Request, now)
			if d := n.doubts[e.group]; d != nil {
				d.trial = now
			}
			n.decide(t, Decision{Endpoint: e.Name, Late: late}, now)
			return true
		}
	}
	return false
}

// late reports whether a request can no longer be on time.
func (n *Scheduler) late(r *Request, now time.Duration) bool {
	return !r.Resumed && now+n.first.mean > r.Target
}

// place returns the endpoint with a free place that costs the request the least,
// or nil.
func (n *Scheduler) place(r *Request, now time.Duration) *endpoint {
	var best *endpoint
	var least float64
	offset := 0
	if len(n.endpoints) > 0 {
		offset = n.rng.IntN(len(n.endpoints))
	}
	for i := range n.endpoints {
		e := n.endpoints[(i+offset)%len(n.endpoints)]
		if !e.Usable || e.blocked || n.doubted(e, now) || slices.Contains(r.Exclude, e.Name) {
			continue
		}
		running := e.own.Running + e.others.Running
		if running >= e.Slots+n.cfg.Overcommit {
			continue
		}
		if cost := n.cost(e, now); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// suspectCost ranks suspect endpoints behind all others.
const suspectCost = 1e6

func (n *Scheduler) cost(e *endpoint, now time.Duration) float64 {
	running := float64(e.own.Running + e.others.Running)
	prompt := float64(e.own.PromptTokens + e.others.PromptTokens)
	cost := (n.cfg.StepOverhead + running + 1 + prompt/n.cfg.PromptTokensPerRequest) * e.pace / float64(max(e.Slots, 1))
	if e.suspect > now {
		cost += suspectCost
	}
	return cost
}

// refuseAtOnce reports whether a new request is refused without waiting.
func (n *Scheduler) refuseAtOnce(t *Ticket, now time.Duration) (Decision, bool) {
	r := &t.Request
	if !n.anyUsable(r) {
		return Decision{Reason: NoEndpoint, RetryAfter: noEndpointRetry}, true
	}
	if now+n.first.mean/2 > r.Deadline {
		return Decision{Reason: TooLate}, true
	}
	limit := n.waitLimit(r, now)
	if n.down {
		if left := n.expectedOutage(now); left > limit {
			return Decision{Reason: GroupDown, RetryAfter: left}, true
		}
		return Decision{}, false
	}
	if wait := n.expectedWait(t, now); wait > limit {
		return Decision{Reason: Overload, RetryAfter: wait - limit}, true
	}
	return Decision{}, false
}

// noEndpointRetry is told to clients of a service without endpoints, which the
// platform replaces within about a second.
const noEndpointRetry = time.Second

func (n *Scheduler) anyUsable(r *Request) bool {
	for _, e := range n.endpoints {
		if e.Usable && !slices.Contains(r.Exclude, e.Name) {
			return true
		}
	}
	return false
}

// waitLimit returns the time for which a request may wait from now on.
func (n *Scheduler) waitLimit(r *Request, now time.Duration) time.Duration {
	limit := r.Deadline
	if r.FirstEventDeadline != 0 {
		limit = min(limit, r.FirstEventDeadline)
	}
	return limit - n.first.upper() - now
}

// expectedOutage returns the time for which the group is expected to stay down.
// Of an outage that lasts longer than usual nothing is known but that: what is
// expected grows with the time by which it is over.
func (n *Scheduler) expectedOutage(now time.Duration) time.Duration {
	left := n.outage - (now - n.downSince)
	return max(left, -left/overdueDivisor, minOutageLeft)
}

const (
	// minOutageLeft is expected of an outage that has just lasted longer than usual.
	minOutageLeft = 500 * time.Millisecond
	// overdueDivisor divides the time by which an outage is longer than usual.
	overdueDivisor = 2
)

// expectedWait returns the time until a new request is started, from the number
// of requests ahead of it and the rate of starts.
func (n *Scheduler) expectedWait(t *Ticket, now time.Duration) time.Duration {
	ahead := 0
	for _, w := range n.waiting {
		if w.key <= t.key && !n.late(&w.Request, now) {
			ahead++
		}
	}
	if ahead -= n.free(); ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / n.rate(now) * float64(time.Second))
}

// refuseWaiting refuses the requests that can no longer be served.
func (n *Scheduler) refuseWaiting(now time.Duration) {
	var out []*Ticket
	n.waiting = slices.DeleteFunc(n.waiting, func(t *Ticket) bool {
		if n.waitLimit(&t.Request, now) > 0 && n.anyUsable(&t.Request) {
			return false
		}
		out = append(out, t)
		return true
	})
	for _, t := range out {
		d := Decision{Reason: Overload, RetryAfter: n.expectedWait(t, now)}
		switch {
		case !n.anyUsable(&t.Request):
			d = Decision{Reason: NoEndpoint, RetryAfter: noEndpointRetry}
		case n.down:
			d = Decision{Reason: GroupDown, RetryAfter: n.expectedOutage(now)}
		case n.allDoubted():
			d = Decision{Reason: GroupDown, RetryAfter: minOutageLeft}
		}
		n.decide(t, d, now)
	}
}
