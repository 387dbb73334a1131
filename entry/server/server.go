package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/prefix"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/actions"
	"github.com/siskinford/siskinford/entry/admission"
	"github.com/siskinford/siskinford/entry/caller"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/endpoints"
	"github.com/siskinford/siskinford/entry/groups"
	"github.com/siskinford/siskinford/entry/limits"
	"github.com/siskinford/siskinford/entry/operator"
	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/configsync"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
)

// Deps are the dependencies of an entry.
type Deps struct {
	Store objectapi.Store
	Keys  *keys.Credentials
	Ring  *timeline.Ring
	Log   zerolog.Logger
}

// Server is one entry. It is safe for concurrent use.
type Server struct {
	config  Config
	deps    Deps
	metrics *metrics.Set

	events    timeline.Recorder
	applier   *configsync.SnapshotApplier
	node      node
	pool      *link.Pool
	table     *route.Table
	endpoints *endpoints.Manager
	claims    *claim.Claimer
	requests  *operator.RequestLog
	operator  *operator.Service
	admission *admission.Admitter
	limits    *limits.Limiter
	groups    *groups.Manager
	callers   *http.Server
	operators *http.Server

	callerListener   net.Listener
	operatorListener net.Listener

	ctx      context.Context // ends background work and the requests cancelled by Shutdown
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns an entry that is not started.
func New(c Config, d Deps) (*Server, error) {
	if err := c.Validate().Err(); err != nil {
		return nil, err
	}
	c.Link.Clock = d.Ring.Clock()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{config: c, deps: d, metrics: metrics.NewSet(), ctx: ctx, cancel: cancel}
	s.requests = operator.NewRequestLog(operator.DefaultRequestLogSize, time.Now)
	s.events = s.requests.Recorder(timeline.LoggingRecorder{Ring: d.Ring, Log: d.Log})
	s.applier = configsync.NewSnapshotApplier(s.applySnapshot)
	if err := s.initComponents(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// initComponents creates the components of the entry in order of their dependencies.
func (s *Server) initComponents() error {
	c := s.config
	s.newEndpoints()
	s.operator = s.newOperator()
	s.groups = s.newGroups()
	picker, err := route.New(c.Policy, s.table)
	if err != nil {
		return err
	}
	if s.limits, err = s.newLimits(); err != nil {
		return err
	}
	if s.claims, err = claim.New(claim.Config{Store: s.deps.Store, Retention: c.KeyRetention}); err != nil {
		return err
	}
	s.admission = admission.New(admission.Deps{Zone: c.Zone, Picker: picker, Limiter: s.limits, Enabled: c.Admission})
	s.callers = s.newCallerServer(picker)
	s.operators = &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: c.Caller.ReadTimeout}
	return nil
}

// newEndpoints creates the connections to agents and the routing table that
// their reports update.
func (s *Server) newEndpoints() {
	s.pool = link.NewPool(s.config.Link, func() *tls.Config { return s.deps.Keys.ClientConfig(keys.RoleAgent) })
	s.registerTrafficMetrics("agents", s.pool)
	prefixes := prefix.NewIndex(prefix.Config{})
	s.table = route.NewTable(route.Config{Prefixes: prefixes})
	c := s.config.Endpoints
	c.Zone = s.config.Zone
	c.Host = s.config.Host
	s.endpoints = endpoints.New(c, s.table, endpoints.PrefixSink{Index: prefixes}, s.pool, s.events)
}

// applySnapshot passes a new configuration to the components that depend on it.
func (s *Server) applySnapshot(n *config.Snapshot) {
	s.endpoints.Update(n.Endpoints(), n.Version(config.KindEndpoints))
	s.operator.RecordSnapshot(n)
	s.admission.Update(n.Teams(), n.Services())
	s.limits.SetTeams(n.Teams())
	s.groups.Update(n)
}

func (s *Server) newCallerServer(picker route.Picker) *http.Server {
	dispatcher := dispatch.New(s.config.Dispatch, dispatch.Deps{
		Zone: s.config.Zone, Picker: picker, Table: s.table, Budget: retry.NewBudget(retry.Config{}),
		Directory: s.endpoints, Pool: s.pool, Recorder: s.events,
		OnChoice: s.requests.RecordChoice,
	})
	api := caller.New(s.config.Caller, caller.Deps{
		Catalog:    s.catalog,
		Dispatcher: dispatcher,
		Admitter:   s.admission,
		Actions: actions.New(actions.Deps{
			Zone: s.config.Zone, Picker: picker, Directory: s.endpoints, Pool: s.pool,
			Claimer: actions.NewKeyClaimer(s.claims),
		}),
		Recorder: s.events,
		Metrics:  caller.NewMetrics(s.metrics),
	})
	return &http.Server{
		Handler:           s.countInFlight(api.Handler()),
		ReadHeaderTimeout: s.config.Caller.ReadTimeout,
		ReadTimeout:       s.config.Caller.ReadTimeout,
		MaxHeaderBytes:    s.config.Caller.MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return s.ctx },
	}
}

// catalog returns the configuration in force, or false until it has all kinds.
func (s *Server) catalog() (caller.Catalog, bool) {
	snapshot := s.applier.Current()
	return snapshot, snapshot.Complete()
}

func (s *Server) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Start opens the listeners and begins to serve.
func (s *Server) Start() error {
	var err error
	if s.callerListener, err = net.Listen("tcp", s.config.CallerListen); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if s.operatorListener, err = net.Listen("tcp", s.config.OperatorListen); err != nil {
		_ = s.callerListener.Close()
		return errors.Wrap(err, "listen for operators")
	}
	if err = s.startNode(); err != nil {
		_ = s.callerListener.Close()
		_ = s.operatorListener.Close()
		return err
	}
	s.wg.Go(func() { _ = s.callers.Serve(s.callerListener) })
	s.wg.Go(func() { _ = s.operators.Serve(s.operatorListener) })
	s.deps.Ring.Record(timeline.Event{Kind: "entry.started", Detail: s.CallerAddress()})
	s.deps.Log.Info().Str("event", "entry.started").Str("callers", s.CallerAddress()).
		Str("operators", s.OperatorAddress()).Str("peers", s.PeerAddress()).Msg("entry started")
	return nil
}

// CallerAddress returns the TCP address for callers.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// OperatorAddress returns the TCP address for operators.
func (s *Server) OperatorAddress() string { return s.operatorListener.Addr().String() }

// Reload reads the key material again.
func (s *Server) Reload() error { return s.deps.Keys.Reload() }

// Shutdown stops accepting requests and waits for those in flight. If ctx ends first,
// they are cancelled, and each response states its outcome as far as it is known.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.events.Record(timeline.Event{Kind: "entry.stopping"})
	s.node.members.Leave()
	s.groups.Close()
	sleep(ctx, s.config.ReadyDelay)
	err := s.callers.Shutdown(ctx)
	if err != nil {
		err = errors.Newf("%d requests were cut off", s.inFlight.Load())
		s.cancel()
		s.awaitCutOffRequests()
	}
	s.cancel()
	_ = s.operators.Close()
	_ = s.callers.Close()
	s.claims.Close()
	s.endpoints.Close()
	s.pool.Close()
	s.wg.Wait()
	s.node.pool.Close()
	s.node.server.Close()
	return err
}

// cutOffTimeout bounds the time for answering cancelled requests.
const cutOffTimeout = 2 * time.Second

func (s *Server) awaitCutOffRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
