package engine_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	client "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/engine"
)

const ranks = 4

func startGroup(t *testing.T, c engine.Config) (*engine.Group, []fixture) {
	t.Helper()
	c.Group = engine.NewGroup(ranks, 1<<16)
	var fixtures []fixture
	for rank := range ranks {
		c.Rank = rank
		fixtures = append(fixtures, start(t, c))
	}
	return c.Group, fixtures
}

func TestRanksStepTogether(t *testing.T) {
	group, fixtures := startGroup(t, engine.Config{})
	for round := range 3 {
		var done []<-chan result
		for rank, s := range fixtures[:ranks-1] {
			attempt := id.Attempt(fmt.Sprintf("att_%d_%d", round, rank))
			done = append(done, s.background(client.Request{Attempt: attempt, Prompt: "x", MaxTokens: 20 * (rank + 1)}))
		}
		for _, d := range done {
			assert.NilError(t, (<-d).err)
		}
	}
	assert.Assert(t, len(group.Steps()) >= 3*60)
	assert.Equal(t, len(group.MismatchedSteps()), 0)

	// Without coordination, ranks that hold different maps run the same step on them.
	assert.NilError(t, fixtures[1].client.Order(fixtures[1].ctx, client.Order{Kind: client.OrderMap, Epoch: 1, MapVersion: 2}))
	assert.NilError(t, fixtures[0].run(client.Request{Attempt: "att_split", Prompt: "x", MaxTokens: 1}).err)
	split := group.MismatchedSteps()
	assert.Assert(t, len(split) > 0, "no step on different maps was recorded")
	assert.DeepEqual(t, split[0].MapVersions, []uint64{0, 2, 0, 0})
}

func TestStalledRankStallsTheGroup(t *testing.T) {
	group, fixtures := startGroup(t, engine.Config{})
	fixtures[3].engine.SetFaults(engine.Faults{Stall: true})
	done := fixtures[0].background(client.Request{Attempt: "att_1", Prompt: "x", MaxTokens: 5})
	fixtures[0].await(t, "admission", func() bool { return fixtures[0].engine.Stats("att_1").Accepted == 1 })
	assert.Equal(t, len(group.Steps()), 0)
	assert.Equal(t, fixtures[0].engine.Stats("att_1").Tokens, 0)
	fixtures[3].engine.SetFaults(engine.Faults{})
	assert.NilError(t, (<-done).err)
}

func TestClosedRankBlocksGroupUntilReplaced(t *testing.T) {
	group, fixtures := startGroup(t, engine.Config{})
	assert.NilError(t, fixtures[0].run(client.Request{Attempt: "att_1", Prompt: "x", MaxTokens: 5}).err)
	fixtures[2].engine.Close()
	before := len(group.Steps())
	done := fixtures[0].background(client.Request{Attempt: "att_2", Prompt: "x", MaxTokens: 5})
	fixtures[0].await(t, "admission", func() bool { return fixtures[0].engine.Stats("att_2").Accepted == 1 })
	assert.Assert(t, len(group.Steps()) <= before+1, "the dead rank may have joined one step")
	assert.Equal(t, fixtures[0].engine.Stats("att_2").Finished, 0)

	replacement := start(t, engine.Config{Group: group, Rank: 2})
	assert.NilError(t, (<-done).err)
	fixtures[0].await(t, "the same step", func() bool {
		return replacement.engine.State().Step == fixtures[0].engine.State().Step
	})
}

func TestGatedRanksNeedPermits(t *testing.T) {
	group, fixtures := startGroup(t, engine.Config{RequirePermits: true})
	done := fixtures[0].background(client.Request{Attempt: "att_1", Prompt: "x", MaxTokens: 20})
	permit := func(from, through, version uint64) {
		for _, s := range fixtures {
			order := client.Order{Kind: client.OrderSteps, Epoch: 1, From: from, Through: through, MapVersion: version}
			assert.NilError(t, s.client.Order(s.ctx, order))
		}
	}
	permit(1, 5, 7)
	fixtures[0].await(t, "five steps", func() bool { return len(group.Steps()) == 5 })
	assert.Equal(t, fixtures[0].engine.Stats("att_1").Finished, 0)
	permit(6, 1000, 8)
	assert.NilError(t, (<-done).err)
	assert.Equal(t, len(group.MismatchedSteps()), 0)
	for _, step := range group.Steps() {
		want := uint64(7)
		if step.Step > 5 {
			want = 8
		}
		assert.Equal(t, step.MapVersions[0], want, "step %d", step.Step)
	}
}
