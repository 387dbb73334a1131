// Package ranklink reaches the ranks of groups: through the relay beside each,
// or directly while that does not answer.
package ranklink

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/dial"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/relay"
)

// Endpoint is a rank's endpoint as the entry knows it.
type Endpoint struct {
	Name id.Endpoint
	// Address is the "ip:port" of the endpoint.
	Address string
	// Relay is the "ip:port" of the relay beside it.
	Relay string
}

// Event is what a link tells its owner. One of the pointers is set.
type Event struct {
	Link   *Link
	State  *relay.State
	Layout *relay.Layout
	Sample *relay.Sample
	Result *relay.Result
}

const (
	// dialTimeout bounds the time to connect to a relay, several ways there and back.
	dialTimeout = 250 * time.Millisecond
	// directFor is the time for which a rank is asked directly before its relay is tried again.
	directFor = time.Second
	// directInterval is the time between questions to a rank without a relay,
	// about as old as its answers are.
	directInterval = 200 * time.Millisecond
	// directTimeout bounds a call to a rank without a relay.
	directTimeout = 500 * time.Millisecond
	// orderQueue bounds the orders that wait for a link.
	orderQueue = 64
	// orderPatience is the time without any word of the relay after an order from
	// which on another connection is tried. Relays repeat the state of a standing
	// group each 200 ms.
	orderPatience = 250 * time.Millisecond
	// linkSilence ends a connection whose relay sent nothing; it repeats its state each second.
	linkSilence = 2500 * time.Millisecond
	maxLine     = 1 << 20
)

// Options are what a link is made of.
type Options struct {
	Endpoint Endpoint
	Watch    relay.Watch
	// Source is the address of this host from which relays are reached. Default:
	// the operating system's choice.
	Source netip.Addr
	// EngineClient returns a client for a rank that has no relay. Nil keeps the link
	// from asking the rank itself.
	EngineClient func(address string) relay.Engine
	// StateOnly keeps the link from asking a rank without a relay for its experts.
	StateOnly bool
	Events    chan<- Event
	// Report is told when the relay is reached or lost. It must not block.
	Report func(l *Link, what string, err error)
}

// Link reaches one rank.
type Link struct {
	opt     Options
	orders  chan relay.Order
	watches chan relay.Watch
	cancel  context.CancelFunc

	mu sync.Mutex // leaf lock
	// waiting is when the first order was sent since the relay was last heard,
	// zero if there was none.
	waiting time.Time
	// replaced is true if the connection took the place of a silent one and the
	// relay was not heard since.
	replaced bool
}

// Open starts a link that lasts until ctx ends or Close.
func Open(ctx context.Context, o Options) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{opt: o, orders: make(chan relay.Order, orderQueue), watches: make(chan relay.Watch, 1), cancel: cancel}
	go l.run(ctx)
	return l
}

// Endpoint returns the endpoint that the link reaches.
func (l *Link) Endpoint() Endpoint { return l.opt.Endpoint }

// SetWatch replaces what the link asks to be told. It must not be called by two
// goroutines at once.
func (l *Link) SetWatch(w relay.Watch) {
	select {
	case <-l.watches: // An earlier one that was not sent yet is replaced.
	default:
	}
	l.watches <- w
}

// Close ends the link. It does not wait.
func (l *Link) Close() { l.cancel() }

// Send queues an order for the rank. An order that finds no place is dropped and
// sent again by its owner.
func (l *Link) Send(o relay.Order) {
	o.Endpoint = l.opt.Endpoint.Name
	l.queue(o)
}

// SendTo queues an order for another rank, which the relay of this one passes on.
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

func (l *Link) emit(ctx context.Context, e Event) {
	e.Link = l
	select {
	case l.opt.Events <- e:
	case <-ctx.Done():
	}
}

// run keeps the link until ctx ends.
func (l *Link) run(ctx context.Context) {
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

// runRelay exchanges messages with the relay until the connection ends.
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
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for {
		if err := c.SetReadDeadline(time.Now().Add(linkSilence)); err != nil {
			return err
		}
		if !lines.Scan() {
			return errors.CombineErrors(context.Cause(ctx), lines.Err())
		}
		var m relay.FromRelay
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return err
		}
		l.hear()
		if m.Unreachable != "" {
			l.opt.Report(l, "rank.unreachable", nil)
			continue
		}
		l.emit(ctx, Event{State: m.State, Layout: m.Layout, Sample: m.Sample, Result: m.Result})
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
			if l.silent(time.Now()) {
				return errSilent
			}
			if err := enc.Encode(relay.ToRelay{Order: &o}); err != nil {
				return err
			}
		}
	}
}

var errSilent = errors.New("the relay is silent since it got an order")

// hear notes that the relay sent something.
func (l *Link) hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.replaced = time.Time{}, false
}

// silent reports whether the connection is to be replaced, since nothing was
// heard for too long after an order. A connection may go silent for good while
// new ones work. It is replaced once; if the relay is silent on the next one too,
// its host is frozen, and the rank with it.
func (l *Link) silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting.IsZero() {
		l.waiting = now
	}
	if l.replaced || now.Sub(l.waiting) < orderPatience {
		return false
	}
	l.replaced = true
	return true
}

// runDirect asks the rank itself for some time.
func (l *Link) runDirect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directFor)
	defer cancel()
	if l.opt.EngineClient == nil {
		<-ctx.Done()
		return
	}
	engine := l.opt.EngineClient(l.opt.Endpoint.Address)
	interval := directInterval
	if watched := time.Duration(l.opt.Watch.StateMillis) * time.Millisecond; l.opt.StateOnly {
		interval = min(max(watched, directInterval), directFor/2)
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var layout relay.Layout
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-l.orders:
			go l.orderDirect(ctx, engine, o)
		case <-tick.C:
			l.lookDirect(ctx, engine, &layout)
		}
	}
}

func (l *Link) orderDirect(ctx context.Context, engine relay.Engine, o relay.Order) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	var r relay.Result
	switch {
	case o.Op == relay.Ping:
		r = reach(ctx, engine)
	case o.Address != "":
		r = l.opt.EngineClient(o.Address).Order(ctx, o)
	default:
		r = engine.Order(ctx, o)
	}
	r.ID = o.ID
	l.emit(ctx, Event{Result: &r})
}

// reach answers a ping in the place of a relay: the rank itself has to answer.
func reach(ctx context.Context, engine relay.Engine) relay.Result {
	if _, err := engine.State(ctx); err != nil {
		return relay.Result{Outcome: relay.Unknown, Detail: err.Error()}
	}
	return relay.Result{Outcome: relay.Done}
}

func (l *Link) lookDirect(ctx context.Context, engine relay.Engine, layout *relay.Layout) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	state, err := engine.State(ctx)
	if err != nil {
		return
	}
	if l.opt.StateOnly {
		l.emit(ctx, Event{State: &state})
		return
	}
	if layout.Experts == nil || layout.Epoch != state.Epoch || layout.Version != state.Map {
		got, err := engine.Layout(ctx)
		if err != nil {
			return
		}
		*layout = got
		l.emit(ctx, Event{Layout: &got})
	}
	l.emit(ctx, Event{State: &state})
}
