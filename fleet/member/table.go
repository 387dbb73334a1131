package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// Change is a change of the state of a host in the own zone.
type Change struct {
	Peer Peer
	// Before is the previous state, Dead for a new host.
	Before State
}

// Options are the parameters and callbacks of a Table.
type Options struct {
	Config Config
	Zone   id.Zone
	Host   id.Host
	// Address is the "ip:port" at which the process takes calls.
	Address string
	// Seed seeds the random choice of hosts to probe.
	Seed uint64
	// AppData returns opaque data to send with each message. It may be nil.
	AppData func() []byte
	// OnAppData receives the AppData of other hosts. It must not block. It may be nil.
	OnAppData func(from Peer, zone id.Zone, data []byte)
	// Load returns the zone's aggregated load for its summary. It may be nil.
	Load func() []byte
	// OnChange receives state changes. It must not block. It may be nil.
	OnChange func(Change)
}

// entry is the record of another host of the zone.
type entry struct {
	peer Peer
	// stateSince is when the host entered its state.
	stateSince time.Time
	// lastHeard is when the host last answered, directly or to an indirect probe.
	lastHeard time.Time
	// lastProbe is when the last direct probe was sent.
	lastProbe time.Time
	// unanswered counts the direct probes sent since lastHeard.
	unanswered int
	// monitored is true while the host is one of the successors.
	monitored bool
	// leavingHint is the incarnation that the host list last marked as leaving.
	leavingHint uint64
}

// indirectProbe is a pending probe on behalf of the sender of a PingReq.
type indirectProbe struct {
	requester string
	seq       uint64
	expires   time.Time
}

// Table is the membership state machine of one process. It has no clock,
// goroutines or locks: the caller passes the time, sends the returned messages
// and serialises all calls.
type Table struct {
	opt     Options
	cfg     Config
	self    Peer
	started time.Time
	rng     *rand.Rand

	entries    map[id.Host]*entry
	order      []id.Host // keys of entries, sorted
	successors []id.Host // monitored hosts, recomputed when dirty
	fingers    []id.Host // hosts at doubling distances, recomputed when dirty
	dirty      bool
	// leavePending is true until the next Tick notifies all members of Leave.
	leavePending   bool
	hash           uint64
	queue          []*rumor
	seq            uint64
	indirectProbes map[uint64]indirectProbe

	lastTick        time.Time
	nextFingerProbe time.Time
	fingerIndex     int // rotates through fingers
	nextRejoinProbe time.Time
	nextSync        time.Time

	cross crossZone
	seeds []Peer // hosts of the own zone in the host list
}

// New returns a table with the own host as the only member. The incarnation starts
// at the wall time in milliseconds, so that it grows with each start.
func New(o Options, now time.Time) *Table {
	return &Table{
		opt: o,
		cfg: o.Config,
		self: Peer{
			Host:        o.Host,
			Address:     o.Address,
			Incarnation: uint64(now.UnixMilli()),
		},
		started:        now,
		rng:            rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(o.Host)))),
		entries:        make(map[id.Host]*entry),
		indirectProbes: make(map[uint64]indirectProbe),
		lastTick:       now,
		dirty:          true,
		cross:          newCrossZone(),
	}
}

// Self returns the record of the own host.
func (t *Table) Self() Peer { return t.self }

// Leave sets the own host to Leaving. The next Tick notifies each member
// directly.
func (t *Table) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.dirty = true
	t.leavePending = true
	t.enqueueUpdate(t.self)
}

// Members returns all hosts of the zone in the table and the own one, sorted by host.
func (t *Table) Members() []Peer {
	out := make([]Peer, 0, len(t.order)+1)
	at, _ := slices.BinarySearch(t.order, t.self.Host)
	for _, h := range t.order[:at] {
		out = append(out, t.entries[h].peer)
	}
	out = append(out, t.self)
	for _, h := range t.order[at:] {
		out = append(out, t.entries[h].peer)
	}
	return out
}

func (t *Table) add(p Peer, now time.Time) {
	t.entries[p.Host] = &entry{peer: p, stateSince: now, lastHeard: now}
	at, _ := slices.BinarySearch(t.order, p.Host)
	t.order = slices.Insert(t.order, at, p.Host)
}

func (t *Table) remove(h id.Host) {
	delete(t.entries, h)
	if at, ok := slices.BinarySearch(t.order, h); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.dirty = true
}

// Live returns the hosts of the zone in state Alive, sorted by host. Only they
// receive new work and own keys.
func (t *Table) Live() []Peer {
	return slices.DeleteFunc(t.Members(), func(p Peer) bool { return p.State != Alive })
}

// Lookup returns the record of a host of the zone.
func (t *Table) Lookup(h id.Host) (Peer, bool) {
	if h == t.self.Host {
		return t.self, true
	}
	e, ok := t.entries[h]
	if !ok {
		return Peer{}, false
	}
	return e.peer, true
}

// Owns reports whether the own host ranks first of the live hosts for key by
// rendezvous hashing.
func (t *Table) Owns(key string) bool {
	first, ok := rendezvous.First(key, hosts(t.Live()))
	return ok && first == t.self.Host
}

func hosts(peers []Peer) []id.Host {
	out := make([]id.Host, len(peers))
	for i, p := range peers {
		out[i] = p.Host
	}
	return out
}

// applyUpdate merges an update about a host of the zone into the table.
func (t *Table) applyUpdate(p Peer, now time.Time) {
	if p.Host == t.self.Host {
		t.applySelf(p, now)
		return
	}
	e := t.entries[p.Host]
	if e == nil {
		if p.State == Dead {
			return
		}
		t.add(p, now)
		t.recordChange(Change{Peer: p, Before: Dead})
		return
	}
	if !supersedes(p, e.peer) {
		return
	}
	before := e.peer
	e.peer = p
	if p.Incarnation != before.Incarnation || p.State != before.State {
		e.stateSince = now
	}
	if p.State <= Leaving && before.State >= Suspect {
		e.lastHeard = now
		e.unanswered = 0
	}
	t.recordChange(Change{Peer: p, Before: before.State})
}

func supersedes(p, known Peer) bool {
	if p.Incarnation != known.Incarnation {
		return p.Incarnation > known.Incarnation
	}
	return p.State > known.State
}

// applySelf refutes an update about the own host, or accepts that it is leaving.
func (t *Table) applySelf(p Peer, now time.Time) {
	if !supersedes(p, t.self) {
		return
	}
	if p.State == Leaving && p.Incarnation == t.self.Incarnation && now.Sub(t.started) > t.cfg.Zone.HostListLag {
		t.Leave()
		return
	}
	t.self.Incarnation = max(p.Incarnation, t.self.Incarnation) + 1
	t.dirty = true
	t.enqueueUpdate(t.self)
}

func (t *Table) recordChange(c Change) {
	t.dirty = true
	t.enqueueUpdate(c.Peer)
	if t.opt.OnChange != nil && c.Before != c.Peer.State {
		t.opt.OnChange(c)
	}
}

// markHeard records an answer of a host.
func (t *Table) markHeard(h id.Host, now time.Time) {
	if e := t.entries[h]; e != nil {
		e.lastHeard = now
		e.unanswered = 0
	}
}

// recompute updates successors, fingers and the member hash after a change.
func (t *Table) recompute(now time.Time) {
	if !t.dirty {
		return
	}
	t.dirty = false
	members := t.Members()
	t.hash = 0
	var candidates []id.Host
	for _, p := range members {
		if p.State == Dead {
			continue
		}
		t.hash ^= rendezvous.Score(p.State.String(), p.Host) * (p.Incarnation | 1)
		candidates = append(candidates, p.Host)
	}
	t.successors, t.fingers = ringNeighbors(t.self.Host, candidates, t.cfg.Zone.Successors)
	for h, e := range t.entries {
		monitored := slices.Contains(t.successors, h)
		if monitored && !e.monitored && e.peer.State != Suspect {
			e.lastHeard = now
			e.unanswered = 0
		}
		e.monitored = monitored
	}
}

// ringNeighbors returns the n successors of self on the hash ring, and its fingers:
// the hosts beyond them at doubling distances.
func ringNeighbors(self id.Host, hosts []id.Host, n int) (next, distant []id.Host) {
	ring := rendezvous.Rank("ring", hosts)
	at := slices.Index(ring, self)
	for i := 1; i < len(ring) && i <= n; i++ {
		next = append(next, ring[(at+i)%len(ring)])
	}
	for i := 2 * n; i < len(ring); i *= 2 {
		distant = append(distant, ring[(at+i)%len(ring)])
	}
	return next, distant
}
