package expertmaps

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/mapswitch"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// group is one group of ranks whose map the session decides on. The session's
// goroutine owns it.
type group struct {
	name     id.Group
	size     int
	cfg      Config
	experts  *routes.Experts
	slots    int
	followed *metrics.Histogram
	log      zerolog.Logger
	machine  *mapswitch.Coordinator
	demand   *expertmap.DemandEstimator
	ranks    []member
	// sampledAt is when the last sample of any rank came.
	sampledAt time.Duration
	plannedAt time.Duration
	// maps is the content of the version in use, converted for planning.
	maps        []expertmap.Map
	mapsVersion uint64
	mapsEpoch   uint64
	// shifts and shiftAt are the last change of demand that the map does not follow yet.
	shifts  int
	shiftAt time.Duration
	// rested is what the last plan found when no change was worth its cost.
	rested rest
}

// rest tells under which demand the map in use is good enough.
type rest struct {
	at     time.Duration
	skew   float64
	shifts int
}

// member is what the session knows of one rank.
type member struct {
	link    *ranklink.Link
	born    int64
	running int
	// pace is above one while the rank is slow.
	pace float64
	// heard is when the last state came.
	heard time.Duration
	sampled
}

func newGroup(s *session, name id.Group, size int) *group {
	g := &group{
		name: name, size: size, cfg: s.cfg, experts: s.engine.Experts, slots: s.engine.Slots,
		log:     s.log,
		machine: mapswitch.New(mapswitch.Config{Ranks: size}, s.lease),
		demand: expertmap.NewDemandEstimator(expertmap.DemandConfig{
			Sets: s.engine.Experts.LayerSets, Experts: s.engine.Experts.ExpertsPerSet, Ranks: size, TimeConstant: s.cfg.DemandTimeConstant,
			SampledRanks: s.cfg.sampledRanks(size, s.engine.Slots),
		}),
		ranks:    make([]member, size),
		followed: s.set.GetOrCreateHistogram(fmt.Sprintf("siskinford_map_follows_seconds{group=%q}", string(name))),
	}
	if !g.fits() {
		g.log.Warn().Str("event", "map.fixed").Int("ranks", size).Int("places", g.experts.SlotsPerRank).Int("experts", g.experts.ExpertsPerSet).
			Msg("the ranks have fewer places than experts; the initial map stays")
	}
	return g
}

// onState takes in a state. It is true if the rank has another link than before.
func (g *group) onState(l *ranklink.Link, s *relay.State, now time.Duration) bool {
	if s.Rank < 0 || s.Rank >= g.size {
		return false
	}
	m := &g.ranks[s.Rank]
	if s.Born < m.born {
		return false
	}
	another := m.link != l
	if another {
		m.sampled = sampled{}
	}
	m.link, m.born, m.running, m.pace, m.heard = l, s.Born, s.Running, s.Pace, now
	if s.Epoch > g.machine.Epoch() {
		g.demand.Reset()
	}
	g.machine.Report(mapswitch.Report{
		Rank: s.Rank, Epoch: s.Epoch, Open: s.Open, Step: s.Step, Version: s.Map,
		Prepared: s.Prepared, Armed: s.Armed, Held: s.Held,
	}, now)
	return another
}

// learn tells the machine the map in use once all ranks told their part of it.
func (g *group) learn(layouts map[*ranklink.Link]relay.Layout) {
	if g.ranks[0].link == nil {
		return
	}
	first := layouts[g.ranks[0].link]
	if first.Experts == nil || first.Epoch != g.machine.Epoch() {
		return
	}
	content := make(mapswitch.Map, g.experts.LayerSets)
	for s := range content {
		content[s] = make([][]int, g.size)
	}
	for r := range g.ranks {
		if g.ranks[r].link == nil {
			return
		}
		lay := layouts[g.ranks[r].link]
		if lay.Epoch != first.Epoch || lay.Version != first.Version || len(lay.Experts) != g.experts.LayerSets {
			return
		}
		for s := range content {
			content[s][r] = lay.Experts[s]
		}
	}
	g.machine.SetContent(first.Epoch, first.Version, content)
}

func (g *group) onSample(l *ranklink.Link, s *relay.Sample, now time.Duration) {
	if s.Epoch != g.machine.Epoch() {
		return
	}
	counts := make([]float64, len(s.Levels))
	for i, l := range s.Levels {
		counts[i] = relay.Count(l)
	}
	rank := g.rankOf(l)
	g.sampledAt, g.ranks[rank].sampledAt = now, now
	if g.demand.AddSample(rank, counts, now) {
		g.follow(now)
	}
}

// rankOf returns the rank that a link reaches, or -1.
func (g *group) rankOf(l *ranklink.Link) int {
	return slices.IndexFunc(g.ranks, func(m member) bool { return m.link == l })
}

// evenSkew is the skew at which a map follows the demand.
const evenSkew = 1.3

// follow measures how long the map takes to follow a change of demand.
func (g *group) follow(now time.Duration) {
	if g.shifts != g.demand.Shifts() {
		if g.shiftAt == 0 {
			g.shiftAt = now
		}
		g.shifts = g.demand.Shifts()
	}
	version, content, ok := g.machine.Current()
	loads, known := g.demand.Loads()
	if g.shiftAt == 0 || !ok || !known {
		return
	}
	if skew := meanSkew(g.convert(version, content), loads, nil); skew <= evenSkew {
		after := now - g.shiftAt
		g.shiftAt = 0
		g.followed.Update(after.Seconds())
		g.log.Info().Str("event", "map.followed").Dur("after", after).Float64("skew", skew).Uint64("version", version).
			Msg("the map follows a change of demand")
	}
}

// fits reports whether the places of all ranks can hold every expert. If not, the
// ranks hold more experts from the start than an order may name, and accept none.
func (g *group) fits() bool { return g.size*g.experts.SlotsPerRank >= g.experts.ExpertsPerSet }

// busy reports whether the machine waits for answers or for a step.
func (g *group) busy() bool { return g.fits() && g.machine.Phase() != mapswitch.Idle }

// advance plans if that is possible and returns the orders to send.
func (g *group) advance(now time.Duration) []mapswitch.Order {
	if !g.fits() {
		return nil
	}
	orders := g.machine.Tick(now)
	if g.machine.Phase() == mapswitch.Idle && g.plan(now) {
		orders = append(orders, g.machine.Tick(now)...)
	}
	for _, e := range g.machine.Events() {
		g.log.Info().Str("event", "map."+e.Phase.String()).Uint64("version", e.Version).Uint64("step", e.Step).
			Uint64("epoch", g.machine.Epoch()).Msg(e.Reason)
	}
	return orders
}

// plan starts a change if the demand asks for one.
func (g *group) plan(now time.Duration) bool {
	loads, ok := g.demand.Loads()
	if !ok || g.demand.Age(now) > g.cfg.MaxDemandAge || g.plannedAt >= now-g.cfg.PlanInterval {
		return false
	}
	version, content, ok := g.machine.Current()
	if !ok {
		return false
	}
	g.plannedAt = now
	maps := g.convert(version, content)
	pace := g.pace()
	skew := meanSkew(maps, loads, pace)
	if g.rested.shifts == g.demand.Shifts() && now-g.rested.at < g.cfg.ReplanHoldoff && skew < g.rested.skew+g.cfg.MinSkewReduction {
		return false
	}
	round := expertmap.RoundPlanner{
		Ranks: g.size, Experts: g.experts.ExpertsPerSet, SlotsPerRank: g.experts.SlotsPerRank,
		MaxNewPerSet: g.experts.MaxNewPerMap, MaxCopiesPerRank: g.cfg.MaxCopiesPerRank, MinGain: g.minGain(skew), SlowFactors: pace,
	}
	p := round.Plan(maps, loads)
	if p.SkewBefore-p.SkewAfter < g.cfg.MinSkewReduction {
		g.rested = rest{at: now, skew: skew, shifts: g.demand.Shifts()}
		return false
	}
	g.rested = rest{}
	g.log.Info().Str("event", "map.planned").Uint64("from_version", version).Int("copies", p.Copies).
		Float64("skew", p.SkewBefore).Float64("planned_skew", p.SkewAfter).
		Dur("demand_age", g.demand.Age(now)).Int("shifts", g.demand.Shifts()).Msg("map proposed")
	return g.machine.Start(fromMaps(p.Maps), now)
}

const (
	// busyPart is the part of the slots in use from which on a group is busy.
	busyPart = 0.6
	// unevenDivisor lowers the least gain of a copy until the skew is evenMargin
	// below evenSkew.
	unevenDivisor = 4
	evenMargin    = 0.03
	// idleFactor bounds what an idle group asks of a copy.
	idleFactor = 1.5
)

// minGain returns the least gain of a copy. While few requests run, passes are
// short whatever the map; a map that does not follow the demand is worth more.
func (g *group) minGain(skew float64) float64 {
	running := 0
	for i := range g.ranks {
		running += g.ranks[i].running
	}
	used := float64(running) / float64(g.size*max(g.slots, 1))
	factor := float64(idleFactor)
	if used > 0 {
		factor = min(max(busyPart/used, 1), idleFactor)
	}
	if skew > evenSkew-evenMargin {
		factor /= unevenDivisor
	}
	return g.cfg.MinTotalGain / float64(g.size) * factor
}

// slowPace is the pace from which on a rank counts as slow, above what the ranks'
// reports vary by.
const slowPace = 1.25

// pace returns how much slower than usual each rank is, nil if none is slow.
func (g *group) pace() []float64 {
	if !slices.ContainsFunc(g.ranks, func(m member) bool { return m.pace >= slowPace }) {
		return nil
	}
	out := make([]float64, g.size)
	for i, m := range g.ranks {
		out[i] = 1
		if m.pace >= slowPace {
			out[i] = m.pace
		}
	}
	return out
}

// convert returns the map in use in the planner's form.
func (g *group) convert(version uint64, content mapswitch.Map) []expertmap.Map {
	if g.maps == nil || version != g.mapsVersion || g.machine.Epoch() != g.mapsEpoch {
		g.maps, g.mapsVersion, g.mapsEpoch = toMaps(content, g.experts.SlotsPerRank), version, g.machine.Epoch()
	}
	return g.maps
}

// meanSkew returns the largest rank load over the mean, averaged over the sets. The
// load of a slow rank counts as often as its pace, which may be nil.
func meanSkew(maps []expertmap.Map, loads []expertmap.Load, pace []float64) float64 {
	var sum float64
	for i, m := range maps {
		sum += m.WeightedSkew(loads[i], pace)
	}
	return sum / float64(max(len(maps), 1))
}

func toMaps(content mapswitch.Map, places int) []expertmap.Map {
	out := make([]expertmap.Map, len(content))
	for s, ranks := range content {
		out[s] = expertmap.NewMap(len(ranks), places)
		for r, experts := range ranks {
			for i, e := range experts {
				if i < places {
					out[s].Slots[r][i] = expertmap.Expert(e)
				}
			}
		}
	}
	return out
}

func fromMaps(maps []expertmap.Map) mapswitch.Map {
	out := make(mapswitch.Map, len(maps))
	for s, m := range maps {
		out[s] = make([][]int, len(m.Slots))
		for r, slots := range m.Slots {
			out[s][r] = []int{}
			for _, e := range slots {
				if e != expertmap.NoExpert {
					out[s][r] = append(out[s][r], int(e))
				}
			}
		}
	}
	return out
}
