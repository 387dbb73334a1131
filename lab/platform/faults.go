package platform

import (
	"fmt"
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Outage tells how the platform fails while it is down.
type Outage string

const (
	// OutageNone means that the platform is up.
	OutageNone Outage = ""
	// OutageRefuse answers every call with status 503.
	OutageRefuse Outage = "refuse"
	// OutageHang answers no call until the outage ends.
	OutageHang Outage = "hang"
)

// Faults are the switchable faults of the platform. The zero value has none.
type Faults struct {
	// Outage takes the platform down.
	Outage Outage `json:"outage"`
	// DelayMS delays each answer. Unit: milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers cuts the connection of that many next writes after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// HoldWrites cuts the connection of that many next writes before they take
	// effect and holds the writes until they are released.
	HoldWrites int `json:"hold_writes"`
	// StaleVersions makes reads show objects as they were that many writes ago, at most four.
	StaleVersions int `json:"stale_versions"`
}

// Validate returns all findings in f.
func (f Faults) Validate() finding.List {
	var l finding.List
	if f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageHang {
		l.Addf("outage", "unknown outage %q", string(f.Outage))
	}
	for _, c := range []struct {
		place string
		value int
	}{
		{"delay_ms", f.DelayMS},
		{"lose_answers", f.LoseAnswers},
		{"hold_writes", f.HoldWrites},
		{"stale_versions", f.StaleVersions},
	} {
		if c.value < 0 {
			l.Addf(c.place, "%d is negative", c.value)
		}
	}
	return l
}

// SetFaults replaces the faults. Calls that hang go on when the outage ends.
func (p *Platform) SetFaults(f Faults) error {
	if err := f.Validate().Err(); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	return nil
}

// Faults returns the faults that are set, with the counts that remain.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ReleaseWrites lets the held writes take effect in the order of their arrival
// and returns their number.
func (p *Platform) ReleaseWrites() int {
	p.mu.Lock()
	held := p.held
	p.held = nil
	p.mu.Unlock()
	for _, apply := range held {
		apply()
	}
	return len(held)
}

// takeHold consumes one held write and stores apply for later.
func (p *Platform) takeHold(apply func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.HoldWrites == 0 {
		return false
	}
	p.faults.HoldWrites--
	p.held = append(p.held, apply)
	return true
}

// takeLoss consumes one lost answer.
func (p *Platform) takeLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) outage() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }
