package itest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/prefixhash"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/procs"
)

const answerTokens = 4

// usage counts the requests to one entry that were accepted and rate-limited.
type usage struct{ accepted, refused int }

// TestLimitHoldsOverEntries verifies that a team's limit holds for the sum of two
// entries of a zone that are both overloaded.
func TestLimitHoldsOverEntries(t *testing.T) {
	const (
		limit  = 200.0 // tokens per second
		period = 8 * time.Second
		idle   = `siskinford_control_bytes_total{purpose="limits",direction="received"} 0`
	)
	work := float64(prefixhash.Words("user: "+prompt("m")) + answerTokens)
	ctx, c := cluster(t, procs.Options{
		Entries: 2, ModelEndpoints: 2, EngineArgs: []string{"--step-time=1ms"},
		EntryArgs: []string{"--limit-zones=1", "--limit-entries-per-zone=2"},
	})
	team := config.Team{Name: procs.Team, KeyHashes: []string{config.HashKey(procs.TeamKey)}, TokensPerSecond: limit}
	assert.NilError(t, c.WriteConfig(ctx, config.KindTeams, config.TeamSet{Teams: []config.Team{team}}, 1))
	for _, e := range c.Entries {
		assert.NilError(t, sendUntil(ctx, e, func(u usage) bool { return u.refused > 0 }, &usage{}))
	}
	used := make([]usage, len(c.Entries))
	start := time.Now()
	var all errgroup.Group
	for i, e := range c.Entries {
		all.Go(func() error {
			return sendUntil(ctx, e, func(usage) bool { return time.Since(start) > period }, &used[i])
		})
	}
	assert.NilError(t, all.Wait())
	elapsed := time.Since(start).Seconds()
	total := 0.0
	for i, u := range used {
		t.Logf("entry %d: %d accepted, %d refused", i, u.accepted, u.refused)
		assert.Assert(t, u.accepted > 0 && u.refused > 0, "an entry is below its limit")
		total += float64(u.accepted) * work
		assert.Assert(t, !strings.Contains(metricsOf(ctx, t, c.Entries[i]), idle), "the entries exchanged no demands")
	}
	burst := limit + work*float64(len(c.Entries))
	t.Logf("%.0f tokens accepted in %.1f s at a limit of %.0f per second", total, elapsed, limit)
	assert.Assert(t, total <= limit*elapsed*1.05+burst, "%.0f tokens in %.1f s", total, elapsed)
}

// sendInterval is the time between the requests to one entry.
const sendInterval = 10 * time.Millisecond

// sendUntil sends requests to one entry until done and counts the answers in u.
func sendUntil(ctx context.Context, e *procs.Entry, done func(usage) bool, u *usage) error {
	caller := newClient()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for !done(*u) {
		a := caller.chat(ctx, e, "m", answerTokens, false)
		switch {
		case a.Err != nil:
			return a.Err
		case a.Status == http.StatusOK:
			u.accepted++
		case a.Status == http.StatusTooManyRequests:
			u.refused++
		default:
			return fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		<-ticker.C
	}
	return nil
}

func metricsOf(ctx context.Context, t *testing.T, e *procs.Entry) string {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.OperatorURL+"/metrics", nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}
