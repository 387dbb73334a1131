package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeasesOfLaterEras guards against two leases, one before and one after a return of the store of
// leases, that hold the same step at the same rank, and against versions that do not grow or are
// not exact as JSON numbers.
func TestLeasesOfLaterEras(t *testing.T) {
	const lastOfEra, lostHolders, maxExact = 7, 4, 1 << 53
	for ranks := 1; ranks <= 64; ranks++ {
		cfg := Config{Ranks: ranks}
		var before []*Coordinator // The last lease in the copy and those that were lost.
		for lease := uint64(lastOfEra); lease < lastOfEra+lostHolders; lease++ {
			before = append(before, New(cfg, lease))
		}
		after := New(cfg, 1<<sequenceBits|(lastOfEra+lostHolders))
		for _, c := range before {
			differ := c.ownRank != after.ownRank || c.residue != after.residue
			assert.Assert(t, differ, "%d ranks: rank %d, residue %d", ranks, c.ownRank, c.residue)
			assert.Assert(t, after.nextVersion > c.nextVersion+(1<<versionBits-2))
		}
	}
	last := New(Config{Ranks: 8}, 1<<32-1)
	assert.Assert(t, last.nextVersion+(1<<versionBits-1) < maxExact)
}
