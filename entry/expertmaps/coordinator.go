// Package expertmaps decides on the expert maps of groups of ranks that the entry reaches
// without an agent. The entry that holds the lease of a group samples its ranks, plans and
// switches the map; safety rests on package mapswitch, not on the lease.
package expertmaps

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/wire/relay"
)

// Config configures a Coordinator. Zero values select the defaults.
type Config struct {
	// StateInterval is the interval at which relays poll their rank during a change, and
	// always at sampled ranks. Default: 15 ms, a quarter of a short step.
	StateInterval time.Duration
	// IdleStateInterval is the poll interval of the other ranks between changes. Default:
	// 60 ms.
	IdleStateInterval time.Duration
	// SampleInterval is the minimum interval between samples of a rank. Default: 40 ms, so
	// that each step is sampled.
	SampleInterval time.Duration
	// SampledSlots is the number of request slots at the sampled ranks of a group; the other
	// ranks run the same kind of requests. Default: 192, with which maps of a group of 16
	// ranks follow the demand.
	SampledSlots int
	// DemandTimeConstant is the time constant of the demand estimate. Default: 1 s.
	DemandTimeConstant time.Duration
	// MaxDemandAge is the maximum age of an estimate used for planning. Default: 1 s.
	MaxDemandAge time.Duration
	// PlanInterval is the minimum time between plans. Default: 40 ms.
	PlanInterval time.Duration
	// ReplanHoldoff is the time without new plans after one that was not worth its cost,
	// unless the demand changes. Default: 1 s.
	ReplanHoldoff time.Duration
	// LayoutInterval is the interval at which relays read the experts on their rank again. Default:
	// 2 s.
	LayoutInterval time.Duration
	// MaxCopyTime bounds the time for which a rank copies experts in one change; it may copy
	// one in any case. Passes take longer while ranks copy, and the map gets older. Default:
	// 60 ms, a few passes.
	MaxCopyTime time.Duration
	// MinTotalGain is the minimum gain of a copy (see expertmap.RoundPlanner) times the number of
	// ranks: a copy costs the same in a large group, but all ranks gain. Idle groups need up
	// to 1.5 times as much. Default: 0.64, where copies cost about what they gain.
	MinTotalGain float64
	// MinSkewReduction is the minimum reduction of the skew by a change. Default: 0.04.
	MinSkewReduction float64
	// LeaseTTL is the validity of a renewed lease. Default: 2.4 s.
	LeaseTTL time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.StateInterval, 15*time.Millisecond)
	setDefault(&c.IdleStateInterval, 60*time.Millisecond)
	setDefault(&c.SampleInterval, 40*time.Millisecond)
	setDefault(&c.SampledSlots, 192)
	setDefault(&c.DemandTimeConstant, time.Second)
	setDefault(&c.MaxDemandAge, time.Second)
	setDefault(&c.PlanInterval, 40*time.Millisecond)
	setDefault(&c.ReplanHoldoff, time.Second)
	setDefault(&c.LayoutInterval, 2*time.Second)
	setDefault(&c.MaxCopyTime, 60*time.Millisecond)
	setDefault(&c.MinTotalGain, 0.64)
	setDefault(&c.MinSkewReduction, 0.04)
	setDefault(&c.LeaseTTL, 2400*time.Millisecond)
	return c
}

// copiesPerRank returns the number of experts that a rank may copy in one change.
func (c Config) copiesPerRank(e *routes.Experts) int {
	one := e.CopyTime()
	if one <= 0 {
		return 1
	}
	return max(int(c.MaxCopyTime/one), 1)
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Peers reports the state of lease holders as other entries announce it.
type Peers interface {
	// Acting reports whether the holder recently announced that it performs the duty.
	Acting(holder string, d duty.Name) bool
	// Gone reports whether the holder has ended.
	Gone(holder string) bool
	// Claimed returns the highest fencing token that a reachable entry announces for the
	// duty, zero for none.
	Claimed(d duty.Name) uint64
}

// DutyName returns the name of the duty to decide on the maps of a group of a service.
func DutyName(s id.Service, g id.Group) duty.Name {
	return duty.Name("experts." + string(s) + "." + string(g))
}

// Options are the dependencies of a Coordinator.
type Options struct {
	Config  Config
	Service id.Service
	Group   id.Group
	// Holder identifies this process as a lease holder; it differs after a restart.
	Holder string
	Store  objectapi.Store
	Peers  Peers
	// Engine describes the engines of the service.
	Engine *routes.Engine
	// List returns the endpoints that are or may be ranks of the group, in order of
	// preference for sampling.
	List func() []ranklink.Endpoint
	// Source is the local address for connections to relays.
	Source netip.Addr
	// EngineClient returns a client for a rank without a relay.
	EngineClient func(address string) relay.Engine
	Log          zerolog.Logger
	// Metrics receives the time that maps take to follow the demand.
	Metrics *metrics.Set
}

// Coordinator competes for the lease of a group's maps and decides while it holds it.
type Coordinator struct {
	opt   Options
	duty  duty.Name
	lease *duty.Lease
	token atomic.Uint64
	// abandoned is the token of the last session that failed. Versions of maps under it may be in
	// use, so that no other session acts under it.
	abandoned uint64
}

// New returns a coordinator that is started by Run.
func New(o Options) (*Coordinator, error) {
	o.Config = o.Config.withDefaults()
	name := DutyName(o.Service, o.Group)
	lease, err := duty.NewLease(duty.LeaseConfig{
		Store: o.Store, Duty: name, Holder: o.Holder, TTL: o.Config.LeaseTTL,
		HolderDead: o.Peers.Gone,
	})
	if err != nil {
		return nil, err
	}
	return &Coordinator{opt: o, duty: name, lease: lease}, nil
}

const (
	// leaseChecksPerTTL is the number of lease checks within the TTL.
	leaseChecksPerTTL = 8
	// checksPerRenewal and checksPerRead are the numbers of checks per renewal of the own
	// lease and per read of an acting holder's lease.
	checksPerRenewal = 3
	checksPerRead    = 24
)

// Run works until ctx ends, then releases the lease.
func (c *Coordinator) Run(ctx context.Context) {
	var current *session
	var running uint64
	tick := time.NewTicker(c.opt.Config.LeaseTTL / leaseChecksPerTTL)
	defer tick.Stop()
	for n := 0; ; n++ {
		if err := c.checkLease(ctx, n); err != nil && ctx.Err() == nil {
			c.opt.Log.Warn().Err(err).Str("event", "lease.unclear").Str("service", string(c.opt.Service)).Str("group", string(c.opt.Group)).Send()
		}
		if current != nil && current.failed.Load() {
			c.abandoned, running, current = running, 0, nil
		}
		token := c.currentToken(running)
		if token != running {
			if token == 0 && c.lease.Holder() == "" {
				// After a return of the store nobody can take the lease for a while, so nobody else
				// would release the group.
				current.finish()
			} else {
				current.stop()
			}
			current = c.startSession(ctx, token)
			running = token
		}
		select {
		case <-ctx.Done():
			current.finish()
			c.token.Store(0)
			c.release()
			return
		case <-tick.C:
		}
	}
}

// currentToken returns the fencing token to act under, zero for none. A holder whose
// renewals fail keeps acting while no other holder is known: the lease cannot be acquired
// while the platform is down, and two coordinators at a time do no harm.
func (c *Coordinator) currentToken(running uint64) uint64 {
	if token, held := c.lease.Valid(time.Now()); held && token != c.abandoned {
		c.token.Store(token)
		return token
	}
	if running != 0 && c.lease.Holder() == c.opt.Holder && c.opt.Peers.Claimed(c.duty) <= running {
		return running
	}
	c.token.Store(0)
	return 0
}

// FencingToken returns the token the coordinator acts under, zero for none.
func (c *Coordinator) FencingToken() uint64 { return c.token.Load() }

// checkLease acquires, renews or reads the lease. Every third check renews it; while its
// holder announces that it acts, it is read only once in checksPerRead checks.
func (c *Coordinator) checkLease(ctx context.Context, n int) error {
	holder := c.lease.Holder()
	token, held := c.lease.Valid(time.Now())
	switch {
	case held && token == c.abandoned:
		return c.lease.Release(ctx) // The next acquisition has another token.
	case held && n%checksPerRenewal != 0:
		return nil
	case holder != "" && holder != c.opt.Holder && c.opt.Peers.Acting(holder, c.duty) && n%checksPerRead != 0:
		return nil
	}
	return c.lease.AcquireOrRenew(ctx)
}

// startSession runs a session under a token. Zero means that the lease was lost; there is no
// session then. The session goes on after ctx.
func (c *Coordinator) startSession(ctx context.Context, token uint64) *session {
	log := c.opt.Log.With().Str("service", string(c.opt.Service)).Str("group", string(c.opt.Group)).Logger()
	if token == 0 {
		log.Info().Str("event", "lease.lost").Str("holder", c.lease.Holder()).Send()
		return nil
	}
	log.Info().Str("event", "lease.held").Uint64("lease", token).Send()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &session{
		cancel: cancel, leave: make(chan struct{}), ended: make(chan struct{}),
		cfg: c.opt.Config, name: c.opt.Group, engine: c.opt.Engine, token: token, log: log, set: c.opt.Metrics, list: c.opt.List, engineClient: c.opt.EngineClient, source: c.opt.Source,
		events: make(chan ranklink.Event, eventQueue),
		links:  make(map[id.Endpoint]*ranklink.Link), layouts: make(map[*ranklink.Link]relay.Layout),
		groups: make(map[id.Group]*group), pending: make(map[uint64]pendingOrder),
		invalid: &invalidAnswers{group: c.opt.Group, log: log, set: c.opt.Metrics},
	}
	s.members = newMembers(s.invalid.add)
	go s.run(ctx)
	return s
}

// releaseTimeout bounds the release of the lease at shutdown.
const releaseTimeout = 500 * time.Millisecond

func (c *Coordinator) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.lease.Release(ctx); err != nil {
		c.opt.Log.Warn().Err(err).Str("event", "lease.not_released").Send()
	}
}
