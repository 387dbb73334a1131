package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// TestCandidatesAreInGroupZones guards against coordinators far from their ranks: hosts
// in the group's zones must precede all others.
func TestCandidatesAreInGroupZones(t *testing.T) {
	var hosts []id.Host
	zones := make(map[id.Host]id.Zone)
	for i := range 40 {
		h := id.Host(fmt.Sprintf("entry-%d", i))
		hosts = append(hosts, h)
		zones[h] = id.Zone(fmt.Sprintf("zone-%d", i%10))
	}
	near := map[id.Zone]bool{"zone-3": true, "zone-7": true}
	ranked := rankByZone("duty", hosts, zones, near)
	assert.Equal(t, len(ranked), len(hosts))
	for i, h := range ranked {
		assert.Equal(t, near[zones[h]], i < 8, "place %d: %s in %s", i, h, zones[h])
	}
	assert.DeepEqual(t, rankByZone("duty", hosts, zones, nil), rendezvous.Rank("duty", hosts))
	assert.DeepEqual(t, rankByZone("duty", hosts, zones, map[id.Zone]bool{"zone-11": true}), rendezvous.Rank("duty", hosts))
}
