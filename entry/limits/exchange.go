package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/wire/codec"
)

// Members is the membership view that a Limiter uses. It is implemented by
// *member.Runner.
type Members interface {
	Self() member.Peer
	Live() []member.Peer
	Zones() []member.ZoneStatus
	RemotePeers() []member.Peer
}

// Deps are the dependencies of a Limiter.
type Deps struct {
	Store   objectapi.Store
	Members Members
	Caller  transport.Caller
	Metrics *metrics.Set
}

const (
	zoneFailures  = `siskinford_limit_exchange_failures_total{level="zone"}`
	fleetFailures = `siskinford_limit_exchange_failures_total{level="fleet"}`
)

// SetDeps sets the dependencies of exchanges. It must be called once, before Handle
// and Run.
func (l *Limiter) SetDeps(d Deps) error {
	l.deps = d
	address := d.Members.Self().Address
	for i := range l.shards {
		lease, err := duty.NewLease(duty.LeaseConfig{
			Store: d.Store, Duty: duty.Name(fmt.Sprintf("limits/%d", i)),
			Holder: leaseHolderName(l.node, address), TTL: l.config.LeaseTTL, Now: l.config.Now,
		})
		if err != nil {
			return err
		}
		l.shards[i].lease = lease
	}
	d.Metrics.NewGauge("siskinford_limit_leases", func() float64 { return float64(l.leaseCount()) })
	d.Metrics.GetOrCreateCounter(zoneFailures)
	d.Metrics.GetOrCreateCounter(fleetFailures)
	return nil
}

// leaseCount returns the number of shards whose lease this entry holds.
func (l *Limiter) leaseCount() int {
	n := 0
	for i := range l.shards {
		if _, ok := l.shards[i].lease.Valid(l.config.Now()); ok {
			n++
		}
	}
	return n
}

// releaseTimeout bounds the release of the leases at shutdown.
const releaseTimeout = time.Second

// leaseStepsPerTTL is the number of lease steps in a TTL.
const leaseStepsPerTTL = 3

// Run exchanges demands and grants until ctx ends, then releases its leases.
func (l *Limiter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.runLeases(ctx) })
	for ctx.Err() == nil {
		l.exchange(ctx)
		l.pause(ctx, l.config.Interval)
	}
}

// pause waits for d with jitter, so that entries do not synchronize their exchanges.
func (l *Limiter) pause(ctx context.Context, d time.Duration) {
	_ = timer.Sleep(ctx, d-d/10+rand.N(d/5+1))
}

// runLeases steps the leases of this entry's shards until ctx ends, then releases them.
func (l *Limiter) runLeases(ctx context.Context) {
	for ctx.Err() == nil {
		if l.stepLeases(ctx) {
			l.pause(ctx, l.config.LeaseTTL/leaseStepsPerTTL)
		} else {
			l.pause(ctx, l.config.Interval)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for i := range l.shards {
		if _, ok := l.shards[i].lease.Valid(l.config.Now()); ok {
			_ = l.shards[i].lease.Release(ctx)
		}
	}
}

// stepLeases acquires, renews or observes the leases of shards with limited teams
// that this entry leads or holds. It reports whether there are any.
func (l *Limiter) stepLeases(ctx context.Context) bool {
	stepped := false
	teams := l.teams.Load()
	self := l.deps.Members.Self().Address
	leaders := l.zoneLeaders()
	for i := range l.shards {
		lease := l.shards[i].lease
		_, held := lease.Valid(l.config.Now())
		if !held && (len(teams.byShard[i]) == 0 || leaders[i] != self) {
			continue
		}
		stepped = true
		l.stepLease(ctx, lease)
	}
	return stepped
}

// stepLease steps one lease. An error leaves the lease as it is; the next step retries.
func (l *Limiter) stepLease(ctx context.Context, lease *duty.Lease) {
	ctx, cancel := context.WithTimeout(ctx, l.config.CallTimeout)
	defer cancel()
	_ = lease.AcquireOrRenew(ctx)
}

// exchange requests grants for this entry from the zone leaders, then grants for the
// zone from the lease holders of the shards that this entry leads.
func (l *Limiter) exchange(ctx context.Context) {
	l.setFleetSize(len(l.deps.Members.Zones())+1, len(l.deps.Members.Live()))
	leaders := l.zoneLeaders()
	l.eachShard(func(i int) { l.exchangeZone(ctx, i, leaders[i]) })
	l.eachShard(func(i int) { l.exchangeFleet(ctx, i) })
}

// eachShard calls f concurrently for all shards with limited teams and waits.
func (l *Limiter) eachShard(f func(shard int)) {
	var wg sync.WaitGroup
	for i, list := range l.teams.Load().byShard {
		if len(list) > 0 {
			wg.Go(func() { f(i) })
		}
	}
	wg.Wait()
}

// exchangeZone requests grants for this entry from the leader of a shard.
func (l *Limiter) exchangeZone(ctx context.Context, shard int, leader string) {
	now := l.config.Now()
	r := &request{Level: zoneLevel, Shard: uint8(shard), Node: l.node}
	var requested []*team
	for _, t := range l.teams.Load().byShard[shard] {
		if !t.keyCollision && !t.share.Idle(now) {
			r.add(t.key, t.share.NextDemand(now))
			requested = append(requested, t)
		}
	}
	if len(requested) == 0 {
		return
	}
	resp, err := l.call(ctx, leader, r)
	if err != nil {
		l.deps.Metrics.GetOrCreateCounter(zoneFailures).Inc()
		return
	}
	now = l.config.Now()
	for i, t := range requested {
		if g, ok := resp.grant(i, r.Seqs[i]); ok {
			t.share.Apply(g, now)
		}
	}
}

// exchangeFleet requests grants for this zone from the holder of a shard's lease.
func (l *Limiter) exchangeFleet(ctx context.Context, shard int) {
	now := l.config.Now()
	r := &request{Level: fleetLevel, Shard: uint8(shard), Node: l.node}
	var requested []*team
	for _, t := range l.teams.Load().byShard[shard] {
		if !t.keyCollision && !t.zoneAllocator.Idle(now) {
			r.add(t.key, t.zoneAllocator.NextDemand(now))
			requested = append(requested, t)
		}
	}
	if len(requested) == 0 {
		return
	}
	s := &l.shards[shard]
	address := l.fleetAddress(s)
	resp, err := l.call(ctx, address, r)
	if err != nil || resp.Redirect != "" || len(resp.Rates) == 0 {
		l.deps.Metrics.GetOrCreateCounter(fleetFailures).Inc()
		s.updateHint(resp, address)
		return
	}
	s.setHint(address)
	now = l.config.Now()
	for i, t := range requested {
		if g, ok := resp.grant(i, r.Seqs[i]); ok {
			t.zoneAllocator.Apply(g, now)
		}
	}
}

// fleetAddress returns the address to ask for the zone's grants: this entry if it
// holds the lease, the hint, or in turn the address in the lease and the entries of
// other zones, which return a redirect.
func (l *Limiter) fleetAddress(s *shard) string {
	if _, ok := s.lease.Valid(l.config.Now()); ok {
		return l.deps.Members.Self().Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hintAddress != "" {
		return s.hintAddress
	}
	var addresses []string
	if address := s.leaseAddress(); address != "" {
		addresses = append(addresses, address)
	}
	for _, p := range l.deps.Members.RemotePeers() {
		addresses = append(addresses, p.Address)
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[s.nextAddress%len(addresses)]
}

// setHint stores the address that returned grants.
func (s *shard) setHint(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hintAddress = address
}

// updateHint follows the redirect of a response without grants, or moves on to the
// next address.
func (s *shard) updateHint(resp *response, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp != nil && resp.Redirect != "" && resp.Redirect != address {
		s.hintAddress = resp.Redirect
		return
	}
	s.hintAddress = ""
	s.nextAddress++
}

// call sends a request. A request to this entry itself is handled without a call.
func (l *Limiter) call(ctx context.Context, address string, r *request) (*response, error) {
	if address == "" {
		return nil, fmt.Errorf("no known address to request grants for shard %d", r.Shard)
	}
	if address == l.deps.Members.Self().Address {
		return validated(l.respond(r), r)
	}
	payload, err := codec.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.CallTimeout)
	defer cancel()
	reply, err := l.deps.Caller.Call(ctx, address, payload)
	if err != nil {
		return nil, err
	}
	resp := &response{}
	if err := codec.Unmarshal(reply, resp); err != nil {
		return nil, err
	}
	return validated(resp, r)
}

// validated returns an error unless a response has a redirect or a rate for each team.
func validated(resp *response, r *request) (*response, error) {
	if resp.Redirect == "" && len(resp.Rates) != len(r.Teams) {
		return nil, fmt.Errorf("response has %d rates for %d teams", len(resp.Rates), len(r.Teams))
	}
	return resp, nil
}
