package server

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
)

func (s *Server) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", s.ready)
	r.Get("/metrics", s.writeMetrics)
	return r
}

// ready answers 200 while the entry accepts requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	if !s.Ready() {
		http.Error(w, "configuration or endpoints are not known yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Ready reports whether the configuration is known and each endpoint was asked for its load.
func (s *Server) Ready() bool {
	return s.state.current.Load().Complete() && s.endpoints.Settled()
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// unlimited admits every call.
type unlimited struct{}

func (unlimited) Admit(config.Team, *dispatch.Call) (func(uint32), *problem.Problem) {
	return func(uint32) {}, nil
}
