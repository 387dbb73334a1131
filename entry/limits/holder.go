package limits

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/siskinford/siskinford/balance/limit"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/rendezvous"
	"github.com/siskinford/siskinford/wire/codec"
)

// shard is an entry's state as lease holder and client of one shard.
type shard struct {
	// lease is the right to divide the shard's limits between the zones. AcquireOrRenew and
	// Release are called by one goroutine.
	lease *duty.Lease

	// mu guards the fields below and the fleet allocators of the shard's teams. It is a leaf lock.
	mu sync.Mutex
	// epoch is the last fencing token with which the lease was held, from epochSince on.
	epoch      uint64
	epochSince time.Time
	// hintAddress is the address that last returned grants or that a redirect named.
	hintAddress string
	// nextAddress rotates through the addresses tried without a hint.
	nextAddress int
}

// leaseHolderName returns the name of a node and its address as holder of the lease.
func leaseHolderName(node uint64, address string) string {
	return strconv.FormatUint(node, 16) + "@" + address
}

// leaseAddress returns the address of the last known holder of the lease.
func (s *shard) leaseAddress() string {
	_, address, _ := strings.Cut(s.lease.Holder(), "@")
	return address
}

// grantEpoch returns the fencing token if grants may be issued. A new holder waits
// until the grants of its predecessor, which may have released the lease, have
// expired. The caller holds mu.
func (s *shard) grantEpoch(now time.Time) (epoch uint64, ok bool) {
	epoch, ok = s.lease.Valid(now)
	if !ok {
		return 0, false
	}
	if epoch != s.epoch {
		s.epoch, s.epochSince = epoch, now
	}
	if epoch > 1 && now.Sub(s.epochSince) < limit.MaxGrantDuration {
		return 0, false
	}
	return epoch, true
}

// Handle responds to the demands of an entry of the zone or of another zone's leader.
// It is a transport.Handler and does not block.
func (l *Limiter) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := codec.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if !r.valid() {
		return nil, fmt.Errorf("demands of %d teams in shard %d are incomplete", len(r.Teams), r.Shard)
	}
	return codec.Marshal(l.respond(&r))
}

func (l *Limiter) respond(r *request) *response {
	switch r.Level {
	case zoneLevel:
		return l.allocateZone(r)
	case fleetLevel:
		return l.allocateFleet(r)
	}
	return &response{}
}

// allocateZone divides the zone's grants between its entries. Two leaders at the same
// time are safe, as each divides its own grants only.
func (l *Limiter) allocateZone(r *request) *response {
	now := l.config.Now()
	teams := l.teams.Load()
	resp := &response{}
	for i, k := range r.Teams {
		t := teams.lookup(k, r.Shard)
		if t == nil {
			resp.add(limit.Grant{}, false)
			continue
		}
		resp.add(t.zoneAllocator.Grant(r.Node, r.demand(i), now))
	}
	return resp
}

// allocateFleet divides the limits between zones if this entry may issue grants, and
// otherwise returns a redirect.
func (l *Limiter) allocateFleet(r *request) *response {
	s := &l.shards[r.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.config.Now()
	epoch, ok := s.grantEpoch(now)
	if !ok {
		return &response{Redirect: l.redirectAddress(int(r.Shard))}
	}
	teams := l.teams.Load()
	until := s.lease.ValidUntil()
	resp := &response{}
	for i, k := range r.Teams {
		t := teams.lookup(k, r.Shard)
		if t == nil {
			resp.add(limit.Grant{}, false)
			continue
		}
		rate := t.limit * (1 - l.config.FloorFraction)
		t.fleetAllocator.SetPool(limit.Pool{Generation: epoch, Rate: rate, Until: until})
		resp.add(t.fleetAllocator.Grant(r.Node, r.demand(i), now))
	}
	return resp
}

// redirectAddress returns the address of an entry that may hold the lease: the one
// named in the lease, or the zone's leader of the shard, which reads the lease.
func (l *Limiter) redirectAddress(shard int) string {
	if address := l.shards[shard].leaseAddress(); address != "" {
		return address
	}
	return l.zoneLeaders()[shard]
}

// zoneLeaders returns the address of the zone's leader of each shard, empty if no
// entry is live. Leaders are chosen by rendezvous hashing, and no entry leads more
// shards than an even division, rounded up.
func (l *Limiter) zoneLeaders() [shardCount]string {
	live := l.deps.Members.Live()
	addresses := make(map[id.Host]string, len(live))
	hosts := make([]id.Host, len(live))
	for i, p := range live {
		hosts[i] = p.Host
		addresses[p.Host] = p.Address
	}
	var out [shardCount]string
	load := make(map[id.Host]int, len(live))
	for i := range out {
		for _, h := range rendezvous.Rank(l.dutyKey(i), hosts) {
			if load[h]*len(hosts) < shardCount {
				load[h]++
				out[i] = addresses[h]
				break
			}
		}
	}
	return out
}

// dutyKey returns the rendezvous hashing key of a shard in this zone.
func (l *Limiter) dutyKey(shard int) string {
	return fmt.Sprintf("limits/%s/%d", l.config.Zone, shard)
}
