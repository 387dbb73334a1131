// Package maps tests the coordinators of expert maps in one process, with relays
// and a simulated group of ranks.
package maps

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	agent "github.com/siskinford/siskinford/agent/relay"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/expertmaps"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/lab/replicas"
	"github.com/siskinford/siskinford/wire/relay"
)

const ranks = 4

// peers fakes an entry's view of the other entries.
type peers struct {
	claimed atomic.Uint64
	gone    atomic.Bool
}

func (p *peers) Acting(string, duty.Name) bool { return false }
func (p *peers) Gone(string) bool              { return p.gone.Load() }
func (p *peers) Claimed(duty.Name) uint64      { return p.claimed.Load() }

// site is a group under load, with a relay per rank and the store of the leases.
type site struct {
	t         *testing.T
	group     *replicas.Group
	store     *faultstore.Store
	endpoints []ranklink.Endpoint
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: faultstore.New(memstore.New(memstore.Config{})), group: replicas.NewGroup(replicas.GroupConfig{
		Name: "g", Ranks: ranks, Slots: 8, MaxWaiting: 16, LayerSets: 2, ExpertsPerSet: 16, MaxPerRank: 6, MaxNewPerMap: 2,
		StepTime: 5 * time.Millisecond, TimePerStream: 300 * time.Microsecond, CopyTime: 10 * time.Millisecond,
		FormTime: 100 * time.Millisecond, StallTimeout: 300 * time.Millisecond, Seed: 3,
	})}
	t.Cleanup(s.group.Close)
	for i := range ranks {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		go func() {
			if err := agent.New(s.group.Engine(i), s.engineAt, func(string, error) {}).Listen(t.Context(), address); err != nil {
				t.Error(err)
			}
		}()
		s.endpoints = append(s.endpoints, ranklink.Endpoint{Name: id.Endpoint(address), Address: address, Relay: address})
		go s.load(i)
	}
	return s
}

// engineAt returns the engine of the rank at an address.
func (s *site) engineAt(address string) relay.Engine {
	return s.group.Engine(slices.IndexFunc(s.endpoints, func(e ranklink.Endpoint) bool { return e.Address == address }))
}

// load keeps four streams running at a rank.
func (s *site) load(rank int) {
	const streams, events = 4, 12
	for range streams {
		go func() {
			for s.t.Context().Err() == nil {
				stream, err := s.group.Start(rank, 0, events)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				for {
					select {
					case <-s.t.Context().Done():
						return
					case _, ok := <-stream.Events:
						if ok {
							continue
						}
					}
					break
				}
			}
		}()
	}
}

// startCoordinator runs a coordinator until stop is called or the test ends.
func (s *site) startCoordinator(holder string, p *peers) (c *expertmaps.Coordinator, stop func()) {
	s.t.Helper()
	return s.startListing(holder, p, func() []ranklink.Endpoint { return s.endpoints })
}

func (s *site) startListing(holder string, p *peers, list func() []ranklink.Endpoint) (c *expertmaps.Coordinator, stop func()) {
	s.t.Helper()
	c, err := expertmaps.New(expertmaps.Options{
		Service: "m", Group: "g", Holder: holder, Store: s.store, Peers: p,
		Engine:       &routes.Engine{Slots: 8, Experts: &routes.Experts{LayerSets: 2, ExpertsPerSet: 16, SlotsPerRank: 6, MaxNewPerMap: 2, ExpertBytes: 1, LinkBitsPerSecond: 1000}},
		List:         list,
		EngineClient: func(string) relay.Engine { return unreachable{} },
		Log:          zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	return c, func() {
		cancel()
		<-ended
	}
}

var errUnreachable = errors.New("rank has no direct route")

// unreachable is the direct client of a rank that only its relay can reach.
type unreachable struct{}

func (unreachable) State(context.Context) (relay.State, error) { return relay.State{}, errUnreachable }

func (unreachable) Counts(context.Context) (relay.Counts, error) {
	return relay.Counts{}, errUnreachable
}

func (unreachable) Layout(context.Context) (relay.Layout, error) {
	return relay.Layout{}, errUnreachable
}

func (unreachable) Order(context.Context, relay.Order) relay.Result {
	return relay.Result{Outcome: relay.Unknown, Detail: errUnreachable.Error()}
}

func (s *site) await(what string, limit time.Duration, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// awaitBalance waits until the map has been switched and the skew is below 1.5. The
// users require this within 3 s of a change of the demand.
func (s *site) awaitBalance(limit time.Duration) {
	s.t.Helper()
	s.await("skew below 1.5", limit, func() bool { return s.group.Status().MapSwitches > 0 && s.group.Status().Skew < 1.5 })
	assert.Equal(s.t, len(s.group.Status().Violations), 0, "%v", s.group.Status().Violations)
}

// TestPlansWhileThePlatformIsAway verifies planning after the lease expired in an
// outage: no other entry can take the lease, and safety does not depend on it.
func TestPlansWhileThePlatformIsAway(t *testing.T) {
	s := newSite(t)
	c, stop := s.startCoordinator("h1", &peers{})
	defer stop()
	s.awaitBalance(10 * time.Second)
	s.store.SetDown(true)
	time.Sleep(3 * time.Second) // longer than the lease TTL
	before := s.group.Status().MapSwitches
	s.group.ShiftPopularity()
	s.await("a map for the new demand", 3*time.Second, func() bool { return s.group.Status().MapSwitches > before })
	s.awaitBalance(3 * time.Second)
	assert.Assert(t, c.FencingToken() > 0)
}

// TestOutdatedCoordinatorStops verifies that a coordinator stops when another entry
// claims a later lease, as after a pause of the coordinator.
func TestOutdatedCoordinatorStops(t *testing.T) {
	s := newSite(t)
	p := &peers{}
	c, stop := s.startCoordinator("h1", p)
	defer stop()
	s.awaitBalance(10 * time.Second)
	s.store.SetDown(true)
	p.claimed.Store(c.FencingToken() + 1)
	s.await("the coordinator stops", 4*time.Second, func() bool { return c.FencingToken() == 0 })
}

// TestCoordinatorOutlivesPanic guards against a panic in the coordination of a group that ends the
// entry with all its clients' requests. The coordination goes on, under another token.
func TestCoordinatorOutlivesPanic(t *testing.T) {
	s := newSite(t)
	var fail atomic.Bool
	c, stop := s.startListing("h1", &peers{}, func() []ranklink.Endpoint {
		if fail.Swap(false) {
			panic("the list is broken")
		}
		return s.endpoints
	})
	defer stop()
	s.awaitBalance(10 * time.Second)
	for range 3 {
		before, switches := c.FencingToken(), s.group.Status().MapSwitches
		fail.Store(true)
		s.await("another token", 3*time.Second, func() bool { return c.FencingToken() > before })
		s.group.ShiftPopularity()
		s.await("a map for the new demand", 3*time.Second, func() bool { return s.group.Status().MapSwitches > switches })
	}
	s.store.SetDown(true)
	fail.Store(true)
	s.await("the coordinator stops", 3*time.Second, func() bool { return c.FencingToken() == 0 })
	s.store.SetDown(false)
	s.await("the coordinator acts again", 10*time.Second, func() bool { return c.FencingToken() > 0 })
	s.awaitBalance(5 * time.Second)
}

// TestTwoCoordinatorsAtATime verifies that no pass begins with two maps while two
// coordinators plan.
func TestTwoCoordinatorsAtATime(t *testing.T) {
	s := newSite(t)
	_, stop := s.startCoordinator("h1", &peers{})
	defer stop()
	s.awaitBalance(10 * time.Second)
	suspicious := &peers{}
	suspicious.gone.Store(true) // considers h1 failed
	second, stopSecond := s.startCoordinator("h2", suspicious)
	defer stopSecond()
	s.await("the second coordinator holds a lease", 5*time.Second, func() bool { return second.FencingToken() > 0 })
	for range 5 {
		s.group.DelayOrders(0.3, 100*time.Millisecond)
		s.group.ShiftPopularity()
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, len(s.group.Status().Violations), 0, "%v", s.group.Status().Violations)
	}
	s.group.DelayOrders(0, 0)
	s.await("no rank holds the group", 3*time.Second, func() bool { return !s.group.Status().Held })
	s.awaitBalance(5 * time.Second)
}

// TestLeavingCoordinatorHoldsNothing guards against a coordinator that leaves in the middle of a
// change: its streams stand still until another entry holds the lease, and while all entries are
// stopped one after the other there is none for seconds.
func TestLeavingCoordinatorHoldsNothing(t *testing.T) {
	s := newSite(t)
	for range 15 {
		_, stop := s.startCoordinator("h1", &peers{})
		s.awaitBalance(10 * time.Second)
		s.group.ShiftPopularity()
		for end := time.Now().Add(3 * time.Second); !s.group.Status().Held && time.Now().Before(end); {
			time.Sleep(100 * time.Microsecond)
		}
		began := time.Now()
		stop()
		assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "it left after %v", time.Since(began))
		assert.Assert(t, !s.group.Status().Held, "the group is held, and nobody is left to release it")
	}
	assert.Equal(t, len(s.group.Status().Violations), 0, "%v", s.group.Status().Violations)
}
