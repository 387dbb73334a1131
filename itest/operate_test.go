package itest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/procs"
	operateanswer "github.com/siskinford/siskinford/operate/answer"
)

// operate runs the operator CLI, checks its exit code and returns stdout and stderr.
func operate(ctx context.Context, t *testing.T, c *procs.Cluster, e *procs.Entry, want int, args ...string) string {
	t.Helper()
	r, err := c.RunOperator(ctx, e, "", args...)
	assert.NilError(t, err)
	assert.Equal(t, r.Code, want, "%v\n%s%s", args, r.Stdout, r.Stderr)
	return r.Stdout + r.Stderr
}

func lines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var out []map[string]any
	for line := range strings.Lines(text) {
		row := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(line), &row), "%s", line)
		out = append(out, row)
	}
	return out
}

func TestOperatorQueriesAndChanges(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 2, PlainEndpoints: 1})
	first, second := c.Entries[0], c.Entries[1]
	await(ctx, t, "both entries answer", func() bool {
		out := operate(ctx, t, c, first, process.ExitOK, "query", "configurations show kind")
		return strings.Contains(out, "from entry-0, entry-1")
	})
	rows := lines(t, operate(ctx, t, c, first, process.ExitOK, "query", "--format=jsonl", "endpoints where service = asistente order by name desc"))
	assert.Equal(t, len(rows), 3)
	assert.Equal(t, rows[0]["name"], "asistente-1")
	assert.Equal(t, rows[0]["state"], "ready")
	assert.Equal(t, rows[0]["slots"], 16.0)

	dry := operate(ctx, t, c, first, process.ExitOK, "query", "--dry-run", "drain endpoint asistente-0")
	assert.Assert(t, strings.Contains(dry, "drain: false -> true") && strings.Contains(dry, "nothing was changed"), dry)
	done := operate(ctx, t, c, first, process.ExitOK, "query", "drain endpoint asistente-0; set endpoint asistente-1 weight 0.5")
	assert.Assert(t, strings.Contains(done, "accepted: endpoints has version 2"), done)
	await(ctx, t, "the drain is in force at both", func() bool {
		out := operate(ctx, t, c, second, process.ExitOK, "explain", "endpoint", "asistente-0")
		return strings.Contains(out, "none from entry-0: draining; none from entry-1: draining")
	})

	race := operate(ctx, t, c, second, process.ExitConflict, "query", "--seen=1", "undrain endpoint asistente-0")
	assert.Assert(t, strings.Contains(race, `changed by "ana"`) && strings.Contains(race, "asistente-1\" weight: 1 -> 0.5"), race)
	for _, kind := range []string{"services", "teams", "replicas", "groups", "maps", "requests", "hosts", "zones", "duties"} {
		out := operate(ctx, t, c, first, process.ExitOK, "query", kind)
		assert.Assert(t, strings.Contains(out, "from entry-0"), out)
	}
	second.Process.Suspend()
	out := operate(ctx, t, c, first, process.ExitIncomplete, "query", "--all", "hosts")
	assert.Assert(t, strings.Contains(out, "no answer from entry-1"), out)
}

func TestCommandFileIsAcceptedAtomically(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 1, ModelEndpoints: 2, PlainEndpoints: 1})
	r, err := c.RunOperator(ctx, c.Entries[0], "drain endpoint asistente-0\nset endpoint asistente-1 weight 200\ndrain endpoint nobody\n", "query")
	assert.NilError(t, err)
	assert.Equal(t, r.Code, process.ExitUsage)
	assert.Assert(t, strings.Contains(r.Stderr, "line 2, column 26: weight: 200 is outside 0 to 100"), r.Stderr)
	assert.Assert(t, strings.Contains(r.Stderr, `line 3, column 16: endpoint "nobody" does not exist`), r.Stderr)
	r, err = c.RunOperator(ctx, c.Entries[0], "drain endpoint asistente-0\ndelete service mostrador\n", "query", "--file=-")
	assert.NilError(t, err)
	assert.Equal(t, r.Code, process.ExitUsage, r.Stderr)
	deleted := operate(ctx, t, c, c.Entries[0], process.ExitUsage, "query", "delete service mostrador")
	assert.Assert(t, strings.Contains(deleted, `endpoint "mostrador-0" refers to it`), deleted)
	o, err := c.Store.Get(ctx, config.ObjectKind, string(config.KindEndpoints))
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(1))
	c.Entries[0].PlatformProxy.Set(cutBoth)
	out := operate(ctx, t, c, c.Entries[0], process.ExitFailure, "query", "drain endpoint asistente-0")
	assert.Assert(t, strings.Contains(out, "nothing was changed"), out)
}

func TestOperatorsNeedTheirKey(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 1, ModelEndpoints: 1})
	for _, key := range []string{"", "Bearer ", "Bearer " + procs.TeamKey, "Basic " + procs.OperatorKey} {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Entries[0].OperatorURL+"/v1/query", bytes.NewReader([]byte(`{"script":"teams"}`)))
		assert.NilError(t, err)
		request.Header.Set("Authorization", key)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		var reply operateanswer.Reply
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&reply))
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized, key)
		assert.Equal(t, len(reply.Answers), 0)
	}
}
