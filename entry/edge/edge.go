// Package edge is an entry whose endpoints are reached directly. It keeps up with
// the operators' configuration and the platform's list of endpoints, serves
// clients, and works with the other entries of the fleet.
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

// Adapter translates between a platform and the product. It keeps no state.
type Adapter struct {
	Codec direct.Codec
	// Protocol is that of the platform's object API.
	Protocol objectapi.Protocol
	// ConfigKind and ConfigName name the object that holds the configuration, and
	// EndpointKind the kind of objects that register endpoints.
	ConfigKind, ConfigName, EndpointKind string
	// DecodeConfig decodes a configuration without checking it.
	DecodeConfig func(data []byte) (routes.Config, error)
	// DecodeEndpoint decodes the registration of an endpoint under its name. The error
	// tells why it names no endpoint to use.
	DecodeEndpoint func(name string, data []byte) (direct.Endpoint, error)
	// NewEngine returns a client for the engine at an address.
	NewEngine func(address string) relay.Engine
}

// Config holds the settings of an Edge.
type Config struct {
	Host id.Host
	Zone id.Zone
	// ClientListen and ReadinessListen are the TCP addresses at which clients and the
	// platform's readiness checks arrive, as "ip:port". Required.
	ClientListen, ReadinessListen string
	// PeerListen is the UDP address for other entries, as "ip:port". Required.
	PeerListen netip.AddrPort
	// AdvertiseAddress is the UDP address at which other entries reach this one. Default: PeerListen.
	AdvertiseAddress netip.AddrPort
	// Source is the address of this host from which connections are opened.
	// Default: the operating system's choice.
	Source netip.Addr
	// ControlListen is the TCP address for operators and metrics, as "ip:port". Empty for none.
	ControlListen string
	// MetricsListen is a further TCP address for metrics, as "ip:port". Empty for none.
	MetricsListen string
	// Seeds are the addresses of other entries that may run, for a start while
	// the platform is down.
	Seeds []string
	// RelayPort is the TCP port of the relays beside endpoints.
	RelayPort uint16
	// StoreAddress is the "ip:port" of the platform's object API. Required.
	StoreAddress string
	// MaxConfigDelay is the time in which a configuration must be in force. Default: 2 s.
	MaxConfigDelay time.Duration
	// RetryBudget is the budget of all entries for each service. Its length is required.
	RetryBudget retry.WindowConfig
}

const defaultConfigBound = 2 * time.Second

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
	if c.RetryBudget.Length <= 0 || c.RetryBudget.Ratio < 0 || c.RetryBudget.ExtraRetries < 0 {
		l.Addf("retries", "%+v is not a budget", c.RetryBudget)
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
	values  values
	handler *direct.Handler
	loads   *direct.LoadExchange
	maps    maps
	// followers keep up with the platform's objects while the entry is a reader.
	followers []*follower
	pinned    *keys.PinnedIdentity
	pool      *link.Pool
	mux       *transport.Mux
	peers     *link.Server
	mesh      *mesh.Mesh
	states    states
	clients   *clientServer
	ready     *http.Server
	control   *http.Server
	leaving   atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

const (
	// storeBackoffMin and storeBackoffMax space the calls to a platform that
	// fails. The longest pause is a quarter of the bound for configurations.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 500 * time.Millisecond
	// storeKeepAlive is the time without traffic after which a connection to the
	// platform is probed.
	storeKeepAlive = time.Second
	// memberPollWait is the time for which a watch of the registrations waits. A
	// missed change is made good by the greetings of the entries.
	memberPollWait = 20 * time.Second
	// storeCall bounds a call to the platform, which answers in milliseconds.
	storeCall = time.Second
	// sweepInterval is the time between looks at idle connections.
	sweepInterval = 500 * time.Millisecond
	// readyIdle is the idle timeout of the platform's readiness checks, which come each second.
	readyIdle = 30 * time.Second
)

// New returns an entry that is not started. The error holds all findings in cfg.
func New(cfg Config, a Adapter, log zerolog.Logger, set *metrics.Set) (*Edge, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	if cfg.MaxConfigDelay <= 0 {
		cfg.MaxConfigDelay = defaultConfigBound
	}
	if !cfg.AdvertiseAddress.IsValid() {
		cfg.AdvertiseAddress = cfg.PeerListen
	}
	e := &Edge{cfg: cfg, adapter: a, log: log, set: set}
	var err error
	e.store, err = objectapi.NewClient(objectapi.ClientConfig{
		BaseURL: "http://" + cfg.StoreAddress, Caller: string(cfg.Host), Protocol: a.Protocol,
		CallTimeout: storeCall, KeepAlive: storeKeepAlive, Source: cfg.Source,
		Backoff: objectapi.Backoff{Min: storeBackoffMin, Max: storeBackoffMax},
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
		Codec: a.Codec, Entries: e.mesh.Known, Source: cfg.Source, Log: log, Metrics: e.set, Retries: cfg.RetryBudget,
	})
	e.loads = direct.NewLoadExchange(e.handler)
	e.values = values{adapter: a, log: log, onConfig: e.onConfig, onEndpoints: e.handler.SetEndpoints, onChange: e.mesh.Changed}
	e.followers = e.newFollowers()
	e.maps = maps{edge: e, of: make(map[id.Service]*service)}
	e.clients = newClientServer(e.handler, log)
	e.ready = &http.Server{Handler: http.HandlerFunc(e.serveReady), IdleTimeout: readyIdle, ReadHeaderTimeout: readyIdle}
	return e, nil
}

const (
	// alonePoll and fleetPoll are the times for which a watch waits, as parts of
	// the bound for configurations. A watch may miss a change; a fleet makes up
	// for that as its entries renew their watches at different times.
	alonePoll = 0.75
	fleetPoll = 1.5
	// pollJitter is the part of the time that is taken off at random.
	pollJitter = 0.25
)

// pollWait returns the time for which the next watch waits.
func (e *Edge) pollWait() time.Duration {
	part := alonePoll
	if len(e.mesh.Alive()) > 0 {
		part = fleetPoll
	}
	part *= 1 - pollJitter*rand.Float64()
	return time.Duration(part * float64(e.cfg.MaxConfigDelay))
}

func (e *Edge) newMesh() error {
	e.pool = link.NewPool(e.peerConfig(), func() *tls.Config { return e.pinned.ClientConfig(keys.RoleEntry, e.mesh.Trust) })
	mux := transport.NewMux(peer.NewCaller(e.pool), e.set)
	var err error
	e.mesh, err = mesh.New(mesh.Options{
		Self: e.self, Store: e.store.Patient(memberPollWait), Caller: mux.Caller(transport.Membership), Seeds: e.cfg.Seeds,
		Versions: e.versions, Get: e.value, Put: e.take,
		Watched: map[mesh.Topic]bool{topicConfig: true, topicEndpoints: true},
		State:   e.encodeState, OnState: e.takeState, Summary: e.encodeSummary, OnSummary: e.takeSummary,
		Reading: e.reading, Log: e.log,
	})
	e.states.interval = e.mesh.Interval
	if err != nil {
		return err
	}
	mux.Register(transport.Membership, e.mesh.Handle)
	e.mux = mux
	return nil
}

// peerConfig returns the bounds of connections between entries. They are dialed
// from the host's own address, by which entries know each other.
func (e *Edge) peerConfig() link.Config {
	c := link.PeerConfig()
	c.LocalIP = e.cfg.PeerListen.Addr().String()
	return c
}

// listenPeers accepts the calls of other entries.
func (e *Edge) listenPeers() (err error) {
	events := func(*msg.EventsOrder) *msg.Events { return &msg.Events{Process: string(e.self.Host)} }
	e.peers, err = link.Listen(e.cfg.PeerListen.String(), e.pinned.ServerConfig(keys.RoleEntry, e.mesh.Trust), e.peerConfig(),
		peer.NewServer(e.mux.Handle, events))
	return err
}

func (e *Edge) onConfig(t *routes.Table) {
	e.handler.SetTable(t)
	e.clients.setLimits(t.Limits())
	e.maps.apply(t)
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.handler.Table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start implements process.Daemon.
func (e *Edge) Start() error {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	clients, err := net.Listen("tcp", e.cfg.ClientListen)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", e.cfg.ReadinessListen)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if err := e.listenPeers(); err != nil {
		return err
	}
	e.log.Info().Str("event", "process.started").Str("incarnation", string(e.self.Incarnation)).
		Str("clients", e.cfg.ClientListen).Str("peers", e.self.Address).Send()
	go e.serve(e.clients.server, clients)
	go e.serve(e.ready, ready)
	if err := e.startControl(); err != nil {
		return err
	}
	for _, f := range e.followers {
		e.wg.Go(func() { f.run(e.ctx) })
	}
	e.wg.Go(func() { e.mesh.Run(e.ctx) })
	e.wg.Go(e.sweep)
	e.wg.Go(e.applyLoads)
	e.wg.Go(func() { e.maps.run(e.ctx) })
	return nil
}

// loadsInterval is the time between looks at the loads that other entries told, a
// quarter of the shortest time between exchanges.
const loadsInterval = 25 * time.Millisecond

func (e *Edge) applyLoads() {
	t := time.NewTicker(loadsInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
			e.loads.ApplyPending()
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
			e.clients.sweep(now)
		}
	}
}

// noticeTime is the time in which the platform notices that an entry is no longer
// ready: it asks each second and counts two misses.
const noticeTime = 2300 * time.Millisecond

// Shutdown implements process.Daemon. New connections are accepted until the
// platform has noticed that the entry is leaving.
func (e *Edge) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	e.maps.stop()
	e.clients.drain()
	pause(ctx, noticeTime)
	err := e.clients.server.Shutdown(ctx)
	e.cancel()
	e.wg.Wait()
	_ = e.control.Close()
	e.pool.Close()
	e.peers.Close()
	e.store.Close()
	return err
}

// Reload implements process.Daemon. No setting changes while the process runs: the
// platform starts it anew at another address.
func (e *Edge) Reload() error { return nil }
