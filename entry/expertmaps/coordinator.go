// Package expertmaps decides on the expert maps of the groups of ranks that a
// service reaches directly. The entry that holds the lease of a group samples its ranks,
// plans, and changes the map; safety rests on package mapswitch, not on the lease.
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

// Config holds the settings of a Coordinator. Zero values select the defaults.
type Config struct {
	// StateInterval is the interval at which relays look at their rank during a
	// change, and always at ranks that are sampled. Default: 15 ms, a quarter of a
	// short pass.
	StateInterval time.Duration
	// IdleStateInterval is the interval at which relays look at the other ranks while no
	// change is under way. Default: 60 ms.
	IdleStateInterval time.Duration
	// SampleInterval is the least interval between samples of a rank. Default: 40 ms,
	// so that each pass is sampled.
	SampleInterval time.Duration
	// SampledSlots is the number of slots at the ranks of a group that are sampled;
	// the others run requests of the same kind. Default: 192, with which maps of a
	// group of 16 ranks follow the demand.
	SampledSlots int
	// DemandTimeConstant is the time constant of the estimate of demand. Default: 1 s.
	DemandTimeConstant time.Duration
	// MaxDemandAge is the age from which on an estimate is not planned with. Default: 1 s.
	MaxDemandAge time.Duration
	// PlanInterval is the least time between two plans. Default: 40 ms.
	PlanInterval time.Duration
	// ReplanHoldoff is the time for which a map that was good enough is kept while demand
	// stays much the same. Default: 1 s.
	ReplanHoldoff time.Duration
	// MaxCopiesPerRank bounds the experts that a rank copies for one change. Default: 1.
	MaxCopiesPerRank int
	// MinTotalGain is the least gain of a copy, see expertmap.RoundPlanner, times the number
	// of ranks: a copy costs as much in a large group, but all ranks gain by it.
	// It holds for groups that are busy; idle ones need up to three times as much.
	// Default: 0.64, where copies cost about what they gain.
	MinTotalGain float64
	// MinSkewReduction is the least reduction of the skew that is worth a change. Default: 0.04.
	MinSkewReduction float64
	// LeaseTTL is the time for which a renewal of the lease lasts. Default: 2.4 s.
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
	setDefault(&c.MaxCopiesPerRank, 1)
	setDefault(&c.MinTotalGain, 0.64)
	setDefault(&c.MinSkewReduction, 0.04)
	setDefault(&c.LeaseTTL, 2400*time.Millisecond)
	return c
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Peers tells what an entry knows of the holders of leases.
type Peers interface {
	// Acting reports that the holder lately said that it performs a duty.
	Acting(holder string, d duty.Name) bool
	// Gone reports that the holder has ended.
	Gone(holder string) bool
	// Claimed returns the highest fencing number that another entry in touch
	// claims for a duty, zero for none.
	Claimed(d duty.Name) uint64
}

// DutyName names the duty to decide on the maps of a group of a service.
func DutyName(s id.Service, g id.Group) duty.Name {
	return duty.Name("experts." + string(s) + "." + string(g))
}

// Options are the parts of an entry that a Coordinator works with.
type Options struct {
	Config  Config
	Service id.Service
	// Group is the group to decide on.
	Group id.Group
	// Holder identifies this start of the entry.
	Holder string
	Store  objectapi.Store
	// Peers tells what is known of other holders.
	Peers Peers
	// Engine describes the engines of the service, which are ranks of groups.
	Engine *routes.Engine
	// List returns the endpoints that are ranks of the group, or may be. The first
	// ones are preferred for samples.
	List func() []ranklink.Endpoint
	// Source is the address of this host from which relays are reached.
	Source netip.Addr
	// EngineClient returns a client for a rank that has no relay.
	EngineClient func(address string) relay.Engine
	Log          zerolog.Logger
	// Metrics receives how the maps follow the demand.
	Metrics *metrics.Set
}

// Coordinator takes the lease of a group's maps and decides while it holds it.
type Coordinator struct {
	opt     Options
	duty    duty.Name
	lease   *duty.Lease
	claimed atomic.Uint64
}

// New returns a coordinator. Run must be called for it to work.
func New(o Options) (*Coordinator, error) {
	o.Config = o.Config.withDefaults()
	name := DutyName(o.Service, o.Group)
	lease, err := duty.NewLease(duty.LeaseConfig{
		Store: o.Store, Duty: name, Holder: o.Holder, TTL: o.Config.LeaseTTL,
		Gone: o.Peers.Gone,
	})
	if err != nil {
		return nil, err
	}
	return &Coordinator{opt: o, duty: name, lease: lease}, nil
}

const (
	// leaseSteps is the number of times that a lease is looked at within its TTL.
	leaseSteps = 8
	// renewTurns and observeTurns are the numbers of steps of which one renews the
	// own lease, or observes that of a holder that acts.
	renewTurns   = 3
	observeTurns = 24
)

// Run works until ctx ends, and then gives up the lease.
func (c *Coordinator) Run(ctx context.Context) {
	var stop context.CancelFunc = func() {}
	var running uint64
	tick := time.NewTicker(c.opt.Config.LeaseTTL / leaseSteps)
	defer tick.Stop()
	for turn := 0; ; turn++ {
		if err := c.step(ctx, turn); err != nil && ctx.Err() == nil {
			c.opt.Log.Warn().Err(err).Str("event", "lease.unclear").Str("service", string(c.opt.Service)).Str("group", string(c.opt.Group)).Send()
		}
		epoch := c.authority(running)
		if epoch != running {
			stop()
			stop = c.start(ctx, epoch)
			running = epoch
		}
		select {
		case <-ctx.Done():
			stop()
			c.claimed.Store(0)
			c.release()
			return
		case <-tick.C:
		}
	}
}

// authority returns the fencing number under which to act, zero for none. A
// holder whose renewals fail acts on while nobody is known to have taken the
// lease: while the platform is away nobody can take it, and two coordinators at
// a time do no harm.
func (c *Coordinator) authority(running uint64) uint64 {
	if epoch, held := c.lease.Valid(time.Now()); held {
		c.claimed.Store(epoch)
		return epoch
	}
	if running != 0 && c.lease.Holder() == c.opt.Holder && c.opt.Peers.Claimed(c.duty) <= running {
		return running
	}
	c.claimed.Store(0)
	return 0
}

// FencingToken returns the fencing number under which the coordinator acts, zero for none.
func (c *Coordinator) FencingToken() uint64 { return c.claimed.Load() }

// step takes, renews or observes the lease. It is renewed with each third step,
// and observed now and then only while its holder says that it acts.
func (c *Coordinator) step(ctx context.Context, turn int) error {
	holder := c.lease.Holder()
	_, held := c.lease.Valid(time.Now())
	switch {
	case held && turn%renewTurns != 0:
		return nil
	case holder != "" && holder != c.opt.Holder && c.opt.Peers.Acting(holder, c.duty) && turn%observeTurns != 0:
		return nil
	}
	return c.lease.Step(ctx)
}

// start runs a session for a lease. Epoch zero means that it is not held.
func (c *Coordinator) start(ctx context.Context, epoch uint64) context.CancelFunc {
	log := c.opt.Log.With().Str("service", string(c.opt.Service)).Str("group", string(c.opt.Group)).Logger()
	if epoch == 0 {
		log.Info().Str("event", "lease.lost").Str("holder", c.lease.Holder()).Send()
		return func() {}
	}
	log.Info().Str("event", "lease.held").Uint64("lease", epoch).Send()
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		cfg: c.opt.Config, of: c.opt.Group, engine: c.opt.Engine, lease: epoch, log: log, set: c.opt.Metrics, list: c.opt.List, direct: c.opt.EngineClient, source: c.opt.Source,
		events: make(chan ranklink.Event, eventQueue),
		links:  make(map[id.Endpoint]*ranklink.Link), layouts: make(map[*ranklink.Link]relay.Layout),
		groups: make(map[id.Group]*group), asked: make(map[uint64]asked),
	}
	go s.run(ctx)
	return cancel
}

// releaseTimeout bounds the release of the lease when the entry stops.
const releaseTimeout = 500 * time.Millisecond

func (c *Coordinator) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.lease.Release(ctx); err != nil {
		c.opt.Log.Warn().Err(err).Str("event", "lease.not_released").Send()
	}
}
