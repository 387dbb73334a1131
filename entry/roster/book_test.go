package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

func all(id.Endpoint) bool { return true }

func TestBookFollowsItsScouts(t *testing.T) {
	told := 0
	b := NewBook(func() { told++ })
	b.write(map[id.Endpoint]Seat{"a": newSeat("g", 1), "b": newSeat("g", 1.1)}, all, 1)
	first := b.Version()
	assert.Assert(t, first > 0)
	assert.DeepEqual(t, b.Seats(), map[id.Endpoint]Seat{"a": {"g", 1}, "b": {"g", 1}})
	b.write(map[id.Endpoint]Seat{"a": newSeat("g", 1.05)}, all, 1)
	assert.Equal(t, b.Version(), first, "nothing has changed")
	b.write(map[id.Endpoint]Seat{"a": newSeat("g", 3.9), "c": newSeat("h", 1)}, all, 1)
	assert.DeepEqual(t, b.Groups(), []id.Group{"g", "h"})
	assert.Equal(t, b.Seats()["a"].Pace, 4.0)
	b.write(nil, func(e id.Endpoint) bool { return e != "b" }, 1)
	assert.Equal(t, len(b.Seats()), 2, "an endpoint that is gone has no seat")
	assert.Equal(t, told, 3)
}

// TestScoutsTakeTurns: what the later of two scouts writes counts, and a version is
// never used for two rosters.
func TestScoutsTakeTurns(t *testing.T) {
	a, b := NewBook(nil), NewBook(nil)
	hand := func(from, to *Book) {
		version, data, err := from.Encode()
		assert.NilError(t, err)
		assert.NilError(t, to.Take(version, data))
	}
	a.write(map[id.Endpoint]Seat{"x": newSeat("g", 1)}, all, 1)
	b.write(map[id.Endpoint]Seat{"x": newSeat("g", 2)}, all, 2)
	assert.Assert(t, a.Version() != b.Version())
	hand(a, b)
	hand(b, a)
	assert.DeepEqual(t, a.Seats(), b.Seats())
	a.write(map[id.Endpoint]Seat{"x": newSeat("g", 1)}, all, 1)
	hand(a, b)
	assert.Equal(t, b.Seats()["x"].Pace, 1.0)
	hand(a, b)
	assert.Equal(t, a.Version(), b.Version())
	assert.ErrorContains(t, b.Take(1<<40, []byte("x")), "roster")
	assert.Equal(t, b.Seats()["x"].Pace, 1.0)
}
