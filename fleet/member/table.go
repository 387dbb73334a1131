package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// Change reports that a table changed its belief about a host of its zone.
type Change struct {
	Peer Peer
	// Before is the earlier state. It is Dead for a host that was not known.
	Before State
}

// Options are the parts of a process that a Table works with.
type Options struct {
	Config Config
	Zone   id.Zone
	Host   id.Host
	// Address is where the process takes calls.
	Address string
	// Seed selects the hosts for random probes.
	Seed uint64
	// AppData returns opaque data for the heartbeats. It may be nil.
	AppData func() []byte
	// OnAppData receives the notes of other hosts. It must not block. It may be nil.
	OnAppData func(from Peer, zone id.Zone, note []byte)
	// Load returns the zone's aggregate for other zones. It may be nil.
	Load func() []byte
	// OnChange receives changes of belief. It must not block. It may be nil.
	OnChange func(Change)
}

// entry is what a table knows about one other host of its zone.
type entry struct {
	peer Peer
	// since is when the state was entered.
	since time.Time
	// heard is when the host was last known to answer, directly or by a helper.
	heard time.Time
	// pinged is when the last probe was sent.
	pinged time.Time
	// misses counts the probes since heard.
	misses int
	// monitored is true while the host is one of the successors.
	monitored bool
	// hinted is true once the host list called this incarnation leaving.
	hinted uint64
}

// relay is a probe made for another host.
type relay struct {
	origin  string
	seq     uint64
	expires time.Time
}

// Table is the membership state of one process. It is a state machine without
// clock, goroutines or locks: the caller passes the time, sends the returned
// messages and serialises all calls.
type Table struct {
	opt     Options
	cfg     Config
	self    Peer
	started time.Time
	rng     *rand.Rand

	entries map[id.Host]*entry
	order   []id.Host // keys of entries, sorted
	ring    []id.Host // successors, recomputed when dirty
	distant []id.Host // hosts at doubling distances, recomputed when dirty
	dirty   bool
	// farewell is true until all members were told that the own host leaves.
	farewell bool
	hash     uint64
	queue    []*rumor
	seq      uint64
	relays   map[uint64]relay

	last        time.Time
	nextDistant time.Time
	turn        int // rotates through distant
	nextRejoin  time.Time
	nextSync    time.Time

	cross cross
	seeds []Peer // hosts of the own zone in the host list
}

// New returns a table that knows only its own host. The incarnation starts at
// the wall time in milliseconds, so that it grows with each start.
func New(o Options, now time.Time) *Table {
	return &Table{
		opt: o,
		cfg: o.Config,
		self: Peer{
			Host:        o.Host,
			Address:     o.Address,
			Incarnation: uint64(now.UnixMilli()),
		},
		started: now,
		rng:     rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(o.Host)))),
		entries: make(map[id.Host]*entry),
		relays:  make(map[uint64]relay),
		last:    now,
		dirty:   true,
		cross:   newCross(),
	}
}

// Self returns the own host as others see it.
func (t *Table) Self() Peer { return t.self }

// Leave marks the own host as leaving for all members. The next Tick tells each
// of them directly.
func (t *Table) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.dirty = true
	t.farewell = true
	t.announce(t.self)
}

// Members returns all known hosts of the zone including the own, sorted by host.
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
	t.entries[p.Host] = &entry{peer: p, since: now, heard: now}
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

// Live returns the hosts of the zone in state Alive, sorted by host. They take
// new work and duties.
func (t *Table) Live() []Peer {
	return slices.DeleteFunc(t.Members(), func(p Peer) bool { return p.State != Alive })
}

// Lookup returns the belief about a host of the zone.
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

// Owns reports whether the own host is first in the ranking of live hosts for key.
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

// apply takes a claim about a host of the zone into the table.
func (t *Table) apply(p Peer, now time.Time) {
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
		t.changed(Change{Peer: p, Before: Dead})
		return
	}
	if !supersedes(p, e.peer) {
		return
	}
	before := e.peer
	e.peer = p
	if p.Incarnation != before.Incarnation || p.State != before.State {
		e.since = now
	}
	if p.State <= Leaving && before.State >= Suspect {
		e.heard = now
		e.misses = 0
	}
	t.changed(Change{Peer: p, Before: before.State})
}

func supersedes(p, known Peer) bool {
	if p.Incarnation != known.Incarnation {
		return p.Incarnation > known.Incarnation
	}
	return p.State > known.State
}

// applySelf refutes wrong claims about the own host and adopts that it leaves.
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
	t.announce(t.self)
}

func (t *Table) changed(c Change) {
	t.dirty = true
	t.announce(c.Peer)
	if t.opt.OnChange != nil && c.Before != c.Peer.State {
		t.opt.OnChange(c)
	}
}

// heard notes that a host answered at a time.
func (t *Table) heard(h id.Host, now time.Time) {
	if e := t.entries[h]; e != nil {
		e.heard = now
		e.misses = 0
	}
}

// refresh recomputes the successors and the hash after a change.
func (t *Table) refresh(now time.Time) {
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
	t.ring, t.distant = partners(t.self.Host, candidates, t.cfg.Zone.Successors)
	for h, e := range t.entries {
		monitored := slices.Contains(t.ring, h)
		if monitored && !e.monitored && e.peer.State != Suspect {
			e.heard = now
			e.misses = 0
		}
		e.monitored = monitored
	}
}

// partners returns the n hosts that follow self in hash order, and the hosts
// beyond them at doubling distances.
func partners(self id.Host, hosts []id.Host, n int) (next, distant []id.Host) {
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
