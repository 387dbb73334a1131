package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// TestDutiesAreNearTheirGroup names the pattern "regions": whoever decides on the maps of a
// group is in one of its zones while there is such an entry.
func TestDutiesAreNearTheirGroup(t *testing.T) {
	var hosts []id.Host
	zones := make(map[id.Host]id.Zone)
	for i := range 40 {
		h := id.Host(fmt.Sprintf("entry-%d", i))
		hosts = append(hosts, h)
		zones[h] = id.Zone(fmt.Sprintf("zone-%d", i%10))
	}
	near := map[id.Zone]bool{"zone-3": true, "zone-7": true}
	ranked := rankNear("duty", hosts, zones, near)
	assert.Equal(t, len(ranked), len(hosts))
	for i, h := range ranked {
		assert.Equal(t, near[zones[h]], i < 8, "place %d: %s in %s", i, h, zones[h])
	}
	assert.DeepEqual(t, rankNear("duty", hosts, zones, nil), rendezvous.Rank("duty", hosts))
	assert.DeepEqual(t, rankNear("duty", hosts, zones, map[id.Zone]bool{"zone-11": true}), rendezvous.Rank("duty", hosts))
}
