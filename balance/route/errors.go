package route

import (
	"fmt"
	"strings"

	"github.com/siskinford/siskinford/core/id"
)

// Reason is the cause for which an endpoint may not receive requests.
type Reason string

const (
	// ReasonReady marks an endpoint that may receive requests.
	ReasonReady Reason = "ready"
	// ReasonZeroWeight marks an endpoint of weight 0.
	ReasonZeroWeight Reason = "weight is 0"
	// ReasonDraining marks an endpoint that drains.
	ReasonDraining Reason = "draining"
	// ReasonUnhealthy marks an endpoint whose back end does not answer.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonNoReport marks an endpoint that has not reported yet.
	ReasonNoReport Reason = "no report yet"
	// ReasonStaleReport marks an endpoint whose last report is older than MaxReportAge.
	ReasonStaleReport Reason = "last report is too old"
	// ReasonExcluded marks an endpoint that the request excludes.
	ReasonExcluded Reason = "excluded by the request"
)

// EndpointReason is the cause for which one endpoint was not picked.
type EndpointReason struct {
	Endpoint id.Endpoint
	Reason   Reason
}

// NoEndpointError reports that no endpoint of a service may receive the request.
type NoEndpointError struct {
	Service id.Service
	// Endpoints holds one reason for each configured endpoint of the service.
	Endpoints []EndpointReason
}

func (e *NoEndpointError) Error() string {
	if len(e.Endpoints) == 0 {
		return fmt.Sprintf("service %q has no endpoints", e.Service)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service %q has no endpoint for the request:", e.Service)
	for i, r := range e.Endpoints {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, " %s: %s", r.Endpoint, r.Reason)
	}
	return b.String()
}
