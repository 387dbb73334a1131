package limits

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/balance/limit"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
)

// shardCount is the number of groups of teams that are divided separately.
const shardCount = 16

// teamKey identifies a team in messages.
type teamKey uint32

func keyOf(t id.Team) teamKey { return teamKey(xxhash.Sum64String(string(t))) }

func (k teamKey) shard() int { return int(k % shardCount) }

// team is the state of one limited team.
type team struct {
	name          id.Team
	key           teamKey
	limit         float64 // tokens per second
	share         *limit.Share
	zoneAllocator *limit.ZoneAllocator[uint64] // in use while this entry is the zone leader
	// fleetAllocator is in use while this entry holds the shard's lease. Guarded by shard.mu.
	fleetAllocator *limit.Allocator[uint64]
	// keyCollision is true if another team has the same key. Such teams have their floors only.
	keyCollision bool
}

// teams is the immutable set of limited teams.
type teams struct {
	byName  map[id.Team]*team
	byKey   map[teamKey]*team
	byShard [shardCount][]*team
}

// Limiter enforces the teams' limits at one entry, in exchanges with the Limiters of
// other entries. It is safe for concurrent use.
type Limiter struct {
	config Config
	deps   Deps
	node   uint64
	teams  atomic.Pointer[teams]
	shards [shardCount]shard

	// mu guards changes of the teams and the observed size. It is acquired before any other lock.
	mu      sync.Mutex
	zones   int // greater of configured and observed number
	entries int // of a zone, likewise
}

// New returns a Limiter without teams.
func New(c Config) (*Limiter, error) {
	if err := c.Validate().Err(); err != nil {
		return nil, err
	}
	l := &Limiter{config: c, node: rand.Uint64(), zones: c.Zones, entries: c.EntriesPerZone}
	l.teams.Store(&teams{})
	return l, nil
}

// floors splits a limit for the observed size. The caller holds mu.
func (l *Limiter) floors(rate float64) limit.Floors {
	return limit.Floors{Limit: rate, Fraction: l.config.FloorFraction, Zones: l.zones, EntriesPerZone: l.entries}
}

// SetTeams replaces the teams. Teams that remain limited keep their state. It
// is called on configuration changes and does not block.
func (l *Limiter) SetTeams(list []config.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	old := l.teams.Load()
	next := &teams{byName: map[id.Team]*team{}, byKey: map[teamKey]*team{}}
	for _, c := range list {
		if c.TokensPerSecond > 0 {
			next.add(l.team(old.byName[c.Name], c, now))
		}
	}
	l.teams.Store(next)
}

// team returns the state of a team, which it takes over from old unless that is nil.
func (l *Limiter) team(old *team, c config.Team, now time.Time) *team {
	t := &team{name: c.Name, key: keyOf(c.Name), limit: c.TokensPerSecond}
	floor := l.floors(t.limit).Entry()
	if old == nil {
		t.share = limit.NewShare(floor, now)
		t.zoneAllocator = limit.NewZoneAllocator[uint64](1) // Two leaders are two nodes; see package limit.
		t.fleetAllocator = limit.NewAllocator[uint64]()
		return t
	}
	t.share, t.zoneAllocator, t.fleetAllocator = old.share, old.zoneAllocator, old.fleetAllocator
	t.share.SetFloor(floor, now)
	return t
}

// add adds a team. Teams with equal keys take no part in exchanges.
func (s *teams) add(t *team) {
	s.byName[t.name] = t
	if other := s.byKey[t.key]; other != nil {
		other.keyCollision, t.keyCollision = true, true
		return
	}
	s.byKey[t.key] = t
	s.byShard[t.key.shard()] = append(s.byShard[t.key.shard()], t)
}

// lookup returns the team of a key, or nil if it takes no part in exchanges.
func (s *teams) lookup(k teamKey, shard uint8) *team {
	t := s.byKey[k]
	if t == nil || t.keyCollision || k.shard() != int(shard) {
		return nil
	}
	return t
}

// setFleetSize lowers the floors if more zones or entries run than configured.
func (l *Limiter) setFleetSize(zones, entries int) {
	zones, entries = max(zones, l.config.Zones), max(entries, l.config.EntriesPerZone)
	l.mu.Lock()
	defer l.mu.Unlock()
	if zones == l.zones && entries == l.entries {
		return
	}
	l.zones, l.entries = zones, entries
	now := l.config.Now()
	for _, t := range l.teams.Load().byName {
		t.share.SetFloor(l.floors(t.limit).Entry(), now)
	}
}

// Consume takes tokens from a team's share, or returns the time after which that
// may succeed. It always succeeds for a team without a limit. It is called for each
// request, before dispatch, and does not block.
func (l *Limiter) Consume(name id.Team, tokens float64, now time.Time) (retryAfter time.Duration, ok bool) {
	t := l.teams.Load().byName[name]
	if t == nil {
		return 0, true
	}
	return t.share.Consume(tokens, now)
}

// Refund returns tokens that a request did not use.
func (l *Limiter) Refund(name id.Team, tokens float64, now time.Time) {
	if t := l.teams.Load().byName[name]; t != nil {
		t.share.Refund(tokens, now)
	}
}
