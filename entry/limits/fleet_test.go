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

// testFleet is a fleet with a clock that advances only between rounds.
type testFleet struct {
	t            assert.TestingT
	store        *memstore.Store
	nodes        []*node
	teams        []config.Team
	config       Config
	seed         uint64
	partition    func(from, to *node) bool // nil: no partition
	platformDown bool

	mu   sync.Mutex // guards the fields below
	now  time.Time
	loss float64
	sent map[linkKey]uint64
}

// linkKey identifies the messages of one shard between two nodes. They are counted by
// key so that loss does not depend on the order of goroutines.
type linkKey struct {
	from, to string
	level    level
	shard    uint8
	response bool
}

// node is one entry. It implements Members, transport.Caller and objectapi.Store.
type node struct {
	objectapi.Store
	fleet  *testFleet
	zone   id.Zone
	peer   member.Peer
	limits *Limiter
	paused bool
	// suspected holds the peers that this node wrongly considers dead.
	suspected map[id.Host]bool

	mu     sync.Mutex // guards the fields below
	queued [][]byte   // requests that arrived during a pause
	bytes  int        // payload bytes in both directions
	calls  int
}

func newTestFleet(t assert.TestingT, zones, entries int, teams []config.Team) *testFleet {
	f := &testFleet{
		t: t, store: memstore.New(memstore.Config{}), teams: teams,
		now: time.Unix(1_000_000, 0), sent: map[linkKey]uint64{},
	}
	f.config = DefaultConfig()
	f.config.Zones, f.config.EntriesPerZone = zones, entries
	f.config.LeaseTTL = testTTL
	f.config.Now = f.clock
	for z := range zones {
		for e := range entries {
			n := &node{fleet: f, zone: id.Zone(fmt.Sprintf("zone-%d", z))}
			n.peer.Host = id.Host(fmt.Sprintf("%s-entry-%d", n.zone, e))
			n.peer.Address = string(n.peer.Host) + ":1"
			n.Store = f.store
			f.nodes = append(f.nodes, n)
		}
	}
	for _, n := range f.nodes {
		n.restart()
	}
	return f
}

func oneTeam() []config.Team {
	return []config.Team{{Name: testTeam, TokensPerSecond: testLimit}, {Name: "free"}}
}

func (f *testFleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *testFleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// restart replaces the node's process.
func (n *node) restart() {
	c := n.fleet.config
	c.Zone = n.zone
	var err error
	n.limits, err = New(c)
	assert.NilError(n.fleet.t, err)
	assert.NilError(n.fleet.t, n.limits.SetDeps(Deps{Store: n, Members: n, Caller: n, Metrics: metrics.NewSet()}))
	n.limits.SetTeams(n.fleet.teams)
	n.queued, n.paused = nil, false
}

// resume ends a pause and handles the queued requests, whose senders have timed out.
func (n *node) resume() {
	n.paused = false
	for _, p := range n.queued {
		_, _ = n.limits.Handle(context.Background(), p)
	}
	n.queued = nil
}

// Self implements Members.
func (n *node) Self() member.Peer { return n.peer }

// Live implements Members.
func (n *node) Live() []member.Peer {
	var out []member.Peer
	for _, other := range n.fleet.nodes {
		if other.zone == n.zone && !n.suspected[other.peer.Host] {
			out = append(out, other.peer)
		}
	}
	return out
}

// Zones implements Members.
func (n *node) Zones() []member.ZoneStatus {
	var out []member.ZoneStatus
	for _, other := range n.fleet.nodes {
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
	for _, other := range n.fleet.nodes {
		if other.zone != n.zone {
			out = append(out, other.peer)
		}
	}
	return out
}

// Get implements objectapi.Store.
func (n *node) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if n.fleet.platformDown {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errLost}
	}
	return n.fleet.store.Get(ctx, kind, name)
}

// Put implements objectapi.Store.
func (n *node) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if n.fleet.platformDown {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errLost}
	}
	return n.fleet.store.Put(ctx, o)
}

// Abandon implements transport.Caller.
func (n *node) Abandon(string) {}

// Call implements transport.Caller.
func (n *node) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	n.count(len(payload), 1)
	at := slices.IndexFunc(n.fleet.nodes, func(m *node) bool { return m.peer.Address == address })
	to := n.fleet.nodes[at]
	if !n.fleet.delivers(n, to, payload, false) {
		return nil, errLost
	}
	if to.paused {
		to.mu.Lock()
		defer to.mu.Unlock()
		to.queued = append(to.queued, payload)
		return nil, errLost
	}
	to.count(len(payload), 0)
	response, err := to.limits.Handle(ctx, payload)
	to.count(len(response), 0)
	if !n.fleet.delivers(n, to, payload, true) {
		return nil, errLost
	}
	n.count(len(response), 0)
	return response, err
}

func (n *node) count(bytes, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += bytes
	n.calls += calls
}

func (f *testFleet) delivers(from, to *node, payload []byte, response bool) bool {
	if f.partition != nil && f.partition(from, to) {
		return false
	}
	var r request
	if codec.Unmarshal(payload, &r) != nil {
		return false
	}
	l := linkKey{from.peer.Address, to.peer.Address, r.Level, r.Shard, response}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[l]++
	h := xxhash.Sum64String(fmt.Sprintf("%d %v %d", f.seed, l, f.sent[l]))
	return float64(h>>11)/(1<<53) >= f.loss
}

// zoneRate returns the sum of the rates in force for a team in one zone.
func (f *testFleet) zoneRate(zone id.Zone, team id.Team) float64 {
	sum := 0.0
	for _, n := range f.nodes {
		if n.zone == zone {
			sum += n.limits.teams.Load().byName[team].share.Rate(f.clock())
		}
	}
	return sum
}

// checkIfSmall calls check in fleets of up to maxCheckedNodes.
func (f *testFleet) checkIfSmall() {
	if len(f.nodes) <= maxCheckedNodes {
		f.check()
	}
}

// maxCheckedNodes is the fleet size up to which all rates are summed after each exchange.
const maxCheckedNodes = 20

// check asserts that the sum of all rates is within each limit.
func (f *testFleet) check() {
	for _, t := range f.teams {
		if t.TokensPerSecond == 0 {
			continue
		}
		sum := 0.0
		for _, n := range f.nodes {
			sum += n.limits.teams.Load().byName[t.Name].share.Rate(f.clock())
		}
		assert.Assert(f.t, sum <= t.TokensPerSecond*(1+1e-6), "team %s: sum of rates %.3f", t.Name, sum)
	}
}

// round lets each node take tokens, step its leases and exchange once.
func (f *testFleet) round(demand func(*node) float64) {
	ctx := context.Background()
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		for _, t := range f.teams {
			if tokens := demand(n); tokens > 0 {
				n.limits.Consume(t.Name, tokens, f.clock())
			}
		}
		n.limits.stepLeases(ctx)
		n.limits.exchange(ctx)
		f.checkIfSmall()
	}
	f.advance(f.config.Interval)
	f.check()
}

func (f *testFleet) rounds(n int, demand func(*node) float64) {
	for range n {
		f.round(demand)
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

// injectFaults changes the state of the fleet at random.
func (f *testFleet) injectFaults(rng *rand.Rand) {
	for _, n := range f.nodes {
		switch rng.IntN(60) {
		case 0:
			n.restart()
		case 1:
			n.paused = true
		case 2, 3, 4, 5, 6, 7:
			n.resume()
		case 8:
			n.suspected = map[id.Host]bool{f.nodes[rng.IntN(len(f.nodes))].peer.Host: true}
			delete(n.suspected, n.peer.Host)
		case 9, 10:
			n.suspected = nil
		}
	}
	switch rng.IntN(20) {
	case 0:
		f.platformDown = !f.platformDown
	case 1:
		zone := f.nodes[rng.IntN(len(f.nodes))].zone
		f.partition = func(from, to *node) bool { return (from.zone == zone) != (to.zone == zone) }
	case 2, 3:
		f.partition = nil
	}
	f.advance(time.Duration(rng.IntN(600)) * time.Millisecond)
	f.check()
}
