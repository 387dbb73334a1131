package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
)

// Metrics counts responses by outcome and problem code.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns Metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) countAnswered(o outcome.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("siskinford_requests_total{outcome=%q,code=\"\"}", o)).Inc()
}

func (m *Metrics) countFailed(p *problem.Problem) {
	m.set.GetOrCreateCounter(fmt.Sprintf("siskinford_requests_total{outcome=%q,code=%q}", p.Outcome, p.Code)).Inc()
}
