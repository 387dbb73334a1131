package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	protocol "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/core/id"
)

// Handler serves the engine protocol and, under /lab, statistics and fault injection.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(protocol.PathCompletions, e.serveCompletion)
	r.Post(protocol.PathAttempts+"{attempt}/pause", e.serveAttempt(e.Pause))
	r.Post(protocol.PathAttempts+"{attempt}/resume", e.serveAttempt(e.Resume))
	r.Post(protocol.PathAttempts+"{attempt}/cancel", e.serveAttempt(e.Cancel))
	r.Get(protocol.PathLoad, e.serveLoad)
	r.Get(protocol.PathCacheEvents, e.serveCacheEvents)
	r.Post(protocol.PathOrders, e.serveOrder)
	r.Get(protocol.PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.State()) })
	r.Route("/lab", e.labRoutes)
	return r
}

func (e *Engine) labRoutes(r chi.Router) {
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.AllStats()) })
	r.Get("/runs/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats(id.Attempt(chi.URLParam(r, "attempt"))))
	})
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Faults()) })
	r.Put("/faults", e.serveSetFaults)
	r.Post("/cache/clear", func(w http.ResponseWriter, _ *http.Request) {
		e.ClearCache()
		w.WriteHeader(http.StatusNoContent)
	})
	if group := e.config.Group; group != nil {
		r.Get("/steps", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, group.Steps()) })
		r.Get("/steps/split", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, group.MismatchedSteps())
		})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the client has disconnected.
}

// readJSON decodes the body and responds with 400 if it is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err == nil {
		return true
	}
	writeError(w, http.StatusBadRequest, err, true)
	return false
}

func writeError(w http.ResponseWriter, status int, err error, notStarted bool) {
	writeJSON(w, status, protocol.ErrorBody{Error: err.Error(), NotStarted: notStarted})
}

// httpStatus returns the response status for an error of the engine.
func httpStatus(err error) int {
	var epoch *epochError
	var model *modelError
	var order *orderError
	switch {
	case errors.As(err, &epoch):
		return http.StatusConflict
	case errors.As(err, &model), errors.Is(err, errUnknownAttempt):
		return http.StatusNotFound
	case errors.As(err, &order):
		return http.StatusBadRequest
	case errors.Is(err, errQueueFull):
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func (e *Engine) serveAttempt(act func(id.Attempt) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := act(id.Attempt(chi.URLParam(r, "attempt"))); err != nil {
			writeError(w, httpStatus(err), err, false)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.Load()
	writeJSON(w, http.StatusOK, protocol.LoadBody{
		Running:      load.Running,
		Waiting:      load.Waiting,
		CachedBlocks: load.CachedBlocks,
		StepTime:     load.StepTime.Microseconds(),
		Slots:        load.Slots,
		Age:          load.Age.Microseconds(),
	})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("after")
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil && text != "" {
		writeError(w, http.StatusBadRequest, err, false)
		return
	}
	writeJSON(w, http.StatusOK, e.CacheEvents(after))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order protocol.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.Order(order); err != nil {
		writeError(w, httpStatus(err), err, false)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
