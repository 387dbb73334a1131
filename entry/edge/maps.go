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
	// scouts is the number of entries that keep the roster of a service, one more
	// than needed.
	scouts = 2
	// candidates is the number of entries that may decide on the maps of a group.
	// Those of a small fleet all may.
	candidates = 4
	// assignInterval is the time between looks at who does what, about that in
	// which a new roster is spread.
	assignInterval = 100 * time.Millisecond
)

// maps keeps, for each service whose engines are ranks of groups, the roster, a
// watch of the groups' state, and coordinators of expert maps as far as they fall
// to this entry.
type maps struct {
	edge *Edge

	mu      sync.Mutex // taken before the locks of a book and of the mesh
	of      map[id.Service]*service
	stopped bool
	wg      sync.WaitGroup
}

// service is the work for the groups of one service.
type service struct {
	name   id.Service
	engine routes.Engine
	book   *roster.Roster
	ctx    context.Context
	cancel context.CancelFunc
	// scout is nil unless the entry is a scout.
	scout  context.CancelFunc
	groups map[id.Group]*coordinated
}

// coordinated is a group that this entry may decide on.
type coordinated struct {
	*expertmaps.Coordinator
	cancel context.CancelFunc
}

// apply starts and stops the work for services as the configuration asks.
func (m *maps) apply(t *routes.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[id.Service]*routes.Engine)
	for _, s := range t.Services() {
		if s.Engine != nil && s.Engine.Experts != nil && !m.stopped {
			wanted[s.Name] = s.Engine
		}
	}
	for name, s := range m.of {
		if e := wanted[name]; e == nil || !reflect.DeepEqual(*e, s.engine) {
			s.cancel()
			delete(m.of, name)
		}
	}
	for name, e := range wanted {
		if m.of[name] == nil {
			m.start(name, e)
		}
	}
}

// start begins to work for a service. The caller holds mu.
func (m *maps) start(name id.Service, engine *routes.Engine) {
	e := m.edge
	s := &service{name: name, engine: *engine, book: roster.New(e.mesh.NotifyChange), groups: make(map[id.Group]*coordinated)}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	m.of[name] = s
	if state := e.handler.Service(name); state != nil {
		w := direct.GroupMonitor{
			Service: state, Host: e.cfg.Host, Zone: e.cfg.Zone, Source: e.cfg.Source, Log: e.log, Roster: s.book,
			List: func() map[ranklink.Endpoint]id.Zone { return e.ranks(name) },
		}
		m.wg.Go(func() { w.Run(s.ctx) })
	}
}

// run assigns work until ctx ends.
func (m *maps) run(ctx context.Context) {
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
		for _, s := range m.of {
			m.assign(s, hosts, zones)
		}
		m.mu.Unlock()
	}
}

// falls reports whether this entry is one of the first few of a ranking.
func (m *maps) falls(ranked []id.Host, first int) bool {
	return slices.Contains(ranked[:min(first, len(ranked))], m.edge.cfg.Host)
}

// rankNear ranks hosts for a duty. Those in the zones of what the duty is about come
// first, as a coordinator pays the way to its ranks several times for each change.
func rankNear(to string, hosts []id.Host, zones map[id.Host]id.Zone, near map[id.Zone]bool) []id.Host {
	var in, out []id.Host
	for _, h := range hosts {
		if near[zones[h]] {
			in = append(in, h)
		} else {
			out = append(out, h)
		}
	}
	return append(rendezvous.Rank(to, in), rendezvous.Rank(to, out)...)
}

// zonesOf returns the zones of the ranks of each group.
func (m *maps) zonesOf(s *service) map[id.Group]map[id.Zone]bool {
	seats := s.book.Ranks()
	out := make(map[id.Group]map[id.Zone]bool)
	for ep, zone := range m.edge.ranks(s.name) {
		group := seats[ep.Name].Group
		if out[group] == nil {
			out[group] = make(map[id.Zone]bool)
		}
		out[group][zone] = true
	}
	return out
}

// assign starts and stops what falls to this entry. A coordinator that acts goes
// on. The caller holds mu.
func (m *maps) assign(s *service, hosts []id.Host, zones map[id.Host]id.Zone) {
	switch scout := m.falls(rendezvous.Rank("scout."+string(s.name), hosts), scouts); {
	case scout && s.scout == nil:
		m.startScout(s)
	case !scout && s.scout != nil:
		s.scout()
		s.scout = nil
	}
	near := m.zonesOf(s)
	falls := make(map[id.Group]bool)
	for _, group := range s.book.Groups() {
		ranked := rankNear(string(expertmaps.DutyName(s.name, group)), hosts, zones, near[group])
		falls[group] = m.falls(ranked, candidates)
		if s.groups[group] == nil && falls[group] {
			m.startCoordinator(s, group)
		}
	}
	for group, c := range s.groups {
		if !falls[group] && c.FencingToken() == 0 {
			c.cancel()
			delete(s.groups, group)
		}
	}
}

func (m *maps) startScout(s *service) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.scout = cancel
	x := roster.Collector{
		Roster: s.book, Host: m.edge.cfg.Host, Source: m.edge.cfg.Source, EngineClient: m.edge.adapter.NewEngine,
		List: func() []ranklink.Endpoint { return m.edge.ranksOf(s, func(id.Group) bool { return true }) },
	}
	m.wg.Go(func() { x.Run(ctx) })
}

func (m *maps) startCoordinator(s *service, group id.Group) {
	e := m.edge
	c, err := expertmaps.New(expertmaps.Options{
		Service: s.name, Group: group, Holder: holderName(e.self.Host, e.self.Incarnation), Store: e.store, Peers: holders{e},
		Engine: &s.engine, Source: e.cfg.Source, EngineClient: e.adapter.NewEngine,
		// A rank without a seat may be a new one of this group.
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
	s.groups[group] = &coordinated{c, cancel}
	m.wg.Go(func() { c.Run(ctx) })
}

// stop ends all work, so that other entries can take the leases at once.
func (m *maps) stop() {
	m.mu.Lock()
	m.stopped = true
	for name, s := range m.of {
		s.cancel()
		delete(m.of, name)
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// claimed returns the leases under which this entry acts.
func (m *maps) claimed() map[duty.Name]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[duty.Name]uint64)
	for _, s := range m.of {
		for group, c := range s.groups {
			if epoch := c.FencingToken(); epoch != 0 {
				out[expertmaps.DutyName(s.name, group)] = epoch
			}
		}
	}
	return out
}

// rosterTopic begins the names of the topics of rosters.
const rosterTopic = "roster."

// book returns the roster that a topic names, or nil.
func (m *maps) book(t mesh.Topic) *roster.Roster {
	name, ok := strings.CutPrefix(string(t), rosterTopic)
	if !ok {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.of[id.Service(name)]; s != nil {
		return s.book
	}
	return nil
}

// addVersions adds the versions of the rosters.
func (m *maps) addVersions(to map[mesh.Topic]uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.of {
		to[mesh.Topic(rosterTopic+string(name))] = s.book.Version()
	}
}

// ranks lists the endpoints of a service with their relays and zones.
func (e *Edge) ranks(name id.Service) map[ranklink.Endpoint]id.Zone {
	out := make(map[ranklink.Endpoint]id.Zone)
	for _, b := range e.handler.Directory().Service(name) {
		ep := b.Endpoint()
		address, err := netip.ParseAddrPort(ep.Address)
		if err != nil {
			continue // The catalog accepts no such address.
		}
		out[ranklink.Endpoint{
			Name: ep.Name, Address: ep.Address,
			Relay: netip.AddrPortFrom(address.Addr(), e.cfg.RelayPort).String(),
		}] = ep.Zone
	}
	return out
}

// ranksOf lists the endpoints of a service by their group, which is empty for those
// without a seat in the roster. Those of this zone come first.
func (e *Edge) ranksOf(s *service, group func(id.Group) bool) []ranklink.Endpoint {
	seats := s.book.Ranks()
	zones := e.ranks(s.name)
	var out []ranklink.Endpoint
	for ep := range zones {
		if group(seats[ep.Name].Group) {
			out = append(out, ep)
		}
	}
	away := func(ep ranklink.Endpoint) int {
		if zones[ep] == e.cfg.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b ranklink.Endpoint) int {
		return cmp.Or(cmp.Compare(away(a), away(b)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// holderName names an incarnation of a host as the holder of a lease.
func holderName(host id.Host, incarnation id.Incarnation) string {
	return string(host) + "/" + string(incarnation)
}

// holders tells what the entry knows of the holders of leases.
type holders struct{ edge *Edge }

// Acting implements expertmaps.Peers.
func (h holders) Acting(holder string, d duty.Name) bool { return h.edge.states.acting(holder, d) }

// goneAfter is the silence after which the holder of a lease is taken to be gone,
// goneIntervals exchanges at least. Two holders at a time do no harm; a group that
// a lost one holds must be free soon.
const (
	goneAfter     = 800 * time.Millisecond
	goneIntervals = 3
)

// Gone implements expertmaps.Peers: a host that started again has ended before,
// and one that is silent is as good as gone.
func (h holders) Gone(holder string) bool {
	host, incarnation, _ := strings.Cut(holder, "/")
	current := h.edge.mesh.Incarnation(id.Host(host))
	if current != "" && string(current) != incarnation {
		return true
	}
	silence, known := h.edge.mesh.Silence(id.Host(host), id.Incarnation(incarnation))
	if !known {
		silence, known = h.edge.states.silence(holder)
	}
	return known && silence > h.edge.states.lasts(goneAfter, goneIntervals)
}

// Claimed implements expertmaps.Peers.
func (h holders) Claimed(d duty.Name) uint64 { return h.edge.states.claimed(d) }
