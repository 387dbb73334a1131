// Package hosts tracks the platform's host list, which lags behind their state. One
// entry of each zone reads it often and sends the leaving hosts to the zone's other
// entries, which read the list only to find their first peers.
package hosts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/wire/codec"
)

// Config holds the intervals and the call timeout of a Watcher.
type Config struct {
	// ReadInterval is the time between reads by the entry that holds the duty. Default: 1 s.
	ReadInterval time.Duration
	// SeedInterval is the time between reads by an entry without peers. Default: 5 s.
	SeedInterval time.Duration
	// CallTimeout bounds a call to the platform or a peer. Default: 1 s.
	CallTimeout time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{ReadInterval: time.Second, SeedInterval: 5 * time.Second, CallTimeout: time.Second}
}

// Members is the membership view that a Watcher uses. It is implemented by
// *member.Runner.
type Members interface {
	Self() member.Peer
	Live() []member.Peer
	Owns(key string) bool
	SetHostList(list []objectapi.Host)
}

// DutyKey is the key of the duty to read the host list for the zone.
const DutyKey = "hosts"

// Deps are the dependencies of a Watcher.
type Deps struct {
	Store    objectapi.Store
	Members  Members
	Caller   transport.Caller
	Recorder timeline.Recorder
	// OnLeaving is called with the hosts that are leaving whenever they change. It
	// must not block.
	OnLeaving func(map[id.Host]bool)
}

// Watcher tracks the hosts that are leaving. It is safe for concurrent use.
type Watcher struct {
	config Config
	deps   Deps

	// mu is a leaf lock.
	mu      sync.Mutex
	leaving map[id.Host]bool
}

// New returns a Watcher. Run must be called for it to work.
func New(c Config, d Deps) *Watcher {
	return &Watcher{config: c, deps: d, leaving: map[id.Host]bool{}}
}

// leavingNotice is the message from the zone's reader to its other entries.
type leavingNotice struct {
	Leaving []id.Host `cbor:"1,keyasint,omitempty"`
}

// Run reads the host list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		hasDuty := w.deps.Members.Owns(DutyKey)
		if hasDuty || len(w.deps.Members.Live()) <= 1 {
			w.read(ctx, hasDuty)
		}
		w.pause(ctx, hasDuty)
	}
}

// pause waits for the next read, with jitter.
func (w *Watcher) pause(ctx context.Context, hasDuty bool) {
	interval := w.config.SeedInterval
	if hasDuty {
		interval = w.config.ReadInterval
	}
	timer := time.NewTimer(interval/2 + rand.N(interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (w *Watcher) read(ctx context.Context, passOn bool) {
	ctx, cancel := context.WithTimeout(ctx, w.config.CallTimeout)
	defer cancel()
	list, err := w.deps.Store.Hosts(ctx)
	if err != nil {
		return
	}
	w.deps.Members.SetHostList(list)
	var leaving []id.Host
	for _, h := range list {
		if h.State == objectapi.HostLeaving {
			leaving = append(leaving, h.Name)
		}
	}
	w.apply(leaving)
	if passOn {
		w.broadcast(ctx, leaving)
	}
}

// apply replaces the leaving hosts and reports changes.
func (w *Watcher) apply(hosts []id.Host) {
	next := make(map[id.Host]bool, len(hosts))
	for _, h := range hosts {
		next[h] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if equal(w.leaving, next) {
		return
	}
	before := w.leaving
	w.leaving = next
	w.deps.OnLeaving(next)
	for h := range next {
		if !before[h] {
			w.deps.Recorder.Record(timeline.Event{Kind: "host.leaving", Detail: string(h)})
		}
	}
}

func equal(a, b map[id.Host]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for h := range a {
		if !b[h] {
			return false
		}
	}
	return true
}

// broadcast sends the leaving hosts to the live entries of the zone.
func (w *Watcher) broadcast(ctx context.Context, leaving []id.Host) {
	payload, err := codec.Marshal(leavingNotice{Leaving: leaving})
	if err != nil {
		return
	}
	self := w.deps.Members.Self().Host
	var wg sync.WaitGroup
	for _, p := range w.deps.Members.Live() {
		if p.Host != self {
			wg.Go(func() { _, _ = w.deps.Caller.Call(ctx, p.Address, payload) })
		}
	}
	wg.Wait()
}

// Handle applies the notice of the zone's reader. It is a transport.Handler.
func (w *Watcher) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var n leavingNotice
	if err := codec.Unmarshal(payload, &n); err != nil {
		return nil, err
	}
	w.apply(n.Leaving)
	return nil, nil
}
