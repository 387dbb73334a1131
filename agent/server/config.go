// Package server implements the agent of one endpoint: it queues the requests that entries
// dispatch and is the only client of the model engine or plain service on its host.
package server

import (
	"time"

	"github.com/siskinford/siskinford/agent/ledger"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/link"
)

// Config configures an Agent.
type Config struct {
	// Endpoint is the name of the endpoint in the operators' configuration. Required.
	Endpoint id.Endpoint
	// Host is the name of this machine. Required.
	Host id.Host
	// Listen is the UDP address for entries. Default: 127.0.0.1:0.
	Listen string
	// OperatorListen is the TCP address for operators. Default: 127.0.0.1:0.
	OperatorListen string
	// Slots is the number of attempts that run at the same time. Default: 16.
	Slots int
	// MaxQueue bounds the attempts that wait for a slot. Default: 1,024.
	MaxQueue int
	// QueuePolicy is the order in which waiting attempts start. Default: short-first.
	QueuePolicy QueuePolicy
	// TicketLifetime is how long a ticket is valid. It must not exceed
	// Ledger.ActionRetention. Default: 15 min.
	TicketLifetime time.Duration
	// ReportInterval is the minimum interval of load reports to one entry. Default: 250 ms.
	ReportInterval time.Duration
	// EnginePoll is the interval at which the engine's load is polled. Default: 100 ms.
	EnginePoll time.Duration
	// Ledger configures the ledger of attempts.
	Ledger ledger.Config
	// Link configures the connections from entries.
	Link link.Config
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Listen:         "127.0.0.1:0",
		OperatorListen: "127.0.0.1:0",
		Slots:          16,
		MaxQueue:       1024,
		QueuePolicy:    ShortFirst,
		TicketLifetime: 15 * time.Minute,
		ReportInterval: 250 * time.Millisecond,
		EnginePoll:     100 * time.Millisecond,
		Ledger:         ledger.DefaultConfig(),
		Link:           link.DefaultConfig(),
	}
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Endpoint == "" {
		l.Addf("endpoint", "is not set")
	}
	if c.Host == "" {
		l.Addf("host", "is not set")
	}
	if c.Slots <= 0 {
		l.Addf("slots", "%d is not positive", c.Slots)
	}
	if c.MaxQueue < 0 {
		l.Addf("max-queue", "%d is negative", c.MaxQueue)
	}
	if c.QueuePolicy != ShortFirst && c.QueuePolicy != FirstInFirstOut {
		l.Addf("queue-policy", "%q is neither %q nor %q", c.QueuePolicy, ShortFirst, FirstInFirstOut)
	}
	if c.TicketLifetime <= 0 {
		l.Addf("ticket-lifetime", "duration %v is not positive", c.TicketLifetime)
	}
	if c.TicketLifetime > c.Ledger.ActionRetention {
		l.Addf("ticket-lifetime", "%v exceeds the retention of actions %v", c.TicketLifetime, c.Ledger.ActionRetention)
	}
	if c.ReportInterval <= 0 {
		l.Addf("report-interval", "duration %v is not positive", c.ReportInterval)
	}
	if c.EnginePoll <= 0 {
		l.Addf("engine-poll", "duration %v is not positive", c.EnginePoll)
	}
	l.Merge("", c.Ledger.Validate())
	l.Merge("", c.Link.Validate())
	return l
}
