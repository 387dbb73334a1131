package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// epoch is the virtual time at which every bench starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// host is one table of a bench.
type host struct {
	peer   Peer
	zone   id.Zone
	table  *Table
	killed bool
	paused bool
	waits  []func() // deliveries that wait for the end of a pause
	bytes  int      // encoded bytes sent
}

// bench runs tables in virtual time.
type bench struct {
	t       *testing.T
	now     time.Time
	queue   events
	seq     int
	rng     *rand.Rand
	loss    float64
	cut     func(from, to *host) bool
	silent  map[[2]string]bool
	hosts   map[string]*host // by address
	order   []*host
	changes map[id.Host]map[State]time.Time // first belief of any host about a host
	deaths  int
	suspect int
}

func newBench(t *testing.T, seed uint64) *bench {
	return &bench{
		t: t, now: epoch, rng: rand.New(rand.NewPCG(seed, 1)),
		silent: map[[2]string]bool{}, hosts: map[string]*host{},
		changes: map[id.Host]map[State]time.Time{},
	}
}

func (b *bench) at(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.queue, event{at: b.now.Add(d), seq: b.seq, run: run})
}

func (b *bench) run(d time.Duration) {
	end := b.now.Add(d)
	for len(b.queue) > 0 && !b.queue[0].at.After(end) {
		e := heap.Pop(&b.queue).(event)
		b.now = e.at
		e.run()
	}
	b.now = end
}

// start adds a host and starts its ticks at a random phase.
func (b *bench) start(name id.Host, zone id.Zone, hints []objectapi.Host) *host {
	h := &host{zone: zone, peer: Peer{Host: name, Address: "addr-" + string(name)}}
	h.table = New(Options{
		Config: Default(), Zone: zone, Host: name, Address: h.peer.Address, Seed: b.rng.Uint64(),
		OnChange: func(c Change) { b.changed(c) },
	}, b.now)
	h.table.SetHostList(hints, b.now)
	b.hosts[h.peer.Address] = h
	b.order = append(b.order, h)
	b.at(time.Duration(b.rng.Int64N(int64(TickInterval))), func() { b.tick(h) })
	return h
}

func (b *bench) changed(c Change) {
	byState := b.changes[c.Peer.Host]
	if byState == nil {
		byState = map[State]time.Time{}
		b.changes[c.Peer.Host] = byState
	}
	if _, ok := byState[c.Peer.State]; !ok {
		byState[c.Peer.State] = b.now
	}
	switch c.Peer.State {
	case Dead:
		b.deaths++
	case Suspect:
		b.suspect++
	}
}

func (b *bench) tick(h *host) {
	if h.killed || b.hosts[h.peer.Address] != h {
		return
	}
	if !h.paused {
		b.send(h, h.table.Tick(b.now))
	}
	b.at(TickInterval, func() { b.tick(h) })
}

func (b *bench) send(from *host, out []Outgoing) {
	for _, o := range out {
		to := b.hosts[o.Address]
		payload, err := Encode([]Message{o.Message})
		assert.NilError(b.t, err)
		from.bytes += len(payload)
		if o.Reconnect {
			b.silent[[2]string{from.peer.Address, o.Address}] = false
		}
		b.carry(from, to, [2]string{from.peer.Address, o.Address}, payload)
	}
}

// carry takes a payload over the connection conn, named by its caller and callee.
func (b *bench) carry(from, to *host, conn [2]string, payload []byte) {
	lost := b.rng.Float64() < b.loss
	if to == nil || lost || b.silent[conn] || (b.cut != nil && b.cut(from, to)) {
		return
	}
	b.at(time.Millisecond, func() { b.deliver(from, to, conn, payload) })
}

// deliver hands a payload to a host. Its answer returns over the same connection.
func (b *bench) deliver(from, to *host, conn [2]string, payload []byte) {
	if to.killed {
		return
	}
	if to.paused {
		to.waits = append(to.waits, func() { b.deliver(from, to, conn, payload) })
		return
	}
	messages, err := Decode(payload)
	assert.NilError(b.t, err)
	isCall := conn[0] == from.peer.Address
	for _, m := range messages {
		for _, o := range to.table.Handle(m, b.now) {
			if !isCall || o.Address != from.peer.Address {
				b.send(to, []Outgoing{o})
				continue
			}
			answer, err := Encode([]Message{o.Message})
			assert.NilError(b.t, err)
			to.bytes += len(answer)
			b.carry(to, from, conn, answer)
		}
	}
}

func (b *bench) resume(h *host) {
	h.paused = false
	for _, w := range h.waits {
		w()
	}
	h.waits = nil
}

// fleet starts zones of n hosts and runs until they know each other.
func (b *bench) fleet(zones, n int) []*host {
	var list []objectapi.Host
	for z := range zones {
		for i := range n {
			name := id.Host(fmt.Sprintf("host-%d-%02d", z, i))
			list = append(list, objectapi.Host{
				Name: name, Zone: id.Zone(fmt.Sprintf("zone-%d", z)),
				Address: "addr-" + string(name), State: objectapi.HostLive,
			})
		}
	}
	for _, l := range list {
		b.start(l.Name, l.Zone, list)
	}
	b.run(20 * time.Second)
	for _, h := range b.order {
		assert.Equal(b.t, len(h.table.Live()), n, "live hosts seen by %s", h.peer.Host)
	}
	b.changes = map[id.Host]map[State]time.Time{}
	b.deaths, b.suspect = 0, 0
	return b.order
}

// seen returns how many hosts other than h believe that h is in state s.
func (b *bench) seen(h *host, s State) int {
	n := 0
	for _, o := range b.order {
		if o == h || o.killed || o.zone != h.zone {
			continue
		}
		if p, ok := o.table.Lookup(h.peer.Host); ok && p.State == s {
			n++
		}
	}
	return n
}
