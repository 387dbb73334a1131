package direct

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/roster"
	"github.com/siskinford/siskinford/fleet/rendezvous"
	"github.com/siskinford/siskinford/wire/relay"
)

const (
	// slowLook and fastLook are the intervals at which ranks are looked at: those
	// that the roster does not tell of, and some of each group for its state.
	slowLook = time.Second
	fastLook = 80 * time.Millisecond
	// fastRanks is the number of ranks of a group that are looked at often.
	fastRanks = 2
	// staleAfter is the age from which on a look no longer counts. Relays repeat
	// theirs each second.
	staleAfter = 1500 * time.Millisecond
	// minStalled and stalledPasses give the time without a new pass, while requests
	// run, after which a group counts as down. Reports are up to a fifth of a second
	// old. A rank with 3.5 times the mean load, as under an initial map, makes a full
	// pass as much longer; prompts that are read in it do the rest.
	minStalled    = 450 * time.Millisecond
	stalledPasses = 5
	// judgeInterval is the time between judgements of all groups.
	judgeInterval = 50 * time.Millisecond
	// relistInterval is the time between looks at the list of endpoints.
	relistInterval = 500 * time.Millisecond
	// rosterGrace is the time for which an endpoint that the roster does not tell of
	// is left to the scouts, which need a few hundred milliseconds for it.
	rosterGrace = 1500 * time.Millisecond
)

// GroupMonitor follows the groups of ranks behind a service, so that nothing is
// sent to a group that is down. It looks at a few ranks of each group.
type GroupMonitor struct {
	Service *Service
	// Host is this entry's; different entries look at different ranks.
	Host id.Host
	// Zone is the zone of the entry, whose ranks are preferred.
	Zone id.Zone
	// List returns the endpoints of the service with their zones.
	List func() map[ranklink.Endpoint]id.Zone
	// Roster tells the groups of the endpoints, as far as they are known.
	Roster *roster.Roster
	// Source is the address of this host from which relays are reached.
	Source netip.Addr
	Log    zerolog.Logger

	links map[ranklink.Endpoint]*watched
	// unknown holds since when endpoints are listed that the roster does not tell of.
	unknown map[ranklink.Endpoint]time.Time
	listed  map[ranklink.Endpoint]id.Zone
}

// look is how a rank is looked at.
type look struct {
	every time.Duration
	// decides is true for ranks that tell whether their group is down.
	decides bool
}

func (l look) watch() relay.Watch { return relay.Watch{StateMillis: int(l.every.Milliseconds())} }

// watched is what was last seen of one rank.
type watched struct {
	link  *ranklink.Link
	look  look
	state relay.State
	// opened is when the link was opened, and seen the last look.
	opened, seen time.Time
	// stepped is when a new pass was last seen, or the rank was seen idle.
	stepped time.Time
	// moved is when another pass or epoch than before was last seen.
	moved time.Time
}

// Run works until ctx ends.
func (g *GroupMonitor) Run(ctx context.Context) {
	g.links = make(map[ranklink.Endpoint]*watched)
	g.unknown = make(map[ranklink.Endpoint]time.Time)
	events := make(chan ranklink.Event, 64)
	tick := time.NewTicker(judgeInterval)
	defer tick.Stop()
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			g.see(e, time.Now())
		case now := <-tick.C:
			if now.Sub(listed) >= relistInterval {
				listed = now
				g.relist(ctx, events, now)
			}
			g.judge(now)
		}
	}
}

// relist opens links to the ranks to look at and closes all others.
func (g *GroupMonitor) relist(ctx context.Context, events chan<- ranklink.Event, now time.Time) {
	g.listed = g.List()
	wanted := g.wanted(now)
	for e, l := range wanted {
		w := g.links[e]
		if w == nil {
			link := ranklink.Open(ctx, ranklink.Options{
				Endpoint: e, Source: g.Source, Events: events, Watch: l.watch(),
				Report: func(*ranklink.Link, string, error) {},
			})
			g.links[e] = &watched{link: link, look: l, opened: now}
		} else if w.look != l {
			w.look = l
			w.link.SetWatch(l.watch())
		}
	}
	for e, w := range g.links {
		if _, ok := wanted[e]; !ok {
			w.link.Close()
			delete(g.links, e)
		}
	}
}

// wanted returns the ranks to look at.
func (g *GroupMonitor) wanted(now time.Time) map[ranklink.Endpoint]look {
	out := make(map[ranklink.Endpoint]look)
	groups := make(map[id.Group][]ranklink.Endpoint)
	unknown := g.unknowns(now)
	for e := range g.listed {
		if group := g.groupOf(e); group != "" {
			groups[group] = append(groups[group], e)
		}
		if since, ok := unknown[e]; ok && now.Sub(since) >= rosterGrace {
			out[e] = look{every: slowLook}
		}
	}
	if len(groups) == 0 {
		// Some of the first tell of their group before there is a roster.
		for _, e := range g.choose(slices.Collect(maps.Keys(unknown)), now) {
			out[e] = look{every: fastLook, decides: true}
		}
	}
	for _, ranks := range groups {
		for _, e := range g.choose(ranks, now) {
			out[e] = look{every: fastLook * time.Duration(len(groups)), decides: true}
		}
	}
	return out
}

// unknowns returns since when endpoints are listed that the roster does not tell of.
func (g *GroupMonitor) unknowns(now time.Time) map[ranklink.Endpoint]time.Time {
	seats := g.Roster.Ranks()
	for e := range g.listed {
		if _, ok := seats[e.Name]; ok {
			delete(g.unknown, e)
		} else if _, ok := g.unknown[e]; !ok {
			g.unknown[e] = now
		}
	}
	for e := range g.unknown {
		if _, ok := g.listed[e]; !ok {
			delete(g.unknown, e)
		}
	}
	return g.unknown
}

// groupOf returns the group of an endpoint, by an own look or by the roster, empty
// if it is not known.
func (g *GroupMonitor) groupOf(e ranklink.Endpoint) id.Group {
	if w := g.links[e]; w != nil && w.state.Group != "" {
		return w.state.Group
	}
	return g.Roster.Ranks()[e.Name].Group
}

// choose returns the ranks to look at often: near ones first, in an order that
// spreads the work of many entries. One whose relay is silent is replaced.
func (g *GroupMonitor) choose(ranks []ranklink.Endpoint, now time.Time) []ranklink.Endpoint {
	slices.SortFunc(ranks, func(a, b ranklink.Endpoint) int {
		if near := g.listed[a] == g.Zone; near != (g.listed[b] == g.Zone) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(g.score(a), g.score(b))
	})
	var out []ranklink.Endpoint
	for _, e := range ranks {
		if w := g.links[e]; w != nil && now.Sub(w.opened) > staleAfter && now.Sub(w.seen) > staleAfter {
			continue
		}
		if out = append(out, e); len(out) == fastRanks {
			break
		}
	}
	return out
}

func (g *GroupMonitor) score(e ranklink.Endpoint) uint64 {
	return rendezvous.Score(string(e.Name), g.Host)
}

func (g *GroupMonitor) see(e ranklink.Event, now time.Time) {
	w := g.links[e.Link.Endpoint()]
	if w == nil || e.State == nil {
		return
	}
	if e.State.Step != w.state.Step || e.State.Epoch != w.state.Epoch || e.State.Running+e.State.Waiting == 0 {
		w.stepped = now
	}
	if !w.seen.IsZero() && (e.State.Step != w.state.Step || e.State.Epoch != w.state.Epoch) {
		w.moved = now
	}
	w.state, w.seen = *e.State, now
}

// seenGroup is what own looks tell of a group.
type seenGroup struct {
	// down tells why the group is down, empty if it is not.
	down string
	// moved is when the group was last seen to have begun a pass or formed anew.
	moved time.Time
}

// judge tells the service which groups are down.
func (g *GroupMonitor) judge(now time.Time) {
	groups := make(map[id.Group]seenGroup)
	stalledAfter := g.Service.stalledAfter()
	reason, fresh, down := "", 0, 0
	for _, w := range g.links {
		if w.state.Group == "" || now.Sub(w.seen) > staleAfter {
			continue
		}
		fresh++
		s := groups[w.state.Group]
		if w.moved.After(s.moved) {
			s.moved = w.moved
		}
		switch {
		case !w.look.decides:
		case !w.state.Open:
			s.down = "a rank is missing"
		case w.state.Running+w.state.Waiting > 0 && w.seen.Sub(w.stepped) > stalledAfter:
			s.down = "no pass begins"
		}
		groups[w.state.Group] = s
	}
	for _, s := range groups {
		if s.down != "" {
			reason = s.down
			down++
		}
	}
	seats := g.Roster.Ranks()
	seen := make(map[id.Endpoint]RankStatus, len(g.listed))
	for e := range g.listed {
		group := g.groupOf(e)
		if group == "" {
			// Of the same service as a group that is down, as far as is known.
			seen[e.Name] = RankStatus{GroupDown: down > 0}
			continue
		}
		r := RankStatus{Group: group, GroupDown: groups[group].down != "", ProgressAt: groups[group].moved, Pace: seats[e.Name].Pace}
		if w := g.links[e]; w != nil && now.Sub(w.seen) <= staleAfter {
			r.Pace = w.state.Pace
		}
		seen[e.Name] = r
	}
	if g.Service.SetRanks(seen, down > 0) {
		g.Log.Info().Str("event", "group.changed").Str("service", string(g.Service.name)).Bool("down", g.Service.Down()).
			Int("ranks_seen", fresh).Int("endpoints", len(g.listed)).Uint64("roster", g.Roster.Version()).Msg(reason)
	}
}
