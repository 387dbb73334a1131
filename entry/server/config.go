// Package server implements the entry process: it serves callers and operators and
// connects the components of an entry.
package server

import (
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/caller"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/endpoints"
	"github.com/siskinford/siskinford/entry/groups"
	"github.com/siskinford/siskinford/entry/limits"
	"github.com/siskinford/siskinford/entry/operator"
	"github.com/siskinford/siskinford/wire/link"
)

// Config configures an entry.
type Config struct {
	// Host is the name of this machine. Required.
	Host id.Host
	// Zone is the availability zone of this machine. Required.
	Zone id.Zone
	// Region is the region of the zone. Default: empty.
	Region id.Region
	// CallerListen is the TCP address for callers. Default: 127.0.0.1:8080.
	CallerListen string
	// OperatorListen is the TCP address for operators. Default: 127.0.0.1:8081.
	OperatorListen string
	// PeerListen is the UDP address for other entries. Default: 127.0.0.1:8082.
	PeerListen string
	// PeerAddress is the address at which other entries reach PeerListen.
	// Default: the address that PeerListen is bound to.
	PeerAddress string
	// Policy is the routing policy. Default: predicted-time.
	Policy route.Policy
	// ReadyDelay is the time at shutdown between the first failing response of /readyz
	// and the closing of the listener for callers. Default: 0.
	ReadyDelay time.Duration
	// Admission refuses requests that cannot meet their deadline and limits teams to
	// their share under contention. Default: true.
	Admission bool
	// KeyRetention is the age at which an idempotency key chosen by a caller
	// expires. It must be below the agents' retention of actions. Default: 30 min.
	KeyRetention time.Duration
	// Events is the number of events that the timeline keeps. Default: 20,000.
	Events    int
	Operator  operator.APIConfig
	Caller    caller.Config
	Dispatch  dispatch.Config
	Endpoints endpoints.Config
	Limits    limits.Config
	Groups    groups.Config
	Link      link.Config
}

func DefaultConfig() Config {
	return Config{
		CallerListen:   "127.0.0.1:8080",
		OperatorListen: "127.0.0.1:8081",
		PeerListen:     "127.0.0.1:8082",
		Policy:         route.PredictedTime,
		Admission:      true,
		KeyRetention:   30 * time.Minute,
		Events:         20_000,
		Operator:       operator.DefaultAPIConfig(),
		Caller:         caller.DefaultConfig(),
		Dispatch:       dispatch.DefaultConfig(),
		Endpoints:      endpoints.DefaultConfig(),
		Limits:         limits.DefaultConfig(),
		Groups:         groups.DefaultConfig(),
		Link:           link.DefaultConfig(),
	}
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Host == "" {
		l.Addf("host", "is not set")
	}
	if c.Zone == "" {
		l.Addf("zone", "is not set")
	}
	if _, err := route.New(c.Policy, route.NewTable(route.Config{})); err != nil {
		l.Addf("policy", "%v", err)
	}
	if c.Events <= 0 {
		l.Addf("events", "%d is not positive", c.Events)
	}
	if c.KeyRetention <= 0 {
		l.Addf("key-retention", "duration %v is not positive", c.KeyRetention)
	}
	if c.ReadyDelay < 0 {
		l.Addf("ready-delay", "duration %v is negative", c.ReadyDelay)
	}
	l.Merge("", c.Operator.Validate())
	l.Merge("", c.Caller.Validate())
	l.Merge("", c.Dispatch.Validate())
	l.Merge("limit-", c.Limits.Validate())
	l.Merge("", c.Groups.Validate())
	l.Merge("", c.Link.Validate())
	return l
}
