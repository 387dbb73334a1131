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
	// discoveryInterval is the poll interval of ranks missing from the roster;
	// monitorInterval that of the monitored ranks of a single group. With several groups it
	// is multiplied by their number.
	discoveryInterval = time.Second
	monitorInterval   = 80 * time.Millisecond
	// monitoredRanks is the number of monitored ranks per group.
	monitoredRanks = 2
	// maxStateAge is the maximum age of a state in use. Relays resend theirs every second.
	maxStateAge = 1500 * time.Millisecond
	// minStallTimeout and stallTimeoutPasses give the time without a new pass, while requests
	// run, after which a group counts as down. Reports are up to 200 ms old. A rank with 3.5
	// times the mean load, as under an initial map, takes 3.5 times as long for a full pass;
	// prefills in the same pass add to it.
	minStallTimeout    = 450 * time.Millisecond
	stallTimeoutPasses = 5
	// evaluateInterval is the time between evaluations of all groups.
	evaluateInterval = 50 * time.Millisecond
	// relistInterval is the time between reads of the endpoint list.
	relistInterval = 500 * time.Millisecond
	// rosterGracePeriod is the time for which an endpoint missing from the roster is left to
	// the collectors, which need a few hundred milliseconds for it.
	rosterGracePeriod = 1500 * time.Millisecond
)

// GroupMonitor detects groups that are down by polling a few ranks of each group of a
// service, so that no requests are sent to them.
type GroupMonitor struct {
	Service *Service
	// Host is the entry's host; different hosts poll different ranks.
	Host id.Host
	// Zone is the entry's zone, whose ranks are preferred.
	Zone id.Zone
	// List returns the endpoints of the service with their zones.
	List func() map[ranklink.Endpoint]id.Zone
	// Roster holds the known groups of the endpoints.
	Roster *roster.Roster
	// Source is the local address for connections to relays.
	Source netip.Addr
	Log    zerolog.Logger

	links map[ranklink.Endpoint]*rankMonitor
	// unassigned holds the endpoints missing from the roster and since when.
	unassigned map[ranklink.Endpoint]time.Time
	listed     map[ranklink.Endpoint]id.Zone
}

// polling is how a rank is polled.
type polling struct {
	interval time.Duration
	// monitored is true for the ranks whose state decides whether the group is down.
	monitored bool
}

func (p polling) watch() relay.Watch { return relay.Watch{StateMillis: int(p.interval.Milliseconds())} }

// rankMonitor holds the last state of one rank.
type rankMonitor struct {
	link    *ranklink.Link
	polling polling
	state   relay.State
	// openedAt is when the link was opened, stateAt when the last state arrived.
	openedAt, stateAt time.Time
	// activeAt is when a new pass began last or the rank was last idle.
	activeAt time.Time
	// progressAt is when the pass or epoch last changed.
	progressAt time.Time
}

// Run monitors until ctx ends.
func (g *GroupMonitor) Run(ctx context.Context) {
	g.links = make(map[ranklink.Endpoint]*rankMonitor)
	g.unassigned = make(map[ranklink.Endpoint]time.Time)
	events := make(chan ranklink.Event, 64)
	tick := time.NewTicker(evaluateInterval)
	defer tick.Stop()
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			g.handleEvent(e, time.Now())
		case now := <-tick.C:
			if now.Sub(listed) >= relistInterval {
				listed = now
				g.relist(ctx, events, now)
			}
			g.evaluate(now)
		}
	}
}

// relist opens links to the ranks to poll and closes all others.
func (g *GroupMonitor) relist(ctx context.Context, events chan<- ranklink.Event, now time.Time) {
	g.listed = g.List()
	wanted := g.wantedLinks(now)
	for e, p := range wanted {
		w := g.links[e]
		if w == nil {
			link := ranklink.Open(ctx, ranklink.Options{
				Endpoint: e, Source: g.Source, Events: events, Watch: p.watch(),
				Report: func(*ranklink.Link, string, error) {},
			})
			g.links[e] = &rankMonitor{link: link, polling: p, openedAt: now}
		} else if w.polling != p {
			w.polling = p
			w.link.SetWatch(p.watch())
		}
	}
	for e, w := range g.links {
		if _, ok := wanted[e]; !ok {
			w.link.Close()
			delete(g.links, e)
		}
	}
}

// wantedLinks returns which ranks to poll, and how.
func (g *GroupMonitor) wantedLinks(now time.Time) map[ranklink.Endpoint]polling {
	out := make(map[ranklink.Endpoint]polling)
	groups := make(map[id.Group][]ranklink.Endpoint)
	unassigned := g.updateUnassigned(now)
	for e := range g.listed {
		if group := g.groupOf(e); group != "" {
			groups[group] = append(groups[group], e)
		}
		if since, ok := unassigned[e]; ok && now.Sub(since) >= rosterGracePeriod {
			out[e] = polling{interval: discoveryInterval}
		}
	}
	if len(groups) == 0 {
		// Without a roster, a few ranks are polled to discover their group.
		for _, e := range g.chooseMonitored(slices.Collect(maps.Keys(unassigned)), now) {
			out[e] = polling{interval: monitorInterval, monitored: true}
		}
	}
	for _, ranks := range groups {
		for _, e := range g.chooseMonitored(ranks, now) {
			out[e] = polling{interval: monitorInterval * time.Duration(len(groups)), monitored: true}
		}
	}
	return out
}

// updateUnassigned adds listed endpoints that are missing from the roster to unassigned,
// drops all others, and returns it.
func (g *GroupMonitor) updateUnassigned(now time.Time) map[ranklink.Endpoint]time.Time {
	rosterRanks := g.Roster.Ranks()
	for e := range g.listed {
		if _, ok := rosterRanks[e.Name]; ok {
			delete(g.unassigned, e)
		} else if _, ok := g.unassigned[e]; !ok {
			g.unassigned[e] = now
		}
	}
	for e := range g.unassigned {
		if _, ok := g.listed[e]; !ok {
			delete(g.unassigned, e)
		}
	}
	return g.unassigned
}

// groupOf returns an endpoint's group by its state or else by the roster, empty if
// unknown.
func (g *GroupMonitor) groupOf(e ranklink.Endpoint) id.Group {
	if w := g.links[e]; w != nil && w.state.Group != "" {
		return w.state.Group
	}
	return g.Roster.Ranks()[e.Name].Group
}

// chooseMonitored returns the ranks to monitor: same-zone ranks first, then in an order
// that differs between hosts to spread the load. Ranks with a silent relay are skipped.
func (g *GroupMonitor) chooseMonitored(ranks []ranklink.Endpoint, now time.Time) []ranklink.Endpoint {
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
		if w := g.links[e]; w != nil && now.Sub(w.openedAt) > maxStateAge && now.Sub(w.stateAt) > maxStateAge {
			continue
		}
		if out = append(out, e); len(out) == monitoredRanks {
			break
		}
	}
	return out
}

func (g *GroupMonitor) score(e ranklink.Endpoint) uint64 {
	return rendezvous.Score(string(e.Name), g.Host)
}

func (g *GroupMonitor) handleEvent(e ranklink.Event, now time.Time) {
	w := g.links[e.Link.Endpoint()]
	if w == nil || e.State == nil {
		return
	}
	if e.State.Leaving {
		g.Service.MarkLeaving(e.Link.Endpoint().Name, 0, OwnResponse)
	}
	if e.State.Step != w.state.Step || e.State.Epoch != w.state.Epoch || e.State.Running+e.State.Waiting == 0 {
		w.activeAt = now
	}
	if !w.stateAt.IsZero() && (e.State.Step != w.state.Step || e.State.Epoch != w.state.Epoch) {
		w.progressAt = now
	}
	w.state, w.stateAt = *e.State, now
}

// groupState summarizes the polled states of a group.
type groupState struct {
	// downReason is empty if the group is up.
	downReason string
	// progressAt is when a rank of the group last began a pass or joined a new formation.
	progressAt time.Time
}

// evaluate updates the state of the groups at the service.
func (g *GroupMonitor) evaluate(now time.Time) {
	groups := make(map[id.Group]groupState)
	stallTimeout := g.Service.stallTimeout()
	reason, fresh, down := "", 0, 0
	for _, w := range g.links {
		if w.state.Group == "" || now.Sub(w.stateAt) > maxStateAge {
			continue
		}
		fresh++
		s := groups[w.state.Group]
		if w.progressAt.After(s.progressAt) {
			s.progressAt = w.progressAt
		}
		switch {
		case !w.polling.monitored:
		case !w.state.Open:
			s.downReason = "a rank is missing"
		case w.state.Running+w.state.Waiting > 0 && w.stateAt.Sub(w.activeAt) > stallTimeout:
			s.downReason = "no pass begins"
		}
		groups[w.state.Group] = s
	}
	for _, s := range groups {
		if s.downReason != "" {
			reason = s.downReason
			down++
		}
	}
	rosterRanks := g.Roster.Ranks()
	status := make(map[id.Endpoint]RankStatus, len(g.listed))
	for e := range g.listed {
		group := g.groupOf(e)
		if group == "" {
			// It may belong to the group that is down.
			status[e.Name] = RankStatus{GroupDown: down > 0}
			continue
		}
		r := RankStatus{Group: group, GroupDown: groups[group].downReason != "", ProgressAt: groups[group].progressAt, Slowdown: rosterRanks[e.Name].Slowdown}
		if w := g.links[e]; w != nil && now.Sub(w.stateAt) <= maxStateAge {
			r.Slowdown, r.SeenAt = w.state.Slowdown, w.stateAt
		}
		status[e.Name] = r
	}
	if g.Service.SetRanks(status, down > 0) {
		g.Log.Info().Str("event", "group.changed").Str("service", string(g.Service.name)).Bool("down", g.Service.Down()).
			Int("ranks_seen", fresh).Int("endpoints", len(g.listed)).Uint64("roster", g.Roster.Version()).Msg(reason)
	}
}
