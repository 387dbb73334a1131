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
	callTimeout = time.Second
	// maxCalls is the maximum number of concurrent calls.
	maxCalls = 64
	// maxPendingMessages is the maximum number of queued messages.
	maxPendingMessages = 256
)

// Runner drives a Table with a clock and a transport. It is safe for concurrent
// use. The callbacks in Options run while the table is locked and must not call
// the Runner.
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
		pending: make(chan Outgoing, maxPendingMessages),
		slots:   make(chan struct{}, maxCalls),
	}, nil
}

// Run runs the protocol until ctx ends, then waits for pending calls.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	r.RunTicks(ctx, ticker.C)
}

// RunTicks is Run with ticks from the caller, which tests hold back to simulate a
// paused process.
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

// send starts a call, or drops the message if maxCalls are pending.
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
		r.caller.Abandon(o.Address) // The table detects the missing answer.
		return
	}
	messages, err := Decode(answer)
	if err != nil {
		return
	}
	r.enqueue(r.handle(messages))
}

// Handle processes a call of another host. It is a transport.Handler.
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
		default: // A lost message is retried by a later probe or sync.
		}
	}
}

// Self returns the record of the own host.
func (r *Runner) Self() Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Self()
}

// Leave sets the own host to Leaving and notifies all members.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Leave()
}

// SetHostList applies the platform's host list, as Table.SetHostList does.
func (r *Runner) SetHostList(list []objectapi.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetHostList(list, r.clock())
}

// Live returns the hosts of the zone in state Alive, possibly with the own one.
func (r *Runner) Live() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Live()
}

// Members returns all hosts of the zone in the table and the own one.
func (r *Runner) Members() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Members()
}

// Lookup returns the record of a host of the zone.
func (r *Runner) Lookup(h id.Host) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Lookup(h)
}

// Zones returns the states of the other zones, sorted by name.
func (r *Runner) Zones() []ZoneStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Zones(r.clock())
}

// RemotePeers returns hosts of other zones to call: contacts of reachable zones
// first, then of other zones, then seeds of zones without a summary.
func (r *Runner) RemotePeers() []Peer {
	var reachable, rest []Peer
	for _, z := range r.Zones() {
		if z.Reachable {
			reachable = append(reachable, z.Contacts...)
		} else {
			rest = append(rest, z.Contacts...)
		}
	}
	return append(append(reachable, rest...), r.remoteSeeds()...)
}

func (r *Runner) remoteSeeds() []Peer {
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

// Owns reports whether the own host ranks first of the live hosts for key.
func (r *Runner) Owns(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Owns(key)
}
