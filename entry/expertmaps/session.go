package expertmaps

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/mapswitch"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// session decides on the maps of a group while the entry holds the lease. Its
// goroutine owns all state.
type session struct {
	cfg    Config
	of     id.Group
	engine *routes.Engine
	lease  uint64
	log    zerolog.Logger
	set    *metrics.Set
	list   func() []ranklink.Endpoint
	direct func(address string) relay.Engine
	source netip.Addr

	events chan ranklink.Event
	links  map[id.Endpoint]*ranklink.Link
	// order holds the place of each endpoint in the list.
	order map[id.Endpoint]int
	// layouts holds what each rank last told.
	layouts map[*ranklink.Link]relay.Layout
	groups  map[id.Group]*group
	// asked maps the IDs of orders at the links to the machines' own.
	asked     map[uint64]asked
	nextOrder uint64
	// failed counts the failed orders since failedAt, when one was logged last.
	failed   int
	failedAt time.Duration
}

type asked struct {
	group *group
	id    uint64
	sent  time.Duration
}

const (
	// eventQueue bounds the events that wait for the session.
	eventQueue = 256
	// listInterval is the time between looks at the list of endpoints.
	listInterval = 200 * time.Millisecond
	// tickInterval drives repeated orders. It is a quarter of the time after
	// which an order is repeated.
	tickInterval = 10 * time.Millisecond
	// idleTick replaces tickInterval while nothing is under way.
	idleTick = 50 * time.Millisecond
	// forgetOrder is the time after which the answer to an order no longer counts.
	forgetOrder = 20 * time.Second
)

func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	listed := -listInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.handleAll(e, began)
		case <-timer.C:
		}
		now := time.Since(began)
		if now-listed >= listInterval {
			listed = now
			s.relist(ctx, now)
		}
		if s.advance(now) {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTick)
		}
	}
}

// relist opens links to new endpoints and ends those to endpoints that are gone.
func (s *session) relist(ctx context.Context, now time.Duration) {
	s.order = make(map[id.Endpoint]int)
	for i, e := range s.list() {
		s.order[e.Name] = i
		if l := s.links[e.Name]; l != nil && l.Endpoint() == e {
			continue
		} else if l != nil {
			s.close(l)
		}
		s.links[e.Name] = ranklink.Open(ctx, ranklink.Options{
			Endpoint: e, Source: s.source, EngineClient: s.direct, Events: s.events, Report: s.report,
			Watch: s.cfg.watch(false),
		})
	}
	for name, l := range s.links {
		if _, ok := s.order[name]; !ok {
			s.close(l)
			delete(s.links, name)
		}
	}
	for n, a := range s.asked {
		if now-a.sent > forgetOrder {
			delete(s.asked, n)
		}
	}
	for _, g := range s.groups {
		g.chooseSampled(s.order, now)
	}
}

func (s *session) close(l *ranklink.Link) {
	l.Close()
	delete(s.layouts, l)
}

func (s *session) report(l *ranklink.Link, what string, err error) {
	s.log.Info().Err(err).Str("event", what).Str("endpoint", string(l.Endpoint().Name)).Str("relay", l.Endpoint().Relay).Send()
}

// maxRanks bounds what a report may claim of the size of its group, far above the
// 64 ranks of the largest groups planned.
const maxRanks = 4096

// handleAll handles an event and those that wait behind it, so that many ranks that
// tell something at once are thought about once.
func (s *session) handleAll(e ranklink.Event, began time.Time) {
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
	learn := e.Layout != nil
	if e.Layout != nil {
		s.layouts[e.Link] = *e.Layout
	}
	if e.State != nil {
		learn = s.onState(e.Link, e.State, now) || learn
	}
	if learn {
		for _, g := range s.groups {
			g.learn(s.layouts)
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

// onState takes in a state. It is true if the map in use may have become known by it.
func (s *session) onState(l *ranklink.Link, state *relay.State, now time.Duration) bool {
	if state.Group != s.of || state.Size < 1 || state.Size > maxRanks {
		return false
	}
	g := s.group(state.Group, state.Size)
	epoch := g.machine.Epoch()
	another := g.onState(l, state, now)
	if another {
		g.chooseSampled(s.order, now)
	}
	return another || g.machine.Epoch() != epoch
}

func (s *session) onResult(r *relay.Result, now time.Duration) {
	a, ok := s.asked[r.ID]
	if !ok {
		return
	}
	delete(s.asked, r.ID)
	outcome := mapswitch.Unknown
	switch r.Outcome {
	case relay.Done:
		outcome = mapswitch.Done
	case relay.Conflict:
		outcome = mapswitch.Conflict
	default:
		s.tellFailed(r, now)
	}
	a.group.machine.Result(a.id, outcome, now)
}

// failedPause is the least time between two lines on failed orders. Those to the ranks of a zone
// that is cut off fail together, and again with each resend.
const failedPause = time.Second

// tellFailed logs a failed order, with the number of those that were not logged before it.
func (s *session) tellFailed(r *relay.Result, now time.Duration) {
	if s.failedAt != 0 && now-s.failedAt < failedPause {
		s.failed++
		return
	}
	s.log.Warn().Str("event", "map.order_failed").Str("outcome", string(r.Outcome)).Str("detail", r.Detail).Int("others", s.failed).Send()
	s.failed, s.failedAt = 0, now
}

func (s *session) group(name id.Group, size int) *group {
	g := s.groups[name]
	if g == nil || g.size != size {
		g = newGroup(s, name, size)
		s.groups[name] = g
	}
	return g
}

// advance sends the orders that are due. It is true while a change is under way.
func (s *session) advance(now time.Duration) bool {
	busy := false
	for _, g := range s.groups {
		for _, o := range g.advance(now) {
			s.send(g, o, now)
		}
		busy = busy || g.busy()
	}
	return busy
}

var ops = map[mapswitch.Op]relay.Op{
	mapswitch.Prepare: relay.Prepare, mapswitch.Arm: relay.Arm, mapswitch.Disarm: relay.Disarm,
	mapswitch.Hold: relay.Hold, mapswitch.Release: relay.Release, mapswitch.Ping: relay.Ping,
}

func (s *session) send(g *group, o mapswitch.Order, now time.Duration) {
	l := g.ranks[o.Rank].link
	if l == nil {
		return
	}
	s.nextOrder++
	s.asked[s.nextOrder] = asked{group: g, id: o.ID, sent: now}
	order := relay.Order{
		ID: s.nextOrder, Op: ops[o.Op], Epoch: o.Epoch, Version: o.Version, Step: o.Step, Experts: relay.Map(o.Map), Fence: s.lease,
	}
	if via := g.ranks[o.Via].link; via != nil && via != l {
		via.SendTo(l.Endpoint(), order)
		return
	}
	l.Send(order)
}
