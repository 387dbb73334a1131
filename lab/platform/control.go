package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// maxBodyBytes limits the request body for faults and hosts.
const maxBodyBytes = 1 << 20

// labRoutes adds the test-control routes, which the real platform doesn't have.
func (p *Platform) labRoutes(r chi.Router) {
	r.Get("/lab/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Calls()) })
	r.Delete("/lab/calls", func(w http.ResponseWriter, _ *http.Request) {
		p.ResetCalls()
		w.WriteHeader(http.StatusNoContent)
	})
	r.Get("/lab/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Faults()) })
	r.Put("/lab/faults", p.putFaults)
	r.Put("/lab/hosts", p.putHosts)
	r.Post("/lab/held/release", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, Released{Writes: p.ReleaseWrites()})
	})
}

// Released is the response body of /lab/held/release.
type Released struct {
	// Writes is the number of released writes.
	Writes int `json:"writes"`
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if err := p.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var l objectapi.HostList
	if !readJSON(w, r, &l) {
		return
	}
	p.SetHosts(l.Hosts)
	writeJSON(w, http.StatusOK, l)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
