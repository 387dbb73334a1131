package platform

import (
	"fmt"
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Outage is a failure mode of the whole platform.
type Outage string

const (
	// OutageNone means that the platform is up.
	OutageNone Outage = ""
	// OutageRefuse rejects every call with status 503.
	OutageRefuse Outage = "refuse"
	// OutageHang blocks every call until the outage ends.
	OutageHang Outage = "hang"
)

// Faults are the injected faults of the platform. The zero value injects none.
type Faults struct {
	// Outage is the current outage, if any.
	Outage Outage `json:"outage"`
	// DelayMS delays each call.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of next writes that take effect and whose connection is
	// then closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// HoldWrites is the number of next writes whose connection is closed without a
	// response and which take effect only when ReleaseWrites is called.
	HoldWrites int `json:"hold_writes"`
	// StaleVersions makes reads return the state before that many writes, at most four.
	StaleVersions int `json:"stale_versions"`
}

// Validate returns all problems in f.
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

// SetFaults replaces the injected faults. Hanging calls resume when the outage ends.
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

// Faults returns the injected faults with their remaining counts.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ReleaseWrites applies the held writes in arrival order and returns their number.
func (p *Platform) ReleaseWrites() int {
	p.mu.Lock()
	held := p.heldWrites
	p.heldWrites = nil
	p.mu.Unlock()
	for _, apply := range held {
		apply()
	}
	return len(held)
}

// holdWrite consumes an injected hold and queues apply for ReleaseWrites.
func (p *Platform) holdWrite(apply func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.HoldWrites == 0 {
		return false
	}
	p.faults.HoldWrites--
	p.heldWrites = append(p.heldWrites, apply)
	return true
}

// dropsAnswer consumes an injected answer loss.
func (p *Platform) dropsAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }
