package groupmsg

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/lockstep"
)

const (
	layers       = 58
	slotsPerRank = 6
	// movesPerRank is the number of experts that a rank loads over all layers, at
	// 23 moves per layer on 64 ranks.
	movesPerRank = 21
)

func size(t *testing.T, v any) int {
	t.Helper()
	b, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return len(b)
}

// TestSizes logs the encoded size of the two large messages of one rank and
// verifies that they stay below 4 KiB and that the order survives a round trip.
func TestSizes(t *testing.T) {
	weights := Weights{Map: lockstep.NewVersion(1000, 7)}
	loads := Loads{Map: weights.Map, Steps: 1818}
	for layer := range layers {
		slots := []expertmap.Expert{255, 254, 253, 252, 251, 250}
		weights.Layout = append(weights.Layout, slots)
		var moves []expertmap.Move
		if layer < movesPerRank {
			moves = []expertmap.Move{{Expert: 255, Rank: 63, Slot: 5, Source: 62}}
		}
		weights.Moves = append(weights.Moves, moves)
		tokens := make([]uint64, slotsPerRank)
		for i := range tokens {
			tokens[i] = 700_000
		}
		loads.Tokens = append(loads.Tokens, tokens)
	}
	order := Order{Group: "asistente-0", Weights: &weights}
	status := Status{Group: "asistente-0", Loads: &loads}
	t.Logf("%d layers: order with weights %d bytes, status with loads %d bytes", layers, size(t, order), size(t, status))
	assert.Assert(t, size(t, order) < 4096)
	assert.Assert(t, size(t, status) < 4096)

	b, err := cbor.Marshal(order)
	assert.NilError(t, err)
	var decoded Order
	assert.NilError(t, cbor.Unmarshal(b, &decoded))
	assert.DeepEqual(t, decoded, order)
}
