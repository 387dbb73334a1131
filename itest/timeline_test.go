package itest

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/lab/procs"
)

// withoutSpace collapses white space, which depends on column widths.
func withoutSpace(text string) string { return strings.Join(strings.Fields(text), " ") }

func TestTimelineAcrossZones(t *testing.T) {
	ctx, c := cluster(t, procs.Options{
		Zones: []id.Zone{"lima-a", "lima-b"}, Entries: 2, ModelEndpoints: 1, PlainEndpoints: 2,
		EngineArgs: []string{"--step-time=1ms"}, EntryArgs: []string{"--debug"}, AgentArgs: []string{"--debug"},
	})
	caller := newClient()
	first, second := c.Entries[0], c.Entries[1]
	await(ctx, t, "both zones answer", func() bool {
		return strings.Contains(operate(ctx, t, c, second, process.ExitOK, "query", "zones"), "from entry-0, entry-1")
	})
	a := caller.chat(ctx, first, "m", 5, false)
	assert.Equal(t, a.Outcome, outcome.Ran, "%s", a.Body)

	events := lines(t, operate(ctx, t, c, second, process.ExitOK, "timeline", "--format=jsonl", "--request", a.Request))
	var got []string
	for _, e := range events[:len(events)-1] {
		got = append(got, e["process"].(string)+" "+e["event"].(string))
	}
	assert.DeepEqual(t, got, []string{
		"entry-0 request.dispatched", "host-asistente-0 attempt.started", "host-asistente-0 attempt.done", "entry-0 request.answered",
	})
	origin := events[len(events)-1]
	assert.Equal(t, len(origin["processes"].([]any)), 5, "%v", origin)

	why := withoutSpace(operate(ctx, t, c, second, process.ExitOK, "explain", "request", a.Request))
	assert.Assert(t, strings.Contains(why, `it ran at endpoint "asistente-0" and was answered`), why)
	assert.Assert(t, strings.Contains(why, "best of those compared"), why)

	operate(ctx, t, c, first, process.ExitOK, "query", "drain endpoint asistente-0")
	var refused answer
	await(ctx, t, "the request is refused", func() bool {
		refused = caller.chat(ctx, first, "m", 5, false)
		return refused.Status == http.StatusServiceUnavailable
	})
	why = withoutSpace(operate(ctx, t, c, second, process.ExitOK, "explain", "request", refused.Request))
	assert.Assert(t, strings.Contains(why, "asistente-0: draining"), why)

	c.Endpoints[0].Agent.Kill()
	all := operate(ctx, t, c, second, process.ExitIncomplete, "timeline", "--all", "--kind", "agent.started")
	assert.Assert(t, strings.Contains(all, "no answer from agent of endpoint asistente-0"), all)
	assert.Assert(t, strings.Contains(all, "host-mostrador-1"), all)
}

func TestSecretsAreNotShown(t *testing.T) {
	ctx, c := cluster(t, procs.Options{
		Entries: 1, ModelEndpoints: 1, PlainEndpoints: 1, EntryArgs: []string{"--debug"}, AgentArgs: []string{"--debug"},
	})
	caller := newClient()
	e := c.Entries[0]
	ticket := caller.ticket(ctx, t, e)
	secrets := append(c.Secrets(), ticket)
	for _, path := range []string{"/reservations", "/tickets/" + ticket, "/keys/" + ticket, "/tickets/" + ticket + "x", "/tickets"} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			caller.plain(ctx, e, method, path, ticket, `{"id":"chest-7"}`)
		}
	}
	caller.do(ctx, http.MethodGet, e.URL+"/v1/service/mostrador/tickets/"+ticket, "", "")
	caller.do(ctx, http.MethodGet, e.URL+"/v1/models", procs.TeamKey, "")
	caller.chat(ctx, e, "m", 2, true)
	printed := operate(ctx, t, c, e, process.ExitOK, "timeline", "--format=jsonl")
	for _, q := range []string{"teams", "requests", "configurations", "endpoints", "explain endpoint mostrador-0"} {
		printed += operate(ctx, t, c, e, process.ExitOK, "query", q)
	}
	printed += operate(ctx, t, c, e, process.ExitOK, "help", "query")
	for _, p := range []*procs.Process{e.Process, c.Endpoints[0].Agent, c.Endpoints[1].Agent} {
		printed += p.Output()
	}
	for _, path := range []string{"/metrics", "/readyz"} {
		printed += string(caller.do(ctx, http.MethodGet, e.OperatorURL+path, "", "").Body)
	}
	assert.Assert(t, strings.Contains(printed, "attempt.started"), "the output lacks the debug log")
	for _, secret := range secrets {
		if at := strings.Index(printed, secret); at >= 0 {
			t.Errorf("a secret is shown in %q", printed[max(0, at-200):at])
		}
	}
}
