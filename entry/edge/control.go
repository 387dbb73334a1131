package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/balance/quarantine"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/ops"
	"github.com/siskinford/siskinford/entry/intake"
)

// controlHeaderTimeout bounds the time to read the header of an operator's request.
const controlHeaderTimeout = 5 * time.Second

// startControl starts the servers for operators and metrics collectors. Collectors cannot change
// anything.
func (e *Edge) startControl() error {
	e.registerGauges()
	e.controlServer = e.newControlServer(func(r chi.Router) {
		r.Route("/quarantine", e.addQuarantineRoutes)
		r.Get("/evacuations", e.serveEvacuations)
	})
	e.metricsServer = e.newControlServer(func(chi.Router) {})
	if err := e.listenControl(e.controlServer, e.cfg.ControlListen, intake.Operators); err != nil {
		return err
	}
	return e.listenControl(e.metricsServer, e.cfg.MetricsListen, intake.Collector)
}

// listenControl serves at an address, unless it is empty.
func (e *Edge) listenControl(s *http.Server, address string, kind intake.Kind) error {
	if address == "" {
		return nil
	}
	l, err := e.listen(address, kind)
	if err != nil {
		return err
	}
	go e.serve(s, l)
	return nil
}

func (e *Edge) newControlServer(add func(chi.Router)) *http.Server {
	r := chi.NewRouter()
	ops.AddRoutes(r, e.set, e.notReady)
	add(r)
	return accountServer(&http.Server{Handler: r, ReadHeaderTimeout: controlHeaderTimeout, IdleTimeout: readyIdleTimeout})
}

// addQuarantineRoutes adds the routes to list, block and free parts of prompts:
//
//	GET    /quarantine                  JSON lines of direct.QuarantinedPart
//	PUT    /quarantine/{service}/{part} blocks a part until it is freed
//	DELETE /quarantine/{service}/{part} frees a part
func (e *Edge) addQuarantineRoutes(r chi.Router) {
	r.Get("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/x-ndjson")
		out := json.NewEncoder(w)
		for _, p := range e.handler.Quarantine() {
			if err := out.Encode(p); err != nil {
				return // The operator disconnected.
			}
		}
	})
	change := func(apply func(id.Service, string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if err := apply(id.Service(chi.URLParam(r, "service")), chi.URLParam(r, "part")); err != nil {
				http.Error(w, err.Error(), http.StatusNotFound)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		}
	}
	r.Put("/{service}/{part}", change(e.handler.BlockPart))
	r.Delete("/{service}/{part}", change(e.handler.FreePart))
}

// notReady returns why the entry does not accept work, or "" if it does.
func (e *Edge) notReady() string {
	switch {
	case e.leaving.Load():
		return "the entry is leaving"
	case e.handler.Table() == nil:
		return "no configuration is known yet"
	case e.isolated.Load():
		return "the entry is cut off from endpoints and other zones"
	case e.evacuationsInUse() && e.evacuations.pending():
		return "the evacuated zones are not known yet"
	}
	return ""
}

// registerGauges registers the gauges that are computed at collection.
func (e *Edge) registerGauges() {
	e.set.NewGauge("siskinford_entries_in_touch", func() float64 { return float64(len(e.mesh.Alive())) })
	e.set.NewGauge("siskinford_entries_registered", func() float64 { return float64(e.mesh.MemberCount()) })
	e.set.NewGauge("siskinford_configuration_version", func() float64 { return float64(e.values.versions()[topicConfig]) })
	e.set.NewGauge("siskinford_endpoints_revision", func() float64 { return float64(e.values.versions()[topicEndpoints]) })
	e.set.NewGauge("siskinford_evacuated_zones", func() float64 {
		zones, _ := e.evacuations.zones()
		return float64(len(zones))
	})
	e.set.NewGauge("siskinford_quarantined_parts", func() float64 {
		blocked := 0
		for _, p := range e.handler.Quarantine() {
			if p.State == quarantine.Blocked.String() {
				blocked++
			}
		}
		return float64(blocked)
	})
	e.set.NewGauge("siskinford_store_era", func() float64 { return float64(e.store.Era()) })
	e.set.NewGauge("siskinford_platform_available", func() float64 {
		if e.store.Available() {
			return 1
		}
		return 0
	})
}
