// Package admission decides at the entry whether a call may be dispatched, from its
// predicted time to first token, the admission policy of its service and the
// global limit of its team.
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

// Limiter limits teams to their global rates in tokens per second.
type Limiter interface {
	// Consume takes tokens of a team, or returns the time after which that may succeed.
	Consume(team id.Team, tokens float64, now time.Time) (retryAfter time.Duration, ok bool)
	// Refund returns tokens that a request did not use.
	Refund(team id.Team, tokens float64, now time.Time)
}

// Deps are the dependencies of an Admitter.
type Deps struct {
	Zone   id.Zone
	Picker route.Picker
	// Limiter may be nil.
	Limiter Limiter
	// Enabled turns on the admission policy. The Limiter applies in any case.
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

// maxRetryAfter bounds the retry time reported to a team above its limit.
const maxRetryAfter = time.Minute

// New returns an Admitter without teams and services.
func New(d Deps) *Admitter {
	return &Admitter{deps: d, controllers: make(map[id.Service]*admit.Controller)}
}

// Update applies the teams and services of a configuration.
func (a *Admitter) Update(teams []config.Team, services []config.Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.teams = make([]admit.Team, len(teams))
	for i, t := range teams {
		a.teams[i] = admit.Team{Name: t.Name, Weight: teamWeight(t)}
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

func teamWeight(t config.Team) float64 {
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
	if p := a.consumeTokens(t.Name, work, now); p != nil {
		return nil, p
	}
	if p := a.checkPolicy(t.Name, c, now); p != nil {
		a.refundTokens(t.Name, work, now)
		return nil, p
	}
	return func(used uint32) { a.refundUnused(t.Name, c, used) }, nil
}

func (a *Admitter) consumeTokens(team id.Team, tokens float64, now time.Time) *problem.Problem {
	if a.deps.Limiter == nil {
		return nil
	}
	retryAfter, ok := a.deps.Limiter.Consume(team, tokens, now)
	if ok {
		return nil
	}
	p := problem.Newf(problem.RateLimited, "team %q has used up its tokens per second", team)
	p.RetryAfter = min(retryAfter, maxRetryAfter)
	return p
}

func (a *Admitter) refundTokens(team id.Team, tokens float64, now time.Time) {
	if a.deps.Limiter != nil && tokens > 0 {
		a.deps.Limiter.Refund(team, tokens, now)
	}
}

// checkPolicy applies the admission policy of the service. A request for a service
// without endpoints is refused here, so that it does not add to the retry budget.
func (a *Admitter) checkPolicy(team id.Team, c *dispatch.Call, now time.Time) *problem.Problem {
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

// unusedTokens returns the tokens of an admitted call that were not used: all of a
// call without a response, otherwise the rest of the chat's MaxTokens.
func unusedTokens(c *dispatch.Call, used uint32) float64 {
	switch {
	case used == 0:
		return float64(c.Work)
	case c.Chat == nil:
		return 0
	}
	return max(float64(c.Chat.MaxTokens)-float64(used), 0)
}

// refundUnused returns the unused tokens to the limiter and the admission policy.
func (a *Admitter) refundUnused(team id.Team, c *dispatch.Call, used uint32) {
	unused := unusedTokens(c, used)
	if unused <= 0 {
		return
	}
	now := time.Now()
	a.refundTokens(team, unused, now)
	if controller := a.controller(c.Service); controller != nil && a.deps.Enabled {
		controller.Refund(team, unused, now)
	}
}
