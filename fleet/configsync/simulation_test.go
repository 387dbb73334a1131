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

// applier holds the versions in force and panics if one regresses.
type applier struct {
	mu      sync.Mutex
	values  map[config.Kind]objectapi.Object
	invalid string // value that Apply rejects
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

// process is one simulated entry.
type process struct {
	name    id.Host
	zone    id.Zone
	node    *memnet.Node
	applier *applier
	store   *faultstore.Store // injects faults between the process and the platform
	members *member.Runner
	syncer  *Syncer
	ring    *timeline.Ring
	stop    func()
}

// simulation runs processes in a synctest bubble, in virtual time.
type simulation struct {
	t     *testing.T
	net   *memnet.Network
	store *memstore.Store
	list  []objectapi.Host
	all   []*process
	seed  uint64
}

func newSimulation(t *testing.T, zones, n int, loss float64) *simulation {
	sim := &simulation{
		t:     t,
		net:   memnet.New(memnet.Config{Seed: 1, Loss: loss, Delay: time.Millisecond}),
		store: memstore.New(memstore.Config{PollWait: 5 * time.Second}),
	}
	for z := range zones {
		for i := range n {
			name := id.Host(fmt.Sprintf("host-%d-%02d", z, i))
			sim.list = append(sim.list, objectapi.Host{Name: name, Zone: id.Zone(fmt.Sprintf("zone-%d", z)), Address: "addr-" + string(name)})
		}
	}
	return sim
}

func (sim *simulation) startAll() {
	for _, h := range sim.list {
		sim.all = append(sim.all, sim.start(h.Name, h.Zone))
	}
}

func (sim *simulation) start(name id.Host, zone id.Zone) *process {
	address := "addr-" + string(name)
	sim.seed++
	p := &process{
		name: name, zone: zone, node: sim.net.Join(address),
		applier: &applier{values: make(map[config.Kind]objectapi.Object)},
		store:   faultstore.New(sim.store),
		ring:    timeline.NewRing(string(name), 64, timeline.NewClock(time.Now)),
	}
	mux := transport.NewMux(p.node, metrics.NewSet())
	var err error
	p.members, err = member.NewRunner(member.Options{
		Config: member.Default(), Zone: zone, Host: name, Address: address, Seed: sim.seed,
		AppData:   func() []byte { return p.syncer.EncodedDigest() },
		OnAppData: func(from member.Peer, zone id.Zone, data []byte) { p.syncer.HandleDigest(from, zone, data) },
	}, mux.Caller(transport.Membership), time.Now)
	assert.NilError(sim.t, err)
	p.syncer, err = New(Options{
		Config: Default(), Zone: zone, Store: p.store, Applier: p.applier, Peers: p.members,
		Caller: mux.Caller(transport.Configuration), Recorder: p.ring, Seed: sim.seed,
	})
	assert.NilError(sim.t, err)
	mux.Register(transport.Membership, p.members.Handle)
	mux.Register(transport.Configuration, p.syncer.Handle)
	p.members.SetHostList(sim.list)
	p.node.Serve(mux.Handle)
	ctx, cancel := context.WithCancel(sim.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { p.members.Run(ctx) })
	wg.Go(func() { p.syncer.Run(ctx) })
	p.stop = func() {
		p.node.Kill()
		cancel()
		wg.Wait()
	}
	return p
}

func (sim *simulation) stopAll() {
	for _, p := range sim.all {
		p.stop()
	}
}

// publish writes the next version of a kind to the platform.
func (sim *simulation) publish(kind config.Kind, value string) uint64 {
	o := objectapi.Object{Kind: config.ObjectKind, Name: string(kind), Value: []byte(value)}
	if current, err := sim.store.Get(sim.t.Context(), o.Kind, o.Name); err == nil {
		o.Version = current.Version
	}
	written, err := sim.store.Put(sim.t.Context(), o)
	assert.NilError(sim.t, err)
	return written.Version
}

// poll is the polling interval of await in virtual time.
const poll = 50 * time.Millisecond

func sleep(d time.Duration) {
	<-time.After(d)
}

// await waits until a version is in force at all processes and returns the virtual
// time it took. It fails after bound.
func (sim *simulation) await(kind config.Kind, version uint64, bound time.Duration, processes []*process) time.Duration {
	sim.t.Helper()
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
			sim.t.Fatalf("%d of %d processes miss %s version %d after %v", missing, len(processes), kind, version, took)
		}
		sleep(poll)
	}
}

func (sim *simulation) inZone(zone id.Zone) (in, out []*process) {
	for _, p := range sim.all {
		if p.zone == zone {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

func (sim *simulation) reader(zone id.Zone) *process {
	in, _ := sim.inZone(zone)
	for _, p := range in {
		if p.syncer.isReader() {
			return p
		}
	}
	sim.t.Fatalf("zone %s has no reader", zone)
	return nil
}

// events returns the number of events of a kind whose detail contains text.
func (p *process) events(kind timeline.Kind, text string) int {
	return len(p.ring.Events(func(e timeline.Event) bool {
		return e.Kind == kind && strings.Contains(e.Detail, text)
	}))
}

// platformCalls returns the number of platform calls of all processes so far.
func (sim *simulation) platformCalls() int {
	n := 0
	for _, p := range sim.all {
		n += len(p.store.Calls())
	}
	return n
}

// injectFault applies a fault to the store of each process.
func (sim *simulation) injectFault(fault func(*faultstore.Store)) {
	for _, p := range sim.all {
		fault(p.store)
	}
}

func outage(s *faultstore.Store) { s.SetDown(true) }

func outageEnds(s *faultstore.Store) { s.SetDown(false) }
