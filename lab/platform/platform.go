// Package platform simulates the platform's object API for tests: versioned objects,
// conditional updates, long-poll watches, rate limits, a delayed host list, call
// counters and fault injection. It has no durability, authentication or replication.
package platform

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
)

// Config configures a Platform.
type Config struct {
	// WritesPerSecond limits conditional writes and deletions. Default: 400.
	WritesPerSecond float64
	// ReadsPerSecond limits reads, lists, watches and host lists. Default: 2,000.
	ReadsPerSecond float64
	// HostLag is the delay before a host list change is visible. Default: 0.
	HostLag time.Duration
}

// Platform is a simulated platform. It is safe for concurrent use.
type Platform struct {
	store   *memstore.Store
	writes  *rate.Limiter
	reads   *rate.Limiter
	hostLag time.Duration

	mu            sync.Mutex // guards the fields below; never held while calling the store
	faults        Faults
	faultsChanged chan struct{}
	heldWrites    []func()
	hosts         []hostSet
	calls         Calls
}

type hostSet struct {
	visibleAt time.Time
	hosts     []objectapi.Host
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	if cfg.WritesPerSecond == 0 {
		cfg.WritesPerSecond = defaultWritesPerSecond
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = defaultReadsPerSecond
	}
	return &Platform{
		store:         memstore.New(memstore.Config{PollWait: objectapi.MaxPollWait}),
		writes:        limiter(cfg.WritesPerSecond),
		reads:         limiter(cfg.ReadsPerSecond),
		hostLag:       cfg.HostLag,
		faultsChanged: make(chan struct{}),
		calls:         newCalls(),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Store returns the underlying store, without rate limits and faults.
func (p *Platform) Store() *memstore.Store { return p.store }

// SetHosts replaces the host list. The change is visible after the host lag.
func (p *Platform) SetHosts(hosts []objectapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := hostSet{visibleAt: time.Now().Add(p.hostLag), hosts: append([]objectapi.Host{}, hosts...)}
	p.hosts = append(p.hosts, set)
}

// SetHostLag sets the host lag of later SetHosts calls.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLag = lag
}

// visibleHosts returns the latest host list visible at now and discards earlier ones.
func (p *Platform) visibleHosts(now time.Time) []objectapi.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := -1
	for i, set := range p.hosts {
		if !set.visibleAt.After(now) {
			last = i
		}
	}
	if last < 0 {
		return []objectapi.Host{}
	}
	p.hosts = p.hosts[last:]
	return p.hosts[0].hosts
}
