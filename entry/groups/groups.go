package groups

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/coordinator"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/wire/link"
)

// Deps are the dependencies of a Manager.
type Deps struct {
	Store objectapi.Store
	// Pool connects to agents.
	Pool *link.Pool
	// LiveHosts returns the live entry hosts of the zone, this one included, without
	// blocking.
	LiveHosts func() []id.Host
	Recorder  timeline.Recorder
	// Metrics receives the gauges of each group.
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Manager runs the coordinators of all configured groups. It is safe for concurrent use.
type Manager struct {
	config Config
	deps   Deps
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu is locked before the locks of a group's transport and coordinator.
	mu     sync.Mutex
	groups map[id.Group]*group
	closed bool
}

// group is this process's coordinator of one group.
type group struct {
	experts     config.Experts
	coordinator *coordinator.Coordinator
	transport   *transport
	cancel      context.CancelFunc
}

// New returns a Manager without groups.
func New(c Config, d Deps) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{config: c, deps: d, ctx: ctx, cancel: cancel, groups: map[id.Group]*group{}}
}

// Close stops the coordinators and releases their leases. It blocks for up to a second.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}

// Update starts, updates and stops groups to match the configuration. It does not block.
func (m *Manager) Update(s *config.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	wanted := map[id.Group]bool{}
	for _, service := range s.Services() {
		if service.Experts == nil {
			continue
		}
		wanted[service.Group] = true
		if g := m.ensureStarted(service.Group, *service.Experts); g != nil {
			g.transport.setEndpoints(s.EndpointsOf(service.Name))
		}
	}
	for name, g := range m.groups {
		if !wanted[name] {
			g.cancel()
			delete(m.groups, name)
		}
	}
}

// ensureStarted returns the running group, restarted if its experts changed. The caller
// holds m.mu.
func (m *Manager) ensureStarted(name id.Group, e config.Experts) *group {
	g := m.groups[name]
	if g != nil && g.experts == e {
		return g
	}
	if g != nil {
		g.cancel()
		delete(m.groups, name)
	}
	g, err := m.start(name, e)
	if err != nil {
		m.deps.Log.Error().Err(err).Str("event", "coordinator.failed").Str("duty", string(name)).Msg("group is not coordinated")
		return nil
	}
	m.groups[name] = g
	return g
}

// start starts a group. Each start uses a new lease holder name, so that no two
// coordinators share a fencing token.
func (m *Manager) start(name id.Group, e config.Experts) (*group, error) {
	key := "group/" + string(name)
	lease, err := duty.NewLease(duty.LeaseConfig{
		Store: m.deps.Store, Duty: duty.Name(key), TTL: m.config.LeaseTTL,
		Holder: string(m.config.Host) + "/" + string(id.NewIncarnation()),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(m.ctx)
	g := &group{experts: e, cancel: cancel}
	source := &groupLease{lease: lease, ttl: m.config.LeaseTTL, dutyName: key, self: m.config.Host, liveHosts: m.deps.LiveHosts}
	g.transport = newTransport(ctx, m.deps.Pool, func(s groupmsg.Status) { g.coordinator.Receive(s) })
	g.coordinator = coordinator.New(coordinator.Config{
		Group: name, Layers: e.Layers,
		PlanTicks: m.config.ticks(m.config.PlanInterval), Lockstep: m.config.lockstep(), Recorder: m.deps.Recorder,
		Shape: expertmap.Config{Ranks: e.Ranks, Experts: e.PerLayer, SlotsPerRank: e.SlotsPerRank},
	}, source, g.transport)
	m.wg.Go(func() { source.run(ctx) })
	m.wg.Go(func() { m.runTicks(ctx, g) })
	m.registerGauges(name)
	return g, nil
}

func (m *Manager) runTicks(ctx context.Context, g *group) {
	ticker := time.NewTicker(m.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.transport.wg.Wait()
			return
		case <-ticker.C:
			g.coordinator.Tick()
		}
	}
}

// Status returns the status of each group, sorted by name.
func (m *Manager) Status() []coordinator.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []coordinator.Status
	for _, g := range m.groups {
		out = append(out, g.coordinator.Status())
	}
	slices.SortFunc(out, func(a, b coordinator.Status) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// registerGauges adds the gauges of a group. They are zero while another process
// coordinates it.
func (m *Manager) registerGauges(name id.Group) {
	for _, gauge := range []struct {
		name string
		read func(coordinator.Status) float64
	}{
		{"siskinford_group_step", func(s coordinator.Status) float64 { return float64(s.Step) }},
		{"siskinford_group_map_version", func(s coordinator.Status) float64 { return float64(s.Committed.Map) }},
		{"siskinford_group_silent_ranks", func(s coordinator.Status) float64 { return float64(len(s.Silent)) }},
		{"siskinford_group_coordinator", func(s coordinator.Status) float64 { return activeGauge(s) }},
	} {
		m.deps.Metrics.GetOrCreateGauge(fmt.Sprintf("%s{group=%q}", gauge.name, string(name)), func() float64 {
			return gauge.read(m.status(name))
		})
	}
}

func activeGauge(s coordinator.Status) float64 {
	if s.Active {
		return 1
	}
	return 0
}

func (m *Manager) status(name id.Group) coordinator.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[name]
	if g == nil {
		return coordinator.Status{Group: name}
	}
	return g.coordinator.Status()
}
