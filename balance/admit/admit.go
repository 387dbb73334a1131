// Package admit decides at the entry whether a request is accepted.
//
// A request that cannot meet its deadline is refused at once, with the time
// after which a new try may succeed. While requests wait, capacity is divided
// between teams in proportion to their weights, measured in tokens; a share that
// its team does not use is lent to the others. A Controller serves one service.
package admit

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

const (
	// minRetryAfter bounds the retry time of a refusal from below.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the retry time of a refusal from above.
	maxRetryAfter = time.Minute
	// meanWeight and deviationWeight are the weights of a new prediction error
	// in the averages of the error and of its deviation.
	meanWeight      = 0.125
	deviationWeight = 0.25
	// errorMemory is the time constant at which the margin for errors fades.
	errorMemory = 2 * time.Second
	// minAcceptedPart is the part of the offered tokens that counts as accepted at
	// least. Without it a controller that accepts little would accept ever less.
	minAcceptedPart = 0.25
	// maxPressure bounds the pressure of one request.
	maxPressure = 2
	// maxMarginPart bounds the margin for errors relative to the time that remains.
	maxMarginPart = 0.5
)

// Config holds the settings of a Controller. Zero values select the defaults.
type Config struct {
	// ContentionThreshold is the predicted time to first token, relative to the time that
	// remains, above which teams are held to their shares. Default: 0.2. Range: 0 to 0.4.
	ContentionThreshold float64
	// UsageTimeConstant is the time constant of the teams' usage. A team without a request for
	// that long is idle. Unit: duration. Default: 10 s.
	UsageTimeConstant time.Duration
	// DefaultTimeout stands in for the deadline of requests without one.
	// Unit: duration. Default: 10 s.
	DefaultTimeout time.Duration
	// Rand returns uniform numbers in [0, 1) and is safe for concurrent use.
	// Default: the runtime's generator.
	Rand func() float64
}

func (c Config) withDefaults() Config {
	if c.ContentionThreshold <= 0 || c.ContentionThreshold > targetPressure {
		c.ContentionThreshold = 0.2
	}
	if c.UsageTimeConstant <= 0 {
		c.UsageTimeConstant = 10 * time.Second
	}
	if c.DefaultTimeout <= 0 {
		c.DefaultTimeout = 10 * time.Second
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	return c
}

// Team is one customer with its share.
type Team struct {
	Name id.Team
	// Weight is relative to the other teams' weights.
	Weight float64
}

// Request describes the request to accept.
type Request struct {
	Team id.Team
	// Tokens is the predicted work.
	Tokens float64
	// Expected is the predicted time to first token, from the routing table.
	Expected time.Duration
	// Deadline for the first token. Zero selects Config.MaxWait from now.
	Deadline time.Time
	Now      time.Time
}

// Reason tells why a request was refused.
type Reason string

const (
	// ReasonDeadline refuses a request that cannot meet its deadline.
	ReasonDeadline Reason = "deadline cannot be met"
	// ReasonOverShare refuses a request of a team beyond its share while others wait.
	ReasonOverShare Reason = "team is beyond its share"
)

// RefusedError reports that a request was not accepted and did not run.
type RefusedError struct {
	Team   id.Team
	Reason Reason
	// Predicted is the time to first token that the request would have had.
	Predicted time.Duration
	// RetryAfter is the time after which a new try may succeed.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request of team %q refused: %s: predicted time to first token %s, retry after %s",
		e.Team, e.Reason, e.Predicted, e.RetryAfter)
}

// Controller accepts or refuses requests. It is safe for concurrent use. The
// cost of a decision does not depend on the number of teams.
type Controller struct {
	cfg Config

	mu    sync.Mutex
	teams map[id.Team]*usage
	other *usage // shared by teams that are not configured
	// offered sums the tokens of all requests, accepted those of accepted ones.
	offered  decaying
	accepted decaying
	// active lists the usages with a recent request, the most recent last.
	active       list.List
	activeWeight float64
	err          errorMargin
	pressure     pressure
}

// usage is what one team asked for.
type usage struct {
	weight  float64
	offered decaying // tokens of all requests
	seen    time.Time
	active  *list.Element // nil if there is no recent request
}

// decaying is a sum that decays exponentially with time.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time, memory time.Duration) float64 {
	if age := now.Sub(d.at); age > 0 {
		d.sum *= math.Exp(-float64(age) / float64(memory))
		d.at = now
	}
	return d.sum
}

// add adds to the sum, which stays at zero or above.
func (d *decaying) add(x float64, now time.Time, memory time.Duration) {
	d.sum = max(d.value(now, memory)+x, 0)
}

// New returns a controller without teams.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:      cfg.withDefaults(),
		teams:    map[id.Team]*usage{},
		other:    &usage{weight: 1},
		pressure: pressure{level: 1},
	}
}

// SetTeams replaces the teams. Usage of teams that remain is kept.
func (c *Controller) SetTeams(teams []Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[id.Team]*usage, len(teams))
	for _, t := range teams {
		u := c.teams[t.Name]
		if u == nil {
			u = &usage{}
		}
		delete(c.teams, t.Name)
		weight := t.Weight
		if weight <= 0 {
			weight = 1
		}
		if u.active != nil {
			c.activeWeight += weight - u.weight
		}
		u.weight = weight
		next[t.Name] = u
	}
	for _, removed := range c.teams {
		c.deactivate(removed)
	}
	c.teams = next
}

// Admit accepts a request and counts its tokens, or returns a *RefusedError.
// The request handler calls it before the first dispatch; it does not block.
func (c *Controller) Admit(r Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usage(r.Team)
	c.touch(u, r.Now)
	u.offered.add(r.Tokens, r.Now, c.cfg.UsageTimeConstant)
	c.offered.add(r.Tokens, r.Now, c.cfg.UsageTimeConstant)
	remaining := c.cfg.DefaultTimeout
	if !r.Deadline.IsZero() {
		remaining = r.Deadline.Sub(r.Now)
	}
	predicted := r.Expected + c.err.margin(r.Now, remaining)
	allowed := c.pressure.allowed(relative(predicted, remaining), c.cfg.ContentionThreshold, r.Now)
	if predicted >= remaining {
		return c.refuse(r, ReasonDeadline, predicted, predicted-max(remaining, 0))
	}
	over := c.overuse(u, r.Now)
	if over > allowed && c.cfg.Rand()*over >= allowed {
		return c.refuse(r, ReasonOverShare, predicted, c.shareWait(over, allowed))
	}
	c.accepted.add(r.Tokens, r.Now, c.cfg.UsageTimeConstant)
	return nil
}

// relative returns the predicted time relative to the time that remains, at most maxPressure.
func relative(predicted, remaining time.Duration) float64 {
	if remaining <= 0 {
		return maxPressure
	}
	return min(float64(predicted)/float64(remaining), maxPressure)
}

// overuse returns what the team offers relative to its fair share of all
// accepted tokens. A team beyond what is allowed is served in part, with the
// probability that brings it down to that, so that none is shut out.
func (c *Controller) overuse(u *usage, now time.Time) float64 {
	accepted := c.accepted.value(now, c.cfg.UsageTimeConstant)
	accepted = max(accepted, minAcceptedPart*c.offered.value(now, c.cfg.UsageTimeConstant))
	if accepted <= 0 {
		return 0
	}
	return u.offered.value(now, c.cfg.UsageTimeConstant) / accepted * c.activeWeight / u.weight
}

// shareWait returns the time in which what the team offered decays to what is allowed.
func (c *Controller) shareWait(over, allowed float64) time.Duration {
	if allowed <= 0 {
		return maxRetryAfter
	}
	wait := float64(c.cfg.UsageTimeConstant) * math.Log(over/allowed)
	return time.Duration(min(wait, float64(maxRetryAfter)))
}

func (c *Controller) refuse(r Request, reason Reason, predicted, wait time.Duration) error {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	// Jitter keeps refused callers from returning at once together.
	wait += time.Duration(c.cfg.Rand() * float64(wait) / 2)
	return &RefusedError{Team: r.Team, Reason: reason, Predicted: predicted, RetryAfter: wait}
}

// Refund gives tokens back that an accepted request did not use.
func (c *Controller) Refund(team id.Team, tokens float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usage(team)
	u.offered.add(-tokens, now, c.cfg.UsageTimeConstant)
	c.offered.add(-tokens, now, c.cfg.UsageTimeConstant)
	c.accepted.add(-tokens, now, c.cfg.UsageTimeConstant)
}

// Observe records the time to first token of an accepted request against the
// expectation that it was accepted with.
func (c *Controller) Observe(expected, firstToken time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err.observe(firstToken-expected, now)
}

func (c *Controller) usage(team id.Team) *usage {
	if u := c.teams[team]; u != nil {
		return u
	}
	return c.other
}

// touch marks a team as active and takes out teams without a recent request.
// Each request takes out those that earlier requests put in, so that the cost
// for one request is constant on average.
func (c *Controller) touch(u *usage, now time.Time) {
	u.seen = now
	if u.active != nil {
		c.active.MoveToBack(u.active)
	} else {
		u.active = c.active.PushBack(u)
		c.activeWeight += u.weight
	}
	for {
		oldest := c.active.Front().Value.(*usage)
		if now.Sub(oldest.seen) <= c.cfg.UsageTimeConstant {
			return
		}
		c.deactivate(oldest)
	}
}

func (c *Controller) deactivate(u *usage) {
	if u.active == nil {
		return
	}
	c.active.Remove(u.active)
	u.active = nil
	c.activeWeight -= u.weight
	if c.active.Len() == 0 {
		c.activeWeight = 0 // Rounding must not add up.
	}
}

// errorMargin averages the error of the predicted time to first token.
type errorMargin struct {
	mean      float64 // nanoseconds
	deviation float64 // nanoseconds
	at        time.Time
}

func (e *errorMargin) observe(miss time.Duration, now time.Time) {
	diff := float64(miss) - e.mean
	e.mean += meanWeight * diff
	e.deviation += deviationWeight * (math.Abs(diff) - e.deviation)
	e.at = now
}

// margin returns what to add to a prediction. It fades while nothing is
// observed, so that a controller that refuses everything tries again.
func (e *errorMargin) margin(now time.Time, remaining time.Duration) time.Duration {
	m := e.mean + e.deviation
	if m <= 0 || remaining <= 0 {
		return 0
	}
	m *= math.Exp(-float64(max(now.Sub(e.at), 0)) / float64(errorMemory))
	return time.Duration(min(m, maxMarginPart*float64(remaining)))
}
