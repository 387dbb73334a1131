package endpoints

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
)

// fleetEndpoints returns endpoints of services with some replicas in each zone.
func fleetEndpoints(services, zones, replicas int) []config.Endpoint {
	var out []config.Endpoint
	for s := range services {
		for z := range zones {
			for r := range replicas {
				out = append(out, config.Endpoint{
					Name:    id.Endpoint(fmt.Sprintf("s%d-z%d-%d", s, z, r)),
					Service: id.Service(fmt.Sprintf("s%d", s)),
					Zone:    id.Zone(fmt.Sprintf("z%d", z)),
				})
			}
		}
	}
	return out
}

func newTestManager(host id.Host) *Manager {
	c := DefaultConfig()
	c.Zone, c.Host = "z0", host
	return &Manager{config: c}
}

// TestSelectEndpoints checks that the limit leaves each service an endpoint in the local zone.
func TestSelectEndpoints(t *testing.T) {
	for _, tc := range []struct {
		name                      string
		services, zones, replicas int
		want, wantLocal           int
	}{
		{"small fleet", 2, 3, 4, 24, 8},
		{"one large service", 1, 3, 100, 48, 40},
		{"many services in many zones", 32, 10, 4, 48, 32},
	} {
		t.Run(tc.name, func(t *testing.T) {
			used := newTestManager("h").selectEndpoints(fleetEndpoints(tc.services, tc.zones, tc.replicas))
			local := map[id.Service]int{}
			count := 0
			for _, e := range used {
				if e.Zone == "z0" {
					local[e.Service]++
					count++
				}
			}
			assert.Equal(t, len(used), tc.want)
			assert.Equal(t, len(local), tc.services, "each service has an endpoint in the own zone")
			assert.Assert(t, count >= tc.wantLocal, "%d endpoints in the own zone", count)
		})
	}
}

// TestHostsSelectDifferentEndpoints guards against endpoints that no host selects.
func TestHostsSelectDifferentEndpoints(t *testing.T) {
	uses := map[id.Endpoint]int{}
	endpoints := fleetEndpoints(1, 1, 120)
	for h := range 36 {
		for _, e := range newTestManager(id.Host(fmt.Sprintf("entry-%d", h))).selectEndpoints(endpoints) {
			uses[e.Name]++
		}
	}
	assert.Equal(t, len(uses), len(endpoints), "every endpoint is used by some host")
}

func TestReportsStayWithinTheirBudget(t *testing.T) {
	for _, n := range []int{1, 19, 48} {
		m := newTestManager("h")
		m.endpoints = make([]config.Endpoint, n)
		interval := m.reportInterval("z0")
		rate := float64(n*reportWireBytes) / interval.Seconds()
		assert.Assert(t, rate <= float64(m.config.ReportBudget)+1, "%d endpoints: %.0f bytes/s", n, rate)
		assert.Assert(t, interval < 2500*time.Millisecond, "%v", interval)
	}
}
