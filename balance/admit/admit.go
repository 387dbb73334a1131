// Package admit implements admission control with weighted fair sharing.
//
// A request that cannot meet its deadline is refused at once, with the time
// after which a retry may succeed. Under contention, capacity in tokens is divided
// between teams in proportion to their weights; the unused share of a team goes to
// the others. A Controller serves one service.
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
	// minRetryAfter is the lower bound of RetryAfter in a refusal.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the upper bound of RetryAfter before jitter.
	maxRetryAfter = time.Minute
	// errorMeanWeight and errorDeviationWeight are the weights of a new prediction
	// error in the moving averages of the error and of its deviation.
	errorMeanWeight      = 0.125
	errorDeviationWeight = 0.25
	// errorTimeConstant is the time constant of the decay of the error margin.
	errorTimeConstant = 2 * time.Second
	// minAcceptedFraction is the fraction of the offered tokens that always counts as
	// accepted. Without it a controller that accepts little would accept ever less.
	minAcceptedFraction = 0.25
	// maxPressure bounds the deadline pressure of one request.
	maxPressure = 2
	// maxMarginFraction bounds the error margin relative to the remaining time.
	maxMarginFraction = 0.5
)

// Config holds the settings of a Controller. Zero values select the defaults.
type Config struct {
	// ContentionThreshold is the average ratio of predicted to remaining time above
	// which shares are enforced. Default: 0.2. Range: 0 to 0.4.
	ContentionThreshold float64
	// UsageTimeConstant is the time constant of the decay of the teams' usage. A team
	// without a request for that long is idle. Unit: duration. Default: 10 s.
	UsageTimeConstant time.Duration
	// DefaultTimeout applies to requests without a deadline. Unit: duration.
	// Default: 10 s.
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

// Team is one customer of the service.
type Team struct {
	Name id.Team
	// Weight is the team's share relative to the other teams' weights. Default: 1.
	Weight float64
}

// Request describes a request that asks for admission.
type Request struct {
	Team id.Team
	// Tokens is the predicted number of tokens.
	Tokens float64
	// Expected is the predicted time to first token, from the routing table.
	Expected time.Duration
	// Deadline for the first token. Zero selects Config.DefaultTimeout from now.
	Deadline time.Time
	Now      time.Time
}

// Reason is the cause of a refusal.
type Reason string

const (
	// ReasonDeadline refuses a request that cannot meet its deadline.
	ReasonDeadline Reason = "deadline cannot be met"
	// ReasonOverShare refuses a request of a team beyond its share under contention.
	ReasonOverShare Reason = "team is beyond its share"
)

// RefusedError reports that a request was not accepted and did not run.
type RefusedError struct {
	Team   id.Team
	Reason Reason
	// Predicted is the predicted time to first token, error margin included.
	Predicted time.Duration
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request of team %q refused: %s: predicted time to first token %s, retry after %s",
		e.Team, e.Reason, e.Predicted, e.RetryAfter)
}

// Controller accepts or refuses requests. It is safe for concurrent use. Decisions
// take amortized constant time, independent of the number of teams.
type Controller struct {
	cfg Config

	mu           sync.Mutex
	teams        map[id.Team]*usage
	unconfigured *usage // shared by teams that are not configured
	// offered sums the tokens of all requests, accepted those of accepted ones.
	offered  decayingSum
	accepted decayingSum
	// active lists the usages with a recent request, the most recent last.
	active          list.List
	activeWeight    float64
	predictionError errorMargin
	pressure        pressure
}

// usage tracks the tokens that one team requested.
type usage struct {
	weight      float64
	offered     decayingSum // tokens of all requests
	lastRequest time.Time
	active      *list.Element // nil if there is no recent request
}

// decayingSum is a sum that decays exponentially with time.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) value(now time.Time, timeConstant time.Duration) float64 {
	if age := now.Sub(d.at); age > 0 {
		d.sum *= math.Exp(-float64(age) / float64(timeConstant))
		d.at = now
	}
	return d.sum
}

// add adds x to the sum, which does not fall below zero.
func (d *decayingSum) add(x float64, now time.Time, timeConstant time.Duration) {
	d.sum = max(d.value(now, timeConstant)+x, 0)
}

// New returns a controller without teams.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg.withDefaults(),
		teams:        map[id.Team]*usage{},
		unconfigured: &usage{weight: 1},
		pressure:     pressure{usageLimit: 1},
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

// Admit accepts a request and counts its tokens, or returns a *RefusedError. Request
// handlers call it before the first dispatch; it does not block.
func (c *Controller) Admit(r Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usage(r.Team)
	c.markActive(u, r.Now)
	u.offered.add(r.Tokens, r.Now, c.cfg.UsageTimeConstant)
	c.offered.add(r.Tokens, r.Now, c.cfg.UsageTimeConstant)
	remaining := c.cfg.DefaultTimeout
	if !r.Deadline.IsZero() {
		remaining = r.Deadline.Sub(r.Now)
	}
	predicted := r.Expected + c.predictionError.margin(r.Now, remaining)
	allowed := c.pressure.update(deadlinePressure(predicted, remaining), c.cfg.ContentionThreshold, r.Now)
	if predicted >= remaining {
		return c.refuse(r, ReasonDeadline, predicted, predicted-max(remaining, 0))
	}
	over := c.usageRatio(u, r.Now)
	if over > allowed && c.cfg.Rand()*over >= allowed {
		return c.refuse(r, ReasonOverShare, predicted, c.retryAfterShare(over, allowed))
	}
	c.accepted.add(r.Tokens, r.Now, c.cfg.UsageTimeConstant)
	return nil
}

// deadlinePressure returns the predicted relative to the remaining time, at most maxPressure.
func deadlinePressure(predicted, remaining time.Duration) float64 {
	if remaining <= 0 {
		return maxPressure
	}
	return min(float64(predicted)/float64(remaining), maxPressure)
}

// usageRatio returns the team's offered tokens relative to its fair share of all
// accepted tokens. Admit accepts requests of a team beyond the allowed ratio with
// the probability that reduces its usage to that, so that no team starves.
func (c *Controller) usageRatio(u *usage, now time.Time) float64 {
	accepted := c.accepted.value(now, c.cfg.UsageTimeConstant)
	accepted = max(accepted, minAcceptedFraction*c.offered.value(now, c.cfg.UsageTimeConstant))
	if accepted <= 0 {
		return 0
	}
	return u.offered.value(now, c.cfg.UsageTimeConstant) / accepted * c.activeWeight / u.weight
}

// retryAfterShare returns the time in which the usage decays to the allowed ratio.
func (c *Controller) retryAfterShare(over, allowed float64) time.Duration {
	if allowed <= 0 {
		return maxRetryAfter
	}
	wait := float64(c.cfg.UsageTimeConstant) * math.Log(over/allowed)
	return time.Duration(min(wait, float64(maxRetryAfter)))
}

func (c *Controller) refuse(r Request, reason Reason, predicted, wait time.Duration) error {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	// Jitter keeps refused callers from retrying at the same moment.
	wait += time.Duration(c.cfg.Rand() * float64(wait) / 2)
	return &RefusedError{Team: r.Team, Reason: reason, Predicted: predicted, RetryAfter: wait}
}

// Refund deducts tokens that an accepted request did not use.
func (c *Controller) Refund(team id.Team, tokens float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.usage(team)
	u.offered.add(-tokens, now, c.cfg.UsageTimeConstant)
	c.offered.add(-tokens, now, c.cfg.UsageTimeConstant)
	c.accepted.add(-tokens, now, c.cfg.UsageTimeConstant)
}

// Observe records the time to first token of an accepted request and the expected
// time with which it was accepted.
func (c *Controller) Observe(expected, firstToken time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.predictionError.observe(firstToken-expected, now)
}

func (c *Controller) usage(team id.Team) *usage {
	if u := c.teams[team]; u != nil {
		return u
	}
	return c.unconfigured
}

// markActive marks a team as active and removes teams without a recent request. A
// request adds one team at most, so that the removals take amortized constant time.
func (c *Controller) markActive(u *usage, now time.Time) {
	u.lastRequest = now
	if u.active != nil {
		c.active.MoveToBack(u.active)
	} else {
		u.active = c.active.PushBack(u)
		c.activeWeight += u.weight
	}
	for {
		oldest := c.active.Front().Value.(*usage)
		if now.Sub(oldest.lastRequest) <= c.cfg.UsageTimeConstant {
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
		c.activeWeight = 0 // Rounding errors must not accumulate.
	}
}

// errorMargin tracks the error of the predicted time to first token.
type errorMargin struct {
	mean      float64 // nanoseconds
	deviation float64 // nanoseconds
	at        time.Time
}

func (e *errorMargin) observe(miss time.Duration, now time.Time) {
	diff := float64(miss) - e.mean
	e.mean += errorMeanWeight * diff
	e.deviation += errorDeviationWeight * (math.Abs(diff) - e.deviation)
	e.at = now
}

// margin returns the safety margin to add to a prediction. It decays without
// observations, so that a controller that refuses everything recovers.
func (e *errorMargin) margin(now time.Time, remaining time.Duration) time.Duration {
	m := e.mean + e.deviation
	if m <= 0 || remaining <= 0 {
		return 0
	}
	m *= math.Exp(-float64(max(now.Sub(e.at), 0)) / float64(errorTimeConstant))
	return time.Duration(min(m, maxMarginFraction*float64(remaining)))
}
