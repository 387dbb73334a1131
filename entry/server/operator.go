package server

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/ops"
	"github.com/siskinford/siskinford/entry/operator"
)

func (s *Server) operatorHandler() http.Handler {
	r := chi.NewRouter()
	ops.AddRoutes(r, s.metrics, s.unreadyReason)
	operator.NewAPI(s.config.Operator, s.operator).Routes(r)
	return r
}

// unreadyReason returns why the entry does not accept requests, or "" if it does.
func (s *Server) unreadyReason() string {
	switch {
	case s.stopping.Load():
		return "shutting down"
	case !s.Ready():
		return "configuration or endpoints are not known yet"
	}
	return ""
}

// Ready reports whether the configuration is complete and every endpoint in use was contacted.
func (s *Server) Ready() bool {
	return s.applier.Current().Complete() && s.endpoints.AllContacted()
}
