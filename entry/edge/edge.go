// Package edge implements an entry that proxies client requests directly to
// endpoints. It tracks the operators' configuration and the platform's list of
// endpoints, and shares both, with load reports, with the other entries of the fleet.
package edge

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/evacuation"
	"github.com/siskinford/siskinford/entry/intake"
	"github.com/siskinford/siskinford/entry/peer"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
	"github.com/siskinford/siskinford/wire/relay"
)

// Adapter translates between a platform's formats and the product's. It is stateless.
type Adapter struct {
	Codec direct.Codec
	// Protocol is the protocol of the platform's object API.
	Protocol objectapi.Protocol
	// ConfigKind and ConfigName identify the configuration object. EndpointKind is
	// the kind of the objects that register endpoints.
	ConfigKind, ConfigName, EndpointKind string
	// EvacuationKind is the kind of the objects whose names are the availability zones that the
	// operator has taken out of service. Empty if the platform has none.
	EvacuationKind string
	// DecodeConfig decodes a configuration without validating it.
	DecodeConfig func(data []byte) (routes.Config, error)
	// DecodeEndpoint decodes the registration of the named endpoint. The error says
	// why the registration is unusable.
	DecodeEndpoint func(name string, data []byte) (direct.Endpoint, error)
	// NewEngine returns a client for the engine at an address.
	NewEngine func(address string) relay.Engine
}

// Config holds the settings of an Edge.
type Config struct {
	Host id.Host
	Zone id.Zone
	// ClientListen and ReadinessListen are the TCP addresses ("ip:port") for client
	// requests and for the platform's readiness checks. Required.
	ClientListen, ReadinessListen string
	// PeerListen is the UDP address for other entries. Required.
	PeerListen netip.AddrPort
	// AdvertiseAddress is the UDP address at which other entries reach this one.
	// Default: PeerListen.
	AdvertiseAddress netip.AddrPort
	// Source is the local address of outgoing connections. Default: the operating
	// system's choice.
	Source netip.Addr
	// ControlListen is the TCP address ("ip:port") for operators and metrics. Empty for none.
	ControlListen string
	// MetricsListen is another TCP address ("ip:port") for metrics. Empty for none.
	MetricsListen string
	// Seeds are addresses of entries to contact if the platform is down at the start.
	Seeds []string
	// RelayPort is the TCP port of the relays on the endpoints' hosts.
	RelayPort uint16
	// StoreAddress is the "ip:port" of the platform's object API. Required.
	StoreAddress string
	// MaxConfigDelay is the time within which a new configuration must be in force. Default: 2 s.
	MaxConfigDelay time.Duration
	// StableWindow is the time after the loss of connections to the platform from which on
	// MaxConfigDelay holds again. Connections may fall silent without a reset, all at the same time.
	// Default: one and a half times MaxConfigDelay.
	StableWindow time.Duration
	// RedirectIsolated makes an entry that is cut off send its callers to entries in other zones.
	RedirectIsolated bool
	// EvacuationDelay is the time within which an evacuated zone must get no more requests. Zero if
	// evacuations are not in use.
	EvacuationDelay time.Duration
	// ColdOverage and ColdSlack bound the requests to a cold endpoint in any second, of all entries
	// together, by its service's rate: rate × ColdOverage + ColdSlack. Default: an overage of 1.
	ColdOverage, ColdSlack float64
	// MemoryBytes is the memory of the host, and MaxDescriptors the number of descriptors that the process may open.
	// Both bound what is held for clients. Zero means no limit.
	MemoryBytes    int64
	MaxDescriptors int
	// RetryBudget is each service's budget over all entries. The window length is required.
	RetryBudget retry.WindowConfig
	// LearnedLimits turns on learnt limits and speeds of endpoints.
	LearnedLimits bool
}

const defaultMaxConfigDelay = 2 * time.Second

// Validate returns all findings in the configuration.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Host == "" {
		l.Addf("host", "is not set")
	}
	for place, address := range map[string]string{
		"clients": c.ClientListen, "readiness": c.ReadinessListen, "store": c.StoreAddress, "control": c.ControlListen, "metrics": c.MetricsListen,
	} {
		optional := place == "control" || place == "metrics"
		if _, err := netip.ParseAddrPort(address); err != nil && (address != "" || !optional) {
			l.Addf(place, "%q is not ip:port", address)
		}
	}
	if !c.PeerListen.IsValid() {
		l.Addf("peers", "is not set")
	}
	if c.EvacuationDelay < 0 {
		l.Addf("evacuation delay", "%v is negative", c.EvacuationDelay)
	}
	if c.RetryBudget.Length <= 0 || c.RetryBudget.Ratio < 0 || c.RetryBudget.ExtraRetries < 0 {
		l.Addf("retries", "%+v is not a budget", c.RetryBudget)
	}
	if c.ColdOverage < 0 || c.ColdSlack < 0 {
		l.Addf("cold", "an overage of %v and a slack of %v are no bound", c.ColdOverage, c.ColdSlack)
	}
	return l
}

// Edge serves clients on one host. Use New.
type Edge struct {
	cfg     Config
	adapter Adapter
	log     zerolog.Logger
	set     *metrics.Set
	self    mesh.Member
	store   *objectapi.Client
	intake  *intake.Account
	values  values
	// evacuations is used only if evacuationsInUse.
	evacuations evacuations
	handler     *direct.Handler
	loads       *direct.LoadExchange
	groups      groupManager
	// watchers track the platform's objects while the entry is a reader.
	watchers      []*objectWatcher
	pinned        *keys.PinnedIdentity
	pool          *link.Pool
	mux           *transport.Mux
	peers         *link.Server
	mesh          *mesh.Mesh
	claims        claimTable
	clients       *clientServer
	readyServer   *http.Server
	controlServer *http.Server
	metricsServer *http.Server
	leaving       atomic.Bool
	// isolation and sentElsewhere belong to the goroutine of applyLoads.
	isolation     isolation
	sentElsewhere bool
	isolated      atomic.Bool
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

const (
	// storeBackoffMin and storeBackoffMax bound the delay between calls to a failing
	// platform. The maximum is a quarter of the default MaxConfigDelay.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 500 * time.Millisecond
	// storeKeepAlive is the time without traffic before a connection to the platform
	// is probed.
	storeKeepAlive = time.Second
	// memberWatchWait is the long-poll timeout of the watch of entry registrations.
	// Exchanges between entries make up for a missed change.
	memberWatchWait = 20 * time.Second
	// storeCallTimeout bounds a call to the platform, which normally takes milliseconds.
	storeCallTimeout = time.Second
	// sweepInterval is the time between scans for idle connections and for changes of the fleet.
	sweepInterval = 500 * time.Millisecond
	// readyIdleTimeout is the idle timeout for readiness checks, which arrive every second.
	readyIdleTimeout = 30 * time.Second
)

// New returns an entry that is not started. The error lists all findings in cfg.
func New(cfg Config, a Adapter, log zerolog.Logger, set *metrics.Set) (*Edge, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	if cfg.MaxConfigDelay <= 0 {
		cfg.MaxConfigDelay = defaultMaxConfigDelay
	}
	if cfg.StableWindow <= 0 {
		cfg.StableWindow = cfg.MaxConfigDelay + cfg.MaxConfigDelay/2
	}
	if !cfg.AdvertiseAddress.IsValid() {
		cfg.AdvertiseAddress = cfg.PeerListen
	}
	e := &Edge{cfg: cfg, adapter: a, log: log, set: set}
	e.intake = intake.New(intake.Config{MemoryBytes: cfg.MemoryBytes, MaxDescriptors: cfg.MaxDescriptors, Log: log, Metrics: set})
	var err error
	e.store, err = objectapi.NewClient(objectapi.ClientConfig{
		BaseURL: "http://" + cfg.StoreAddress, Caller: string(cfg.Host), Protocol: a.Protocol,
		CallTimeout: storeCallTimeout, PollGrace: watchGrace, KeepAlive: storeKeepAlive, Source: cfg.Source,
		Backoff: objectapi.Backoff{Min: storeBackoffMin, Max: storeBackoffMax}, OnRestore: e.onStoreRestored,
	})
	if err != nil {
		return nil, err
	}
	if e.pinned, err = keys.NewPinnedIdentity(keys.RoleEntry, cfg.Host); err != nil {
		return nil, err
	}
	e.self = mesh.Member{
		Host: cfg.Host, Zone: cfg.Zone, Incarnation: id.NewIncarnation(), Fingerprint: e.pinned.Fingerprint(),
		Address: cfg.AdvertiseAddress.String(), Started: time.Now().UnixMilli(),
	}
	if err := e.newMesh(); err != nil {
		return nil, err
	}
	e.handler = direct.NewHandler(direct.Options{
		Codec: a.Codec, Host: cfg.Host, OnQuarantineChange: e.mesh.NotifyChange, Entries: e.mesh.MemberCount, Source: cfg.Source, Intake: e.intake, Log: log, Metrics: e.set, Retries: cfg.RetryBudget,
		ColdOverage: cfg.ColdOverage, ColdSlack: cfg.ColdSlack, AwaitEvacuated: e.evacuationsInUse(), LearnLimits: cfg.LearnedLimits,
	})
	e.loads = direct.NewLoadExchange(e.handler, e.mesh.Interval)
	e.values = values{adapter: a, log: log, onConfig: e.onConfig, onEndpoints: e.onEndpoints, onChange: e.mesh.NotifyChange}
	e.evacuations = evacuations{
		kind: a.EvacuationKind, log: log, apply: e.handler.SetEvacuated, onChange: e.mesh.NotifyChange, members: e.mesh.HostZones,
		endpoints: e.handler.ZoneEndpoints, wait: evacuation.Wait{Limit: maxEvacuationWait},
	}
	e.watchers = e.newWatchers()
	e.groups = groupManager{edge: e, services: make(map[id.Service]*groupedService)}
	e.clients = newClientServer(e.handler, log)
	e.readyServer = accountServer(&http.Server{Handler: http.HandlerFunc(e.serveReady), IdleTimeout: readyIdleTimeout, ReadHeaderTimeout: readyIdleTimeout})
	return e, nil
}

const (
	// aloneWatchFraction and fleetWatchFraction are the long-poll timeouts as fractions
	// of the time within which a change must be in force. A watch may miss a change; a fleet tolerates longer timeouts,
	// as its entries renew their watches at different times. After a change they all renew them at
	// once, so that connections which fall silent then delay all entries alike: see watchWait.
	aloneWatchFraction = 0.75
	fleetWatchFraction = 1.5
	// watchJitter is the maximum fraction by which a timeout is randomly shortened.
	watchJitter = 0.25
	// watchGrace is the time after the timeout of a watch after which its connection counts as dead.
	watchGrace = time.Second
	// watchRenewal bounds the time from there until a new watch has the changes that were missed:
	// storeBackoffMin, a place within watchRate, and the call.
	watchRenewal = 300 * time.Millisecond
	// minWatchWait bounds the rate of watches if StableWindow is short.
	minWatchWait = 250 * time.Millisecond
)

// watchWait returns the long-poll timeout of the next watch of objects whose changes must be in
// force within a time.
func (e *Edge) watchWait(limit time.Duration) time.Duration {
	return watchWait(limit, e.cfg.StableWindow, len(e.mesh.Alive()) == 0, watchJitter*rand.Float64())
}

// watchWait returns the long-poll timeout, shortened by the fraction jitter. If the connection of
// the watch falls silent, its successor has the changes within the stable window.
func watchWait(limit, stableWindow time.Duration, alone bool, jitter float64) time.Duration {
	fraction := fleetWatchFraction
	if alone {
		fraction = aloneWatchFraction
	}
	longest := max(stableWindow-watchGrace-watchRenewal, minWatchWait)
	return time.Duration((1 - jitter) * float64(min(time.Duration(fraction*float64(limit)), longest)))
}

func (e *Edge) newMesh() error {
	e.pool = link.NewPool(e.peerConfig(), func() *tls.Config { return e.pinned.ClientConfig(keys.RoleEntry, e.mesh.Trust) })
	mux := transport.NewMux(peer.NewCaller(e.pool), e.set)
	var err error
	e.mesh, err = mesh.New(mesh.Options{
		Self: e.self, Store: e.store.WithPollWait(memberWatchWait), Caller: mux.Caller(transport.Membership), Seeds: e.cfg.Seeds,
		Versions: e.versions, ValueSince: e.encodeValue, ApplyValue: e.applyValue,
		Watched:    map[mesh.Topic]bool{topicConfig: true, topicEndpoints: true},
		LocalState: e.encodeState, OnState: e.applyState, CellSummary: e.encodeSummary, OnSummary: e.applySummary,
		WatchesHealthy: e.watchesHealthy, Log: e.log,
	})
	e.claims.interval = e.mesh.Interval
	if err != nil {
		return err
	}
	mux.Register(transport.Membership, e.mesh.Handle)
	e.mux = mux
	return nil
}

// peerConfig returns the settings of connections between entries. They are dialed
// from the host's own address, by which entries identify each other.
func (e *Edge) peerConfig() link.Config {
	c := link.PeerConfig()
	c.LocalIP = e.cfg.PeerListen.Addr().String()
	return c
}

// listenPeers starts the server for calls from other entries.
func (e *Edge) listenPeers() (err error) {
	events := func(*msg.EventsOrder) *msg.Events { return &msg.Events{Process: string(e.self.Host)} }
	e.peers, err = link.Listen(e.cfg.PeerListen.String(), e.pinned.ServerConfig(keys.RoleEntry, e.mesh.Trust), e.peerConfig(),
		peer.NewServer(e.mux.Handle, events))
	return err
}

// onStoreRestored logs that the store has returned from an older copy.
func (e *Edge) onStoreRestored(before, after uint64) {
	e.log.Warn().Str("event", "store.restored").Uint64("era_before", before).Uint64("era", after).
		Msg("the platform's store has returned from an older copy; reading it again")
}

func (e *Edge) onConfig(t *routes.Table) {
	e.handler.SetTable(t)
	e.clients.setLimits(t.Limits())
	e.groups.apply(t)
	if e.evacuationsInUse() {
		e.evacuations.begin((*evacuation.Wait).Configured)
	}
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.notReady() != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start implements process.Daemon.
func (e *Edge) Start() error {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	limitMemory(e.cfg.MemoryBytes)
	clients, err := e.listen(e.cfg.ClientListen, intake.Clients)
	if err != nil {
		return err
	}
	e.clients.listen(clients)
	ready, err := e.listen(e.cfg.ReadinessListen, intake.Readiness)
	if err != nil {
		return err
	}
	if err := e.listenPeers(); err != nil {
		return err
	}
	e.log.Info().Str("event", "process.started").Str("incarnation", string(e.self.Incarnation)).
		Str("clients", e.cfg.ClientListen).Str("peers", e.self.Address).Send()
	go e.serve(e.clients.server, clients)
	go e.serve(e.readyServer, ready)
	if err := e.startControl(); err != nil {
		return err
	}
	for _, w := range e.watchers {
		e.wg.Go(func() { w.run(e.ctx) })
	}
	e.wg.Go(func() { e.mesh.Run(e.ctx) })
	e.wg.Go(e.sweep)
	e.wg.Go(e.applyLoads)
	e.wg.Go(func() { e.groups.run(e.ctx) })
	return nil
}

// loadsInterval is the time between applications of other entries' load reports, a
// quarter of the shortest time between exchanges.
const loadsInterval = 25 * time.Millisecond

func (e *Edge) applyLoads() {
	t := time.NewTicker(loadsInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			e.loads.ApplyPending()
			e.updateIsolation(now)
		}
	}
}

func (e *Edge) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Err(err).Str("event", "listener.ended").Str("address", l.Addr().String()).Send()
	}
}

func (e *Edge) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			e.handler.Directory().CloseExpired(now)
			e.handler.SetEntries(e.mesh.Hosts(), e.cfg.Host)
			e.clients.sweep(now)
			e.intake.Sweep(now)
		}
	}
}

const (
	// unreadyDetectionTime is the time the platform takes to detect that an entry is no
	// longer ready: it checks every second and requires two failures.
	unreadyDetectionTime = 2300 * time.Millisecond
	// answerMargin is the time before the end of the shutdown at which the last requests are
	// answered. It covers the delivery of the answers, and closeMargin.
	answerMargin = time.Second
	// closeMargin is the time before the end of the shutdown at which connections are closed. It
	// covers the calls by which an entry leaves the fleet, and exitMargin.
	closeMargin = 650 * time.Millisecond
	// exitMargin is the time for the end of the process. What other hosts delay is not waited for.
	exitMargin = 300 * time.Millisecond
	// marginDivisor bounds the margins of a short shutdown: each is at most this part of it.
	marginDivisor = 8
)

// Shutdown implements process.Daemon. It accepts new connections until the platform has had time
// to detect that the entry is not ready, and answers all requests before ctx ends.
func (e *Edge) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	e.clients.drain()
	began := time.Now()
	answerBy, closeBy, exitBy := shutdownTimes(ctx, began)
	e.handler.Drain(ctx, answerBy)
	e.groups.stop() // Takes a while if a group is held.
	pause(ctx, unreadyDetectionTime-time.Since(began))
	closing, cancel := context.WithDeadline(context.WithoutCancel(ctx), closeBy)
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(answerMargin, cancel) })() // A second signal.
	err := e.clients.server.Shutdown(closing)
	if n := e.handler.CutOff(); n > 0 {
		err = errors.Newf("%d requests had no result when the time was over", n)
	}
	_ = e.clients.server.Close()
	e.cancel()
	awaitUntil(exitBy, e.leave)
	return err
}

// leave ends the work in the background and the connections to other hosts.
func (e *Edge) leave() {
	e.wg.Wait()
	_ = e.controlServer.Close()
	_ = e.metricsServer.Close()
	e.pool.Close()
	e.peers.Close()
	e.store.Close()
}

// shutdownTimes returns the times by which a shutdown answers its requests, closes its
// connections and is over.
func shutdownTimes(ctx context.Context, now time.Time) (answerBy, closeBy, exitBy time.Time) {
	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(defaultShutdownTime)
	}
	most := end.Sub(now) / marginDivisor
	return end.Add(-min(answerMargin, most)), end.Add(-min(closeMargin, most*2/3)), end.Add(-min(exitMargin, most/3))
}

// defaultShutdownTime bounds a shutdown without a deadline.
const defaultShutdownTime = 30 * time.Second

// awaitUntil runs f and waits for its end, until a time at most.
func awaitUntil(limit time.Time, f func()) {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Reload implements process.Daemon. Settings never change at run time: the platform
// starts a new process at another address instead.
func (e *Edge) Reload() error { return nil }
