package server

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/ops"
)

// operatorHeaderTimeout bounds the time to read the header of an operator's request.
const operatorHeaderTimeout = 5 * time.Second

// operatorServer serves the agent's health, readiness and metrics.
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
	ops.AddRoutes(r, set, a.unreadyReason)
	a.operator = operatorServer{listener: listener, server: &http.Server{Handler: r, ReadHeaderTimeout: operatorHeaderTimeout}}
	a.wg.Go(func() { _ = a.operator.server.Serve(listener) })
	return nil
}

// OperatorAddress returns the TCP address for operators.
func (a *Agent) OperatorAddress() string { return a.operator.listener.Addr().String() }

// unreadyReason returns why the agent rejects new work, or "".
func (a *Agent) unreadyReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rejectsNewWork() {
		return "draining"
	}
	return ""
}
