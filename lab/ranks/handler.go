package ranks

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	protocol "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// Handler serves the engine protocol of rank n under /ranks/n and, under /lab, step
// records and fault injection.
func (g *Group) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/lab/steps", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Steps()) })
	r.Get("/lab/summary", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Summary()) })
	for rank := range g.engines {
		r.Route("/lab/ranks/"+strconv.Itoa(rank), func(r chi.Router) { g.labRoutes(r, rank) })
		r.Route("/ranks/"+strconv.Itoa(rank), func(r chi.Router) { g.rankRoutes(r, rank) })
	}
	return r
}

func (g *Group) labRoutes(r chi.Router, rank int) {
	r.Put("/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if readJSON(w, r, &f) {
			g.SetFaults(rank, f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	r.Post("/restart", func(w http.ResponseWriter, _ *http.Request) {
		g.Restart(rank)
		w.WriteHeader(http.StatusNoContent)
	})
}

func (g *Group) rankRoutes(r chi.Router, rank int) {
	r.Get(protocol.PathRankState, g.serveRead(rank, func(_ *http.Request, e *engine) (any, error) {
		s := e.state
		s.Staged = slices.Clone(s.Staged)
		return s, nil
	}))
	r.Post(protocol.PathRankLoads, g.serveRead(rank, func(_ *http.Request, e *engine) (any, error) {
		l := e.counts
		e.counts = groupmsg.Loads{}
		return l, nil
	}))
	r.Get(protocol.PathRankLayouts+"{version}", g.serveRead(rank, func(r *http.Request, e *engine) (any, error) {
		v, err := strconv.ParseUint(chi.URLParam(r, "version"), 10, 64)
		layout := e.layouts[lockstep.Version(v)]
		if err != nil || layout == nil {
			return nil, errUnknownMap
		}
		return layout, nil
	}))
	r.Post(protocol.PathRankOrder, func(w http.ResponseWriter, r *http.Request) {
		var o lockstep.EngineOrder
		if readJSON(w, r, &o) {
			g.serveUpdate(w, r, rank, func(e *engine) error { return e.acceptOrder(o, g.config.Fencing, time.Now()) })
		}
	})
	r.Post(protocol.PathRankWeights, func(w http.ResponseWriter, r *http.Request) {
		var weights groupmsg.Weights
		if readJSON(w, r, &weights) {
			g.serveUpdate(w, r, rank, func(e *engine) error {
				e.stage(weights, time.Now().Add(g.config.StageTime))
				return nil
			})
		}
	})
}

// serveRead returns a handler that responds with the result of read.
func (g *Group) serveRead(rank int, read func(*http.Request, *engine) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body any
		err := g.withEngine(r.Context(), rank, func(e *engine) error {
			var err error
			body, err = read(r, e)
			return err
		})
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func (g *Group) serveUpdate(w http.ResponseWriter, r *http.Request, rank int, do func(*engine) error) {
	if err := g.withEngine(r.Context(), rank, do); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errFenced), errors.Is(err, errOtherFormation):
		status = http.StatusConflict
	case errors.Is(err, errUnknownMap):
		status = http.StatusNotFound
	}
	writeJSON(w, status, protocol.ErrorBody{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the client has disconnected.
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, protocol.ErrorBody{Error: err.Error(), NotStarted: true})
	}
	return err == nil
}
