package gate

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

// housekeepingInterval is the time between passes over queue and ledger.
const housekeepingInterval = 20 * time.Millisecond

// PlainBackend runs HTTP requests at a plain service.
type PlainBackend interface {
	// Do forwards p and blocks until the answer has ended. It never repeats a
	// request. The error is a *plain.NotStartedError only if no byte of the
	// request can have reached the service.
	Do(ctx context.Context, p *msg.HTTPRequest, w plain.Writer) error
}

// Deps are the parts that an agent works with. Exactly one of Engine and Plain is set.
type Deps struct {
	Engine engine.Engine
	Plain  PlainBackend
	Keys   *keys.Credentials
	Ring   *timeline.Ring
	Log    zerolog.Logger
	// Incarnation is that of the process. Default: a new one.
	Incarnation id.Incarnation
	// Ranks runs the ranks on the host, if there are any.
	Ranks Ranks
}

// Ranks is the part of the host's ranks that the agent serves. It is implemented
// by *ranklink.Runner.
type Ranks interface {
	// Order takes an order with Group set. It must not block.
	Order(s *link.Session, o *msg.Order)
	// Closed tells that a session has ended. It must not block.
	Closed(s *link.Session)
	// Run drives the ranks until ctx ends.
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
	awake       *pauseClock

	ctx     context.Context // ends when running attempts are cut off
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	reports reporter

	// mu is taken before the ledger's lock.
	mu       sync.Mutex
	queue    queue.Queue
	waiting  map[id.Attempt]*msg.Dispatch
	running  map[id.Attempt]*run
	draining bool
	drainSet uint64 // version of the last obeyed DrainOrder
	leaving  bool   // set by shutdown, never cleared
}

// Reload reads the key material again.
func (a *Agent) Reload() error { return a.deps.Keys.Reload() }

// run is one attempt that was handed to the back end.
type run struct {
	dispatch *msg.Dispatch
	cancel   context.CancelFunc
	produced atomic.Uint32 // tokens
	paused   bool          // guarded by Agent.mu
	// orders is closed when the last order to pause or resume was carried out.
	orders chan struct{}
}

// remaining returns the predicted number of tokens left.
func (r *run) remaining() uint32 {
	produced := r.produced.Load()
	if produced >= r.dispatch.Work {
		return 1
	}
	return r.dispatch.Work - produced
}

// New returns an agent with a new incarnation. Start must be called to serve.
func New(c Config, d Deps) (*Agent, error) {
	if err := c.Validate().Err(); err != nil {
		return nil, err
	}
	if (d.Engine == nil) == (d.Plain == nil) {
		return nil, errors.Newf("endpoint %q needs either an engine or a plain service", c.Endpoint)
	}
	c.Link.Clock = d.Ring.Clock()
	now := monotonicClock()
	awake := newPauseClock(now)
	inc := d.Incarnation
	if inc == "" {
		inc = id.NewIncarnation()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config:      c,
		deps:        d,
		incarnation: inc,
		ledger:      ledger.New(c.Ledger, awake.read),
		tickets:     ticket.NewIssuer(c.Endpoint, inc, c.TicketLifetime, now),
		now:         now,
		awake:       awake,
		ctx:         ctx,
		cancel:      cancel,
		queue:       newQueue(c),
		waiting:     make(map[id.Attempt]*msg.Dispatch),
		running:     make(map[id.Attempt]*run),
	}
	a.reports.init(a)
	return a, nil
}

// monotonicClock returns a clock that starts at the wall time and then advances
// steadily, also when the wall clock is set back.
func monotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

// Start listens for entries and begins to serve.
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
	a.wg.Go(func() { a.reports.poll(a.ctx) })
	if a.deps.Ranks != nil {
		a.wg.Go(func() { a.deps.Ranks.Run(a.ctx) })
	}
	a.record(timeline.Event{Kind: "agent.started", Detail: server.Address()})
	a.deps.Log.Info().Str("event", "agent.operators").Msg(a.OperatorAddress())
	return nil
}

// Address returns the UDP address on which the agent listens.
func (a *Agent) Address() string { return a.server.Address() }

// Incarnation returns the incarnation of this agent.
func (a *Agent) Incarnation() id.Incarnation { return a.incarnation }

// Unsettled returns the number of attempts that wait or run.
func (a *Agent) Unsettled() int { return a.ledger.Unsettled() }

// Shutdown refuses new work, waits for all attempts in flight and closes the
// listener. When ctx ends first, running attempts are cut off and reported as such.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.record(timeline.Event{Kind: "agent.draining", Detail: "shutdown"})
	a.reports.changed()
	err := a.awaitIdle(ctx)
	a.cancel()
	_ = a.awaitCancelled()
	a.record(timeline.Event{Kind: "agent.stopped"})
	a.server.Close()
	_ = a.operator.server.Close()
	a.wg.Wait()
	return err
}

// cancelWait bounds the time that cancelled attempts have to record their end.
const cancelWait = time.Second

func (a *Agent) awaitCancelled() error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
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

// setDrain obeys an operator's drain state if version is greater than the last one obeyed.
func (a *Agent) setDrain(drain bool, version uint64) {
	a.mu.Lock()
	if version <= a.drainSet {
		a.mu.Unlock()
		return
	}
	a.drainSet = version
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
	a.reports.changed()
}

// refusesNew reports whether new work is refused. The caller holds a.mu.
func (a *Agent) refusesNew() bool { return a.draining || a.leaving }

// housekeeping removes what has expired until the agent stops.
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
		a.awake.tick()
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
