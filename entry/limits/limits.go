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

// shards is the number of groups of teams that are divided separately.
const shards = 16

// teamKey names a team between entries.
type teamKey uint32

func keyOf(t id.Team) teamKey { return teamKey(xxhash.Sum64String(string(t))) }

func (k teamKey) shard() int { return int(k % shards) }

// team is the state of one limited team.
type team struct {
	name  id.Team
	key   teamKey
	limit float64 // tokens per second
	share *limit.Share
	zone  *limit.ZoneAllocator[uint64] // divides the zone's grant while this entry holds the zone's duty
	// fleet divides the limit while this entry holds the shard's lease. Guarded by shard.mu.
	fleet *limit.Allocator[uint64]
	// alone is true if another team has the same key. Such teams have their floors only.
	alone bool
}

// teams is the immutable set of limited teams.
type teams struct {
	byName  map[id.Team]*team
	byKey   map[teamKey]*team
	byShard [shards][]*team
}

// Limiter is the part of one entry in the enforcement of limits. It is safe for
// concurrent use.
type Limiter struct {
	config Config
	deps   Deps
	node   uint64
	teams  atomic.Pointer[teams]
	shards [shards]shard

	// mu guards the change of teams and the observed size. It is taken before any other lock.
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

// floors splits a limit at the observed size. The caller holds mu.
func (l *Limiter) floors(rate float64) limit.Floors {
	return limit.Floors{Limit: rate, Fraction: l.config.FloorFraction, Zones: l.zones, EntriesPerZone: l.entries}
}

// SetTeams replaces the teams. Teams that remain limited keep their state. It
// is called on changes of the configuration and does not block.
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

// team returns the state of a team, taking over what is known of it.
func (l *Limiter) team(old *team, c config.Team, now time.Time) *team {
	t := &team{name: c.Name, key: keyOf(c.Name), limit: c.TokensPerSecond}
	floor := l.floors(t.limit).Entry()
	if old == nil {
		t.share = limit.NewShare(floor, now)
		t.zone = limit.NewZoneAllocator[uint64](1) // Two holders are two nodes; see package limit.
		t.fleet = limit.NewAllocator[uint64]()
		return t
	}
	t.share, t.zone, t.fleet = old.share, old.zone, old.fleet
	t.share.SetFloor(floor, now)
	return t
}

// add adds a team. Of teams with the same key, none takes part in exchanges.
func (s *teams) add(t *team) {
	s.byName[t.name] = t
	if other := s.byKey[t.key]; other != nil {
		other.alone, t.alone = true, true
		return
	}
	s.byKey[t.key] = t
	s.byShard[t.key.shard()] = append(s.byShard[t.key.shard()], t)
}

// lookup returns the team of a key that takes part in exchanges.
func (s *teams) lookup(k teamKey, shard uint8) *team {
	t := s.byKey[k]
	if t == nil || t.alone || k.shard() != int(shard) {
		return nil
	}
	return t
}

// resize lowers the floors if more zones or entries run than configured.
func (l *Limiter) resize(zones, entries int) {
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

// Take takes tokens from a team's share, or returns the time after which that
// may succeed. A team without a limit always gets them. It is called for each
// request, before dispatch, and does not block.
func (l *Limiter) Take(name id.Team, tokens float64, now time.Time) (retryAfter time.Duration, ok bool) {
	t := l.teams.Load().byName[name]
	if t == nil {
		return 0, true
	}
	return t.share.Consume(tokens, now)
}

// Return gives back tokens that a request did not use.
func (l *Limiter) Return(name id.Team, tokens float64, now time.Time) {
	if t := l.teams.Load().byName[name]; t != nil {
		t.share.Refund(tokens, now)
	}
}
