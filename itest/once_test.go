package itest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/lab/procs"
)

// pollInterval is the time between checks of a condition.
const pollInterval = 10 * time.Millisecond

// await waits until a condition holds.
func await(ctx context.Context, t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// faultCase is a fault that is injected while an action runs.
type faultCase struct {
	name   string
	inject func(ctx context.Context, t *testing.T, c *procs.Cluster)
	// heal ends the fault 2 s after the injection. It may be nil.
	heal func(ctx context.Context, t *testing.T, c *procs.Cluster)
	// want is the outcome that retries at another entry must reach.
	want outcome.Outcome
}

func plainEndpoint(c *procs.Cluster) *procs.Endpoint {
	for _, e := range c.Endpoints {
		if e.Config.Service == procs.PlainService {
			return e
		}
	}
	return nil
}

func actionFaults() []faultCase {
	return []faultCase{
		{
			name:   "entry is killed",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) { c.Entries[0].Process.Kill() },
			want:   outcome.Ran,
		},
		{
			name:   "entry is frozen",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) { c.Entries[0].Process.Suspend() },
			want:   outcome.Ran,
		},
		{
			name:   "connections to the agent go silent",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) { plainEndpoint(c).Proxy.BlackholeExisting() },
			want:   outcome.Ran,
		},
		{
			name: "answers of the agent are cut off, then healed",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) {
				plainEndpoint(c).Proxy.Set(faultproxy.Faults{CutToClient: true})
			},
			heal: func(_ context.Context, _ *testing.T, c *procs.Cluster) {
				plainEndpoint(c).Proxy.Set(faultproxy.Faults{})
			},
			want: outcome.Ran,
		},
		{
			name: "packets are lost, doubled and reordered",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) {
				plainEndpoint(c).Proxy.Set(faultproxy.Faults{Loss: 0.1, Duplicate: 0.2, Reorder: 0.2})
			},
			want: outcome.Ran,
		},
		{
			name: "agent is frozen, then thawed",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) {
				plainEndpoint(c).Agent.Suspend()
			},
			heal: func(_ context.Context, _ *testing.T, c *procs.Cluster) { plainEndpoint(c).Agent.Resume() },
			want: outcome.Ran,
		},
		{
			name: "agent is killed and restarted",
			inject: func(ctx context.Context, t *testing.T, c *procs.Cluster) {
				plainEndpoint(c).Agent.Kill()
				assert.NilError(t, c.RestartAgent(ctx, plainEndpoint(c)))
			},
			want: outcome.Unknown,
		},
		{
			name: "platform is cut off",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) {
				for _, e := range c.Entries {
					e.PlatformProxy.Set(cutBoth)
				}
			},
			want: outcome.Ran,
		},
		{
			name: "entry is killed and the connections of the other go silent",
			inject: func(_ context.Context, _ *testing.T, c *procs.Cluster) {
				c.Entries[0].Process.Kill()
				plainEndpoint(c).Proxy.BlackholeExisting()
			},
			want: outcome.Ran,
		},
	}
}

// retryUntil repeats an action at an entry until its outcome is want.
func retryUntil(ctx context.Context, t *testing.T, caller *client, e *procs.Entry, key, body string, want outcome.Outcome) answer {
	t.Helper()
	var last answer
	await(ctx, t, fmt.Sprintf("outcome %q", want), func() bool {
		last = caller.plain(ctx, e, http.MethodPost, "/reservations", key, body)
		return last.Err == nil && last.Outcome == want
	})
	return last
}

// TestActionRunsAtMostOnce injects a fault while a reservation runs and retries it at
// another entry. The plain service must have counted one execution.
func TestActionRunsAtMostOnce(t *testing.T) {
	for _, tc := range actionFaults() {
		t.Run(tc.name, func(t *testing.T) {
			ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 1, PlainEndpoints: 1, PlainArgs: []string{"--delay=500ms"}})
			caller := newClient()
			key := caller.ticket(ctx, t, c.Entries[0])
			body := `{"id":"chest-7"}`
			first := make(chan answer, 1)
			go func() { first <- caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", key, body) }()
			await(ctx, t, "the action runs", func() bool { return runs(ctx, t, c)[key] > 0 })
			tc.inject(ctx, t, c)
			if tc.heal != nil {
				time.AfterFunc(2*time.Second, func() { tc.heal(ctx, t, c) })
			}
			last := retryUntil(ctx, t, caller, c.Entries[1], key, body, tc.want)
			if tc.want == outcome.Ran {
				assert.Equal(t, last.Status, http.StatusCreated, "%s", last.Body)
			}
			c.Entries[0].Process.Resume()
			if a := <-first; a.Err == nil {
				assert.Assert(t, a.Outcome != outcome.NotRun, "the action ran but was reported not-run: %s", a.Body)
			}
			assert.Equal(t, runs(ctx, t, c)[key], 1)
		})
	}
}
