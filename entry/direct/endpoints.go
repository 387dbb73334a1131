package direct

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/intake"
	"github.com/siskinford/siskinford/entry/upstream"
)

// Endpoint is a backend as registered at the platform.
type Endpoint struct {
	// Name identifies one process lifetime of a backend in most cases.
	Name    id.Endpoint
	Service id.Service
	Zone    id.Zone
	// Address is "ip:port".
	Address string
	// Draining endpoints receive no new requests.
	Draining bool
	// Slots is the number of requests that the endpoint executes concurrently.
	Slots int
	// Version is the version of the endpoint's software.
	Version string
	// RegistrationRevision orders registrations. Of endpoints with the same address only the
	// latest is in use.
	RegistrationRevision uint64
	// WarmupRemaining is how much longer the endpoint is cold after its start, counted from ReadAt.
	WarmupRemaining time.Duration
	// ReadAt is when the registration was first read with its present content. Default: when the
	// list with it was set.
	ReadAt time.Time
}

// Backend is an endpoint and its connection pool.
type Backend struct {
	Name id.Endpoint
	Pool *upstream.Pool
	// namesRequests is true once a response named the request that it belongs to.
	namesRequests atomic.Bool

	mu       sync.Mutex // leaf lock
	endpoint Endpoint
	// appearedAt is when the registration appeared, zero if it was in the first list.
	appearedAt time.Time
}

// registration returns the endpoint's current registration and when it appeared.
func (b *Backend) registration() (Endpoint, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoint, b.appearedAt
}

// Endpoint returns the endpoint's current registration.
func (b *Backend) Endpoint() Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoint
}

// Directory holds the endpoints of all services. It is safe for concurrent use.
type Directory struct {
	mu       sync.RWMutex // locked before Backend.mu
	backends map[id.Endpoint]*Backend
	services map[id.Service][]*Backend
	gate     *intake.Gate
	appeared appearances
}

// NewDirectory returns an empty directory. Connections are opened from source if valid, and within the limits of
// the account, which may be nil.
func NewDirectory(source netip.Addr, a *intake.Account) *Directory {
	d := &Directory{backends: make(map[id.Endpoint]*Backend), services: make(map[id.Service][]*Backend)}
	d.gate = a.NewGate(upstream.TCPDialer(source), d.closeIdle)
	return d
}

// closeIdle closes the idle connections to all endpoints.
func (d *Directory) closeIdle() {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, b := range d.backends {
		b.Pool.CloseIdle()
	}
}

// Set replaces the endpoints. Backends whose address and service are unchanged keep their
// connections.
func (d *Directory) Set(list []Endpoint) {
	list = latestPerAddress(list)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.appeared.update(list, now)
	for i := range list {
		if list[i].ReadAt.IsZero() && list[i].WarmupRemaining > 0 {
			list[i].ReadAt = now
		}
	}
	next := make(map[id.Endpoint]*Backend, len(list))
	for _, e := range list {
		next[e.Name] = d.reuseOrNewBackend(e)
	}
	for name, b := range d.backends {
		if next[name] != b {
			b.Pool.Close()
		}
	}
	d.backends = next
	d.services = make(map[id.Service][]*Backend)
	for _, e := range list {
		d.services[e.Service] = append(d.services[e.Service], next[e.Name])
	}
}

// latestPerAddress drops endpoints whose address was registered again later.
func latestPerAddress(list []Endpoint) []Endpoint {
	newest := make(map[string]uint64, len(list))
	for _, e := range list {
		newest[e.Address] = max(newest[e.Address], e.RegistrationRevision)
	}
	out := make([]Endpoint, 0, len(list))
	for _, e := range list {
		if e.RegistrationRevision >= newest[e.Address] {
			out = append(out, e)
		}
	}
	return out
}

func (d *Directory) reuseOrNewBackend(e Endpoint) *Backend {
	appearedAt := d.appeared.known[e.Name].at
	b := d.backends[e.Name]
	if b == nil || b.Endpoint().Address != e.Address || b.Endpoint().Service != e.Service {
		return &Backend{Name: e.Name, endpoint: e, appearedAt: appearedAt, Pool: upstream.NewPool(upstream.Config{Address: e.Address, Dial: d.gate.Dial})}
	}
	b.mu.Lock()
	b.endpoint, b.appearedAt = e, appearedAt
	b.mu.Unlock()
	return b
}

// Backends returns the backends of a service. The result must not be modified.
func (d *Directory) Backends(name id.Service) []*Backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.services[name]
}

// CloseExpired closes connections that exceeded their idle timeout.
func (d *Directory) CloseExpired(now time.Time) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, b := range d.backends {
		b.Pool.Sweep(now)
	}
}
