package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/wire/codec"
)

const (
	testLimit = 10_000.0 // tokens per second
	testTeam  = id.Team("puno")
	testTTL   = 10 * time.Second
)

var errLost = errors.New("lost")

// world is a fleet with a clock that moves only between rounds.
type world struct {
	t     assert.TestingT
	store *memstore.Store
	nodes []*node
	teams []config.Team
	size  Config
	seed  uint64
	cut   func(from, to *node) bool // nil: no zone is cut off
	down  bool                      // the platform

	mu   sync.Mutex // guards the fields below
	now  time.Time
	loss float64
	sent map[link]uint64
}

// link counts the messages of one shard between two nodes, so that loss does
// not depend on the order of goroutines.
type link struct {
	from, to string
	level    level
	shard    uint8
	answer   bool
}

// node is one entry. It implements Members, transport.Caller and objectapi.Store.
type node struct {
	objectapi.Store
	w      *world
	zone   id.Zone
	peer   member.Peer
	limits *Limiter
	paused bool
	// blind holds the peers that this node wrongly takes for dead.
	blind map[id.Host]bool

	mu      sync.Mutex // guards the fields below
	waiting [][]byte   // requests that arrived during a pause
	bytes   int        // payload bytes in both directions
	calls   int
}

func newWorld(t assert.TestingT, zones, entries int, teams []config.Team) *world {
	w := &world{
		t: t, store: memstore.New(memstore.Config{}), teams: teams,
		now: time.Unix(1_000_000, 0), sent: map[link]uint64{},
	}
	w.size = DefaultConfig()
	w.size.Zones, w.size.EntriesPerZone = zones, entries
	w.size.LeaseTTL = testTTL
	w.size.Now = w.clock
	for z := range zones {
		for e := range entries {
			n := &node{w: w, zone: id.Zone(fmt.Sprintf("zone-%d", z))}
			n.peer.Host = id.Host(fmt.Sprintf("%s-entry-%d", n.zone, e))
			n.peer.Address = string(n.peer.Host) + ":1"
			n.Store = w.store
			w.nodes = append(w.nodes, n)
		}
	}
	for _, n := range w.nodes {
		n.restart()
	}
	return w
}

func oneTeam() []config.Team {
	return []config.Team{{Name: testTeam, TokensPerSecond: testLimit}, {Name: "free"}}
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// restart replaces the process of the node.
func (n *node) restart() {
	c := n.w.size
	c.Zone = n.zone
	var err error
	n.limits, err = New(c)
	assert.NilError(n.w.t, err)
	assert.NilError(n.w.t, n.limits.SetDeps(Deps{Store: n, Members: n, Caller: n, Metrics: metrics.NewSet()}))
	n.limits.SetTeams(n.w.teams)
	n.waiting, n.paused = nil, false
}

// wake ends a pause. The requests that waited are handled; their senders have
// given up.
func (n *node) wake() {
	n.paused = false
	for _, p := range n.waiting {
		_, _ = n.limits.Handle(context.Background(), p)
	}
	n.waiting = nil
}

// Self implements Members.
func (n *node) Self() member.Peer { return n.peer }

// Live implements Members.
func (n *node) Live() []member.Peer {
	var out []member.Peer
	for _, other := range n.w.nodes {
		if other.zone == n.zone && !n.blind[other.peer.Host] {
			out = append(out, other.peer)
		}
	}
	return out
}

// Zones implements Members.
func (n *node) Zones() []member.ZoneStatus {
	var out []member.ZoneStatus
	for _, other := range n.w.nodes {
		named := func(z member.ZoneStatus) bool { return z.Name == other.zone }
		if other.zone != n.zone && !slices.ContainsFunc(out, named) {
			out = append(out, member.ZoneStatus{Name: other.zone})
		}
	}
	return out
}

// RemotePeers implements Members.
func (n *node) RemotePeers() []member.Peer {
	var out []member.Peer
	for _, other := range n.w.nodes {
		if other.zone != n.zone {
			out = append(out, other.peer)
		}
	}
	return out
}

// Get implements objectapi.Store.
func (n *node) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if n.w.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errLost}
	}
	return n.w.store.Get(ctx, kind, name)
}

// Put implements objectapi.Store.
func (n *node) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if n.w.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errLost}
	}
	return n.w.store.Put(ctx, o)
}

// Abandon implements transport.Caller.
func (n *node) Abandon(string) {}

// Call implements transport.Caller.
func (n *node) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	n.count(len(payload), 1)
	at := slices.IndexFunc(n.w.nodes, func(m *node) bool { return m.peer.Address == address })
	to := n.w.nodes[at]
	if !n.w.delivers(n, to, payload, false) {
		return nil, errLost
	}
	if to.paused {
		to.mu.Lock()
		defer to.mu.Unlock()
		to.waiting = append(to.waiting, payload)
		return nil, errLost
	}
	to.count(len(payload), 0)
	answer, err := to.limits.Handle(ctx, payload)
	to.count(len(answer), 0)
	if !n.w.delivers(n, to, payload, true) {
		return nil, errLost
	}
	n.count(len(answer), 0)
	return answer, err
}

func (n *node) count(bytes, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += bytes
	n.calls += calls
}

func (w *world) delivers(from, to *node, payload []byte, answer bool) bool {
	if w.cut != nil && w.cut(from, to) {
		return false
	}
	var r request
	if codec.Unmarshal(payload, &r) != nil {
		return false
	}
	l := link{from.peer.Address, to.peer.Address, r.Level, r.Shard, answer}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[l]++
	h := xxhash.Sum64String(fmt.Sprintf("%d %v %d", w.seed, l, w.sent[l]))
	return float64(h>>11)/(1<<53) >= w.loss
}

// zoneRate returns the sum of the rates in force for a team in one zone.
func (w *world) zoneRate(zone id.Zone, team id.Team) float64 {
	sum := 0.0
	for _, n := range w.nodes {
		if n.zone == zone {
			sum += n.limits.teams.Load().byName[team].share.Rate(w.clock())
		}
	}
	return sum
}

// checkSmall checks after each exchange where that takes little time.
func (w *world) checkSmall() {
	if len(w.nodes) <= maxCheckedNodes {
		w.check()
	}
}

// maxCheckedNodes is the size up to which all rates are summed after each exchange.
const maxCheckedNodes = 20

// check asserts that the sum of all rates is within each limit.
func (w *world) check() {
	for _, t := range w.teams {
		if t.TokensPerSecond == 0 {
			continue
		}
		sum := 0.0
		for _, n := range w.nodes {
			sum += n.limits.teams.Load().byName[t.Name].share.Rate(w.clock())
		}
		assert.Assert(w.t, sum <= t.TokensPerSecond*(1+1e-6), "team %s: sum of rates %.3f", t.Name, sum)
	}
}

// round lets each node take tokens, step its leases and exchange once.
func (w *world) round(demand func(*node) float64) {
	ctx := context.Background()
	for _, n := range w.nodes {
		if n.paused {
			continue
		}
		for _, t := range w.teams {
			if tokens := demand(n); tokens > 0 {
				n.limits.Take(t.Name, tokens, w.clock())
			}
		}
		n.limits.stepLeases(ctx)
		n.limits.exchange(ctx)
		w.checkSmall()
	}
	w.advance(w.size.Interval)
	w.check()
}

func (w *world) rounds(n int, demand func(*node) float64) {
	for range n {
		w.round(demand)
	}
}

func everywhere(*node) float64 { return testLimit }

func inZone(z id.Zone) func(*node) float64 {
	return func(n *node) float64 {
		if n.zone == z {
			return testLimit
		}
		return 0
	}
}

// disturb changes the state of the fleet at random.
func (w *world) disturb(rng *rand.Rand) {
	for _, n := range w.nodes {
		switch rng.IntN(60) {
		case 0:
			n.restart()
		case 1:
			n.paused = true
		case 2, 3, 4, 5, 6, 7:
			n.wake()
		case 8:
			n.blind = map[id.Host]bool{w.nodes[rng.IntN(len(w.nodes))].peer.Host: true}
			delete(n.blind, n.peer.Host)
		case 9, 10:
			n.blind = nil
		}
	}
	switch rng.IntN(20) {
	case 0:
		w.down = !w.down
	case 1:
		zone := w.nodes[rng.IntN(len(w.nodes))].zone
		w.cut = func(from, to *node) bool { return (from.zone == zone) != (to.zone == zone) }
	case 2, 3:
		w.cut = nil
	}
	w.advance(time.Duration(rng.IntN(600)) * time.Millisecond)
	w.check()
}
