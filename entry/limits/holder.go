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

// shard is what an entry keeps for a shard as a holder.
type shard struct {
	// lease is the authority to divide the limits of the shard. AcquireOrRenew and Release
	// are called by one goroutine.
	lease *duty.Lease

	// mu guards the fields below and the dividers of the shard's teams. It is a leaf lock.
	mu sync.Mutex
	// epoch is the fencing number last seen as held, from since on.
	epoch uint64
	since time.Time
	// hint is the address that was named as holder of the lease.
	hint string
	// turn rotates through the addresses tried without a hint.
	turn int
}

// holder returns the text that names a holder and its address in the lease.
func holder(node uint64, address string) string {
	return strconv.FormatUint(node, 16) + "@" + address
}

// leaseAddress returns the address of the last known holder of the lease.
func (s *shard) leaseAddress() string {
	_, address, _ := strings.Cut(s.lease.Holder(), "@")
	return address
}

// authority returns the fencing number if grants may be issued. A holder waits
// until the grants of a predecessor have ended, which may have released the lease.
// The caller holds mu.
func (s *shard) authority(now time.Time) (epoch uint64, ok bool) {
	epoch, ok = s.lease.Valid(now)
	if !ok {
		return 0, false
	}
	if epoch != s.epoch {
		s.epoch, s.since = epoch, now
	}
	if epoch > 1 && now.Sub(s.since) < limit.MaxGrantDuration {
		return 0, false
	}
	return epoch, true
}

// Handle answers the demands of an entry of the zone or of another zone's
// holder. It is a transport.Handler and does not block.
func (l *Limiter) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := codec.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if !r.valid() {
		return nil, fmt.Errorf("demands of %d teams in shard %d are incomplete", len(r.Teams), r.Shard)
	}
	return codec.Marshal(l.answer(&r))
}

func (l *Limiter) answer(r *request) *answer {
	switch r.Level {
	case zoneLevel:
		return l.divideZone(r)
	case fleetLevel:
		return l.divideFleet(r)
	}
	return &answer{}
}

// divideZone divides the zone's grants between its entries. Two entries that do
// so at the same time are safe, as each divides its own grants only.
func (l *Limiter) divideZone(r *request) *answer {
	now := l.config.Now()
	teams := l.teams.Load()
	a := &answer{}
	for i, k := range r.Teams {
		t := teams.lookup(k, r.Shard)
		if t == nil {
			a.add(limit.Grant{}, false)
			continue
		}
		a.add(t.zone.Grant(r.Node, r.demand(i), now))
	}
	return a
}

// divideFleet divides the limits between zones if this entry has the authority,
// and otherwise names the entry that may have it.
func (l *Limiter) divideFleet(r *request) *answer {
	s := &l.shards[r.Shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.config.Now()
	epoch, ok := s.authority(now)
	if !ok {
		return &answer{Redirect: l.redirect(int(r.Shard))}
	}
	teams := l.teams.Load()
	until := s.lease.ValidUntil()
	a := &answer{}
	for i, k := range r.Teams {
		t := teams.lookup(k, r.Shard)
		if t == nil {
			a.add(limit.Grant{}, false)
			continue
		}
		rate := t.limit * (1 - l.config.FloorFraction)
		t.fleet.SetPool(limit.Pool{Generation: epoch, Rate: rate, Until: until})
		a.add(t.fleet.Grant(r.Node, r.demand(i), now))
	}
	return a
}

// redirect returns the address of an entry that may have the authority: the one
// named in the lease, or the zone's holder of the duty, which reads the lease.
func (l *Limiter) redirect(shard int) string {
	if address := l.shards[shard].leaseAddress(); address != "" {
		return address
	}
	return l.holders()[shard]
}

// holders returns the addresses of the zone's holders of the duties for all
// shards, empty if no entry is live. They are ranked by rendezvous hashing, and
// no entry has more shards than an even division gives.
func (l *Limiter) holders() [shards]string {
	live := l.deps.Members.Live()
	addresses := make(map[id.Host]string, len(live))
	hosts := make([]id.Host, len(live))
	for i, p := range live {
		hosts[i] = p.Host
		addresses[p.Host] = p.Address
	}
	var out [shards]string
	load := make(map[id.Host]int, len(live))
	for i := range out {
		for _, h := range rendezvous.Rank(l.dutyKey(i), hosts) {
			if load[h]*len(hosts) < shards {
				load[h]++
				out[i] = addresses[h]
				break
			}
		}
	}
	return out
}

// dutyKey is the key of the zone's duty for a shard.
func (l *Limiter) dutyKey(shard int) string {
	return fmt.Sprintf("limits/%s/%d", l.config.Zone, shard)
}
