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

// epoch is the virtual time at which every simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a callback scheduled at a virtual time.
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

// host is one simulated host.
type host struct {
	peer     Peer
	zone     id.Zone
	table    *Table
	killed   bool
	paused   bool
	deferred []func() // deliveries deferred until the end of a pause
	bytes    int      // encoded bytes sent
}

// simulation runs tables in virtual time over a faulty network.
type simulation struct {
	t          *testing.T
	now        time.Time
	queue      events
	seq        int
	rng        *rand.Rand
	loss       float64
	partition  func(from, to *host) bool
	blackholed map[[2]string]bool
	hosts      map[string]*host // by address
	order      []*host
	changes    map[id.Host]map[State]time.Time // first time that any host recorded a state of a host
	deaths     int
	suspicions int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	return &simulation{
		t: t, now: epoch, rng: rand.New(rand.NewPCG(seed, 1)),
		blackholed: map[[2]string]bool{}, hosts: map[string]*host{},
		changes: map[id.Host]map[State]time.Time{},
	}
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: run})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// start adds a host and starts its ticks at a random phase.
func (sim *simulation) start(name id.Host, zone id.Zone, hostList []objectapi.Host) *host {
	h := &host{zone: zone, peer: Peer{Host: name, Address: "addr-" + string(name)}}
	h.table = New(Options{
		Config: Default(), Zone: zone, Host: name, Address: h.peer.Address, Seed: sim.rng.Uint64(),
		OnChange: func(c Change) { sim.recordChange(c) },
	}, sim.now)
	h.table.SetHostList(hostList, sim.now)
	sim.hosts[h.peer.Address] = h
	sim.order = append(sim.order, h)
	sim.schedule(time.Duration(sim.rng.Int64N(int64(TickInterval))), func() { sim.tick(h) })
	return h
}

func (sim *simulation) recordChange(c Change) {
	byState := sim.changes[c.Peer.Host]
	if byState == nil {
		byState = map[State]time.Time{}
		sim.changes[c.Peer.Host] = byState
	}
	if _, ok := byState[c.Peer.State]; !ok {
		byState[c.Peer.State] = sim.now
	}
	switch c.Peer.State {
	case Dead:
		sim.deaths++
	case Suspect:
		sim.suspicions++
	}
}

func (sim *simulation) tick(h *host) {
	if h.killed || sim.hosts[h.peer.Address] != h {
		return
	}
	if !h.paused {
		sim.send(h, h.table.Tick(sim.now))
	}
	sim.schedule(TickInterval, func() { sim.tick(h) })
}

func (sim *simulation) send(from *host, out []Outgoing) {
	for _, o := range out {
		to := sim.hosts[o.Address]
		payload, err := Encode([]Message{o.Message})
		assert.NilError(sim.t, err)
		from.bytes += len(payload)
		if o.Reconnect {
			sim.blackholed[[2]string{from.peer.Address, o.Address}] = false
		}
		sim.transmit(from, to, [2]string{from.peer.Address, o.Address}, payload)
	}
}

// transmit sends a payload over the connection conn, identified by caller and callee.
func (sim *simulation) transmit(from, to *host, conn [2]string, payload []byte) {
	lost := sim.rng.Float64() < sim.loss
	if to == nil || lost || sim.blackholed[conn] || (sim.partition != nil && sim.partition(from, to)) {
		return
	}
	sim.schedule(time.Millisecond, func() { sim.deliver(from, to, conn, payload) })
}

// deliver makes a host process a payload. Its answer uses the same connection.
func (sim *simulation) deliver(from, to *host, conn [2]string, payload []byte) {
	if to.killed {
		return
	}
	if to.paused {
		to.deferred = append(to.deferred, func() { sim.deliver(from, to, conn, payload) })
		return
	}
	messages, err := Decode(payload)
	assert.NilError(sim.t, err)
	isCall := conn[0] == from.peer.Address
	for _, m := range messages {
		for _, o := range to.table.Handle(m, sim.now) {
			if !isCall || o.Address != from.peer.Address {
				sim.send(to, []Outgoing{o})
				continue
			}
			answer, err := Encode([]Message{o.Message})
			assert.NilError(sim.t, err)
			to.bytes += len(answer)
			sim.transmit(to, from, conn, answer)
		}
	}
}

func (sim *simulation) resume(h *host) {
	h.paused = false
	for _, w := range h.deferred {
		w()
	}
	h.deferred = nil
}

// startZones starts zones of n hosts and runs until membership has converged.
func (sim *simulation) startZones(zones, n int) []*host {
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
		sim.start(l.Name, l.Zone, list)
	}
	sim.run(20 * time.Second)
	for _, h := range sim.order {
		assert.Equal(sim.t, len(h.table.Live()), n, "live hosts seen by %s", h.peer.Host)
	}
	sim.changes = map[id.Host]map[State]time.Time{}
	sim.deaths, sim.suspicions = 0, 0
	return sim.order
}

// countObservers returns the number of other hosts that have h in state s.
func (sim *simulation) countObservers(h *host, s State) int {
	n := 0
	for _, o := range sim.order {
		if o == h || o.killed || o.zone != h.zone {
			continue
		}
		if p, ok := o.table.Lookup(h.peer.Host); ok && p.State == s {
			n++
		}
	}
	return n
}
