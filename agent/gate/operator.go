package gate

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/ops"
)

// operatorTimeout bounds the time in which an operator's request arrives.
const operatorTimeout = 5 * time.Second

// operatorServer serves health, readiness and metrics of the agent.
type operatorServer struct {
	listener net.Listener
	server   *http.Server
}

func (a *Agent) startOperator() error {
	listener, err := net.Listen("tcp", a.config.OperatorListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	set := metrics.NewSet()
	set.NewGauge("siskinford_attempts_unsettled", func() float64 { return float64(a.Unsettled()) })
	r := chi.NewRouter()
	ops.AddRoutes(r, set, a.unready)
	a.operator = operatorServer{listener: listener, server: &http.Server{Handler: r, ReadHeaderTimeout: operatorTimeout}}
	a.wg.Go(func() { _ = a.operator.server.Serve(listener) })
	return nil
}

// OperatorAddress returns the TCP address for operators.
func (a *Agent) OperatorAddress() string { return a.operator.listener.Addr().String() }

// unready returns why the agent takes no new work, or the empty text.
func (a *Agent) unready() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusesNew() {
		return "draining"
	}
	return ""
}
