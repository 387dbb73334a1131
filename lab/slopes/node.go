package slopes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/configsync"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/fleet/transport/memnet"
)

// linkDelay is the one-way delay between entries.
const linkDelay = 1500 * time.Microsecond

// node is one entry of a bench, as far as its control protocols go.
type node struct {
	host    id.Host
	zone    id.Zone
	address string
	net     *memnet.Node
	members *member.Runner
	spread  *configsync.Syncer
	holder  *configsync.SnapshotApplier
	stop    func()
}

// bench is a fleet in one process with real time.
type bench struct {
	mode     Mode
	net      *memnet.Network
	memory   *memstore.Store
	platform *faultstore.Store
	nodes    []*node
	zones    int

	mu      sync.Mutex // guards changes
	changes []change
}

// change is a change of belief of one node about another.
type change struct {
	observer id.Host
	member.Change
	at time.Time
}

// newBench starts n nodes in zones of zoneSize and returns when they had time
// to find each other.
func newBench(ctx context.Context, c Config, mode Mode, n, zoneSize int, loss float64) (*bench, error) {
	memory := memstore.New(memstore.Config{PollWait: objectapi.MaxPollWait})
	b := &bench{
		mode:     mode,
		net:      memnet.New(memnet.Config{Seed: c.Seed, Loss: loss, Delay: linkDelay}),
		memory:   memory,
		platform: faultstore.New(memory),
		zones:    (n + zoneSize - 1) / zoneSize,
	}
	var list []objectapi.Host
	for i := range n {
		name := id.Host(fmt.Sprintf("entry-%03d", i))
		list = append(list, objectapi.Host{
			Name: name, Zone: id.Zone(fmt.Sprintf("zone-%d", i%b.zones)),
			Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1), State: objectapi.HostLive,
		})
	}
	if _, err := b.accept(ctx, config.KindTeams); err != nil {
		return nil, err
	}
	for i, h := range list {
		if err := b.start(ctx, c.Seed+uint64(i), h, list); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, timer.Sleep(ctx, c.Settle)
}

func (b *bench) start(ctx context.Context, seed uint64, h objectapi.Host, list []objectapi.Host) error {
	n := &node{
		host: h.Name, zone: h.Zone, address: h.Address,
		net: b.net.Join(h.Address), holder: configsync.NewSnapshotApplier(nil),
	}
	mux := transport.NewMux(n.net, metrics.NewSet())
	var err error
	n.members, err = member.NewRunner(member.Options{
		Config: member.Default(), Zone: h.Zone, Host: h.Name, Address: h.Address, Seed: seed,
		AppData:   func() []byte { return n.spread.EncodedDigest() },
		OnAppData: func(from member.Peer, zone id.Zone, note []byte) { n.spread.HandleDigest(from, zone, note) },
		OnChange:  func(c member.Change) { b.record(n.host, c) },
	}, mux.Caller(transport.Membership), time.Now)
	if err != nil {
		return err
	}
	n.spread, err = configsync.New(configsync.Options{
		Config: b.spreadConfig(), Zone: h.Zone, Store: b.platform, Applier: n.holder, Peers: n.members,
		Caller: mux.Caller(transport.Configuration), Seed: seed,
	})
	if err != nil {
		return err
	}
	mux.Register(transport.Membership, n.members.Handle)
	mux.Register(transport.Configuration, n.spread.Handle)
	n.members.SetHostList(list)
	n.net.Serve(mux.Handle)
	b.run(ctx, n, seed)
	b.nodes = append(b.nodes, n)
	return nil
}

func (b *bench) spreadConfig() configsync.Config {
	c := configsync.Default()
	switch b.mode {
	case ModePlatformRecovery:
		c.ZoneTries, c.ElsewhereTries = 0, 0
	case ModeDirectPush:
		c.Fanout = 1 << 10
	}
	return c
}

func (b *bench) run(ctx context.Context, n *node, seed uint64) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	ticks := make(chan time.Time)
	wg.Go(func() { tick(ctx, n.net, seed, ticks) })
	wg.Go(func() { n.members.RunTicks(ctx, ticks) })
	if b.mode == ModeWatchEach {
		wg.Go(func() { watchEach(ctx, b.platform, n.holder, seed) })
	} else {
		wg.Go(func() { n.spread.Run(ctx) })
	}
	n.stop = func() {
		n.net.Kill()
		cancel()
		wg.Wait()
	}
}

// tick drives a node at its own phase while it is not paused.
func tick(ctx context.Context, n *memnet.Node, seed uint64, ticks chan<- time.Time) {
	phase := time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(member.TickInterval)))
	if timer.Sleep(ctx, phase) != nil {
		return
	}
	t := time.NewTicker(member.TickInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			if n.Paused() {
				continue
			}
			select {
			case ticks <- now:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// watchEach is the baseline: it follows the platform without help of peers,
// with the same waits after failures as the reader of a zone.
func watchEach(ctx context.Context, store objectapi.Store, holder *configsync.SnapshotApplier, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	wait := configsync.Default().BackoffMin
	for ctx.Err() == nil {
		err := watchOnce(ctx, store, holder)
		if err == nil {
			wait = configsync.Default().BackoffMin
			continue
		}
		_ = timer.Sleep(ctx, wait/2+time.Duration(rng.Int64N(int64(wait/2))))
		wait = min(2*wait, configsync.Default().BackoffMax)
	}
}

func watchOnce(ctx context.Context, store objectapi.Store, holder *configsync.SnapshotApplier) error {
	objects, revision, err := store.List(ctx, config.ObjectKind)
	for end := time.Now().Add(configsync.Default().ListInterval); err == nil && time.Now().Before(end); {
		for _, o := range objects {
			if err := holder.Apply(config.Kind(o.Name), o.Version, o.Value); err != nil {
				return err
			}
		}
		poll, cancel := context.WithTimeout(ctx, configsync.Default().WatchTimeout)
		next := revision
		objects, next, err = store.Watch(poll, config.ObjectKind, revision)
		if err != nil && errors.Is(poll.Err(), context.DeadlineExceeded) {
			objects, next, err = nil, revision, nil
		}
		revision = next
		cancel()
	}
	return err
}

func (b *bench) close() {
	var wg sync.WaitGroup
	for _, n := range b.nodes {
		wg.Go(n.stop)
	}
	wg.Wait()
}

func (b *bench) record(observer id.Host, c member.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changes = append(b.changes, change{observer: observer, Change: c, at: time.Now()})
}

// takeChanges returns the changes of belief since the last call.
func (b *bench) takeChanges() []change {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.changes
	b.changes = nil
	return out
}

// smallTeams is a short configuration, so that many nodes of one process do not
// compete for processors while they decode it.
var smallTeams = []byte(`{"writer":"bench","written_at":"2026-01-01T00:00:00Z","value":{"teams":[]}}`)

// accept writes the next version of a kind, past the platform's faults.
func (b *bench) accept(ctx context.Context, kind config.Kind) (uint64, error) {
	o := objectapi.Object{Kind: config.ObjectKind, Name: string(kind), Value: smallTeams}
	current, err := b.memory.Get(ctx, o.Kind, o.Name)
	var missing *objectapi.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, err
	}
	o.Version = current.Version
	written, err := b.memory.Put(ctx, o)
	return written.Version, err
}

// inForceBound is the time within which a change must be in force everywhere.
const inForceBound = 19 * time.Second

// awaitPoll is the resolution of delays.
const awaitPoll = 2 * time.Millisecond

// await returns the time until a version is in force at all nodes, and false if
// that took longer than inForceBound.
func (b *bench) await(ctx context.Context, kind config.Kind, version uint64, nodes []*node) (time.Duration, bool) {
	start := time.Now()
	for {
		behind := false
		for _, n := range nodes {
			if n.holder.Current().Version(kind) < version {
				behind = true
				break
			}
		}
		took := time.Since(start)
		if !behind {
			return took, true
		}
		if took > inForceBound || timer.Sleep(ctx, awaitPoll) != nil {
			return took, false
		}
	}
}

func millis(d time.Duration) Millis { return Millis(d.Microseconds()) / 1000 }
