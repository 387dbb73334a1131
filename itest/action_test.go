package itest

import (
	"net/http"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/lab/procs"
)

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

func TestKeyMadeByCallerRunsOnce(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 1, PlainEndpoints: 2})
	caller := newClient()
	key := newKey(t)
	first := caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", key, `{"id":"chest-7"}`)
	assert.Equal(t, first.Status, http.StatusCreated, "%s", first.Body)
	again := caller.plain(ctx, c.Entries[1], http.MethodPost, "/reservations", key, `{"id":"chest-7"}`)
	assert.Equal(t, string(again.Body), string(first.Body))
	other := caller.plain(ctx, c.Entries[1], http.MethodPost, "/reservations", key, `{"id":"chest-8"}`)
	assert.Equal(t, other.problem(t).Code, problem.PayloadMismatch)
	assert.Equal(t, runs(ctx, t, c)[key], 1)

	c.Entries[0].PlatformProxy.Set(cutBoth)
	refused := caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", newKey(t), `{"id":"chest-9"}`)
	assert.Equal(t, refused.Outcome, outcome.NotRun)
	assert.Equal(t, refused.problem(t).Code, problem.PlatformUnavailable)
	ticket := caller.ticket(ctx, t, c.Entries[0])
	kept := caller.plain(ctx, c.Entries[0], http.MethodPost, "/reservations", ticket, `{"id":"chest-9"}`)
	assert.Equal(t, kept.Status, http.StatusCreated, "tickets work without the platform: %s", kept.Body)
	assert.Equal(t, runs(ctx, t, c)[ticket], 1)
}
