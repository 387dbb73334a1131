package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/agent/ledger"
	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/agent/queue"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
	"github.com/siskinford/siskinford/wire/ticket"
)

// housekeepingInterval bounds the delay with which queue deadlines take effect.
const housekeepingInterval = 20 * time.Millisecond

// PlainBackend runs HTTP requests at a plain service.
type PlainBackend interface {
	// Do forwards p without retries and blocks until the response has ended. The
	// error is a *plain.NotStartedError only if no byte of the request can have
	// reached the service.
	Do(ctx context.Context, p *msg.HTTPRequest, w plain.Writer) error
}

// Deps are the dependencies of an agent. Exactly one of Engine and Plain is set.
type Deps struct {
	Engine engine.Engine
	Plain  PlainBackend
	Keys   *keys.Credentials
	Ring   *timeline.Ring
	Log    zerolog.Logger
	// Incarnation identifies this run of the process. Default: a new one.
	Incarnation id.Incarnation
	// Ranks controls the ranks on the host. It is nil if there are none.
	Ranks Ranks
}

// Ranks controls the ranks on the host. It is implemented by *ranklink.Runner.
type Ranks interface {
	// Order handles an order with Group set. It must not block.
	Order(s *link.Session, o *msg.Order)
	// Closed is called when a session has ended. It must not block.
	Closed(s *link.Session)
	// Run controls the ranks until ctx ends.
	Run(ctx context.Context)
}

// Agent is the agent of one endpoint. It is safe for concurrent use.
type Agent struct {
	config      Config
	deps        Deps
	incarnation id.Incarnation
	ledger      *ledger.Ledger
	tickets     *ticket.Issuer
	server      *link.Server
	operator    operatorServer
	now         func() time.Time
	ledgerClock *pauseClock

	ctx     context.Context // cancelled when shutdown cuts off running attempts
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	reports reporter

	// mu is taken before the ledger's lock.
	mu           sync.Mutex
	queue        queue.Queue
	waiting      map[id.Attempt]*msg.Dispatch
	running      map[id.Attempt]*run
	draining     bool
	drainVersion uint64 // version of the last applied DrainOrder
	shuttingDown bool   // never cleared
}

// Reload reloads the TLS keys and certificates.
func (a *Agent) Reload() error { return a.deps.Keys.Reload() }

// run is one attempt that was handed to the back end.
type run struct {
	dispatch *msg.Dispatch
	cancel   context.CancelFunc
	produced atomic.Uint32 // tokens
	paused   bool          // guarded by Agent.mu
	// lastPauseDone is closed when the engine has completed the last pause or resume.
	lastPauseDone chan struct{}
}

// remaining returns the predicted number of tokens left.
func (r *run) remaining() uint32 {
	produced := r.produced.Load()
	if produced >= r.dispatch.Work {
		return 1
	}
	return r.dispatch.Work - produced
}

// New returns an agent. Start must be called to serve.
func New(c Config, d Deps) (*Agent, error) {
	if err := c.Validate().Err(); err != nil {
		return nil, err
	}
	if (d.Engine == nil) == (d.Plain == nil) {
		return nil, errors.Newf("endpoint %q needs either an engine or a plain service", c.Endpoint)
	}
	c.Link.Clock = d.Ring.Clock()
	now := monotonicClock()
	ledgerClock := newPauseClock(now)
	inc := d.Incarnation
	if inc == "" {
		inc = id.NewIncarnation()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config:      c,
		deps:        d,
		incarnation: inc,
		ledger:      ledger.New(c.Ledger, ledgerClock.read),
		tickets:     ticket.NewIssuer(c.Endpoint, inc, c.TicketLifetime, now),
		now:         now,
		ledgerClock: ledgerClock,
		ctx:         ctx,
		cancel:      cancel,
		queue:       newQueue(c),
		waiting:     make(map[id.Attempt]*msg.Dispatch),
		running:     make(map[id.Attempt]*run),
	}
	a.reports.init(a)
	return a, nil
}

// monotonicClock returns a clock that starts at the wall time and is not affected by
// later changes of the wall clock.
func monotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

// Start starts listening and serving.
func (a *Agent) Start() error {
	server, err := link.Listen(a.config.Listen, a.deps.Keys.ServerConfig(keys.RoleEntry), a.config.Link, (*handler)(a))
	if err != nil {
		return err
	}
	a.server = server
	if err := a.startOperator(); err != nil {
		server.Close()
		return err
	}
	a.wg.Go(a.housekeeping)
	a.wg.Go(func() { a.reports.run(a.ctx) })
	if a.deps.Ranks != nil {
		a.wg.Go(func() { a.deps.Ranks.Run(a.ctx) })
	}
	a.record(timeline.Event{Kind: "agent.started", Detail: server.Address()})
	a.deps.Log.Info().Str("event", "agent.operators").Msg(a.OperatorAddress())
	return nil
}

// Address returns the UDP address on which the agent listens.
func (a *Agent) Address() string { return a.server.Address() }

// Incarnation returns the agent's incarnation.
func (a *Agent) Incarnation() id.Incarnation { return a.incarnation }

// Unsettled returns the number of waiting and running attempts.
func (a *Agent) Unsettled() int { return a.ledger.Unsettled() }

// Shutdown refuses new work, waits for all attempts in flight and closes the listener.
// If ctx ends first, it cancels running attempts and returns an error.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.shuttingDown = true
	a.mu.Unlock()
	a.record(timeline.Event{Kind: "agent.draining", Detail: "shutdown"})
	a.reports.reportNow()
	err := a.awaitIdle(ctx)
	a.cancel()
	_ = a.awaitCancelled()
	a.record(timeline.Event{Kind: "agent.stopped"})
	a.server.Close()
	_ = a.operator.server.Close()
	a.wg.Wait()
	return err
}

// cancelTimeout bounds the time for cancelled attempts to record their end.
const cancelTimeout = time.Second

func (a *Agent) awaitCancelled() error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return a.awaitIdle(ctx)
}

func (a *Agent) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for a.ledger.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("%d attempts were cut off", a.ledger.Unsettled())
		case <-ticker.C:
		}
	}
	return nil
}

// setDrain applies an operator's drain state if its version is newer than the last one.
func (a *Agent) setDrain(drain bool, version uint64) {
	a.mu.Lock()
	if version <= a.drainVersion {
		a.mu.Unlock()
		return
	}
	a.drainVersion = version
	changed := a.draining != drain
	a.draining = drain
	a.mu.Unlock()
	if !changed {
		return
	}
	kind := timeline.Kind("agent.undrained")
	if drain {
		kind = "agent.draining"
	}
	a.record(timeline.Event{Kind: kind, Detail: "configuration"})
	a.reports.reportNow()
}

// rejectsNewWork reports whether new work is refused. The caller holds a.mu.
func (a *Agent) rejectsNewWork() bool { return a.draining || a.shuttingDown }

// housekeeping schedules attempts and expires ledger records until the agent stops.
func (a *Agent) housekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	lastExpire := a.now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		a.ledgerClock.tick()
		a.reschedule()
		if a.now().Sub(lastExpire) > time.Second {
			lastExpire = a.now()
			for _, attempt := range a.ledger.Expire() {
				a.cancelRunning(attempt)
			}
		}
	}
}

func (a *Agent) record(e timeline.Event) {
	e.Endpoint = a.config.Endpoint
	e.Incarnation = a.incarnation
	timeline.LoggingRecorder{Ring: a.deps.Ring, Log: a.deps.Log}.Record(e)
}
