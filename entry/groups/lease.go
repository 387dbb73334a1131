package groups

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

const (
	// renewalsPerTTL is the number of renewals within the TTL of a lease.
	renewalsPerTTL = 3
	// leaseCandidates is the number of hosts of a zone that compete for a lease: the first in
	// the rendezvous ranking and one backup.
	leaseCandidates = 2
	// releaseTimeout bounds the release of a lease at shutdown.
	releaseTimeout = time.Second
)

// groupLease implements coordinator.Lease.
type groupLease struct {
	lease     *duty.Lease
	ttl       time.Duration
	dutyName  string
	self      id.Host
	liveHosts func() []id.Host

	// mu is a leaf lock.
	mu sync.Mutex
	// fenced is the greatest token that must no longer be used.
	fenced uint64
}

// FencingToken implements coordinator.Lease.
func (l *groupLease) FencingToken() (uint64, bool) {
	token, held := l.lease.Valid(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	return token, held && token > l.fenced
}

// CoversChange implements coordinator.Lease. A lease renewed on schedule always has more
// than half of its TTL left.
func (l *groupLease) CoversChange() bool {
	_, held := l.lease.Valid(time.Now().Add(l.ttl / 2))
	return held
}

// MarkFenced implements coordinator.Lease.
func (l *groupLease) MarkFenced(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced = max(l.fenced, token)
}

// run competes for the lease until ctx ends, then releases it.
func (l *groupLease) run(ctx context.Context) {
	interval := l.ttl / renewalsPerTTL
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		if l.shouldTry(tick) {
			l.renewOrAcquire(ctx, interval)
		}
		select {
		case <-ctx.Done():
			l.release()
			return
		case <-ticker.C:
		}
	}
}

// shouldTry reports whether this host renews or tries to acquire the lease at a tick: the
// holder and the first-ranked host at every tick, the backup once per TTL.
func (l *groupLease) shouldTry(tick int) bool {
	if _, held := l.lease.Valid(time.Now()); held {
		return true
	}
	position := slices.Index(rendezvous.Rank(l.dutyName, l.liveHosts()), l.self)
	if position <= 0 {
		return position == 0
	}
	return position < leaseCandidates && tick%renewalsPerTTL == renewalsPerTTL-1
}

// renewOrAcquire renews or acquires the lease, after releasing one whose token was fenced.
func (l *groupLease) renewOrAcquire(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	token, held := l.lease.Valid(time.Now())
	l.mu.Lock()
	mustRelease := held && token <= l.fenced
	l.mu.Unlock()
	if mustRelease && l.lease.Release(ctx) != nil {
		return
	}
	_ = l.lease.AcquireOrRenew(ctx) // Retried at the next tick.
}

func (l *groupLease) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, held := l.lease.Valid(time.Now()); held {
		_ = l.lease.Release(ctx) // If the release fails, the lease expires.
	}
}
