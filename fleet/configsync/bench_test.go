package configsync

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/fleet/transport/memnet"
)

// applier records what a process has in force and each regression.
type applier struct {
	mu      sync.Mutex
	values  map[config.Kind]objectapi.Object
	invalid string // value that Apply refuses
}

func (a *applier) Versions() map[config.Kind]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[config.Kind]uint64)
	for k, o := range a.values {
		out[k] = o.Version
	}
	return out
}

func (a *applier) Value(k config.Kind) (uint64, []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.values[k]
	return o.Version, o.Value
}

func (a *applier) Apply(k config.Kind, version uint64, value []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.invalid != "" && string(value) == a.invalid {
		return fmt.Errorf("value is invalid")
	}
	if version <= a.values[k].Version {
		panic(fmt.Sprintf("%s went from version %d to %d", k, a.values[k].Version, version))
	}
	a.values[k] = objectapi.Object{Version: version, Value: value}
	return nil
}

// process is one entry of a bench.
type process struct {
	name    id.Host
	zone    id.Zone
	node    *memnet.Node
	applier *applier
	store   *faultstore.Store // the process's own way to the platform
	members *member.Runner
	spread  *Syncer
	ring    *timeline.Ring
	stop    func()
}

// bench runs processes inside a synctest bubble, so that time is virtual.
type bench struct {
	t     *testing.T
	net   *memnet.Network
	store *memstore.Store
	list  []objectapi.Host
	all   []*process
	seed  uint64
}

func newBench(t *testing.T, zones, n int, loss float64) *bench {
	b := &bench{
		t:     t,
		net:   memnet.New(memnet.Config{Seed: 1, Loss: loss, Delay: time.Millisecond}),
		store: memstore.New(memstore.Config{PollWait: 5 * time.Second}),
	}
	for z := range zones {
		for i := range n {
			name := id.Host(fmt.Sprintf("host-%d-%02d", z, i))
			b.list = append(b.list, objectapi.Host{Name: name, Zone: id.Zone(fmt.Sprintf("zone-%d", z)), Address: "addr-" + string(name)})
		}
	}
	return b
}

func (b *bench) startAll() {
	for _, h := range b.list {
		b.all = append(b.all, b.start(h.Name, h.Zone))
	}
}

func (b *bench) start(name id.Host, zone id.Zone) *process {
	address := "addr-" + string(name)
	b.seed++
	p := &process{
		name: name, zone: zone, node: b.net.Join(address),
		applier: &applier{values: make(map[config.Kind]objectapi.Object)},
		store:   faultstore.New(b.store),
		ring:    timeline.NewRing(string(name), 64, timeline.NewClock(time.Now)),
	}
	mux := transport.NewMux(p.node, metrics.NewSet())
	var err error
	p.members, err = member.NewRunner(member.Options{
		Config: member.Default(), Zone: zone, Host: name, Address: address, Seed: b.seed,
		AppData:   func() []byte { return p.spread.EncodedDigest() },
		OnAppData: func(from member.Peer, zone id.Zone, note []byte) { p.spread.HandleDigest(from, zone, note) },
	}, mux.Caller(transport.Membership), time.Now)
	assert.NilError(b.t, err)
	p.spread, err = New(Options{
		Config: Default(), Zone: zone, Store: p.store, Applier: p.applier, Peers: p.members,
		Caller: mux.Caller(transport.Configuration), Recorder: p.ring, Seed: b.seed,
	})
	assert.NilError(b.t, err)
	mux.Register(transport.Membership, p.members.Handle)
	mux.Register(transport.Configuration, p.spread.Handle)
	p.members.SetHostList(b.list)
	p.node.Serve(mux.Handle)
	ctx, cancel := context.WithCancel(b.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { p.members.Run(ctx) })
	wg.Go(func() { p.spread.Run(ctx) })
	p.stop = func() {
		p.node.Kill()
		cancel()
		wg.Wait()
	}
	return p
}

func (b *bench) stopAll() {
	for _, p := range b.all {
		p.stop()
	}
}

// accept writes a version of a kind to the platform.
func (b *bench) accept(kind config.Kind, value string) uint64 {
	o := objectapi.Object{Kind: config.ObjectKind, Name: string(kind), Value: []byte(value)}
	if current, err := b.store.Get(b.t.Context(), o.Kind, o.Name); err == nil {
		o.Version = current.Version
	}
	written, err := b.store.Put(b.t.Context(), o)
	assert.NilError(b.t, err)
	return written.Version
}

// poll is the step of the virtual time while a bench waits.
const poll = 50 * time.Millisecond

func pass(d time.Duration) {
	<-time.After(d)
}

// await returns the virtual time until a version is in force at all processes,
// and fails if that takes longer than bound.
func (b *bench) await(kind config.Kind, version uint64, bound time.Duration, processes []*process) time.Duration {
	b.t.Helper()
	start := time.Now()
	for {
		missing := 0
		for _, p := range processes {
			if p.applier.Versions()[kind] < version {
				missing++
			}
		}
		took := time.Since(start)
		if missing == 0 {
			return took
		}
		if took > bound {
			b.t.Fatalf("%d of %d processes miss %s version %d after %v", missing, len(processes), kind, version, took)
		}
		pass(poll)
	}
}

func (b *bench) inZone(zone id.Zone) (in, out []*process) {
	for _, p := range b.all {
		if p.zone == zone {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

func (b *bench) reader(zone id.Zone) *process {
	in, _ := b.inZone(zone)
	for _, p := range in {
		if p.spread.reader() {
			return p
		}
	}
	b.t.Fatalf("zone %s has no reader", zone)
	return nil
}

// events returns how many events of a kind mention a text.
func (p *process) events(kind timeline.Kind, text string) int {
	return len(p.ring.Events(func(e timeline.Event) bool {
		return e.Kind == kind && strings.Contains(e.Detail, text)
	}))
}

// calls returns the calls of all processes to the platform so far.
func (b *bench) calls() int {
	n := 0
	for _, p := range b.all {
		n += len(p.store.Calls())
	}
	return n
}

// each applies a fault to the platform as all processes see it.
func (b *bench) each(fault func(*faultstore.Store)) {
	for _, p := range b.all {
		fault(p.store)
	}
}

func outage(s *faultstore.Store) { s.SetDown(true) }

func outageEnds(s *faultstore.Store) { s.SetDown(false) }
