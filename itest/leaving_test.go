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

// quietRequests is the number of requests in a row of which none runs at an
// endpoint that takes no new work.
const quietRequests = 20

// marked sends a reservation that is no action and carries a mark as witness.
func (c *client) marked(ctx context.Context, e *procs.Entry, mark string) answer {
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

// leaving sends marked requests and watches where they run.
type leaving struct {
	cluster *procs.Cluster
	caller  *client
	sent    int
	told    map[string]outcome.Outcome
}

// send sends one request through the next entry.
func (l *leaving) send(ctx context.Context, t *testing.T) answer {
	t.Helper()
	mark := fmt.Sprintf("mark-%d", l.sent)
	e := l.cluster.Entries[l.sent%len(l.cluster.Entries)]
	l.sent++
	a := l.caller.marked(ctx, e, mark)
	assert.NilError(t, a.Err)
	l.told[mark] = a.Outcome
	return a
}

// known waits until every entry has logged an event, and goes on sending meanwhile.
func (l *leaving) known(ctx context.Context, t *testing.T, event, field, value string) {
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
			t.Logf("every entry knew %s of %s after %v", event, value, time.Since(begun))
			return
		default:
		}
	}
}

// quiet checks that an endpoint starts none of the next requests.
func (l *leaving) quiet(ctx context.Context, t *testing.T, e *procs.Endpoint, what string) {
	t.Helper()
	before := l.runsAt(ctx, t, e)
	for range quietRequests {
		l.send(ctx, t)
	}
	assert.Equal(t, l.runsAt(ctx, t, e), before, "%s got new work", what)
}

// runsAt returns how many requests ran at an endpoint.
func (l *leaving) runsAt(ctx context.Context, t *testing.T, e *procs.Endpoint) int {
	t.Helper()
	total := 0
	for _, n := range runsOf(ctx, t, e) {
		total += n
	}
	return total
}

// TestLeavingEndpointsGetNoNewWork lets endpoints leave one after another: by
// configuration, by the host list, frozen, and by a signal while the platform
// is down. The back ends' counters are the witness.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, PlainEndpoints: 5})
	l := &leaving{cluster: c, caller: newClient(), told: map[string]outcome.Outcome{}}

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
	for range quietRequests {
		assert.Assert(t, l.send(ctx, t).Outcome != outcome.Unknown)
	}
	assert.Equal(t, l.runsAt(ctx, t, c.Endpoints[0]), drained, "a draining agent started a request")

	assert.NilError(t, c.SetHosts(ctx, map[id.Host]bool{c.Endpoints[1].Config.Host: true}))
	l.known(ctx, t, "host.leaving", "message", string(c.Endpoints[1].Config.Host))
	l.quiet(ctx, t, c.Endpoints[1], "endpoint on a leaving host")

	c.Endpoints[2].Agent.Suspend()
	l.known(ctx, t, "endpoint.disconnected", "endpoint", string(c.Endpoints[2].Config.Name))
	l.quiet(ctx, t, c.Endpoints[2], "frozen endpoint")

	assert.NilError(t, c.SetPlatformFaults(ctx, platform.Faults{Outage: platform.OutageRefuse}))
	code, err := c.Endpoints[3].Agent.Stop(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, process.ExitOK)
	l.known(ctx, t, "endpoint.disconnected", "endpoint", string(c.Endpoints[3].Config.Name))
	l.quiet(ctx, t, c.Endpoints[3], "stopped endpoint during an outage of the platform")
	l.quiet(ctx, t, c.Endpoints[1], "endpoint on a leaving host during an outage")

	c.Endpoints[2].Agent.Signal(syscall.SIGCONT)
	ran := map[string]int{}
	for _, e := range c.Endpoints {
		for mark, n := range runsOf(ctx, t, e) {
			ran[mark] += n
		}
	}
	for mark, told := range l.told {
		assert.Check(t, ran[mark] <= 1, "%s ran %d times", mark, ran[mark])
		assert.Check(t, told != outcome.NotRun || ran[mark] == 0, "%s was told not-run and ran", mark)
		assert.Check(t, told != outcome.Ran || ran[mark] == 1, "%s was told ran and did not", mark)
	}
}
