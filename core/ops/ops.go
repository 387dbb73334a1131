// Package ops provides the HTTP endpoints for operating a process: health, readiness,
// metrics and profiles.
package ops

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// AddRoutes adds the endpoints to r. Ready returns why the process is not ready, or ""
// if it is.
func AddRoutes(r chi.Router, set *metrics.Set, ready func() string) {
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, false)
		metrics.WriteProcessMetrics(w)
	})
	r.Get("/debug/pprof/", pprof.Index)
	r.Get("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/pprof/{profile}", pprof.Index)
}
