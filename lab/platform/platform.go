// Package platform is a stand-in for the platform's object API: versioned
// objects, conditional updates, long-poll watches, rate limits, a lagging host
// list, counters of calls and switchable faults. It leaves out durability,
// authentication and replication.
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
	// HostLag is the time after which a change of the host list shows. Default: 0.
	HostLag time.Duration
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	store  *memstore.Store
	writes *rate.Limiter
	reads  *rate.Limiter
	lag    time.Duration

	mu            sync.Mutex // guards the fields below; the store is never called under it
	faults        Faults
	faultsChanged chan struct{}
	held          []func()
	hosts         []hostSet
	calls         Calls
}

type hostSet struct {
	since time.Time
	hosts []objectapi.Host
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
		lag:           cfg.HostLag,
		faultsChanged: make(chan struct{}),
		calls:         newCalls(),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Store returns the objects without HTTP, limits and faults.
func (p *Platform) Store() *memstore.Store { return p.store }

// SetHosts replaces the host list. The change shows after the lag.
func (p *Platform) SetHosts(hosts []objectapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := hostSet{since: time.Now().Add(p.lag), hosts: append([]objectapi.Host{}, hosts...)}
	p.hosts = append(p.hosts, set)
}

// SetHostLag changes the lag of later changes of the host list.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// visibleHosts returns the latest host list that is due at now and forgets earlier ones.
func (p *Platform) visibleHosts(now time.Time) []objectapi.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := -1
	for i, set := range p.hosts {
		if !set.since.After(now) {
			last = i
		}
	}
	if last < 0 {
		return []objectapi.Host{}
	}
	p.hosts = p.hosts[last:]
	return p.hosts[0].hosts
}
