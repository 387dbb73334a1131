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

// node runs the control protocols of one entry.
type node struct {
	host    id.Host
	zone    id.Zone
	address string
	net     *memnet.Node
	members *member.Runner
	syncer  *configsync.Syncer
	applier *configsync.SnapshotApplier
	stop    func()
}

// bench is a fleet in one process on a simulated network, in real time.
type bench struct {
	mode     Mode
	net      *memnet.Network
	memory   *memstore.Store
	platform *faultstore.Store
	nodes    []*node
	zones    int

	mu      sync.Mutex // guards changes
	changes []stateChange
}

// stateChange is a change in the membership state that observer holds for a peer.
type stateChange struct {
	observer id.Host
	member.Change
	at time.Time
}

// newBench starts n nodes in zones of zoneSize and waits c.Settle for their discovery.
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
	if _, err := b.putVersion(ctx, config.KindTeams); err != nil {
		return nil, err
	}
	for i, h := range list {
		if err := b.startNode(ctx, c.Seed+uint64(i), h, list); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, timer.Sleep(ctx, c.Settle)
}

func (b *bench) startNode(ctx context.Context, seed uint64, h objectapi.Host, list []objectapi.Host) error {
	n := &node{
		host: h.Name, zone: h.Zone, address: h.Address,
		net: b.net.Join(h.Address), applier: configsync.NewSnapshotApplier(nil),
	}
	mux := transport.NewMux(n.net, metrics.NewSet())
	var err error
	n.members, err = member.NewRunner(member.Options{
		Config: member.Default(), Zone: h.Zone, Host: h.Name, Address: h.Address, Seed: seed,
		AppData:   func() []byte { return n.syncer.EncodedDigest() },
		OnAppData: func(from member.Peer, zone id.Zone, digest []byte) { n.syncer.HandleDigest(from, zone, digest) },
		OnChange:  func(c member.Change) { b.record(n.host, c) },
	}, mux.Caller(transport.Membership), time.Now)
	if err != nil {
		return err
	}
	n.syncer, err = configsync.New(configsync.Options{
		Config: b.syncConfig(), Zone: h.Zone, Store: b.platform, Applier: n.applier, Peers: n.members,
		Caller: mux.Caller(transport.Configuration), Seed: seed,
	})
	if err != nil {
		return err
	}
	mux.Register(transport.Membership, n.members.Handle)
	mux.Register(transport.Configuration, n.syncer.Handle)
	n.members.SetHostList(list)
	n.net.Serve(mux.Handle)
	b.runNode(ctx, n, seed)
	b.nodes = append(b.nodes, n)
	return nil
}

func (b *bench) syncConfig() configsync.Config {
	c := configsync.Default()
	switch b.mode {
	case ModePlatformRecovery:
		c.MaxZonePeers, c.MaxRemotePeers = 0, 0
	case ModeDirectPush:
		c.Fanout = 1 << 10
	}
	return c
}

func (b *bench) runNode(ctx context.Context, n *node, seed uint64) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	ticks := make(chan time.Time)
	wg.Go(func() { sendTicks(ctx, n.net, seed, ticks) })
	wg.Go(func() { n.members.RunTicks(ctx, ticks) })
	if b.mode == ModeWatchEach {
		wg.Go(func() { watchEach(ctx, b.platform, n.applier, seed) })
	} else {
		wg.Go(func() { n.syncer.Run(ctx) })
	}
	n.stop = func() {
		n.net.Kill()
		cancel()
		wg.Wait()
	}
}

// sendTicks sends ticks at a seeded phase, except while n is paused.
func sendTicks(ctx context.Context, n *memnet.Node, seed uint64, ticks chan<- time.Time) {
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

// watchEach is the baseline: it watches the platform without peers, with the
// backoff of a zone reader.
func watchEach(ctx context.Context, store objectapi.Store, applier *configsync.SnapshotApplier, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	wait := configsync.Default().BackoffMin
	for ctx.Err() == nil {
		err := watchOnce(ctx, store, applier)
		if err == nil {
			wait = configsync.Default().BackoffMin
			continue
		}
		_ = timer.Sleep(ctx, wait/2+time.Duration(rng.Int64N(int64(wait/2))))
		wait = min(2*wait, configsync.Default().BackoffMax)
	}
}

func watchOnce(ctx context.Context, store objectapi.Store, applier *configsync.SnapshotApplier) error {
	objects, revision, err := store.List(ctx, config.ObjectKind)
	for end := time.Now().Add(configsync.Default().ListInterval); err == nil && time.Now().Before(end); {
		for _, o := range objects {
			if err := applier.Apply(config.Kind(o.Name), o.Version, o.Value); err != nil {
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
	b.changes = append(b.changes, stateChange{observer: observer, Change: c, at: time.Now()})
}

// drainChanges returns and clears the recorded changes.
func (b *bench) drainChanges() []stateChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.changes
	b.changes = nil
	return out
}

// smallTeams is a small configuration, so that the nodes of the process do not
// compete for CPU time to decode it.
var smallTeams = []byte(`{"writer":"bench","written_at":"2026-01-01T00:00:00Z","value":{"teams":[]}}`)

// putVersion writes the next version of a kind, bypassing injected platform faults.
func (b *bench) putVersion(ctx context.Context, kind config.Kind) (uint64, error) {
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

// inForceBound is the deadline for a change to take effect on all nodes.
const inForceBound = 19 * time.Second

// awaitInterval is the polling interval, and so the resolution, of awaitVersion.
const awaitInterval = 2 * time.Millisecond

// awaitVersion returns the time until a version is in force on all nodes, and false if
// inForceBound or ctx expires first.
func (b *bench) awaitVersion(ctx context.Context, kind config.Kind, version uint64, nodes []*node) (time.Duration, bool) {
	start := time.Now()
	for {
		behind := false
		for _, n := range nodes {
			if n.applier.Current().Version(kind) < version {
				behind = true
				break
			}
		}
		took := time.Since(start)
		if !behind {
			return took, true
		}
		if took > inForceBound || timer.Sleep(ctx, awaitInterval) != nil {
			return took, false
		}
	}
}

func millis(d time.Duration) Millis { return Millis(d.Microseconds()) / 1000 }
