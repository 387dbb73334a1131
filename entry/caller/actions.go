package caller

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/outcome"
)

func (a *API) issueTicket(w http.ResponseWriter, r *http.Request, c caller) {
	service, p := a.plainService(r, c)
	if p != nil {
		a.fail(w, r, p)
		return
	}
	t, p := a.deps.Actions.IssueTicket(r.Context(), c.team.Name, service.Name)
	if p != nil {
		a.fail(w, r, p)
		return
	}
	writeJSON(w, http.StatusCreated, t)
}

// inquire answers what is known of the action of a ticket or key.
func (a *API) inquire(w http.ResponseWriter, r *http.Request, c caller) {
	service, p := a.plainService(r, c)
	if p != nil {
		a.fail(w, r, p)
		return
	}
	known, p := a.deps.Actions.Status(r.Context(), c.team.Name, service.Name, chi.URLParam(r, "key"))
	if p != nil {
		a.fail(w, r, p)
		return
	}
	w.Header().Set(outcome.Header, string(known.Outcome))
	writeJSON(w, http.StatusOK, known)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
