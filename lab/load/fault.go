package load

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/siskinford/siskinford/lab/procs"
)

// slowFactor is the factor of the slow endpoint.
const slowFactor = `{"slow":5}`

// slowDown makes the first engine slower.
func slowDown(c *procs.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.Endpoints[0].BackendURL+"/lab/faults", strings.NewReader(slowFactor))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// loseZone kills the agents of the last zone and freezes nothing else: entries of
// the zone stay, as callers reach them through the platform's balancer.
func loseZone(c *procs.Cluster) {
	lost := zones[len(zones)-1]
	for _, e := range c.Endpoints {
		if e.Config.Zone == lost {
			e.Agent.Kill()
		}
	}
}
