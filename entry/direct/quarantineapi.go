package direct

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/quarantine"
	"github.com/siskinford/siskinford/core/id"
)

// QuarantinedPart is what an entry knows of a part of prompts, for operators.
type QuarantinedPart struct {
	Service id.Service `json:"service"`
	Part    id.Part    `json:"part"`
	// State is "cleared", "suspected" or "blocked".
	State      string             `json:"state"`
	ByOperator bool               `json:"by_operator"`
	Ends       []quarantine.EndID `json:"ends"`
	// Companions are the parts of which one caused the ends, beside this one.
	Companions []id.Part `json:"companions,omitempty"`
	Trials     int       `json:"trials"`
	// Claimant is the entry that tries the part now.
	Claimant id.Host `json:"claimant,omitempty"`
	// AgeMillis is the time since the entry learned of the last end, PauseMillis that until the
	// part may be tried, IdleMillis that since a request with it last arrived at some entry.
	AgeMillis   int64 `json:"age_ms"`
	PauseMillis int64 `json:"pause_ms"`
	IdleMillis  int64 `json:"idle_ms"`
}

// Quarantine returns what is known of the parts of prompts that ends were blamed on.
func (h *Handler) Quarantine() []QuarantinedPart {
	var out []QuarantinedPart
	for name, s := range h.Services() {
		p := s.quarantine
		p.mu.Lock()
		now := p.now()
		for _, r := range p.table.Records() {
			q := QuarantinedPart{
				Service: name, Part: r.Part, State: r.State.String(), ByOperator: r.ByOperator, Ends: r.Ends, Companions: r.Companions,
				Trials: r.Trials, AgeMillis: max(now-r.BlamedAt, 0).Milliseconds(), IdleMillis: max(now-r.UsedAt, 0).Milliseconds(),
			}
			if r.State == quarantine.Blocked && !r.ByOperator {
				q.PauseMillis = max(r.Until-now, 0).Milliseconds()
			}
			if now < r.ClaimUntil {
				q.Claimant = r.Claimant
			}
			out = append(out, q)
		}
		p.mu.Unlock()
	}
	return out
}

// changeQuarantine applies an operator's change of a part.
func (h *Handler) changeQuarantine(service id.Service, part string, change func(*quarantine.Table, id.Part, time.Duration) bool) error {
	s := h.Service(service)
	if s == nil {
		return errors.Newf("service %q does not exist", service)
	}
	parts := quarantine.Parts([]string{part})
	p := s.quarantine
	p.mu.Lock()
	defer p.mu.Unlock()
	if !change(p.table, parts[0], p.now()) {
		return errors.Newf("part %q of service %q has no record, or there are too many", part, service)
	}
	p.publish()
	return nil
}

// BlockPart refuses requests with a part at all entries until FreePart is called.
func (h *Handler) BlockPart(service id.Service, part string) error {
	return h.changeQuarantine(service, part, (*quarantine.Table).Block)
}

// FreePart lets requests with a part pass again at all entries.
func (h *Handler) FreePart(service id.Service, part string) error {
	return h.changeQuarantine(service, part, (*quarantine.Table).Free)
}
