// Package intake accounts for the memory and the descriptors that a process holds for its clients. When they
// run out, it ends the connections that hold most for longest without progress.
package intake

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Config configures an Account.
type Config struct {
	// MemoryBytes is the memory of the host. Zero means no limit.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may open. Zero means no limit.
	MaxDescriptors int
	Log            zerolog.Logger
	// Metrics receives gauges and counters. Default: a new set.
	Metrics *metrics.Set
}

const (
	// memoryDivisor is the part of the host's memory that is held for clients. The rest is for the process, for
	// garbage between collections and for the buffers of connections.
	memoryDivisor = 4
	// minBytes is the least account: a body of 4 MiB fits beside the half of it that it grows from.
	minBytes = 12 << 20
	// smallHolding is what a connection may hold in the part of the account that is kept for small requests.
	smallHolding = 64 << 10
	// smallDivisor is the part of the account that is kept for small requests.
	smallDivisor = 4
	// reclaimTime is the longest wait for the bytes of connections that were closed. Their goroutines take
	// milliseconds to end.
	reclaimTime = 200 * time.Millisecond
	// reclaimInterval is the minimum time between two searches for connections to close, which visit all.
	reclaimInterval = 10 * time.Millisecond
	// stallTime is the time without progress after which a connection may be closed if others need its room.
	stallTime = 500 * time.Millisecond
)

// Account is what a process holds for its clients. It is safe for concurrent use. A nil Account has no limits.
type Account struct {
	cfg   Config
	limit int64
	used  atomic.Int64
	// closedMemory, closedDescriptors, closedStalled and refused are counters.
	closedMemory, closedDescriptors, closedStalled, refused *metrics.Counter

	mu          sync.Mutex // locked before Listener.mu
	listeners   []*Listener
	lastReclaim time.Time

	// reported are the counts of the last log line; used by Sweep only.
	reported counts
}

// counts are the connections that were closed, and the requests refused, since the start.
type counts struct{ memory, descriptors, stalled, refused uint64 }

// New returns an account with nothing held.
func New(cfg Config) *Account {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	a := &Account{cfg: cfg}
	if cfg.MemoryBytes > 0 {
		a.limit = max(cfg.MemoryBytes/memoryDivisor, minBytes)
	}
	closed := func(reason string) *metrics.Counter {
		return cfg.Metrics.GetOrCreateCounter(`siskinford_intake_closed_total{reason="` + reason + `"}`)
	}
	a.closedMemory, a.closedDescriptors, a.closedStalled = closed("memory"), closed("descriptors"), closed("stalled")
	a.refused = cfg.Metrics.GetOrCreateCounter("siskinford_intake_refused_total")
	cfg.Metrics.GetOrCreateGauge("siskinford_intake_bytes", func() float64 { return float64(a.used.Load()) })
	cfg.Metrics.GetOrCreateGauge("siskinford_intake_limit_bytes", func() float64 { return float64(a.limit) })
	return a
}

// Used returns the bytes that are held.
func (a *Account) Used() int64 { return a.used.Load() }

// Acquire holds n bytes for a small request and reports whether there is room. It closes other connections for that.
func (a *Account) Acquire(n int64) bool { return a == nil || a.acquire(n, false, nil) }

// Release ends the holding of n bytes.
func (a *Account) Release(n int64) {
	if a != nil {
		a.used.Add(-n)
	}
}

func (a *Account) acquire(n int64, large bool, self *Conn) bool {
	if a.tryAcquire(n, large) {
		return true
	}
	for end := time.Now().Add(reclaimTime); a.reclaim(n, large, self) && time.Now().Before(end); time.Sleep(reclaimInterval / 2) {
		if a.tryAcquire(n, large) {
			return true
		}
	}
	if a.tryAcquire(n, large) {
		return true
	}
	a.refused.Inc()
	return false
}

func (a *Account) tryAcquire(n int64, large bool) bool {
	limit := a.limit
	if large {
		limit -= limit / smallDivisor
	}
	if a.used.Add(n) <= limit || a.limit == 0 {
		return true
	}
	a.used.Add(-n)
	return false
}

// reclaim closes stalled connections until n bytes become free, and reports whether bytes become free soon.
func (a *Account) reclaim(n int64, large bool, self *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.lastReclaim) < reclaimInterval {
		return true // The bytes of the last search may not be free yet.
	}
	a.lastReclaim = now
	var found []candidate
	pending := int64(0)
	for _, l := range a.listeners {
		var ending int64
		found, ending = l.candidates(found, now, stallTime)
		pending += ending
	}
	found = slices.DeleteFunc(found, func(c candidate) bool { return c.conn == self || c.conn.held.Load() == 0 })
	slices.SortFunc(found, candidate.compare)
	limit := a.limit
	if large {
		limit -= limit / smallDivisor
	}
	needed := a.used.Load() + n - limit - pending
	for _, c := range found {
		if needed <= 0 {
			break
		}
		needed -= c.conn.held.Load()
		pending += c.conn.held.Load()
		c.conn.evict()
		a.closedMemory.Inc()
	}
	return pending > 0
}

// candidate is a connection that may be closed for others.
type candidate struct {
	conn *Conn
	// idle connections are closed after all others.
	idle bool
	// score is the product of what the connection holds and the time without progress.
	score float64
}

func (c candidate) compare(other candidate) int {
	if c.idle != other.idle {
		if c.idle {
			return 1
		}
		return -1
	}
	return cmp.Compare(other.score, c.score)
}

// Sweep notes which connections progressed, closes those that cannot go on, and logs what was closed since the
// last call. It must be called about every 500 ms, by one goroutine.
func (a *Account) Sweep(now time.Time) {
	a.mu.Lock()
	listeners := slices.Clone(a.listeners)
	a.mu.Unlock()
	for _, l := range listeners {
		a.closedStalled.Add(l.sweep(now))
	}
	c := counts{a.closedMemory.Get(), a.closedDescriptors.Get(), a.closedStalled.Get(), a.refused.Get()}
	if c == a.reported {
		return
	}
	a.cfg.Log.Warn().Str("event", "intake.limited").Uint64("closed_memory", c.memory-a.reported.memory).
		Uint64("closed_descriptors", c.descriptors-a.reported.descriptors).Uint64("closed_stalled", c.stalled-a.reported.stalled).
		Uint64("refused", c.refused-a.reported.refused).Int64("held", a.used.Load()).Int64("limit", a.limit).
		Msg("connections were closed or requests refused to stay within the host's limits")
	a.reported = c
}
