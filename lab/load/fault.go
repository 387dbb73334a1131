package load

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/siskinford/siskinford/lab/procs"
)

// slowFaultBody makes an engine slower by a factor of 5.
const slowFaultBody = `{"slow":5}`

// slowFirstEngine injects slowFaultBody into the first engine. It ignores errors.
func slowFirstEngine(c *procs.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.Endpoints[0].BackendURL+"/lab/faults", strings.NewReader(slowFaultBody))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// killLastZone kills the agents of the last zone. The zone's entries keep running,
// since callers reach them through the platform's load balancer.
func killLastZone(c *procs.Cluster) {
	lost := zones[len(zones)-1]
	for _, e := range c.Endpoints {
		if e.Config.Zone == lost {
			e.Agent.Kill()
		}
	}
}
