package itest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/plainservice"
	"github.com/siskinford/siskinford/lab/platform"
	"github.com/siskinford/siskinford/lab/procs"
)

// probeRequests is the number of consecutive requests that must not reach an
// endpoint that accepts no new work.
const probeRequests = 20

// reserve sends a reservation without a key; the back end counts runs by its mark.
func (c *client) reserve(ctx context.Context, e *procs.Entry, mark string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/services/"+procs.PlainService+"/reservations",
		strings.NewReader(fmt.Sprintf(`{"id":%q}`, mark)))
	if err != nil {
		return answer{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+procs.TeamKey)
	request.Header.Set(plainservice.HeaderMark, mark)
	response, err := c.http.Do(request)
	if err != nil {
		return answer{Err: err}
	}
	defer response.Body.Close()
	return answer{Status: response.StatusCode, Outcome: outcome.Outcome(response.Header.Get(outcome.Header))}
}

// traffic sends marked requests and records their outcomes by mark.
type traffic struct {
	cluster  *procs.Cluster
	caller   *client
	sent     int
	outcomes map[string]outcome.Outcome
}

// send sends one request through the next entry.
func (l *traffic) send(ctx context.Context, t *testing.T) answer {
	t.Helper()
	mark := fmt.Sprintf("mark-%d", l.sent)
	e := l.cluster.Entries[l.sent%len(l.cluster.Entries)]
	l.sent++
	a := l.caller.reserve(ctx, e, mark)
	assert.NilError(t, a.Err)
	l.outcomes[mark] = a.Outcome
	return a
}

// awaitLogged sends requests until every entry has logged an event.
func (l *traffic) awaitLogged(ctx context.Context, t *testing.T, event, field, value string) {
	t.Helper()
	var waiting errgroup.Group
	for _, e := range l.cluster.Entries {
		waiting.Go(func() error { return e.Process.AwaitEventField(ctx, event, field, value) })
	}
	done := make(chan error, 1)
	go func() { done <- waiting.Wait() }()
	begun := time.Now()
	for {
		l.send(ctx, t)
		select {
		case err := <-done:
			assert.NilError(t, err)
			t.Logf("every entry logged %s of %s after %v", event, value, time.Since(begun))
			return
		default:
		}
	}
}

// assertNoNewWork checks that none of the next requests runs at an endpoint.
func (l *traffic) assertNoNewWork(ctx context.Context, t *testing.T, e *procs.Endpoint, what string) {
	t.Helper()
	before := l.runsAt(ctx, t, e)
	for range probeRequests {
		l.send(ctx, t)
	}
	assert.Equal(t, l.runsAt(ctx, t, e), before, "%s got new work", what)
}

// runsAt returns the number of requests that ran at an endpoint.
func (l *traffic) runsAt(ctx context.Context, t *testing.T, e *procs.Endpoint) int {
	t.Helper()
	total := 0
	for _, n := range runsOf(ctx, t, e) {
		total += n
	}
	return total
}

// TestLeavingEndpointsGetNoNewWork removes endpoints one after another: by draining,
// by the host list, by a freeze, and by SIGTERM while the platform is down. Outcomes
// are checked against the executions that the back ends counted.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, PlainEndpoints: 5})
	l := &traffic{cluster: c, caller: newClient(), outcomes: map[string]outcome.Outcome{}}

	var endpoints config.EndpointSet
	for _, e := range c.Endpoints {
		endpoints.Endpoints = append(endpoints.Endpoints, e.Config)
	}
	endpoints.Endpoints[0].Drain = true
	seen, err := c.Store.Get(ctx, config.ObjectKind, string(config.KindEndpoints))
	assert.NilError(t, err)
	assert.NilError(t, c.WriteConfig(ctx, config.KindEndpoints, endpoints, seen.Version))
	_, err = c.Endpoints[0].Agent.AwaitEvent(ctx, "agent.draining")
	assert.NilError(t, err)
	drained := l.runsAt(ctx, t, c.Endpoints[0])
	for range probeRequests {
		assert.Assert(t, l.send(ctx, t).Outcome != outcome.Unknown)
	}
	assert.Equal(t, l.runsAt(ctx, t, c.Endpoints[0]), drained, "a draining agent started a request")

	assert.NilError(t, c.SetHosts(ctx, map[id.Host]bool{c.Endpoints[1].Config.Host: true}))
	l.awaitLogged(ctx, t, "host.leaving", "message", string(c.Endpoints[1].Config.Host))
	l.assertNoNewWork(ctx, t, c.Endpoints[1], "endpoint on a leaving host")

	c.Endpoints[2].Agent.Suspend()
	l.awaitLogged(ctx, t, "endpoint.disconnected", "endpoint", string(c.Endpoints[2].Config.Name))
	l.assertNoNewWork(ctx, t, c.Endpoints[2], "frozen endpoint")

	assert.NilError(t, c.SetPlatformFaults(ctx, platform.Faults{Outage: platform.OutageRefuse}))
	code, err := c.Endpoints[3].Agent.Stop(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, process.ExitOK)
	l.awaitLogged(ctx, t, "endpoint.disconnected", "endpoint", string(c.Endpoints[3].Config.Name))
	l.assertNoNewWork(ctx, t, c.Endpoints[3], "stopped endpoint during an outage of the platform")
	l.assertNoNewWork(ctx, t, c.Endpoints[1], "endpoint on a leaving host during an outage")

	c.Endpoints[2].Agent.Signal(syscall.SIGCONT)
	ran := map[string]int{}
	for _, e := range c.Endpoints {
		for mark, n := range runsOf(ctx, t, e) {
			ran[mark] += n
		}
	}
	for mark, reported := range l.outcomes {
		assert.Check(t, ran[mark] <= 1, "%s ran %d times", mark, ran[mark])
		assert.Check(t, reported != outcome.NotRun || ran[mark] == 0, "%s was reported not-run but ran", mark)
		assert.Check(t, reported != outcome.Ran || ran[mark] == 1, "%s was reported ran but did not run", mark)
	}
}
