package caller

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/outcome"
)

func (a *API) issueTicket(w http.ResponseWriter, r *http.Request, c requestInfo) {
	service, p := a.plainService(r, c)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	t, p := a.deps.Actions.IssueTicket(r.Context(), c.team.Name, service.Name)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	writeJSON(w, http.StatusCreated, t)
}

func (a *API) actionStatus(w http.ResponseWriter, r *http.Request, c requestInfo) {
	service, p := a.plainService(r, c)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	status, p := a.deps.Actions.Status(r.Context(), c.team.Name, service.Name, chi.URLParam(r, "key"))
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	w.Header().Set(outcome.Header, string(status.Outcome))
	writeJSON(w, http.StatusOK, status)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
