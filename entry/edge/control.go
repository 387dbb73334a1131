package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/ops"
)

// controlHeaderTimeout bounds the time to read the header of an operator's request.
const controlHeaderTimeout = 5 * time.Second

// startControl starts the server for operators and metrics collectors.
func (e *Edge) startControl() error {
	r := chi.NewRouter()
	ops.AddRoutes(r, e.set, e.notReady)
	e.controlServer = &http.Server{Handler: r, ReadHeaderTimeout: controlHeaderTimeout}
	e.registerGauges()
	for _, address := range []string{e.cfg.ControlListen, e.cfg.MetricsListen} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen for operators")
		}
		go e.serve(e.controlServer, l)
	}
	return nil
}

// notReady returns why the entry does not accept work, or "" if it does.
func (e *Edge) notReady() string {
	switch {
	case e.leaving.Load():
		return "the entry is leaving"
	case e.handler.Table() == nil:
		return "no configuration is known yet"
	}
	return ""
}

// registerGauges registers the gauges that are computed at collection.
func (e *Edge) registerGauges() {
	e.set.NewGauge("siskinford_entries_in_touch", func() float64 { return float64(len(e.mesh.Alive())) })
	e.set.NewGauge("siskinford_entries_registered", func() float64 { return float64(e.mesh.MemberCount()) })
	e.set.NewGauge("siskinford_configuration_version", func() float64 { return float64(e.values.versions()[topicConfig]) })
	e.set.NewGauge("siskinford_endpoints_revision", func() float64 { return float64(e.values.versions()[topicEndpoints]) })
	e.set.NewGauge("siskinford_platform_available", func() float64 {
		if e.store.Available() {
			return 1
		}
		return 0
	})
}
