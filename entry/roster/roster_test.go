package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/relay"
)

func allListed(id.Endpoint) bool { return true }

func TestMergeWritesVersionOnlyOnChange(t *testing.T) {
	notified := 0
	b := New(func() { notified++ })
	b.merge(map[id.Endpoint]Rank{"a": newRank("g", 1), "b": newRank("g", 1.1)}, allListed, 1)
	first := b.Version()
	assert.Assert(t, first > 0)
	assert.DeepEqual(t, b.Ranks(), map[id.Endpoint]Rank{"a": {"g", 1}, "b": {"g", 1}})
	b.merge(map[id.Endpoint]Rank{"a": newRank("g", 1.05)}, allListed, 1)
	assert.Equal(t, b.Version(), first, "nothing has changed")
	b.merge(map[id.Endpoint]Rank{"a": newRank("g", 3.9), "c": newRank("h", 1)}, allListed, 1)
	assert.DeepEqual(t, b.Groups(), []id.Group{"g", "h"})
	assert.Equal(t, b.Ranks()["a"].Slowdown, 4.0)
	b.merge(nil, func(e id.Endpoint) bool { return e != "b" }, 1)
	assert.Equal(t, len(b.Ranks()), 2, "an unlisted endpoint is dropped")
	assert.Equal(t, notified, 3)
}

// TestVersionsOfConcurrentCollectors checks that the latest write wins and that two
// collectors never use one version for different rosters.
func TestVersionsOfConcurrentCollectors(t *testing.T) {
	a, b := New(nil), New(nil)
	transfer := func(from, to *Roster) {
		version, data, err := from.Encode()
		assert.NilError(t, err)
		assert.NilError(t, to.Update(version, data))
	}
	a.merge(map[id.Endpoint]Rank{"x": newRank("g", 1)}, allListed, 1)
	b.merge(map[id.Endpoint]Rank{"x": newRank("g", 2)}, allListed, 2)
	assert.Assert(t, a.Version() != b.Version())
	transfer(a, b)
	transfer(b, a)
	assert.DeepEqual(t, a.Ranks(), b.Ranks())
	a.merge(map[id.Endpoint]Rank{"x": newRank("g", 1)}, allListed, 1)
	transfer(a, b)
	assert.Equal(t, b.Ranks()["x"].Slowdown, 1.0)
	transfer(a, b)
	assert.Equal(t, a.Version(), b.Version())
	assert.ErrorContains(t, b.Update(1<<40, []byte("x")), "roster")
	assert.Equal(t, b.Ranks()["x"].Slowdown, 1.0)
}

// TestOneWrongNameMovesNoEndpoint guards against one wrong letter in a report's group: the rank's
// own coordinator loses it, and another one is started for a group that does not exist.
func TestOneWrongNameMovesNoEndpoint(t *testing.T) {
	c := &Collector{}
	c.init()
	state := func(group id.Group) *relay.State { return &relay.State{Group: group, Size: 1, Slowdown: 1} }
	c.record("a", state("g"))
	for range 3 {
		c.record("a", state("w"))
		assert.Equal(t, c.collected["a"].Group, id.Group("g"))
		c.record("a", state("g"))
		assert.Equal(t, c.collected["a"].Group, id.Group("g"))
	}
	c.record("a", state("w"))
	c.record("a", state("x"))
	assert.Equal(t, c.collected["a"].Group, id.Group("g"))
	c.record("a", state("x"))
	assert.Equal(t, c.collected["a"].Group, id.Group("x"), "a change that is confirmed is followed")
}
