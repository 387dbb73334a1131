// Package admission decides at the entry whether a call proceeds to dispatch. It
// combines the predicted time to first token of the routing table with the
// admission policy and the teams' global limits.
package admission

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/admit"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
)

// Limiter holds teams to their global limits in tokens per second.
type Limiter interface {
	// Take takes tokens of a team, or returns the time after which that may succeed.
	Take(team id.Team, tokens float64, now time.Time) (retryAfter time.Duration, ok bool)
	// Return gives tokens back that a request did not use.
	Return(team id.Team, tokens float64, now time.Time)
}

// Deps are the parts that an Admitter works with.
type Deps struct {
	Zone   id.Zone
	Picker route.Picker
	// Limiter may be nil.
	Limiter Limiter
	// Enabled is false to admit whatever the predicted time.
	Enabled bool
}

// Admitter implements caller.Admitter. It is safe for concurrent use.
type Admitter struct {
	deps Deps

	// mu guards the fields below. It is taken before the locks of controllers.
	mu          sync.RWMutex
	controllers map[id.Service]*admit.Controller
	teams       []admit.Team
}

// maxRetryAfter bounds the retry time that a team beyond its limit is told.
const maxRetryAfter = time.Minute

// New returns an Admitter without teams and services.
func New(d Deps) *Admitter {
	return &Admitter{deps: d, controllers: make(map[id.Service]*admit.Controller)}
}

// Update takes over the teams and services of a configuration.
func (a *Admitter) Update(teams []config.Team, services []config.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.teams = make([]admit.Team, len(teams))
	for i, t := range teams {
		a.teams[i] = admit.Team{Name: t.Name, Weight: weight(t)}
	}
	kept := make(map[id.Service]*admit.Controller, len(services))
	for _, s := range services {
		controller, ok := a.controllers[s.Name]
		if !ok {
			controller = admit.New(admit.Config{})
		}
		controller.SetTeams(a.teams)
		kept[s.Name] = controller
	}
	a.controllers = kept
}

func weight(t config.Team) float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

func (a *Admitter) controller(s id.Service) *admit.Controller {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.controllers[s]
}

// Admit implements caller.Admitter. It does not block.
func (a *Admitter) Admit(t config.Team, c *dispatch.Call) (release func(tokens uint32), refused *problem.Problem) {
	now := time.Now()
	work := float64(c.Work)
	if p := a.takeLimit(t.Name, work, now); p != nil {
		return nil, p
	}
	if p := a.admit(t.Name, c, now); p != nil {
		a.returnLimit(t.Name, work, now)
		return nil, p
	}
	return func(used uint32) { a.release(t.Name, c, used) }, nil
}

func (a *Admitter) takeLimit(team id.Team, tokens float64, now time.Time) *problem.Problem {
	if a.deps.Limiter == nil {
		return nil
	}
	retryAfter, ok := a.deps.Limiter.Take(team, tokens, now)
	if ok {
		return nil
	}
	p := problem.Newf(problem.RateLimited, "team %q has used up its tokens per second", team)
	p.RetryAfter = min(retryAfter, maxRetryAfter)
	return p
}

func (a *Admitter) returnLimit(team id.Team, tokens float64, now time.Time) {
	if a.deps.Limiter != nil && tokens > 0 {
		a.deps.Limiter.Return(team, tokens, now)
	}
}

// admit asks the service's policy. A request for a service without endpoints is
// refused here, so that it does not count as a first try.
func (a *Admitter) admit(team id.Team, c *dispatch.Call, now time.Time) *problem.Problem {
	if !a.deps.Enabled {
		return nil
	}
	choice, err := a.deps.Picker.Pick(route.Request{
		Service: c.Service, Zone: a.deps.Zone, Work: c.Work, PromptBlocks: c.PromptBlocks, Now: now,
	})
	if err != nil {
		p := problem.Newf(problem.NoEndpoint, "%v", err)
		p.RetryAfter = time.Second
		return p
	}
	controller := a.controller(c.Service)
	if controller == nil {
		return nil
	}
	err = controller.Admit(admit.Request{
		Team: team, Tokens: float64(c.Work), Expected: choice.Expected, Deadline: c.Deadline, Now: now,
	})
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		p := problem.Newf(problem.Overloaded, "%v", err)
		p.RetryAfter = refused.RetryAfter
		return p
	}
	expected := choice.Expected
	c.OnFirstFrame = func(after time.Duration) { controller.Observe(expected, after, time.Now()) }
	return nil
}

// unused returns the tokens of an admitted call that were not used: all of a
// call without an answer, otherwise what the answer left of its bound.
func unused(c *dispatch.Call, used uint32) float64 {
	switch {
	case used == 0:
		return float64(c.Work)
	case c.Chat == nil:
		return 0
	}
	return max(float64(c.Chat.MaxTokens)-float64(used), 0)
}

// release gives back what the call did not use.
func (a *Admitter) release(team id.Team, c *dispatch.Call, used uint32) {
	unused := unused(c, used)
	if unused <= 0 {
		return
	}
	now := time.Now()
	a.returnLimit(team, unused, now)
	if controller := a.controller(c.Service); controller != nil && a.deps.Enabled {
		controller.Refund(team, unused, now)
	}
}
