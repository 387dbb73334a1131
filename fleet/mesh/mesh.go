// Package mesh provides service discovery, failure detection and anti-entropy
// between the entries of a fleet. Each entry registers itself in the platform and
// exchanges its state at an interval: in a small fleet with all entries, in a large
// one with those of its cell and one contact in each other cell, which sends an
// aggregate of its cell's states.
//
// Entries fetch newer versions of values, such as the configuration, from each
// other. So only a few readers in each cell watch the platform, and an entry that
// the platform refuses to serve still receives updates.
//
// Registrations don't expire in the platform: an entry removes those of members
// that have long been silent, and writes its own again when it is missing and when
// the store has returned from an older copy.
package mesh

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
)

// Kind is the platform object kind of registrations, with the host as object name.
const Kind = "siskinford-entries"

// Member identifies one start of an entry, and is the value of its registration.
type Member struct {
	Host        id.Host        `json:"host"`
	Zone        id.Zone        `json:"zone"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Address is the "ip:port" at which the entry takes calls of other entries.
	Address string `json:"address"`
	// Fingerprint is that of the member's certificate.
	Fingerprint string `json:"fingerprint"`
	// Started is the start time in milliseconds since the Unix epoch. It orders the
	// incarnations of a host, as far as its clock is correct.
	Started int64 `json:"started"`
}

// Topic identifies a versioned value that members replicate.
type Topic string

// Config holds the settings of a Mesh. Zero values select the defaults.
type Config struct {
	// Interval is the minimum time between exchanges with a member. It grows with
	// their number and size, to stay within BytesPerSecond. Default: 100 ms.
	Interval time.Duration
	// BytesPerSecond limits the traffic of all exchanges. Default: 9,000, the budget for control traffic.
	BytesPerSecond float64
	// CallTimeout is the timeout of a call to a member. Default: 400 ms.
	CallTimeout time.Duration
	// AliveTimeout is the time after the last exchange for which a member counts as
	// alive, at least aliveIntervals exchange intervals. Default: 1.2 s.
	AliveTimeout time.Duration
	// Readers is the number of members per cell and zone that watch the platform. In a fleet
	// of several cells one of them suffices, as the contacts in other cells announce new
	// versions too. Default: 2.
	Readers int
	// FetchDelay is the time that a reader waits for its own watch to return a newer
	// version before it fetches it from a member. Default: 150 ms.
	FetchDelay time.Duration
	// ForgetAfter is the silence after which a member's registration is deleted. Default: 30 s.
	ForgetAfter time.Duration
	// ListInterval is the time between full lists of the registrations. Default: 30 s.
	ListInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Interval, 100*time.Millisecond)
	setDefault(&c.BytesPerSecond, 9000)
	setDefault(&c.CallTimeout, 400*time.Millisecond)
	setDefault(&c.AliveTimeout, 1200*time.Millisecond)
	setDefault(&c.Readers, 2)
	setDefault(&c.FetchDelay, 150*time.Millisecond)
	setDefault(&c.ForgetAfter, 30*time.Second)
	setDefault(&c.ListInterval, 30*time.Second)
	return c
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Value is a version of a topic's value, whole or as a delta.
type Value struct {
	Version uint64
	Data    []byte
}

// Options are the dependencies and callbacks of a Mesh.
type Options struct {
	Config Config
	Self   Member
	Store  objectapi.Store
	Caller transport.Caller
	// Seeds are addresses of entries to call while no other member is known.
	Seeds []string
	// Versions returns the version of each topic, zero for one without a value yet.
	// The caller owns the map.
	Versions func() map[Topic]uint64
	// Watched is the set of topics that readers watch in the platform.
	Watched map[Topic]bool
	// ValueSince returns the value for a member that has version have: the whole value
	// or a delta that its ApplyValue understands.
	ValueSince func(t Topic, have uint64) Value
	// ApplyValue applies a value fetched from another member. It must ignore a version
	// that is not greater than the own one.
	ApplyValue func(Topic, Value)
	// LocalState returns the state to send to members of the own cell.
	LocalState func() []byte
	// CellSummary returns the aggregate of the states of the members selected by of,
	// the own one included, to send to other cells.
	CellSummary func(of func(id.Host) bool) []byte
	// OnState receives the state of another member, and OnSummary the aggregate of
	// another cell. They must not block.
	OnState   func(Member, []byte)
	OnSummary func(cell string, summary []byte)
	// WatchesHealthy reports whether the entry's own watches of the platform work.
	// Nil means that it has none.
	WatchesHealthy func() bool
	Log            zerolog.Logger
}

// Validate returns all findings about o.
func (o Options) Validate() finding.List {
	var l finding.List
	if o.Self.Host == "" || o.Self.Incarnation == "" {
		l.Addf("self", "host and incarnation must be set")
	}
	if _, err := netip.ParseAddrPort(o.Self.Address); err != nil {
		l.Addf("self.address", "%q is not ip:port", o.Self.Address)
	}
	if o.Store == nil || o.Caller == nil {
		l.Addf("store", "store and caller must be set")
	}
	return l
}

// Mesh runs the protocol for one entry. It is safe for concurrent use.
type Mesh struct {
	opt Options
	cfg Config

	mu    sync.Mutex // leaf lock; guards the fields below except the channels
	peers map[id.Host]*peer
	// registeredRevision is that of the own registration, zero if unknown or absent.
	registeredRevision uint64
	// isRegistered is true while the own registration is believed to be in the platform.
	isRegistered bool
	// writtenEra is the era of the store in which the own registration was last written.
	writtenEra  uint64
	fetching    map[Topic]bool
	behindSince map[Topic]time.Time
	// layout divides the known members; layoutStale is true after one was added or removed.
	layout      layout
	layoutStale bool
	// registrations are those in the platform. changeRevision is the platform revision
	// of their last change, and knownRevision the one up to which changes are applied.
	registrations                 map[id.Host]registration
	changeRevision, knownRevision uint64
	// watching is true while the own watch of the registrations runs.
	watching bool
	// roundBytes is the moving average of the bytes exchanged in a round.
	roundBytes float64

	// summaryAt is when a summary of another cell last arrived.
	summaryAt map[string]time.Time

	wake, newer chan struct{}
}

// registration is a member with the revision of its platform object.
type registration struct {
	Member   Member `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// peer is the record of another host.
type peer struct {
	member Member
	// revision is that of its registration, zero if not registered. era is the era of the last one.
	revision, era uint64
	// lastSeen is the time of the last exchange, knownSince when its incarnation was added.
	lastSeen, knownSince time.Time
	// lastFailure is the time of the last failed call, failingSince that of the first
	// one after the last success. Both are zero after a success.
	lastFailure, failingSince time.Time
	// fetchFailedAt is the time of the last failed fetch from it, zero for none.
	fetchFailedAt time.Time
	versions      map[Topic]uint64
	alive         bool
	callPending   bool
	// watchesHealthy is true if its own watches of the platform work.
	watchesHealthy bool
}

// New returns a mesh, which Run starts.
func New(o Options) (*Mesh, error) {
	if err := o.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	return &Mesh{
		opt: o, cfg: o.Config.withDefaults(),
		peers: make(map[id.Host]*peer), fetching: make(map[Topic]bool), behindSince: make(map[Topic]time.Time),
		layout: newLayout([]Member{o.Self}), summaryAt: make(map[string]time.Time),
		wake: make(chan struct{}, 1), newer: make(chan struct{}, 1),
	}, nil
}

// Run runs the protocol until ctx ends and then deletes the own registration.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.maintainRegistration(ctx) })
	wg.Go(func() { m.runExchanges(ctx) })
	wg.Go(func() { m.runFetches(ctx) })
	wg.Wait()
	m.unregister()
}

// Alive returns the other members with an exchange within the alive timeout, sorted
// by host. In a large fleet only cell members and contacts exchange.
func (m *Mesh) Alive() []Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, p := range m.peers {
		if now.Sub(p.lastSeen) < m.aliveTimeout() {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return out
}

// Hosts returns the hosts of all registered or alive members and the own one, sorted.
func (m *Mesh) Hosts() []id.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []id.Host{m.opt.Self.Host}
	for host, p := range m.peers {
		if p.revision != 0 || time.Since(p.lastSeen) < m.aliveTimeout() {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// HostZones maps the hosts of all known members and the own one to their zones.
func (m *Mesh) HostZones() map[id.Host]id.Zone {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[id.Host]id.Zone{m.opt.Self.Host: m.opt.Self.Zone}
	for host, p := range m.peers {
		out[host] = p.member.Zone
	}
	return out
}

// MemberCount returns the number of registered or alive members and the own one.
// Registered members count even if silent, since they may still serve requests.
func (m *Mesh) MemberCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if p.revision != 0 || time.Since(p.lastSeen) < m.aliveTimeout() {
			n++
		}
	}
	return n
}

// Incarnation returns the last known incarnation of a host, or the empty string.
func (m *Mesh) Incarnation(host id.Host) id.Incarnation {
	if host == m.opt.Self.Host {
		return m.opt.Self.Incarnation
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[host]; p != nil {
		return p.member.Incarnation
	}
	return ""
}

// Silence returns the time since the last exchange with a member of the own cell. It
// returns false without any exchange, and for members of other cells.
func (m *Mesh) Silence(host id.Host, incarnation id.Incarnation) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || p.member.Incarnation != incarnation || p.lastSeen.IsZero() || !m.currentLayout().sameCell(m.opt.Self.Host, host) {
		return 0, false
	}
	return time.Since(p.lastSeen), true
}

// OtherZonesSilence returns the time since the last exchange with a member in another zone. It returns false if no
// member in another zone was ever heard.
func (m *Mesh) OtherZonesSilence() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var last time.Time
	for _, p := range m.peers {
		if p.member.Zone != m.opt.Self.Zone && p.lastSeen.After(last) {
			last = p.lastSeen
		}
	}
	return time.Since(last), !last.IsZero()
}

// Trust implements keys.TrustFunc: a peer is trusted if its certificate is registered,
// or if its IP address is that of a known host or a seed. A host that could not
// register yet is thus identified by its address in the platform's network.
func (m *Mesh) Trust(host id.Host, fingerprint string, remote net.Addr) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p != nil && p.member.Fingerprint == fingerprint {
		return true
	}
	if remote == nil {
		return true // A dialed connection goes to a registered host or a seed.
	}
	from, err := netip.ParseAddrPort(remote.String())
	if err != nil {
		return false
	}
	known := slices.Clone(m.opt.Seeds)
	for _, p := range m.peers {
		known = append(known, p.member.Address)
	}
	for _, address := range known {
		if a, err := netip.ParseAddrPort(address); err == nil && a.Addr() == from.Addr().Unmap() {
			return true
		}
	}
	return false
}

// updatePeer adds or updates the record of a member. The caller holds mu.
func (m *Mesh) updatePeer(member Member, revision uint64, now time.Time) *peer {
	p := m.peers[member.Host]
	if p == nil {
		p = &peer{knownSince: now}
		m.peers[member.Host] = p
		m.layoutStale = true
	}
	if p.member.Incarnation != member.Incarnation && member.Started >= p.member.Started {
		p.member, p.versions = member, nil
		p.knownSince = now
	}
	if revision > p.revision {
		// A copy to which the store returned may hold the registration of an earlier incarnation.
		if era := objectapi.EraOf(revision); era == p.era || member.Started >= p.member.Started {
			p.member = member
		}
		p.revision, p.era = revision, objectapi.EraOf(revision)
	}
	return p
}

// currentLayout returns the layout of the known members. The caller holds mu.
func (m *Mesh) currentLayout() layout {
	if m.layoutStale {
		all := []Member{m.opt.Self}
		for _, p := range m.peers {
			all = append(all, p.member)
		}
		m.layout, m.layoutStale = newLayout(all), false
	}
	return m.layout
}

// aliveIntervals is the minimum alive timeout in exchange intervals.
const aliveIntervals = 3

// aliveTimeout returns Config.AliveTimeout, or aliveIntervals intervals if that is
// longer. The caller holds mu.
func (m *Mesh) aliveTimeout() time.Duration {
	return max(m.cfg.AliveTimeout, aliveIntervals*m.interval())
}

// Interval returns the current time between two exchanges with the same member.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interval()
}

// interval is Interval. The caller holds mu.
func (m *Mesh) interval() time.Duration {
	return max(m.cfg.Interval, time.Duration(m.roundBytes/m.cfg.BytesPerSecond*float64(time.Second)))
}

func decodeMember(value []byte) (Member, error) {
	var member Member
	if err := json.Unmarshal(value, &member); err != nil {
		return Member{}, err
	}
	if member.Host == "" {
		return Member{}, errors.New("host is not set")
	}
	if _, err := netip.ParseAddrPort(member.Address); err != nil {
		return Member{}, errors.Newf("address %q is not ip:port", member.Address)
	}
	return member, nil
}
