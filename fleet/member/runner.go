package member

import (
	"context"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
)

const (
	// callTimeout bounds a call of the protocol.
	callTimeout = time.Second
	// maxCalls bounds the calls that wait for an answer at the same time.
	maxCalls = 64
	// maxPending bounds the messages that wait for a call.
	maxPending = 256
)

// Runner drives a Table: it ticks, sends, and takes in calls. It is safe for
// concurrent use. The callbacks in Options run while the table is locked and
// must not call the Runner.
type Runner struct {
	caller transport.Caller
	clock  func() time.Time

	mu    sync.Mutex // guards table; no other lock is taken while it is held
	table *Table

	pending chan Outgoing
	slots   chan struct{}
	calls   sync.WaitGroup
}

// NewRunner returns a runner that sends through caller.
func NewRunner(o Options, caller transport.Caller, clock func() time.Time) (*Runner, error) {
	if err := o.Config.Validate(); err != nil {
		return nil, err
	}
	return &Runner{
		caller:  caller,
		clock:   clock,
		table:   New(o, clock()),
		pending: make(chan Outgoing, maxPending),
		slots:   make(chan struct{}, maxCalls),
	}, nil
}

// Run ticks and sends until ctx ends, then waits for open calls.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	r.RunTicks(ctx, ticker.C)
}

// RunTicks is Run with ticks of the caller, which a test bench holds back while
// the process is paused.
func (r *Runner) RunTicks(ctx context.Context, ticks <-chan time.Time) {
	defer r.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			r.tick(ctx)
		case o := <-r.pending:
			r.send(ctx, o)
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	r.mu.Lock()
	out := r.table.Tick(r.clock())
	r.mu.Unlock()
	for _, o := range out {
		r.send(ctx, o)
	}
}

// send starts a call, or drops the message if too many calls are open.
func (r *Runner) send(ctx context.Context, o Outgoing) {
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.slots }()
		r.call(ctx, o)
	})
}

func (r *Runner) call(ctx context.Context, o Outgoing) {
	if o.Reconnect {
		r.caller.Abandon(o.Address)
	}
	payload, err := Encode([]Message{o.Message})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := r.caller.Call(ctx, o.Address, payload)
	if err != nil {
		r.caller.Abandon(o.Address) // The table notices the silence.
		return
	}
	messages, err := Decode(answer)
	if err != nil {
		return
	}
	r.enqueue(r.handle(messages))
}

// Handle answers a call of another host. It is a transport.Handler.
func (r *Runner) Handle(_ context.Context, payload []byte) ([]byte, error) {
	messages, err := Decode(payload)
	if err != nil {
		return nil, err
	}
	var answer []Message
	var rest []Outgoing
	for _, o := range r.handle(messages) {
		if len(messages) > 0 && o.Address == messages[0].From.Address {
			answer = append(answer, o.Message)
		} else {
			rest = append(rest, o)
		}
	}
	r.enqueue(rest)
	return Encode(answer)
}

func (r *Runner) handle(messages []Message) []Outgoing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var out []Outgoing
	for _, m := range messages {
		out = append(out, r.table.Handle(m, now)...)
	}
	return out
}

func (r *Runner) enqueue(out []Outgoing) {
	for _, o := range out {
		select {
		case r.pending <- o:
		default: // The protocol repeats what matters.
		}
	}
}

// Self returns the own host as others see it.
func (r *Runner) Self() Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Self()
}

// Leave marks the own host as leaving for all members.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Leave()
}

// SetHostList takes in the platform's lagging host list.
func (r *Runner) SetHostList(list []objectapi.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetHostList(list, r.clock())
}

// Live returns the hosts of the zone that take new work, the own included.
func (r *Runner) Live() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Live()
}

// Members returns all known hosts of the zone.
func (r *Runner) Members() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Members()
}

// Lookup returns the belief about a host of the zone.
func (r *Runner) Lookup(h id.Host) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Lookup(h)
}

// Zones returns what is known of the other zones.
func (r *Runner) Zones() []ZoneStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Zones(r.clock())
}

// RemotePeers returns hosts of other zones that take calls, those of reachable
// zones first.
func (r *Runner) RemotePeers() []Peer {
	var reachable, rest []Peer
	for _, z := range r.Zones() {
		if z.Reachable {
			reachable = append(reachable, z.Contacts...)
		} else {
			rest = append(rest, z.Contacts...)
		}
	}
	return append(append(reachable, rest...), r.seedsElsewhere()...)
}

func (r *Runner) seedsElsewhere() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Peer
	for _, z := range r.table.zoneNames() {
		if _, known := r.table.cross.summaries[z]; !known {
			out = append(out, r.table.cross.seeds[z]...)
		}
	}
	return out
}

// Owns reports whether the own host is first in the ranking of live hosts for key.
func (r *Runner) Owns(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Owns(key)
}
