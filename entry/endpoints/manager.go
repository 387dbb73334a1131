// Package endpoints maintains connections to the agents of the endpoints that an
// entry uses, and passes their load reports to the routing table.
package endpoints

import (
	"context"
	"sync"
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// Config holds the settings of a Manager.
type Config struct {
	// Zone is the entry's availability zone.
	Zone id.Zone
	// Host is the entry's host, which determines the endpoints that it selects.
	Host id.Host
	// MaxEndpoints bounds the endpoints in use. Default: 48.
	MaxEndpoints int
	// RemoteEndpoints is the number of endpoints of each service that are used
	// in each other zone. Default: 4.
	RemoteEndpoints int
	// ReportBudget bounds the load reports of all endpoints together, in bytes
	// per second. Default: 5,000.
	ReportBudget int
	// ReportInterval is the time between load reports of endpoints in the local
	// zone. Default: 250 ms.
	ReportInterval time.Duration
	// RemoteReportInterval is the same for other zones. Default: 1 s.
	RemoteReportInterval time.Duration
	// RedialInterval is the time between attempts to connect to an agent. Default: 500 ms.
	RedialInterval time.Duration
}

func DefaultConfig() Config {
	return Config{
		MaxEndpoints:         48,
		RemoteEndpoints:      4,
		ReportBudget:         5000,
		ReportInterval:       250 * time.Millisecond,
		RemoteReportInterval: time.Second,
		RedialInterval:       500 * time.Millisecond,
	}
}

// Table is the part of the routing table that a Manager updates.
type Table interface {
	SetEndpoints(endpoints []route.Endpoint, now time.Time)
	Report(r route.Report, now time.Time) bool
	Expire(now time.Time)
}

// CacheSink receives the prefix cache events of endpoints. It must not block.
type CacheSink interface {
	ApplyCacheEvents(e id.Endpoint, inc id.Incarnation, events []msg.CacheEvent)
}

// Manager selects endpoints and keeps a watcher for each. It is safe for concurrent use.
type Manager struct {
	config   Config
	table    Table
	cache    CacheSink
	pool     *link.Pool
	recorder timeline.Recorder

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu is taken before the table's and the pool's locks.
	mu          sync.Mutex
	endpoints   []config.Endpoint // those in use
	leaving     map[id.Host]bool
	addresses   map[id.Endpoint]string
	watchers    map[id.Endpoint]*watcher
	lastReports map[id.Endpoint]ReceivedReport
}

// ReceivedReport is the last report of an endpoint and the time of its arrival.
type ReceivedReport struct {
	Report msg.Report
	At     time.Time
}

// New returns a Manager without endpoints.
func New(c Config, t Table, cache CacheSink, p *link.Pool, r timeline.Recorder) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		config: c, table: t, cache: cache, pool: p, recorder: r, ctx: ctx, cancel: cancel,
		addresses:   make(map[id.Endpoint]string),
		watchers:    make(map[id.Endpoint]*watcher),
		lastReports: make(map[id.Endpoint]ReceivedReport),
	}
	m.wg.Go(m.expireReports)
	return m
}

// Close ends all watchers and waits for them.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
}

// Address implements dispatch.Directory.
func (m *Manager) Address(e id.Endpoint) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	address, ok := m.addresses[e]
	return address, ok
}

// AllContacted reports whether every endpoint in use has reported or failed to, at least once.
func (m *Manager) AllContacted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.watchers {
		select {
		case <-w.contacted:
		default:
			return false
		}
	}
	return true
}

// LastReport returns the last report of an endpoint.
func (m *Manager) LastReport(e id.Endpoint) (ReceivedReport, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, ok := m.lastReports[e]
	return seen, ok
}

// Update applies the configured endpoints. version is that of the endpoints
// configuration.
func (m *Manager) Update(endpoints []config.Endpoint, version uint64) {
	wanted := m.selectEndpoints(endpoints)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = make(map[id.Endpoint]string, len(endpoints))
	for _, e := range endpoints {
		m.addresses[e.Name] = e.Address
	}
	m.endpoints = wanted
	m.table.SetEndpoints(m.routeEndpoints(), now)
	used := make(map[id.Endpoint]bool, len(wanted))
	for _, e := range wanted {
		used[e.Name] = true
		m.watch(e, version)
	}
	for name, w := range m.watchers {
		if !used[name] {
			w.cancel()
			delete(m.watchers, name)
			delete(m.lastReports, name)
		}
	}
}

// watch starts or updates the watcher of an endpoint. The caller holds m.mu.
func (m *Manager) watch(e config.Endpoint, version uint64) {
	if w, ok := m.watchers[e.Name]; ok {
		if w.endpoint.Address == e.Address {
			w.update(e, version)
			return
		}
		w.cancel()
	}
	w := newWatcher(m, e, version)
	m.watchers[e.Name] = w
	m.wg.Go(w.run)
}

// SetLeaving marks the endpoints of leaving hosts as draining.
func (m *Manager) SetLeaving(hosts map[id.Host]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = hosts
	m.table.SetEndpoints(m.routeEndpoints(), time.Now())
}

// routeEndpoints returns the endpoints in use for the routing table. The caller
// holds m.mu.
func (m *Manager) routeEndpoints() []route.Endpoint {
	out := make([]route.Endpoint, len(m.endpoints))
	for i, e := range m.endpoints {
		out[i] = route.Endpoint{
			Name: e.Name, Service: e.Service, Zone: e.Zone, Weight: weight(e),
			Draining: e.Drain || m.leaving[e.Host],
		}
	}
	return out
}

func weight(e config.Endpoint) float64 {
	if e.Weight == nil {
		return 1
	}
	return *e.Weight
}

// expireInterval is the time between checks for outdated reports.
const expireInterval = 250 * time.Millisecond

func (m *Manager) expireReports() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.table.Expire(now)
		}
	}
}

// reportWireBytes is the size of a load report on the wire, with its share of packet
// headers and acknowledgements.
const reportWireBytes = 165

// reportInterval returns the time between load reports of an endpoint in a zone.
// It grows with the number of endpoints in use, so that their reports stay
// within the budget.
func (m *Manager) reportInterval(zone id.Zone) time.Duration {
	m.mu.Lock()
	used := len(m.endpoints)
	m.mu.Unlock()
	interval := m.config.ReportInterval
	if zone != m.config.Zone {
		interval = m.config.RemoteReportInterval
	}
	return max(interval, time.Duration(used*reportWireBytes)*time.Second/time.Duration(m.config.ReportBudget))
}

// handleDisconnect marks an endpoint as unhealthy until its next report.
func (m *Manager) handleDisconnect(e id.Endpoint) {
	if seen, ok := m.LastReport(e); ok {
		report := routeReport(&seen.Report)
		report.Seq++
		report.Healthy = false
		m.table.Report(report, time.Now())
	}
	m.recorder.Record(timeline.Event{Kind: "endpoint.disconnected", Endpoint: e})
}

// handleReport stores a load report and passes it to the routing table.
func (m *Manager) handleReport(e id.Endpoint, r *msg.Report) {
	now := time.Now()
	m.mu.Lock()
	last, known := m.lastReports[e]
	m.lastReports[e] = ReceivedReport{Report: *r, At: now}
	m.mu.Unlock()
	m.table.Report(routeReport(r), now)
	if m.cache != nil && len(r.CacheEvents) > 0 {
		m.cache.ApplyCacheEvents(e, r.Incarnation, r.CacheEvents)
	}
	m.recordStateChange(last.Report, known, r)
}

func (m *Manager) recordStateChange(last msg.Report, known bool, r *msg.Report) {
	event := timeline.Event{Endpoint: r.Endpoint, Incarnation: r.Incarnation}
	switch {
	case !known || last.Incarnation != r.Incarnation:
		event.Kind = "endpoint.incarnation"
	case last.Draining != r.Draining && r.Draining:
		event.Kind = "endpoint.draining"
	case last.Draining != r.Draining:
		event.Kind = "endpoint.undrained"
	case last.Healthy != r.Healthy && r.Healthy:
		event.Kind = "endpoint.healthy"
	case last.Healthy != r.Healthy:
		event.Kind = "endpoint.unhealthy"
	default:
		return
	}
	m.recorder.Record(event)
}

func routeReport(r *msg.Report) route.Report {
	return route.Report{
		Endpoint:      r.Endpoint,
		Incarnation:   r.Incarnation,
		Seq:           r.Seq,
		Draining:      r.Draining,
		Healthy:       r.Healthy,
		Queued:        r.Queued,
		Running:       r.Running,
		QueuedTokens:  r.QueuedTokens,
		RunningTokens: r.RunningTokens,
		Slots:         r.Slots,
		StepTime:      time.Duration(r.StepTimeMicros) * time.Microsecond,
	}
}
