package route

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Status is the state of one endpoint, for operators.
type Status struct {
	Endpoint    id.Endpoint
	Zone        id.Zone
	Incarnation id.Incarnation
	// Reason is ReasonReady or why the endpoint receives no new requests.
	Reason Reason
	// Wait is the predicted time until a new request starts.
	Wait time.Duration
	// PredictionError is the decayed average error of earlier predictions.
	PredictionError time.Duration
	// ReportAge is the time since the load was measured, zero without a report.
	ReportAge time.Duration
	// OpenRequests and OpenTokens count the entry's own requests in flight.
	OpenRequests int
	OpenTokens   int64
}

// Status returns the state of all configured endpoints of a service.
func (t *Table) Status(service id.Service, now time.Time) []Status {
	s := t.view.Load().services[service]
	if s == nil {
		return nil
	}
	out := make([]Status, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, t.status(m, t.clock(now)))
	}
	return out
}

func (t *Table) status(m *member, now time.Duration) Status {
	out := Status{
		Endpoint:        m.Name,
		Zone:            m.Zone,
		Reason:          t.reason(m, now),
		Wait:            t.wait(m, now),
		PredictionError: t.predictionError(m.state, now),
		OpenRequests:    int(m.state.openCount.Load()),
		OpenTokens:      m.state.openTokens.Load(),
	}
	if l := m.state.load.Load(); l != nil {
		out.Incarnation = l.incarnation
		out.ReportAge = now - l.measured
	}
	return out
}

// PinnedChoice returns the choice for a request that may run only at one
// incarnation of one endpoint, ready or not. It returns false if that is not the
// incarnation of the endpoint's last report.
func (t *Table) PinnedChoice(r Request, e id.Endpoint, inc id.Incarnation) (Choice, bool) {
	m := t.view.Load().members[e]
	if m == nil || m.Service != r.Service {
		return Choice{}, false
	}
	l := m.state.load.Load()
	if l == nil || l.incarnation != inc {
		return Choice{}, false
	}
	return t.singleChoice(m, r, t.clock(r.Now)), true
}
