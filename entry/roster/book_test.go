package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

func all(id.Endpoint) bool { return true }

func TestBookFollowsItsScouts(t *testing.T) {
	told := 0
	b := New(func() { told++ })
	b.write(map[id.Endpoint]Rank{"a": newSeat("g", 1), "b": newSeat("g", 1.1)}, all, 1)
	first := b.Version()
	assert.Assert(t, first > 0)
	assert.DeepEqual(t, b.Ranks(), map[id.Endpoint]Rank{"a": {"g", 1}, "b": {"g", 1}})
	b.write(map[id.Endpoint]Rank{"a": newSeat("g", 1.05)}, all, 1)
	assert.Equal(t, b.Version(), first, "nothing has changed")
	b.write(map[id.Endpoint]Rank{"a": newSeat("g", 3.9), "c": newSeat("h", 1)}, all, 1)
	assert.DeepEqual(t, b.Groups(), []id.Group{"g", "h"})
	assert.Equal(t, b.Ranks()["a"].Pace, 4.0)
	b.write(nil, func(e id.Endpoint) bool { return e != "b" }, 1)
	assert.Equal(t, len(b.Ranks()), 2, "an endpoint that is gone has no seat")
	assert.Equal(t, told, 3)
}

// TestScoutsTakeTurns: what the later of two scouts writes counts, and a version is
// never used for two rosters.
func TestScoutsTakeTurns(t *testing.T) {
	a, b := New(nil), New(nil)
	hand := func(from, to *Roster) {
		version, data, err := from.Encode()
		assert.NilError(t, err)
		assert.NilError(t, to.Update(version, data))
	}
	a.write(map[id.Endpoint]Rank{"x": newSeat("g", 1)}, all, 1)
	b.write(map[id.Endpoint]Rank{"x": newSeat("g", 2)}, all, 2)
	assert.Assert(t, a.Version() != b.Version())
	hand(a, b)
	hand(b, a)
	assert.DeepEqual(t, a.Ranks(), b.Ranks())
	a.write(map[id.Endpoint]Rank{"x": newSeat("g", 1)}, all, 1)
	hand(a, b)
	assert.Equal(t, b.Ranks()["x"].Pace, 1.0)
	hand(a, b)
	assert.Equal(t, a.Version(), b.Version())
	assert.ErrorContains(t, b.Update(1<<40, []byte("x")), "roster")
	assert.Equal(t, b.Ranks()["x"].Pace, 1.0)
}
