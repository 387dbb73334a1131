package transport

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Purpose identifies the protocol of a payload. It is sent as the first byte of
// each payload.
type Purpose byte

const (
	// Membership payloads belong to package member.
	Membership Purpose = iota + 1
	// Configuration payloads belong to package configsync.
	Configuration
	// Duties payloads belong to packages that run singleton tasks, such as hosts.
	Duties
	// Limits payloads divide the teams' limits between entries.
	Limits
	// Operators payloads carry operators' queries between entries.
	Operators

	purposes
)

// String returns the value of the purpose label in metrics.
func (p Purpose) String() string {
	switch p {
	case Membership:
		return "membership"
	case Configuration:
		return "configuration"
	case Duties:
		return "duties"
	case Limits:
		return "limits"
	case Operators:
		return "operators"
	}
	return fmt.Sprintf("purpose-%d", byte(p))
}

// Mux multiplexes purposes over one transport and counts the payload bytes of
// each in siskinford_control_bytes_total. Calls with a purpose that has no
// registered handler fail.
type Mux struct {
	caller   Caller
	handlers [purposes]atomic.Pointer[Handler]
	sent     [purposes]*metrics.Counter
	received [purposes]*metrics.Counter
}

// NewMux returns a Mux that sends through caller and registers its metrics in set.
func NewMux(caller Caller, set *metrics.Set) *Mux {
	m := &Mux{caller: caller}
	for p := Membership; p < purposes; p++ {
		m.sent[p] = set.GetOrCreateCounter(counterName(p, "sent"))
		m.received[p] = set.GetOrCreateCounter(counterName(p, "received"))
	}
	return m
}

func counterName(p Purpose, direction string) string {
	return fmt.Sprintf("siskinford_control_bytes_total{purpose=%q,direction=%q}", p, direction)
}

// Register sets the handler for calls with purpose p.
func (m *Mux) Register(p Purpose, h Handler) { m.handlers[p].Store(&h) }

// Caller returns a Caller whose payloads have purpose p.
func (m *Mux) Caller(p Purpose) Caller { return &purposeCaller{mux: m, purpose: p} }

// Handle dispatches a call to the handler of its purpose. It is a Handler.
func (m *Mux) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, fmt.Errorf("peer message is empty")
	}
	p := Purpose(payload[0])
	if p == 0 || p >= purposes {
		return nil, fmt.Errorf("peer message has unknown purpose %d", payload[0])
	}
	handler := m.handlers[p].Load()
	if handler == nil {
		return nil, fmt.Errorf("peer message has purpose %q, which has no handler", p)
	}
	m.received[p].Add(len(payload))
	answer, err := (*handler)(ctx, payload[1:])
	m.sent[p].Add(len(answer))
	return answer, err
}

type purposeCaller struct {
	mux     *Mux
	purpose Purpose
}

func (c *purposeCaller) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	framed := make([]byte, 0, len(payload)+1)
	framed = append(framed, byte(c.purpose))
	framed = append(framed, payload...)
	c.mux.sent[c.purpose].Add(len(framed))
	answer, err := c.mux.caller.Call(ctx, address, framed)
	c.mux.received[c.purpose].Add(len(answer))
	return answer, err
}

func (c *purposeCaller) Abandon(address string) { c.mux.caller.Abandon(address) }
