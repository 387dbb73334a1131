package itest

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/lab/procs"
)

// startAction starts a reservation and waits until the plain service runs it.
func startAction(ctx context.Context, t *testing.T, c *procs.Cluster) (key string, reserved chan answer) {
	t.Helper()
	caller := newClient()
	key = caller.ticket(ctx, t, c.Entries[0])
	reserved = make(chan answer, 1)
	go func() {
		reserved <- caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", key, `{"id":"chest-7"}`)
	}()
	await(ctx, t, "the action runs", func() bool { return runs(ctx, t, c)[key] > 0 })
	return key, reserved
}

// TestShutdownCutsOffNothing verifies that streams and an action in flight complete
// when an entry and the agents receive SIGTERM.
func TestShutdownCutsOffNothing(t *testing.T) {
	ctx, c := cluster(t, procs.Options{
		Entries: 2, ModelEndpoints: 2, PlainEndpoints: 1, EngineArgs: []string{"--step-time=10ms"}, PlainArgs: []string{"--delay=1s"},
	})
	caller := newClient()
	key := caller.ticket(ctx, t, c.Entries[0])
	reserved := make(chan answer, 1)
	go func() {
		reserved <- caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", key, `{"id":"chest-7"}`)
	}()
	await(ctx, t, "the action runs", func() bool { return runs(ctx, t, c)[key] > 0 })
	running := startStreams(ctx, c, "stop", 16)
	c.Endpoints[0].Agent.Signal(syscall.SIGTERM)
	plainEndpoint(c).Agent.Signal(syscall.SIGTERM)
	c.Entries[0].Process.Signal(syscall.SIGTERM)
	for _, s := range running {
		s.assertComplete(t)
	}
	a := <-reserved
	assert.Equal(t, a.Outcome, outcome.Ran, "%v %s", a.Err, a.Body)
	assert.Equal(t, runs(ctx, t, c)[key], 1)
	for _, p := range []*procs.Process{c.Endpoints[0].Agent, plainEndpoint(c).Agent, c.Entries[0].Process} {
		code, err := p.Wait(ctx)
		assert.NilError(t, err)
		assert.Equal(t, code, process.ExitOK, "%s: %s", p.Name(), p.Output())
	}
}

// TestSecondSignalCutsOffHonestly verifies that requests cut off by a second SIGTERM
// end visibly broken or with an unknown outcome.
func TestSecondSignalCutsOffHonestly(t *testing.T) {
	for _, tc := range []struct {
		name   string
		victim func(c *procs.Cluster) []*procs.Process
	}{
		{"entry", func(c *procs.Cluster) []*procs.Process { return []*procs.Process{c.Entries[0].Process} }},
		{"agents", func(c *procs.Cluster) []*procs.Process {
			return []*procs.Process{c.Endpoints[0].Agent, plainEndpoint(c).Agent}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, c := cluster(t, procs.Options{
				Entries: 1, ModelEndpoints: 1, PlainEndpoints: 1, EngineArgs: []string{"--step-time=30ms"}, PlainArgs: []string{"--delay=30s"},
			})
			key, reserved := startAction(ctx, t, c)
			running := startStreams(ctx, c, "cut", 4)
			for _, p := range tc.victim(c) {
				p.Signal(syscall.SIGTERM)
				_, err := p.AwaitEvent(ctx, "process.stopping")
				assert.NilError(t, err)
				p.Signal(syscall.SIGTERM)
			}
			for _, s := range running {
				a := <-s.done
				_, complete, _ := streamedText(a.Body)
				assert.Check(t, !complete && a.Err != nil, "a stream that is cut off must not look complete")
				assert.Check(t, strings.Contains(string(a.Body), "event: error"), "%s", tail(a.Body))
			}
			a := <-reserved
			assert.NilError(t, a.Err)
			assert.Equal(t, a.Outcome, outcome.Unknown, "%s", a.Body)
			assert.Equal(t, runs(ctx, t, c)[key], 1)
			for _, p := range tc.victim(c) {
				code, err := p.Wait(ctx)
				assert.NilError(t, err)
				assert.Equal(t, code, process.ExitForcedShutdown, "%s: %s", p.Name(), p.Output())
			}
		})
	}
}
