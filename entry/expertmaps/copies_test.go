package expertmaps

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

// TestCopiesFollowCopyTime checks that a change copies as many experts as fit into its time:
// small experts of a large group would otherwise take a change for each copy of a rank.
func TestCopiesFollowCopyTime(t *testing.T) {
	const gigabit = 1e9
	for name, c := range map[string]struct {
		experts routes.Experts
		want    int
	}{
		"large experts": {routes.Experts{ExpertBytes: 2.5e9, LinkBitsPerSecond: 180 * gigabit}, 1},
		"small experts": {routes.Experts{ExpertBytes: 170e6, LinkBitsPerSecond: 180 * gigabit}, 7},
		"unknown speed": {routes.Experts{ExpertBytes: 170e6}, 1},
	} {
		assert.Equal(t, Config{}.withDefaults().copiesPerRank(&c.experts), c.want, name)
	}
}
