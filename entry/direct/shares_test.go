package direct

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// TestSharesCoverAllEndpoints checks that each endpoint is in the share of an entry and that
// shares are of about equal size.
func TestSharesCoverAllEndpoints(t *testing.T) {
	for _, c := range []struct{ endpoints, entries int }{{192, 60}, {12, 60}, {60, 60}, {100, 99}, {1, 9}} {
		t.Run(fmt.Sprintf("%d endpoints, %d entries", c.endpoints, c.entries), func(t *testing.T) {
			owners := make([]int, c.endpoints)
			for entry := range c.entries {
				size := 0
				for endpoint := range c.endpoints {
					if inShare(endpoint, c.endpoints, entry, c.entries) {
						size++
						owners[endpoint]++
					}
				}
				assert.Assert(t, size >= max(1, c.endpoints/c.entries) && size <= c.endpoints/c.entries+1, "entry %d has %d", entry, size)
			}
			for endpoint, n := range owners {
				assert.Assert(t, n >= 1, "endpoint %d", endpoint)
			}
		})
	}
}

// TestShareIsPreferred checks that an entry of a large fleet sends its requests to its share,
// also after the list of endpoints has changed, and that a small fleet has no shares.
func TestShareIsPreferred(t *testing.T) {
	registered := make(map[id.Endpoint]uint64)
	for i := range 20 {
		registered[id.Endpoint(fmt.Sprintf("e%02d", i))] = 1
	}
	s, set := newTestService(registered)
	var hosts []id.Host
	for i := range 10 {
		hosts = append(hosts, id.Host(fmt.Sprintf("h%d", i)))
	}
	seen := func() map[id.Endpoint]bool {
		out := make(map[id.Endpoint]bool)
		for range 40 {
			name, _ := s.try(t)
			out[name] = true
		}
		return out
	}
	s.setEntries(hosts, "h3")
	assert.DeepEqual(t, seen(), map[id.Endpoint]bool{"e06": true, "e07": true})
	delete(registered, "e07")
	delete(registered, "e00")
	set(registered)
	for name := range seen() {
		assert.Assert(t, name == "e08" || name == "e09", "%s", name)
	}
	s.setEntries(hosts[:maxSharedEntries], "h3")
	assert.Assert(t, len(seen()) > 10)
}
