// Package mesh keeps the entries of a fleet in touch. Each entry registers itself
// in the platform, dials others and exchanges its state with them at an interval:
// with all of a small fleet, and in a large one with those of its cell and with a
// contact in each other cell, which tells the sum of that cell's states.
//
// Values with a version, such as the configuration in force, are handed to entries
// that are behind. So a few readers in each cell watch the platform for all, and an
// entry that the platform turns away is not lost.
//
// Nothing in the platform expires by itself: an entry that finds another one
// dead for long removes its registration, and an entry that finds its own
// missing registers again.
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

// Member is one start of an entry.
type Member struct {
	Host        id.Host        `json:"host"`
	Zone        id.Zone        `json:"zone"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Address is the "ip:port" for other entries.
	Address string `json:"address"`
	// Fingerprint identifies the certificate of the member.
	Fingerprint string `json:"fingerprint"`
	// Started is the start in milliseconds since the Unix epoch. It orders the
	// incarnations of a host as far as its clock allows.
	Started int64 `json:"started"`
}

// Topic names a value with a version that members hand to each other.
type Topic string

// Config holds the settings of a Mesh. Zero values select the defaults.
type Config struct {
	// Interval is the time between exchanges with a member. It grows with their
	// number and size, so that they stay within BytesPerSecond. Default: 100 ms.
	Interval time.Duration
	// BytesPerSecond bounds what all exchanges send. Default: 9,000, the users' bound for control.
	BytesPerSecond float64
	// CallTimeout bounds a call to a member. Default: 400 ms.
	CallTimeout time.Duration
	// AliveFor is the time after the last exchange for which a member counts as
	// alive, at least a few intervals. Default: 1.2 s.
	AliveFor time.Duration
	// Readers is the number of members of a cell and zone that watch the platform.
	// Default: 2.
	Readers int
	// BehindGrace is the time for which a reader waits for a newer version from
	// its own watch before it asks another member. Default: 150 ms.
	BehindGrace time.Duration
	// ForgetAfter is the silence after which a member's registration is removed. Default: 30 s.
	ForgetAfter time.Duration
	// ListInterval is the time between lists of the registrations beside the watch. Default: 30 s.
	ListInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Interval, 100*time.Millisecond)
	setDefault(&c.BytesPerSecond, 9000)
	setDefault(&c.CallTimeout, 400*time.Millisecond)
	setDefault(&c.AliveFor, 1200*time.Millisecond)
	setDefault(&c.Readers, 2)
	setDefault(&c.BehindGrace, 150*time.Millisecond)
	setDefault(&c.ForgetAfter, 30*time.Second)
	setDefault(&c.ListInterval, 30*time.Second)
	return c
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Value is a topic's value at a version.
type Value struct {
	Version uint64
	Data    []byte
}

// Options are the parts of an entry that a Mesh works with.
type Options struct {
	Config Config
	Self   Member
	Store  objectapi.Store
	Caller transport.Caller
	// Seeds are addresses of other entries to try while no registration is known.
	Seeds []string
	// Versions returns the versions that the entry holds, zero for values that it
	// wants and does not have. The result is the caller's.
	Versions func() map[Topic]uint64
	// Watched lists the topics that readers learn of from the platform themselves.
	Watched map[Topic]bool
	// Get returns what a member that holds a version lacks: the whole value or, as
	// Put understands it, the rest.
	Get func(t Topic, have uint64) Value
	// Put takes in a value of another member. A version that is not greater than
	// the own one is to be ignored.
	Put func(Topic, Value)
	// State returns the state to send to the members of the own cell.
	State func() []byte
	// Summary returns the sum of the states of some members, the own one included,
	// to send to other cells.
	Summary func(of func(id.Host) bool) []byte
	// OnState receives the state of another member, and OnSummary the sum of
	// another cell. They must not block.
	OnState   func(Member, []byte)
	OnSummary func(cell string, summary []byte)
	// Reading reports whether the entry's own watches of the platform are in order.
	// Nil means that it has none.
	Reading func() bool
	Log     zerolog.Logger
}

// Validate returns all findings in the options.
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

// Mesh is the entry's part in the fleet. It is safe for concurrent use.
type Mesh struct {
	opt Options
	cfg Config

	mu    sync.Mutex // leaf lock; guards all below
	peers map[id.Host]*peer
	// registered is the revision of the own registration, zero if it is not known.
	registered uint64
	// inPlatform is false while the own registration is known to be missing.
	inPlatform bool
	fetching   map[Topic]bool
	behind     map[Topic]time.Time
	// layout is that of the known members; stale is true after one came or went.
	layout layout
	stale  bool
	// listed holds the registrations. Revision is that of their last change in the
	// platform, and current the one up to which they are known.
	listed            map[id.Host]registration
	revision, current uint64
	// watching is true while the registrations are followed in the platform.
	watching bool
	// roundBytes is the usual size of the exchanges of a round.
	roundBytes float64

	changed chan struct{}
}

// registration is a member as the platform holds it.
type registration struct {
	Member   Member `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// peer is another host with what is known of it.
type peer struct {
	member Member
	// revision is that of its registration, zero if it is not registered.
	revision uint64
	// seen is the last exchange, and since when the member is known.
	seen, since time.Time
	// failed is the last call that was not answered, and silent the first one
	// since the last that was.
	failed, silent time.Time
	versions       map[Topic]uint64
	alive          bool
	calling        bool
	// reads is true if its watches of the platform are in order.
	reads bool
}

// New returns a mesh. Run must be called for it to work.
func New(o Options) (*Mesh, error) {
	if err := o.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	return &Mesh{
		opt: o, cfg: o.Config.withDefaults(),
		peers: make(map[id.Host]*peer), fetching: make(map[Topic]bool), behind: make(map[Topic]time.Time),
		layout: newLayout([]Member{o.Self}), changed: make(chan struct{}, 1),
	}, nil
}

// Run works until ctx ends. The registration is then removed.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.register(ctx) })
	wg.Go(func() { m.exchange(ctx) })
	wg.Wait()
	m.unregister()
}

// Alive returns the other members that were lately in touch, in order of host. Of a
// large fleet these are the cell and the contacts.
func (m *Mesh) Alive() []Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, p := range m.peers {
		if now.Sub(p.seen) < m.aliveFor() {
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

// Hosts returns the hosts of all registered members and the own one, in order.
func (m *Mesh) Hosts() []id.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []id.Host{m.opt.Self.Host}
	for host, p := range m.peers {
		if p.revision != 0 || time.Since(p.seen) < m.aliveFor() {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// Zones returns the availability zones of all known members and the own one.
func (m *Mesh) Zones() map[id.Host]id.Zone {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[id.Host]id.Zone{m.opt.Self.Host: m.opt.Self.Zone}
	for host, p := range m.peers {
		out[host] = p.member.Zone
	}
	return out
}

// Known returns the number of registered members, the own one included. It
// counts those that are not in touch, which may still be at work.
func (m *Mesh) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if p.revision != 0 || time.Since(p.seen) < m.aliveFor() {
			n++
		}
	}
	return n
}

// Current returns the last known incarnation of a host, empty if none is known.
func (m *Mesh) Current(host id.Host) id.Incarnation {
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

// Silence returns the time since a member of the own cell was last heard of. It is
// false for one that was never heard of, and for members of other cells.
func (m *Mesh) Silence(host id.Host, incarnation id.Incarnation) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || p.member.Incarnation != incarnation || p.seen.IsZero() || !m.divided().together(m.opt.Self.Host, host) {
		return 0, false
	}
	return time.Since(p.seen), true
}

// Trust implements keys.TrustFunc: a peer is accepted if its certificate is
// registered, or if it calls from the address of a registered host or a seed.
// The platform's network is what identifies a host that could not register yet.
func (m *Mesh) Trust(host id.Host, fingerprint string, remote net.Addr) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p != nil && p.member.Fingerprint == fingerprint {
		return true
	}
	if remote == nil {
		return true // The own dial went to the address of a registered host or a seed.
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

// note takes in a member, from the platform or from itself. The caller holds mu.
func (m *Mesh) note(member Member, revision uint64, now time.Time) *peer {
	p := m.peers[member.Host]
	if p == nil {
		p = &peer{since: now}
		m.peers[member.Host] = p
		m.stale = true
	}
	if p.member.Incarnation != member.Incarnation && member.Started >= p.member.Started {
		p.member, p.versions = member, nil
		p.since = now
	}
	if revision > p.revision {
		p.revision = revision
		p.member = member
	}
	return p
}

// divided returns the division of the known members into cells. The caller holds mu.
func (m *Mesh) divided() layout {
	if m.stale {
		all := []Member{m.opt.Self}
		for _, p := range m.peers {
			all = append(all, p.member)
		}
		m.layout, m.stale = newLayout(all), false
	}
	return m.layout
}

// aliveIntervals is the number of intervals after the last exchange for which a
// member counts as alive.
const aliveIntervals = 3

// aliveFor returns the time after the last exchange for which a member counts as
// alive. The caller holds mu.
func (m *Mesh) aliveFor() time.Duration { return max(m.cfg.AliveFor, aliveIntervals*m.interval()) }

// Interval returns the time between two exchanges with the same member.
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
