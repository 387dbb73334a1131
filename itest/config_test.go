package itest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/platform"
	"github.com/siskinford/siskinford/lab/procs"
)

// teamsWithKey returns the cluster's team configuration with an additional API key.
func teamsWithKey(key string) config.TeamSet {
	return config.TeamSet{Teams: []config.Team{{
		Name: procs.Team, KeyHashes: []string{config.HashKey(procs.TeamKey), config.HashKey(key)},
	}}}
}

// accepts reports whether an entry accepts an API key.
func accepts(ctx context.Context, t *testing.T, e *procs.Entry, key string) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/v1/models", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func teamsVersion(ctx context.Context, t *testing.T, c *procs.Cluster) uint64 {
	t.Helper()
	o, err := c.Store.Get(ctx, config.ObjectKind, string(config.KindTeams))
	assert.NilError(t, err)
	return o.Version
}

// awaitInForce waits until every entry accepts key and checks that none accepts former.
func awaitInForce(ctx context.Context, t *testing.T, c *procs.Cluster, key, former string) {
	t.Helper()
	for _, e := range c.Entries {
		await(ctx, t, fmt.Sprintf("key %q at %s", key, e.Host), func() bool { return accepts(ctx, t, e, key) })
		if former != "" {
			assert.Assert(t, !accepts(ctx, t, e, former), "%s accepts the former key %q", e.Host, former)
		}
	}
}

// TestAcceptedConfigurationIsInForceAndStays verifies accepted changes under
// concurrent writes, a lost response to a write, an entry restarted during an outage
// of the platform, and stale reads from the platform.
func TestAcceptedConfigurationIsInForceAndStays(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 3, ModelEndpoints: 1, Zones: []id.Zone{"lima-a", "lima-a", "lima-b"}})

	seen := teamsVersion(ctx, t, c)
	const operators = 4
	results := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			results[i] = c.WriteConfig(ctx, config.KindTeams, teamsWithKey(fmt.Sprintf("race-%d", i)), seen)
		})
	}
	wg.Wait()
	winner := -1
	for i, err := range results {
		if err == nil {
			assert.Equal(t, winner, -1, "two concurrent changes of one version were accepted")
			winner = i
			continue
		}
		var lost *config.LostRaceError
		assert.Assert(t, errors.As(err, &lost), "%v", err)
	}
	assert.Assert(t, winner >= 0, "%v", results)
	last := fmt.Sprintf("race-%d", winner)
	awaitInForce(ctx, t, c, last, "")
	for i := range operators {
		if i != winner {
			assert.Assert(t, !accepts(ctx, t, c.Entries[0], fmt.Sprintf("race-%d", i)), "a refused change is in force")
		}
	}

	assert.NilError(t, c.SetPlatformFaults(ctx, platform.Faults{LoseAnswers: 1}))
	assert.NilError(t, c.WriteConfig(ctx, config.KindTeams, teamsWithKey("answer-lost"), teamsVersion(ctx, t, c)))
	awaitInForce(ctx, t, c, "answer-lost", last)

	assert.NilError(t, c.SetPlatformFaults(ctx, platform.Faults{Outage: platform.OutageRefuse}))
	err := c.WriteConfig(ctx, config.KindTeams, teamsWithKey("in-outage"), anyTeamsVersion)
	assert.Assert(t, err != nil, "a change was accepted without the platform")
	c.Entries[0].Process.Kill()
	assert.NilError(t, c.RestartEntry(ctx, c.Entries[0]))
	assert.NilError(t, procs.AwaitReady(ctx, c.Entries[0].OperatorURL))
	awaitInForce(ctx, t, c, "answer-lost", "in-outage")

	assert.NilError(t, c.SetPlatformFaults(ctx, platform.Faults{StaleVersions: 2}))
	c.Entries[1].Process.Kill()
	assert.NilError(t, c.RestartEntry(ctx, c.Entries[1]))
	assert.NilError(t, procs.AwaitReady(ctx, c.Entries[1].OperatorURL))
	awaitInForce(ctx, t, c, "answer-lost", last)
	assert.NilError(t, c.SetPlatformFaults(ctx, platform.Faults{}))
	awaitInForce(ctx, t, c, "answer-lost", last)
}

// anyTeamsVersion is the version in a change that never reaches the platform.
const anyTeamsVersion = 1
