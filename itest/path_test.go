// Package itest holds integration tests that run the programs as separate processes
// connected through fault-injecting proxies.
package itest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/lab/engine"
	"github.com/siskinford/siskinford/lab/procs"
)

// testTimeout bounds each test.
const testTimeout = 2 * time.Minute

var binaries procs.Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "siskinford-itest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = procs.Build(dir, true); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// cluster starts a fleet of processes that is stopped at the end of the test.
func cluster(t *testing.T, o procs.Options) (context.Context, *procs.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	o.Binaries = binaries
	c, err := procs.NewCluster(ctx, o)
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			logOutput(t, c)
		}
	})
	return ctx, c
}

func logOutput(t *testing.T, c *procs.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		t.Logf("%s:\n%s", e.Process.Name(), e.Process.Output())
	}
	for _, e := range c.Endpoints {
		t.Logf("%s:\n%s", e.Agent.Name(), e.Agent.Output())
	}
}

// expectedText returns the text that the engine stand-in generates for a mark.
func expectedText(mark string, tokens int) string {
	return engine.Answer("user: "+prompt(mark), tokens)
}

func TestRequestsEndToEnd(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 2, PlainEndpoints: 1, EngineArgs: []string{"--step-time=1ms"}})
	caller := newClient()
	for i, e := range c.Entries {
		mark := fmt.Sprintf("m%d", i)
		whole := caller.chat(ctx, e, mark, 20, false)
		assert.NilError(t, whole.Err)
		assert.Equal(t, whole.Status, http.StatusOK, "%s", whole.Body)
		assert.Equal(t, whole.Outcome, outcome.Ran)
		text, err := completionText(whole.Body)
		assert.NilError(t, err)
		assert.Equal(t, text, expectedText(mark, 20))

		streamed := caller.chat(ctx, e, mark, 20, true)
		assert.NilError(t, streamed.Err)
		assert.Equal(t, streamed.Outcome, outcome.Ran)
		text, complete, err := streamedText(streamed.Body)
		assert.NilError(t, err)
		assert.Assert(t, complete)
		assert.Equal(t, text, expectedText(mark, 20))

		stock := caller.plain(ctx, e, http.MethodGet, "/stock/devil-mask", "", "")
		assert.Equal(t, stock.Status, http.StatusOK, "%s", stock.Body)
		assert.Equal(t, stock.Outcome, outcome.Ran)
	}
	ticket := caller.ticket(ctx, t, c.Entries[0])
	body := `{"id":"chest-7"}`
	first := caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", ticket, body)
	second := caller.plain(ctx, c.Entries[1], http.MethodPost, "/reservations", ticket, body)
	assert.Equal(t, first.Status, http.StatusCreated, "%s", first.Body)
	assert.Equal(t, string(second.Body), string(first.Body))
	assert.Equal(t, runs(ctx, t, c)[ticket], 1)
	for _, e := range c.Entries {
		code, err := e.Process.Stop(ctx)
		assert.NilError(t, err)
		assert.Equal(t, code, 0, e.Process.Output())
	}
	for _, e := range c.Endpoints {
		code, err := e.Agent.Stop(ctx)
		assert.NilError(t, err)
		assert.Equal(t, code, 0, e.Agent.Output())
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 1, ModelEndpoints: 1, PlainEndpoints: 1})
	caller := newClient()
	e := c.Entries[0]
	big := make([]byte, 2<<20)
	for _, tc := range []struct {
		name, method, path, body string
		status                   int
		code                     problem.Code
	}{
		{"broken JSON", http.MethodPost, "/v1/chat/completions", "{\n \"model\": }", 400, problem.BadRequest},
		{"missing members", http.MethodPost, "/v1/chat/completions", "{}", 400, problem.BadRequest},
		{"unknown model", http.MethodPost, "/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"x"}]}`, 404, problem.UnknownModel},
		{"wrong method", http.MethodDelete, "/v1/chat/completions", "", 405, problem.MethodNotAllowed},
		{"unknown path", http.MethodGet, "/v2/none", "", 404, problem.NotFound},
		{"unknown service", http.MethodGet, "/v1/services/none/x", "", 404, problem.UnknownService},
		{"oversized body", http.MethodPost, "/v1/services/mostrador/reservations", string(big), 413, problem.BodyTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := caller.do(ctx, tc.method, e.URL+tc.path, "", tc.body)
			assert.NilError(t, a.Err)
			assert.Equal(t, a.Status, tc.status, "%s", a.Body)
			assert.Equal(t, a.Outcome, outcome.NotRun)
			p := a.problem(t)
			assert.Equal(t, p.Code, tc.code)
			assert.Equal(t, string(p.Request), a.Request)
		})
	}
	p := caller.do(ctx, http.MethodPost, e.URL+"/v1/chat/completions", "", `{"max_tokens":-1}`).problem(t)
	assert.Equal(t, len(p.Findings), 3, "all findings are reported: %v", p.Findings)
}

func TestSettingsErrorsAreReportedTogether(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, tc := range []struct {
		name, path string
		args       []string
		want       []string
	}{
		{
			"entry", binaries.Entry,
			[]string{"--zone=a", "--caller-listen=nowhere", "--flavour=x", "--recovery-timeout=-1s"},
			[]string{"--host: is not set", "--caller-listen", "unknown flag", "--platform-url", "--recovery-timeout"},
		},
		{
			"agent", binaries.Agent,
			[]string{"--endpoint=x", "--slots=none", "--bogus"},
			[]string{"--host: is not set", "--slots", "--bogus: unknown flag", "--tls-key", "exactly one of --engine-url"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, err := procs.Start(tc.name, tc.path, tc.args, nil)
			assert.NilError(t, err)
			code, err := p.Wait(ctx)
			assert.NilError(t, err)
			assert.Equal(t, code, 2, p.Output())
			for _, want := range tc.want {
				assert.Assert(t, strings.Contains(p.Output(), want), "%q is missing in:\n%s", want, p.Output())
			}
		})
	}
}
