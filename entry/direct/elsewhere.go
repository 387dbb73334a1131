package direct

import (
	"net/http"
	"time"

	"github.com/siskinford/siskinford/balance/scheduler"
)

// Unreachable reports whether there is a service of which this entry can reach no endpoint that could serve.
func (h *Handler) Unreachable() bool {
	for _, s := range h.Services() {
		if s.unreachable() {
			return true
		}
	}
	return false
}

// SetElsewhere sets after which time new connections of clients reach another entry, negative if this entry
// serves. While it is set, requests of services in an outage are refused with that time.
func (h *Handler) SetElsewhere(after time.Duration) {
	for _, s := range h.Services() {
		s.setElsewhere(after)
	}
}

// closeIfElsewhere makes a refused client open a new connection, which reaches another entry.
func closeIfElsewhere(w http.ResponseWriter, d scheduler.Decision) {
	if d.Reason == scheduler.Elsewhere {
		w.Header().Set("Connection", "close")
	}
}
