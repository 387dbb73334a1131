package expertmaps

import (
	"context"
	"fmt"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/mapswitch"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// session decides on the maps of a group under one token. Its goroutine owns all state.
type session struct {
	cfg          Config
	name         id.Group
	engine       *routes.Engine
	token        uint64
	log          zerolog.Logger
	set          *metrics.Set
	list         func() []ranklink.Endpoint
	engineClient func(address string) relay.Engine
	source       netip.Addr

	cancel context.CancelFunc
	// leave is closed to end the session once it holds no group; ended is closed at its end.
	leave, ended chan struct{}
	// failed is set if the session ended by a panic.
	failed atomic.Bool

	events chan ranklink.Event
	links  map[id.Endpoint]*ranklink.Link
	// positions holds the position of each endpoint in the list.
	positions map[id.Endpoint]int
	// layouts holds the last layout of each rank.
	layouts map[*ranklink.Link]relay.Layout
	members *members
	groups  map[id.Group]*group
	// pending maps the IDs of sent orders to the order IDs of the map switch.
	pending   map[uint64]pendingOrder
	nextOrder uint64
	invalid   *invalidAnswers
	// unloggedFailures counts the failed orders since one was last logged.
	unloggedFailures int
	failureLoggedAt  time.Duration
}

type pendingOrder struct {
	group *group
	id    uint64
	sent  time.Duration
}

const (
	// eventQueue is the capacity of the event channel.
	eventQueue = 256
	// relistInterval is the time between reads of the endpoint list.
	relistInterval = 200 * time.Millisecond
	// tickInterval is the tick while a change is in progress, a quarter of the time after
	// which an order is resent.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the tick while no change is in progress.
	idleTickInterval = 50 * time.Millisecond
	// finishTimeout bounds the rest of a change that holds a group when the coordinator leaves.
	// From the hold to the release it takes two round trips to the farthest rank.
	finishTimeout = 500 * time.Millisecond
	// orderResultTimeout is the time after which the result of an order is ignored.
	orderResultTimeout = 20 * time.Second
)

// stop ends the session at once. There may be none.
func (s *session) stop() {
	if s != nil {
		s.cancel()
	}
}

// finish ends the session when it holds no group, and returns after its end. Changes that hold
// none are given up. There may be no session.
func (s *session) finish() {
	if s == nil {
		return
	}
	close(s.leave)
	<-s.ended
}

// holdsGroup reports whether a group waits for a release.
func (s *session) holdsGroup() bool {
	for _, g := range s.groups {
		switch g.mapSwitch.Phase() {
		case mapswitch.Holding, mapswitch.Arming, mapswitch.Deciding, mapswitch.Undoing, mapswitch.Releasing:
			return true
		case mapswitch.Learning, mapswitch.Recovering, mapswitch.Idle, mapswitch.Preparing, mapswitch.Settling:
		}
	}
	return false
}

func (s *session) run(ctx context.Context) {
	defer close(s.ended)
	defer s.cancel()
	defer s.recoverPanic()
	leave := s.leave
	var finishBy <-chan time.Time
	began := time.Now()
	listed := -relistInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-finishBy:
			s.log.Warn().Str("event", "map.left_held").Msg("the group may be held until another coordinator releases it")
			return
		case <-leave:
			leave, finishBy = nil, time.After(finishTimeout)
		case e := <-s.events:
			s.handleBatch(e, began)
		case <-timer.C:
		}
		if finishBy != nil && !s.holdsGroup() {
			return
		}
		now := time.Since(began)
		if now-listed >= relistInterval {
			listed = now
			s.relist(ctx, now)
		}
		if s.advance(now, finishBy == nil) {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}

// recoverPanic keeps a panic of the session from ending the process, whose clients have nothing to
// do with it.
func (s *session) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	s.failed.Store(true)
	s.set.GetOrCreateCounter(fmt.Sprintf("siskinford_panics_total{task=\"expert_maps\",group=%q}", string(s.name))).Inc()
	s.log.Error().Str("event", "task.panicked").Interface("panic", p).Bytes("stack", debug.Stack()).
		Msg("the coordination of a group's maps failed; it begins again under another lease")
}

// shape returns what layouts and samples of the ranks must fit.
func (s *session) shape() relay.Shape {
	return relay.Shape{LayerSets: s.engine.Experts.LayerSets, ExpertsPerSet: s.engine.Experts.ExpertsPerSet}
}

// relist opens links to new endpoints and closes links to removed ones.
func (s *session) relist(ctx context.Context, now time.Duration) {
	s.positions = make(map[id.Endpoint]int)
	for i, e := range s.list() {
		s.positions[e.Name] = i
		if l := s.links[e.Name]; l != nil && l.Endpoint() == e {
			continue
		} else if l != nil {
			s.close(l)
		}
		s.links[e.Name] = ranklink.Open(ctx, ranklink.Options{
			Endpoint: e, Source: s.source, EngineClient: s.engineClient, Events: s.events, Report: s.logLinkEvent,
			Watch: s.cfg.watch(false), Shape: s.shape(), Invalid: s.invalid.add,
		})
	}
	for name, l := range s.links {
		if _, ok := s.positions[name]; !ok {
			s.close(l)
			delete(s.links, name)
		}
	}
	for orderID, p := range s.pending {
		if now-p.sent > orderResultTimeout {
			delete(s.pending, orderID)
		}
	}
	for _, g := range s.groups {
		g.chooseSampledRanks(s.positions, now)
	}
}

func (s *session) close(l *ranklink.Link) {
	l.Close()
	delete(s.layouts, l)
	s.members.remove(l)
}

func (s *session) logLinkEvent(l *ranklink.Link, event string, err error) {
	s.log.Info().Err(err).Str("event", event).Str("endpoint", string(l.Endpoint().Name)).Str("relay", l.Endpoint().Relay).Send()
}

// handleBatch handles an event and those queued behind it, so that the session advances
// once when many ranks report at the same time.
func (s *session) handleBatch(e ranklink.Event, began time.Time) {
	s.handle(e, time.Since(began))
	for range eventQueue {
		select {
		case e := <-s.events:
			s.handle(e, time.Since(began))
		default:
			return
		}
	}
}

func (s *session) handle(e ranklink.Event, now time.Duration) {
	if e.Link.Closed() {
		e.State, e.Layout, e.Sample = nil, nil, nil
	}
	mapMayBeKnown := e.Layout != nil
	if e.Layout != nil {
		s.layouts[e.Link] = *e.Layout
	}
	if e.State != nil {
		mapMayBeKnown = s.onState(e.Link, e.State, now) || mapMayBeKnown
	}
	if mapMayBeKnown {
		for _, g := range s.groups {
			g.assembleMap(s.layouts)
		}
	}
	if e.Sample != nil {
		for _, g := range s.groups {
			if g.rankOf(e.Link) >= 0 {
				g.onSample(e.Link, e.Sample, now)
			}
		}
	}
	if e.Result != nil {
		s.onResult(e.Result, now)
	}
}

// onState processes a state and reports whether it may complete the map in use.
func (s *session) onState(l *ranklink.Link, state *relay.State, now time.Duration) bool {
	if state.Group != s.name {
		return false
	}
	changed := false
	for _, m := range s.members.observe(l, state) {
		g := s.group(m.state.Group, m.state.Size)
		epoch := g.mapSwitch.Epoch()
		newLink := g.onState(m.link, &m.state, now)
		if newLink {
			g.chooseSampledRanks(s.positions, now)
		}
		changed = changed || newLink || g.mapSwitch.Epoch() != epoch
	}
	return changed
}

func (s *session) onResult(r *relay.Result, now time.Duration) {
	p, ok := s.pending[r.ID]
	if !ok {
		return
	}
	delete(s.pending, r.ID)
	outcome := mapswitch.Unknown
	switch r.Outcome {
	case relay.Done:
		outcome = mapswitch.Done
	case relay.Conflict:
		outcome = mapswitch.Conflict
	default:
		s.logFailedOrder(r, now)
	}
	p.group.mapSwitch.Result(p.id, outcome, now)
}

// failureLogInterval is the minimum time between log lines about failed orders. Orders to
// a zone that is cut off fail together, and again with each resend.
const failureLogInterval = time.Second

// logFailedOrder logs a failed order with the number suppressed since the last line.
func (s *session) logFailedOrder(r *relay.Result, now time.Duration) {
	if s.failureLoggedAt != 0 && now-s.failureLoggedAt < failureLogInterval {
		s.unloggedFailures++
		return
	}
	s.log.Warn().Str("event", "map.order_failed").Str("outcome", string(r.Outcome)).Str("detail", r.Detail).Int("others", s.unloggedFailures).Send()
	s.unloggedFailures, s.failureLoggedAt = 0, now
}

func (s *session) group(name id.Group, size int) *group {
	g := s.groups[name]
	if g == nil || g.size != size {
		g = newGroup(s, name, size)
		s.groups[name] = g
	}
	return g
}

// advance sends the orders that are due, and reports whether a change is in progress. New ones are
// started only if plan is true.
func (s *session) advance(now time.Duration, plan bool) bool {
	busy := false
	for _, g := range s.groups {
		for _, o := range g.advance(now, plan) {
			s.send(g, o, now)
		}
		busy = busy || g.changing()
	}
	return busy
}

var ops = map[mapswitch.Op]relay.Op{
	mapswitch.Prepare: relay.Prepare, mapswitch.Arm: relay.Arm, mapswitch.Disarm: relay.Disarm,
	mapswitch.Hold: relay.Hold, mapswitch.Release: relay.Release, mapswitch.Ping: relay.Ping,
}

func (s *session) send(g *group, o mapswitch.Order, now time.Duration) {
	l := s.members.link(o.Rank)
	if l == nil {
		return
	}
	s.nextOrder++
	s.pending[s.nextOrder] = pendingOrder{group: g, id: o.ID, sent: now}
	order := relay.Order{
		ID: s.nextOrder, Op: ops[o.Op], Epoch: o.Epoch, Version: o.Version, Step: o.Step, Experts: relay.ExpertMap(o.Map), FencingToken: s.token,
	}
	if via := s.members.link(o.Via); via != nil && via != l {
		via.SendTo(l.Endpoint(), order)
		return
	}
	l.Send(order)
}
