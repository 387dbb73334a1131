package mesh

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/fleet/transport/memnet"
)

const topic Topic = "t"

// fleet is a set of entries that share an in-memory network and store.
type fleet struct {
	t     *testing.T
	net   *memnet.Network
	store *memstore.Store
	cfg   Config
}

// node is one incarnation of an entry.
type node struct {
	mesh   *Mesh
	store  *faultstore.Store
	net    *memnet.Node
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	value  Value
	states map[id.Host]string
	cells  map[string]int
	// heardAt is when a summary of each cell last arrived, longestGap the longest time between two.
	heardAt    map[string]time.Time
	longestGap time.Duration
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, net: memnet.New(memnet.Config{Delay: time.Millisecond}), store: memstore.New(memstore.Config{})}
}

// address returns the address of a host such as "a" or "h12".
func address(host string) string {
	n, _ := strconv.Atoi(host[1:])
	return fmt.Sprintf("10.%d.%d.%d:7000", host[0], n/250, n%250)
}

// start starts an entry with its own fault-injecting access to the shared store.
func (f *fleet) start(host, incarnation string, seeds ...string) *node {
	f.t.Helper()
	return f.startIn("z", host, incarnation, seeds...)
}

// startIn starts an entry in a zone.
func (f *fleet) startIn(zone id.Zone, host, incarnation string, seeds ...string) *node {
	f.t.Helper()
	n := &node{store: faultstore.New(f.store), states: make(map[id.Host]string), cells: make(map[string]int), heardAt: make(map[string]time.Time), done: make(chan struct{})}
	n.net = f.net.Join(address(host))
	var err error
	n.mesh, err = New(Options{
		Config: f.cfg,
		Self: Member{
			Host: id.Host(host), Zone: zone, Incarnation: id.Incarnation(incarnation), Address: address(host),
			Fingerprint: host + incarnation, Started: time.Now().UnixMilli(),
		},
		Store: n.store, Caller: n.net, Seeds: seeds, Log: zerolog.Nop(),
		Versions:   func() map[Topic]uint64 { return map[Topic]uint64{topic: n.get().Version} },
		Watched:    map[Topic]bool{topic: true},
		ValueSince: func(Topic, uint64) Value { return n.get() },
		ApplyValue: func(_ Topic, v Value) {
			n.set(v)
			n.mesh.NotifyChange()
		},
		LocalState: func() []byte { return []byte("state of " + host) },
		CellSummary: func(of func(id.Host) bool) []byte {
			n.mu.Lock()
			defer n.mu.Unlock()
			sum := 1
			for h := range n.states {
				if of(h) {
					sum++
				}
			}
			return []byte{byte(sum)}
		},
		OnSummary: func(cell string, summary []byte) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cells[cell] = int(summary[0])
			if last, ok := n.heardAt[cell]; ok {
				n.longestGap = max(n.longestGap, time.Since(last))
			}
			n.heardAt[cell] = time.Now()
		},
		OnState: func(m Member, state []byte) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.states[m.Host] = string(state)
		},
	})
	assert.NilError(f.t, err)
	n.net.Serve(n.mesh.Handle)
	ctx, cancel := context.WithCancel(f.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.mesh.Run(ctx)
	}()
	return n
}

func (n *node) get() Value {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.value
}

func (n *node) set(v Value) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.Version > n.value.Version {
		n.value = v
	}
}

func (n *node) stop() {
	n.cancel()
	<-n.done
	n.net.Kill()
}

func (n *node) alive() []id.Host {
	var out []id.Host
	for _, m := range n.mesh.Alive() {
		out = append(out, m.Host)
	}
	return out
}

func (f *fleet) registered() map[string]bool {
	objects, _, err := f.store.List(f.t.Context(), Kind)
	assert.NilError(f.t, err)
	out := make(map[string]bool)
	for _, o := range objects {
		out[o.Name] = true
	}
	return out
}

func TestEntriesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b, c := f.start("a", "1"), f.start("b", "1"), f.start("c", "1")
		time.Sleep(time.Second)
		assert.DeepEqual(t, a.alive(), []id.Host{"b", "c"})
		assert.DeepEqual(t, c.alive(), []id.Host{"a", "b"})
		assert.Equal(t, b.mesh.MemberCount(), 3)
		b.mu.Lock()
		assert.DeepEqual(t, b.states, map[id.Host]string{"a": "state of a", "c": "state of c"})
		b.mu.Unlock()
		c.stop()
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, a.alive(), []id.Host{"b"})
		assert.Equal(t, a.mesh.MemberCount(), 2)
		a.stop()
		b.stop()
		assert.Equal(t, len(f.registered()), 0)
	})
}

func TestRestartReplacesTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a", "1"), f.start("b", "1")
		time.Sleep(time.Second)
		b.cancel() // The registration may remain or be replaced.
		<-b.done
		time.Sleep(time.Millisecond)
		b2 := f.start("b", "2")
		time.Sleep(time.Second)
		assert.Equal(t, a.mesh.Incarnation("b"), id.Incarnation("2"))
		assert.DeepEqual(t, a.alive(), []id.Host{"b"})
		assert.Equal(t, a.mesh.MemberCount(), 2)
		a.stop()
		b2.stop()
	})
}

// TestTurnedAwayEntryGetsValues checks that an entry whose platform requests fail
// gets new versions from other entries.
func TestTurnedAwayEntryGetsValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a", "1"), f.start("b", "1")
		time.Sleep(time.Second)
		b.store.SetDown(true)
		a.set(Value{Version: 7, Data: []byte("seven")})
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, b.get().Version, uint64(7))
		assert.Equal(t, string(b.get().Data), "seven")
		a.stop()
		b.stop()
	})
}

// TestStartWhileThePlatformIsDown checks that an entry restarted during a platform
// outage gets its values from a seed and registers after the outage.
func TestStartWhileThePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", "1")
		a.set(Value{Version: 3, Data: []byte("three")})
		time.Sleep(time.Second)
		b := f.start("b", "1", address("a"), address("x"))
		b.store.SetDown(true)
		time.Sleep(time.Second)
		assert.Equal(t, b.get().Version, uint64(3))
		b.store.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, f.registered()["b"])
		a.stop()
		b.stop()
	})
}

func TestSilentMemberIsUnregistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", "1")
		gone, err := f.store.Put(t.Context(), objectapi.Object{
			Kind: Kind, Name: "g", Value: []byte(`{"host":"g","incarnation":"1","address":"10.0.0.9:7000"}`),
		})
		assert.NilError(t, err)
		time.Sleep(20 * time.Second)
		assert.Equal(t, a.mesh.MemberCount(), 2, "a silent member may still serve requests")
		time.Sleep(60 * time.Second)
		assert.Assert(t, !f.registered()["g"])
		assert.Equal(t, a.mesh.MemberCount(), 1)
		_ = gone
		a.stop()
	})
}

func TestRemovedRegistrationIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", "1")
		time.Sleep(time.Second)
		o, err := f.store.Get(t.Context(), Kind, "a")
		assert.NilError(t, err)
		assert.NilError(t, f.store.Delete(t.Context(), Kind, "a", o.Version))
		time.Sleep(time.Second)
		assert.Assert(t, f.registered()["a"])
		a.stop()
	})
}

func TestInvalidRegistrationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for name, value := range map[string]string{"x": "no JSON", "y": `{"host":"y","address":"nowhere"}`, "z": `{"host":"other","address":"10.0.0.9:1"}`} {
			_, err := f.store.Put(t.Context(), objectapi.Object{Kind: Kind, Name: name, Value: []byte(value)})
			assert.NilError(t, err)
		}
		a := f.start("a", "1")
		time.Sleep(time.Second)
		assert.Equal(t, a.mesh.MemberCount(), 1)
		a.stop()
	})
}

func TestTrust(t *testing.T) {
	m, err := New(Options{
		Self: Member{Host: "a", Incarnation: "1", Address: "10.0.0.1:7000"}, Store: memstore.New(memstore.Config{}),
		Caller: memnet.New(memnet.Config{}).Join("a"), Seeds: []string{"10.0.0.3:7000"}, Log: zerolog.Nop(),
	})
	assert.NilError(t, err)
	m.updatePeer(Member{Host: "b", Incarnation: "1", Address: "10.0.0.2:7000", Fingerprint: "fb"}, 5, time.Now())
	from := func(ip string) net.Addr { return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(ip + ":999")) }
	assert.Assert(t, m.Trust("b", "fb", from("10.9.9.9")), "the registered certificate")
	assert.Assert(t, m.Trust("b", "other", from("10.0.0.2")), "a new incarnation that is not registered yet")
	assert.Assert(t, m.Trust("c", "fc", from("10.0.0.3")), "a seed")
	assert.Assert(t, !m.Trust("c", "fc", from("10.9.9.9")), "an unknown host")
	assert.Assert(t, !m.Trust("b", "other", from("10.9.9.9")), "an unknown address with a registered name")
}

func TestOptionsAreValidated(t *testing.T) {
	_, err := New(Options{Self: Member{Address: "nowhere"}})
	assert.ErrorContains(t, err, "self")
	assert.ErrorContains(t, err, "nowhere")
	assert.ErrorContains(t, err, "store")
}
