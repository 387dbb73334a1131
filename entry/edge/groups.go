package edge

import (
	"cmp"
	"context"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/expertmaps"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/roster"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

const (
	// collectorsPerService is the number of entries that keep the roster of a service,
	// one more than needed.
	collectorsPerService = 2
	// candidatesPerGroup is the number of entries that may coordinate the expert maps
	// of a group. In a smaller fleet, all may.
	candidatesPerGroup = 4
	// assignInterval is the time between assignments of work, about the time that a
	// new roster takes to reach all entries.
	assignInterval = 100 * time.Millisecond
)

// groupManager runs the work for services whose engines are ranks of groups: the
// roster, a watch of the groups' state and, as far as assigned to this entry, the
// collector and the coordinators of expert maps.
type groupManager struct {
	edge *Edge

	mu       sync.Mutex // acquired before the locks of a roster and of the mesh
	services map[id.Service]*groupedService
	stopped  bool
	wg       sync.WaitGroup
}

// groupedService is a service whose engines are ranks of groups.
type groupedService struct {
	name   id.Service
	engine routes.Engine
	roster *roster.Roster
	ctx    context.Context
	cancel context.CancelFunc
	// stopCollector is nil unless this entry collects the roster.
	stopCollector context.CancelFunc
	groups        map[id.Group]*groupCoordinator
}

// groupCoordinator coordinates a group for which this entry is a candidate.
type groupCoordinator struct {
	*expertmaps.Coordinator
	cancel context.CancelFunc
}

// apply starts and stops services to match the configuration.
func (m *groupManager) apply(t *routes.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[id.Service]*routes.Engine)
	for _, s := range t.Services() {
		if s.Engine != nil && s.Engine.Experts != nil && !m.stopped {
			wanted[s.Name] = s.Engine
		}
	}
	for name, s := range m.services {
		if e := wanted[name]; e == nil || !reflect.DeepEqual(*e, s.engine) {
			s.cancel()
			delete(m.services, name)
		}
	}
	for name, e := range wanted {
		if m.services[name] == nil {
			m.startService(name, e)
		}
	}
}

// startService starts the work for a service. The caller holds mu.
func (m *groupManager) startService(name id.Service, engine *routes.Engine) {
	e := m.edge
	s := &groupedService{name: name, engine: *engine, roster: roster.New(e.mesh.NotifyChange), groups: make(map[id.Group]*groupCoordinator)}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	m.services[name] = s
	if state := e.handler.Service(name); state != nil {
		w := direct.GroupMonitor{
			Service: state, Host: e.cfg.Host, Zone: e.cfg.Zone, Source: e.cfg.Source, Log: e.log, Roster: s.roster,
			List: func() map[ranklink.Endpoint]id.Zone { return e.rankZones(name) },
		}
		m.wg.Go(func() { w.Run(s.ctx) })
	}
}

// run updates the assignments until ctx ends.
func (m *groupManager) run(ctx context.Context) {
	t := time.NewTicker(assignInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		hosts, zones := m.edge.mesh.Hosts(), m.edge.mesh.HostZones()
		m.mu.Lock()
		for _, s := range m.services {
			m.assign(s, hosts, zones)
		}
		m.mu.Unlock()
	}
}

// amongFirst reports whether this entry is among the first n of a ranking.
func (m *groupManager) amongFirst(ranked []id.Host, n int) bool {
	return slices.Contains(ranked[:min(n, len(ranked))], m.edge.cfg.Host)
}

// rankByZone ranks hosts for a duty by rendezvous hashing. Hosts in the given zones
// come first: a coordinator makes several round trips to its ranks for each change.
func rankByZone(duty string, hosts []id.Host, zones map[id.Host]id.Zone, near map[id.Zone]bool) []id.Host {
	var in, out []id.Host
	for _, h := range hosts {
		if near[zones[h]] {
			in = append(in, h)
		} else {
			out = append(out, h)
		}
	}
	return append(rendezvous.Rank(duty, in), rendezvous.Rank(duty, out)...)
}

// groupZones returns the zones of the ranks of each group.
func (m *groupManager) groupZones(s *groupedService) map[id.Group]map[id.Zone]bool {
	ranks := s.roster.Ranks()
	out := make(map[id.Group]map[id.Zone]bool)
	for ep, zone := range m.edge.rankZones(s.name) {
		group := ranks[ep.Name].Group
		if out[group] == nil {
			out[group] = make(map[id.Zone]bool)
		}
		out[group][zone] = true
	}
	return out
}

// assign starts and stops the work assigned to this entry. A coordinator with a
// claim keeps running. The caller holds mu.
func (m *groupManager) assign(s *groupedService, hosts []id.Host, zones map[id.Host]id.Zone) {
	switch collects := m.amongFirst(rendezvous.Rank("scout."+string(s.name), hosts), collectorsPerService); {
	case collects && s.stopCollector == nil:
		m.startCollector(s)
	case !collects && s.stopCollector != nil:
		s.stopCollector()
		s.stopCollector = nil
	}
	near := m.groupZones(s)
	candidate := make(map[id.Group]bool)
	for _, group := range s.roster.Groups() {
		ranked := rankByZone(string(expertmaps.DutyName(s.name, group)), hosts, zones, near[group])
		candidate[group] = m.amongFirst(ranked, candidatesPerGroup)
		if s.groups[group] == nil && candidate[group] {
			m.startCoordinator(s, group)
		}
	}
	for group, c := range s.groups {
		if !candidate[group] && c.FencingToken() == 0 {
			c.cancel()
			delete(s.groups, group)
		}
	}
}

func (m *groupManager) startCollector(s *groupedService) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopCollector = cancel
	x := roster.Collector{
		Roster: s.roster, Host: m.edge.cfg.Host, Source: m.edge.cfg.Source, EngineClient: m.edge.adapter.NewEngine,
		List: func() []ranklink.Endpoint { return m.edge.ranksOf(s, func(id.Group) bool { return true }) },
	}
	m.wg.Go(func() { x.Run(ctx) })
}

func (m *groupManager) startCoordinator(s *groupedService, group id.Group) {
	e := m.edge
	c, err := expertmaps.New(expertmaps.Options{
		Service: s.name, Group: group, Holder: holderName(e.self.Host, e.self.Incarnation), Store: e.store, Peers: leaseHolders{e},
		Engine: &s.engine, Source: e.cfg.Source, EngineClient: e.adapter.NewEngine,
		// A rank that is not in the roster may be a new one of this group.
		List: func() []ranklink.Endpoint {
			return e.ranksOf(s, func(g id.Group) bool { return g == group || g == "" })
		},
		Log: e.log, Metrics: e.set,
	})
	if err != nil {
		e.log.Error().Err(err).Str("event", "maps.not_coordinated").Str("service", string(s.name)).Send()
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.groups[group] = &groupCoordinator{c, cancel}
	m.wg.Go(func() { c.Run(ctx) })
}

// stop ends all work, so that other entries can acquire the leases at once.
func (m *groupManager) stop() {
	m.mu.Lock()
	m.stopped = true
	for name, s := range m.services {
		s.cancel()
		delete(m.services, name)
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// claimedEpochs returns the fencing tokens of the leases that this entry claims.
func (m *groupManager) claimedEpochs() map[duty.Name]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[duty.Name]uint64)
	for _, s := range m.services {
		for group, c := range s.groups {
			if epoch := c.FencingToken(); epoch != 0 {
				out[expertmaps.DutyName(s.name, group)] = epoch
			}
		}
	}
	return out
}

// rosterTopicPrefix begins the names of the topics of rosters.
const rosterTopicPrefix = "roster."

// rosterOf returns the roster that a topic names, or nil.
func (m *groupManager) rosterOf(t mesh.Topic) *roster.Roster {
	name, ok := strings.CutPrefix(string(t), rosterTopicPrefix)
	if !ok {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[id.Service(name)]; s != nil {
		return s.roster
	}
	return nil
}

// addVersions adds the versions of the rosters.
func (m *groupManager) addVersions(to map[mesh.Topic]uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.services {
		to[mesh.Topic(rosterTopicPrefix+string(name))] = s.roster.Version()
	}
}

// rankZones returns the endpoints of a service with their relays and zones.
func (e *Edge) rankZones(name id.Service) map[ranklink.Endpoint]id.Zone {
	out := make(map[ranklink.Endpoint]id.Zone)
	for _, b := range e.handler.Directory().Backends(name) {
		ep := b.Endpoint()
		address, err := netip.ParseAddrPort(ep.Address)
		if err != nil {
			continue // The catalog rejects such addresses.
		}
		out[ranklink.Endpoint{
			Name: ep.Name, Address: ep.Address,
			Relay: netip.AddrPortFrom(address.Addr(), e.cfg.RelayPort).String(),
		}] = ep.Zone
	}
	return out
}

// ranksOf returns the endpoints of a service in the included groups, those of this
// zone first. An endpoint that is not in the roster has an empty group.
func (e *Edge) ranksOf(s *groupedService, include func(id.Group) bool) []ranklink.Endpoint {
	ranks := s.roster.Ranks()
	zones := e.rankZones(s.name)
	var out []ranklink.Endpoint
	for ep := range zones {
		if include(ranks[ep.Name].Group) {
			out = append(out, ep)
		}
	}
	remote := func(ep ranklink.Endpoint) int {
		if zones[ep] == e.cfg.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b ranklink.Endpoint) int {
		return cmp.Or(cmp.Compare(remote(a), remote(b)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// holderName returns the lease holder name of a host's incarnation.
func holderName(host id.Host, incarnation id.Incarnation) string {
	return string(host) + "/" + string(incarnation)
}

// leaseHolders implements expertmaps.Peers by received claims and the mesh.
type leaseHolders struct{ edge *Edge }

// Acting implements expertmaps.Peers.
func (h leaseHolders) Acting(holder string, d duty.Name) bool {
	return h.edge.claims.isActive(holder, d)
}

// goneAfter is the silence after which a lease holder is presumed dead, at least
// goneAfterExchanges intervals. Two holders at a time do no harm, while a group whose
// holder is dead must be released soon.
const (
	goneAfter          = 800 * time.Millisecond
	goneAfterExchanges = 3
)

// Gone implements expertmaps.Peers. A holder is gone if its host runs another
// incarnation or has been silent for too long.
func (h leaseHolders) Gone(holder string) bool {
	host, incarnation, _ := strings.Cut(holder, "/")
	current := h.edge.mesh.Incarnation(id.Host(host))
	if current != "" && string(current) != incarnation {
		return true
	}
	silence, known := h.edge.mesh.Silence(id.Host(host), id.Incarnation(incarnation))
	if !known {
		silence, known = h.edge.claims.sinceClaim(holder)
	}
	return known && silence > h.edge.claims.atLeastExchanges(goneAfter, goneAfterExchanges)
}

// Claimed implements expertmaps.Peers.
func (h leaseHolders) Claimed(d duty.Name) uint64 { return h.edge.claims.highestEpoch(d) }
