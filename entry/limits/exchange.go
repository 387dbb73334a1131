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

// Members is the part of the membership that Limiter works with. It is
// implemented by *member.Runner.
type Members interface {
	Self() member.Peer
	Live() []member.Peer
	Zones() []member.ZoneStatus
	RemotePeers() []member.Peer
}

// Deps are the parts that Limiter works with.
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

// SetDeps sets the parts that exchanges need. It must be called once, before
// Handle and Run.
func (l *Limiter) SetDeps(d Deps) error {
	l.deps = d
	address := d.Members.Self().Address
	for i := range l.shards {
		lease, err := duty.NewLease(duty.LeaseConfig{
			Store: d.Store, Duty: duty.Name(fmt.Sprintf("limits/%d", i)),
			Holder: holder(l.node, address), TTL: l.config.LeaseTTL, Now: l.config.Now,
		})
		if err != nil {
			return err
		}
		l.shards[i].lease = lease
	}
	d.Metrics.NewGauge("siskinford_limit_leases", func() float64 { return float64(l.leases()) })
	d.Metrics.GetOrCreateCounter(zoneFailures)
	d.Metrics.GetOrCreateCounter(fleetFailures)
	return nil
}

// leases returns the number of shards for which this entry has the authority.
func (l *Limiter) leases() int {
	n := 0
	for i := range l.shards {
		if _, ok := l.shards[i].lease.Valid(l.config.Now()); ok {
			n++
		}
	}
	return n
}

// releaseTimeout bounds the release of the leases at the end.
const releaseTimeout = time.Second

// leaseSteps is the number of lease steps in a TTL.
const leaseSteps = 3

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

// pause waits with jitter, so that entries do not exchange in step.
func (l *Limiter) pause(ctx context.Context, d time.Duration) {
	_ = timer.Sleep(ctx, d-d/10+rand.N(d/5+1))
}

// runLeases steps the leases of the duties that this entry has.
func (l *Limiter) runLeases(ctx context.Context) {
	for ctx.Err() == nil {
		if l.stepLeases(ctx) {
			l.pause(ctx, l.config.LeaseTTL/leaseSteps)
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

// stepLeases acquires, renews or observes the leases of shards with limited
// teams. It reports whether there was any.
func (l *Limiter) stepLeases(ctx context.Context) bool {
	stepped := false
	teams := l.teams.Load()
	self := l.deps.Members.Self().Address
	holders := l.holders()
	for i := range l.shards {
		lease := l.shards[i].lease
		_, held := lease.Valid(l.config.Now())
		if !held && (len(teams.byShard[i]) == 0 || holders[i] != self) {
			continue
		}
		stepped = true
		l.step(ctx, lease)
	}
	return stepped
}

// step steps one lease. A failure leaves the lease as it is; the next step tries again.
func (l *Limiter) step(ctx context.Context, lease *duty.Lease) {
	ctx, cancel := context.WithTimeout(ctx, l.config.CallTimeout)
	defer cancel()
	_ = lease.AcquireOrRenew(ctx)
}

// exchange makes one exchange of this entry with the zone's holders and then one
// of each shard that it holds with the holder of the shard's lease.
func (l *Limiter) exchange(ctx context.Context) {
	l.resize(len(l.deps.Members.Zones())+1, len(l.deps.Members.Live()))
	holders := l.holders()
	l.eachShard(func(i int) { l.exchangeZone(ctx, i, holders[i]) })
	l.eachShard(func(i int) { l.exchangeFleet(ctx, i) })
}

// eachShard calls f for all shards with limited teams at once and waits.
func (l *Limiter) eachShard(f func(shard int)) {
	var wg sync.WaitGroup
	for i, list := range l.teams.Load().byShard {
		if len(list) > 0 {
			wg.Go(func() { f(i) })
		}
	}
	wg.Wait()
}

// exchangeZone asks the zone's holder of a shard for grants to this entry.
func (l *Limiter) exchangeZone(ctx context.Context, shard int, holder string) {
	now := l.config.Now()
	r := &request{Level: zoneLevel, Shard: uint8(shard), Node: l.node}
	var asked []*team
	for _, t := range l.teams.Load().byShard[shard] {
		if !t.alone && !t.share.Idle(now) {
			r.add(t.key, t.share.NextDemand(now))
			asked = append(asked, t)
		}
	}
	if len(asked) == 0 {
		return
	}
	a, err := l.call(ctx, holder, r)
	if err != nil {
		l.deps.Metrics.GetOrCreateCounter(zoneFailures).Inc()
		return
	}
	now = l.config.Now()
	for i, t := range asked {
		if g, ok := a.grant(i, r.Seqs[i]); ok {
			t.share.Apply(g, now)
		}
	}
}

// exchangeFleet asks the holder of a shard's lease for grants to this zone.
func (l *Limiter) exchangeFleet(ctx context.Context, shard int) {
	now := l.config.Now()
	r := &request{Level: fleetLevel, Shard: uint8(shard), Node: l.node}
	var asked []*team
	for _, t := range l.teams.Load().byShard[shard] {
		if !t.alone && !t.zone.Idle(now) {
			r.add(t.key, t.zone.NextDemand(now))
			asked = append(asked, t)
		}
	}
	if len(asked) == 0 {
		return
	}
	s := &l.shards[shard]
	address := l.authority(s)
	a, err := l.call(ctx, address, r)
	if err != nil || a.Redirect != "" || len(a.Rates) == 0 {
		l.deps.Metrics.GetOrCreateCounter(fleetFailures).Inc()
		s.follow(a, address)
		return
	}
	s.confirm(address)
	now = l.config.Now()
	for i, t := range asked {
		if g, ok := a.grant(i, r.Seqs[i]); ok {
			t.zone.Apply(g, now)
		}
	}
}

// authority returns the address to ask for grants to the zone: this entry if it
// holds the lease, the entry named by an answer, the one named in the lease, or
// entries of other zones in turn, which name another.
func (l *Limiter) authority(s *shard) string {
	if _, ok := s.lease.Valid(l.config.Now()); ok {
		return l.deps.Members.Self().Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hint != "" {
		return s.hint
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
	return addresses[s.turn%len(addresses)]
}

// confirm remembers the address that answered with grants.
func (s *shard) confirm(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hint = address
}

// follow takes note of the address named in an answer without grants, or goes on
// to the next one to try.
func (s *shard) follow(a *answer, asked string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a != nil && a.Redirect != "" && a.Redirect != asked {
		s.hint = a.Redirect
		return
	}
	s.hint = ""
	s.turn++
}

// call sends a request. Demands to this entry itself take no call.
func (l *Limiter) call(ctx context.Context, address string, r *request) (*answer, error) {
	if address == "" {
		return nil, fmt.Errorf("no entry is known that divides shard %d", r.Shard)
	}
	if address == l.deps.Members.Self().Address {
		return checked(l.answer(r), r)
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
	a := &answer{}
	if err := codec.Unmarshal(reply, a); err != nil {
		return nil, err
	}
	return checked(a, r)
}

// checked returns an error unless an answer names an address or has a rate for each team.
func checked(a *answer, r *request) (*answer, error) {
	if a.Redirect == "" && len(a.Rates) != len(r.Teams) {
		return nil, fmt.Errorf("answer has %d rates for %d teams", len(a.Rates), len(r.Teams))
	}
	return a, nil
}
