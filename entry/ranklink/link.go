// Package ranklink connects an entry to the ranks of a group: through the relay process
// beside each rank, or by direct polling while the relay is unreachable.
package ranklink

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/dial"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/relay"
)

// Endpoint is the endpoint of one rank.
type Endpoint struct {
	Name id.Endpoint
	// Address is the rank's "ip:port".
	Address string
	// Relay is the "ip:port" of the relay on the same host.
	Relay string
}

// Event is a message from a rank: any of State, Layout and Sample, or a Result.
type Event struct {
	Link   *Link
	State  *relay.State
	Layout *relay.Layout
	Sample *relay.Sample
	Result *relay.Result
}

const (
	// dialTimeout bounds connecting to a relay, several round trips.
	dialTimeout = 250 * time.Millisecond
	// relayRetryInterval is the time between attempts to connect to an unreachable relay.
	relayRetryInterval = time.Second
	// directPollInterval is the poll interval of a rank without a relay, about the age of the
	// answers.
	directPollInterval = 200 * time.Millisecond
	// directCallTimeout bounds a call to a rank without a relay.
	directCallTimeout = 500 * time.Millisecond
	// orderQueue is the capacity of a link's queue of orders.
	orderQueue = 64
	// orderReplyTimeout is the time without any message after an order before reconnecting.
	// Relays repeat the state of a stalled group every 200 ms.
	orderReplyTimeout = 250 * time.Millisecond
	// mapReplyTimeout replaces orderReplyTimeout after an order with a map: those to many ranks
	// fill the entry's link for some hundred milliseconds, and no step is held meanwhile.
	mapReplyTimeout = time.Second
	// relaySilenceTimeout closes a silent connection; relays repeat their state every second.
	relaySilenceTimeout = 2500 * time.Millisecond
	maxLineBytes        = 1 << 20
)

// Options configures a Link.
type Options struct {
	Endpoint Endpoint
	Watch    relay.Watch
	// Source is the local address for connections to relays. Default: chosen by the operating
	// system.
	Source netip.Addr
	// EngineClient returns a client for a rank without a relay. Nil disables direct access.
	EngineClient func(address string) relay.Engine
	// StateOnly skips the layout when polling a rank directly.
	StateOnly bool
	// Shape is what layouts and samples must fit. Zero drops all layouts and samples.
	Shape  relay.Shape
	Events chan<- Event
	// Report is called with an event name when the relay is connected, lost or unreachable,
	// or the relay cannot reach its rank. It must not block.
	Report func(l *Link, event string, err error)
	// Invalid is called with an answer of the rank that is not used. It must not block. Nil
	// ignores them.
	Invalid func(l *Link, kind AnswerKind, err error)
}

// Link exchanges messages with one rank.
type Link struct {
	opt     Options
	orders  chan relay.Order
	watches chan relay.Watch
	cancel  context.CancelFunc
	closed  atomic.Bool

	mu sync.Mutex // leaf lock
	// unansweredSince is when the first order was sent after the relay's last message, zero
	// if there was none.
	unansweredSince time.Time
	// replyTimeout is the time since then after which the relay counts as silent.
	replyTimeout time.Duration
	// reconnected is true from reconnecting because of silence until the next message.
	reconnected bool
}

// Open starts a link that runs until ctx ends or Close is called.
func Open(ctx context.Context, o Options) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{opt: o, orders: make(chan relay.Order, orderQueue), watches: make(chan relay.Watch, 1), cancel: cancel}
	go l.maintain(ctx)
	return l
}

// Endpoint returns the endpoint that the link reaches.
func (l *Link) Endpoint() Endpoint { return l.opt.Endpoint }

// SetWatch replaces the subscription sent to the relay. It must not be called
// concurrently.
func (l *Link) SetWatch(w relay.Watch) {
	select {
	case <-l.watches: // Replaces a subscription that was not sent yet.
	default:
	}
	l.watches <- w
}

// Close stops the link without waiting for it. Events from before may still arrive.
func (l *Link) Close() {
	l.closed.Store(true)
	l.cancel()
}

// Closed reports whether Close was called.
func (l *Link) Closed() bool { return l.closed.Load() }

// Send queues an order for the rank. If the queue is full the order is dropped; the caller
// resends it.
func (l *Link) Send(o relay.Order) {
	o.Endpoint = l.opt.Endpoint.Name
	l.queue(o)
}

// SendTo queues an order for another rank, forwarded by this rank's relay.
func (l *Link) SendTo(rank Endpoint, o relay.Order) {
	o.Endpoint, o.Address = rank.Name, rank.Address
	l.queue(o)
}

func (l *Link) queue(o relay.Order) {
	select {
	case l.orders <- o:
	default:
	}
}

// receive emits the valid parts of an event.
func (l *Link) receive(ctx context.Context, e Event) {
	if e = e.Valid(l.opt.Shape, l.reportInvalid); e != (Event{}) {
		l.emit(ctx, e)
	}
}

func (l *Link) reportInvalid(kind AnswerKind, err error) {
	if l.opt.Invalid != nil {
		l.opt.Invalid(l, kind, err)
	}
}

func (l *Link) emit(ctx context.Context, e Event) {
	e.Link = l
	select {
	case l.opt.Events <- e:
	case <-ctx.Done():
	}
}

// maintain connects and reconnects until ctx ends.
func (l *Link) maintain(ctx context.Context) {
	d := dial.Config{Source: l.opt.Source, Timeout: dialTimeout}.Dialer()
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", l.opt.Endpoint.Relay)
		if err != nil {
			l.opt.Report(l, "relay.unreachable", err)
			l.runDirect(ctx)
			continue
		}
		l.opt.Report(l, "relay.connected", nil)
		err = l.runRelay(ctx, c)
		if ctx.Err() == nil {
			l.opt.Report(l, "relay.lost", err)
		}
	}
}

// runRelay exchanges messages over the connection until it fails.
func (l *Link) runRelay(ctx context.Context, c net.Conn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	written := make(chan struct{})
	go func() {
		defer close(written)
		if err := l.write(ctx, c); err != nil {
			cancel(err)
		}
	}()
	defer func() { cancel(nil); <-written }()
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for {
		if err := c.SetReadDeadline(time.Now().Add(relaySilenceTimeout)); err != nil {
			return err
		}
		if !lines.Scan() {
			return errors.CombineErrors(context.Cause(ctx), lines.Err())
		}
		var m relay.FromRelay
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return err
		}
		l.recordMessage()
		switch {
		case m.Unreachable != "":
			l.opt.Report(l, "rank.unreachable", errors.New(m.Unreachable))
		case m.Invalid != "":
			l.reportInvalid(UnreadAnswer, errors.New(m.Invalid))
		default:
			l.receive(ctx, Event{State: m.State, Layout: m.Layout, Sample: m.Sample, Result: m.Result})
		}
	}
}

func (l *Link) write(ctx context.Context, c net.Conn) error {
	enc := json.NewEncoder(c)
	if err := enc.Encode(relay.ToRelay{Watch: &l.opt.Watch}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l.opt.Watch = <-l.watches:
			if err := enc.Encode(relay.ToRelay{Watch: &l.opt.Watch}); err != nil {
				return err
			}
		case o := <-l.orders:
			if l.shouldReconnect(time.Now(), o.Experts != nil) {
				return errRelaySilent
			}
			if err := enc.Encode(relay.ToRelay{Order: &o}); err != nil {
				return err
			}
		}
	}
}

var errRelaySilent = errors.New("no message from the relay since the last order")

// recordMessage marks the orders as answered when the relay sends a message.
func (l *Link) recordMessage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince, l.reconnected = time.Time{}, false
}

// shouldReconnect reports whether to replace the connection because nothing arrived for
// too long after an order: established connections can go silent for good while new ones
// work. withMap is true if the next order has a map. It does so once; if the next one is silent too, the relay's host is frozen, and
// the rank with it.
func (l *Link) shouldReconnect(now time.Time, withMap bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unansweredSince.IsZero() {
		l.unansweredSince, l.replyTimeout = now, orderReplyTimeout
	}
	silent := now.Sub(l.unansweredSince) >= l.replyTimeout
	if withMap {
		l.replyTimeout = mapReplyTimeout
	}
	if l.reconnected || !silent {
		return false
	}
	l.reconnected = true
	return true
}

// runDirect polls the rank until it is time to try the relay again.
func (l *Link) runDirect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relayRetryInterval)
	defer cancel()
	if l.opt.EngineClient == nil {
		<-ctx.Done()
		return
	}
	engine := l.opt.EngineClient(l.opt.Endpoint.Address)
	interval := directPollInterval
	if watched := time.Duration(l.opt.Watch.StateMillis) * time.Millisecond; l.opt.StateOnly {
		interval = min(max(watched, directPollInterval), relayRetryInterval/2)
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var layout relay.Layout
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-l.orders:
			go l.sendDirect(ctx, engine, o)
		case <-tick.C:
			l.pollDirect(ctx, engine, &layout)
		}
	}
}

func (l *Link) sendDirect(ctx context.Context, engine relay.Engine, o relay.Order) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directCallTimeout)
	defer cancel()
	var r relay.Result
	switch {
	case o.Op == relay.Ping:
		r = pingEngine(ctx, engine)
	case o.Address != "":
		r = l.opt.EngineClient(o.Address).Order(ctx, o)
	default:
		r = engine.Order(ctx, o)
	}
	r.ID = o.ID
	l.emit(ctx, Event{Result: &r})
}

// pingEngine answers a ping in place of the relay; the rank itself has to respond.
func pingEngine(ctx context.Context, engine relay.Engine) relay.Result {
	if _, err := engine.State(ctx); err != nil {
		return relay.Result{Outcome: relay.Unknown, Detail: err.Error()}
	}
	return relay.Result{Outcome: relay.Done}
}

func (l *Link) pollDirect(ctx context.Context, engine relay.Engine, layout *relay.Layout) {
	ctx, cancel := context.WithTimeout(ctx, directCallTimeout)
	defer cancel()
	state, err := engine.State(ctx)
	if err != nil {
		l.reportUnread(err)
		return
	}
	if l.opt.StateOnly {
		l.receive(ctx, Event{State: &state})
		return
	}
	if layout.Experts == nil || layout.Epoch != state.Epoch || layout.Version != state.MapVersion {
		got, err := engine.Layout(ctx)
		if err != nil {
			l.reportUnread(err)
			return
		}
		*layout = got
		l.receive(ctx, Event{Layout: &got})
	}
	l.receive(ctx, Event{State: &state})
}

// reportUnread reports the error of a direct poll if the rank answered.
func (l *Link) reportUnread(err error) {
	if errors.Is(err, relay.ErrInvalid) {
		l.reportInvalid(UnreadAnswer, err)
	}
}
