package intake

import (
	"maps"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// trialInterval is the time between the requests that an entry sends to a group
// in doubt: two arrive in the time in which a group usually forms anew.
const trialInterval = 300 * time.Millisecond

// doubt is kept of a group that refused a request because a rank is missing,
// although reports of its ranks may not say so yet.
type doubt struct {
	since, trial time.Duration
}

// SetGroup tells the group of an endpoint.
func (n *Scheduler) SetGroup(name id.Endpoint, group id.Group) {
	if e := n.byName[name]; e != nil && e.group != group {
		e.group = group
		n.forgetDoubts()
	}
}

// forgetDoubts drops the doubts about groups to which no endpoint belongs.
func (n *Scheduler) forgetDoubts() {
	maps.DeleteFunc(n.doubts, func(group id.Group, _ *doubt) bool {
		return !slices.ContainsFunc(n.endpoints, func(e *endpoint) bool { return e.group == group })
	})
}

// TripBreaker records that an endpoint refused a request because its group is down.
// Until something shows that the group is up, it gets a trial request at an
// interval and the others wait.
func (n *Scheduler) TripBreaker(name id.Endpoint, now time.Duration) {
	e := n.byName[name]
	if e == nil {
		return
	}
	d := n.doubts[e.group]
	if d == nil {
		d = &doubt{trial: now}
		n.doubts[e.group] = d
	}
	d.since = now
}

// OpenBreakers returns the number of groups in doubt.
func (n *Scheduler) OpenBreakers() int { return len(n.doubts) }

// GroupProgressed records that a group began a pass or formed anew.
func (n *Scheduler) GroupProgressed(group id.Group, at time.Duration) { n.alive(group, at) }

// alive ends the doubt about a group that was up at a time.
func (n *Scheduler) alive(group id.Group, at time.Duration) {
	if d := n.doubts[group]; d != nil && at > d.since {
		delete(n.doubts, group)
	}
}

// doubted reports whether an endpoint must not get a request now because of its
// group.
func (n *Scheduler) doubted(e *endpoint, now time.Duration) bool {
	d := n.doubts[e.group]
	return d != nil && now-d.trial < trialInterval
}

// allDoubted reports whether no endpoint is beyond doubt.
func (n *Scheduler) allDoubted() bool {
	for _, e := range n.endpoints {
		if e.Usable && !e.blocked && n.doubts[e.group] == nil {
			return false
		}
	}
	return len(n.doubts) > 0
}
