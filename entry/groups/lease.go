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
	// renewals is the number of renewals within the time of a lease.
	renewals = 3
	// candidates is the number of hosts of a zone that take part in a lease: the
	// first in the ranking, and one to replace it.
	candidates = 2
	// releaseTimeout bounds the release of a lease at shutdown.
	releaseTimeout = time.Second
)

// leases is the source of a coordinator's fencing numbers. It implements
// coordinator.Lease.
type leases struct {
	lease *duty.Lease
	ttl   time.Duration
	key   string
	self  id.Host
	live  func() []id.Host

	// mu is a leaf lock.
	mu sync.Mutex
	// fenced is the greatest number that can no longer be used.
	fenced uint64
}

// FencingToken implements coordinator.Lease.
func (l *leases) FencingToken() (uint64, bool) {
	number, held := l.lease.Valid(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	return number, held && number > l.fenced
}

// CoversChange implements coordinator.Lease. A lease that is renewed in time lasts for
// more than half of its time at any moment.
func (l *leases) CoversChange() bool {
	_, held := l.lease.Valid(time.Now().Add(l.ttl / 2))
	return held
}

// MarkFenced implements coordinator.Lease.
func (l *leases) MarkFenced(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced = max(l.fenced, number)
}

// run takes part in the lease until ctx ends, and then gives it up.
func (l *leases) run(ctx context.Context) {
	interval := l.ttl / renewals
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for pass := 0; ; pass++ {
		if l.due(pass) {
			l.step(ctx, interval)
		}
		select {
		case <-ctx.Done():
			l.release()
			return
		case <-ticker.C:
		}
	}
}

// due reports whether this host looks at the lease in a pass: the holder and the
// first host of the ranking in each, the second host once in the time of a lease.
func (l *leases) due(pass int) bool {
	if _, held := l.lease.Valid(time.Now()); held {
		return true
	}
	place := slices.Index(rendezvous.Rank(l.key, l.live()), l.self)
	if place <= 0 {
		return place == 0
	}
	return place < candidates && pass%renewals == renewals-1
}

// step renews or takes the lease. A number that was fenced is given up first.
func (l *leases) step(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	number, held := l.lease.Valid(time.Now())
	l.mu.Lock()
	used := held && number <= l.fenced
	l.mu.Unlock()
	if used && l.lease.Release(ctx) != nil {
		return
	}
	_ = l.lease.Step(ctx) // The lease stays as it was and is tried again.
}

func (l *leases) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, held := l.lease.Valid(time.Now()); held {
		_ = l.lease.Release(ctx) // Without an answer the lease expires.
	}
}
