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

// group is a group of ranks and its map. Only the session's goroutine uses it.
type group struct {
	name         id.Group
	size         int
	cfg          Config
	experts      *routes.Experts
	requestSlots int
	followTime   *metrics.Histogram
	log          zerolog.Logger
	mapSwitch    *mapswitch.Coordinator
	demand       *expertmap.DemandEstimator
	ranks        []rankState
	// sampledAt is when the last sample of any rank arrived.
	sampledAt time.Duration
	plannedAt time.Duration
	// maps is mapsOf, the map in use, in the planner's form.
	maps    []expertmap.Map
	mapsOf  mapswitch.Map
	invalid *invalidAnswers
	// shifts counts the demand changes seen. shiftedAt is when the first one that the map does
	// not follow yet was seen, zero for none.
	shifts    int
	shiftedAt time.Duration
	// lastRejected is the last plan that was not worth its cost.
	lastRejected rejectedPlan
}

// rejectedPlan records the demand for which the map in use is good enough.
type rejectedPlan struct {
	at     time.Duration
	skew   float64
	shifts int
}

// rankState is the last reported state of one rank.
type rankState struct {
	link    *ranklink.Link
	running int
	// slowdown is the rank's step time relative to the usual one, from one up.
	slowdown float64
	// stateAt is when the last state arrived.
	stateAt time.Duration
	sampleState
}

func newGroup(s *session, name id.Group, size int) *group {
	g := &group{
		name: name, size: size, cfg: s.cfg, experts: s.engine.Experts, requestSlots: s.engine.Slots,
		log: s.log, invalid: s.invalid,
		mapSwitch: mapswitch.New(mapswitch.Config{Ranks: size, MapTransferTime: mapTransferTime(size, s.engine.Experts)}, s.token),
		demand: expertmap.NewDemandEstimator(expertmap.DemandConfig{
			Sets: s.engine.Experts.LayerSets, Experts: s.engine.Experts.ExpertsPerSet, Ranks: size, TimeConstant: s.cfg.DemandTimeConstant,
			SampledRanks: s.cfg.sampledRankCount(size, s.engine.Slots),
		}),
		ranks:      make([]rankState, size),
		followTime: s.set.GetOrCreateHistogram(fmt.Sprintf("siskinford_map_follows_seconds{group=%q}", string(name))),
	}
	if !g.expertSlotsSuffice() {
		g.log.Warn().Str("event", "map.fixed").Int("ranks", size).Int("places", g.experts.SlotsPerRank).Int("experts", g.experts.ExpertsPerSet).
			Msg("expert slots of all ranks cannot hold every expert; keeping the initial map")
	}
	return g
}

const (
	// mapBytesPerExpert is the size of an expert in an encoded map.
	mapBytesPerExpert = 3
	// linkBytesPerSecond is a low estimate of the speed of an entry's link.
	linkBytesPerSecond = 10e6
)

// mapTransferTime returns the time that the maps of a change take on the entry's link: each
// rank gets the whole map.
func mapTransferTime(ranks int, e *routes.Experts) time.Duration {
	bytes := mapBytesPerExpert * e.LayerSets * e.SlotsPerRank * ranks * ranks
	return time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second))
}

// onState processes a state of the rank that the link reaches, and reports whether the rank's link
// changed.
func (g *group) onState(l *ranklink.Link, s *relay.State, now time.Duration) bool {
	m := &g.ranks[s.Rank]
	newLink := m.link != l
	if newLink {
		m.sampleState = sampleState{}
	}
	m.link, m.running, m.slowdown, m.stateAt = l, s.Running, s.Slowdown, now
	if s.Epoch != g.mapSwitch.Epoch() {
		g.demand.Reset()
		g.mapSwitch.Form(s.Epoch, now)
	}
	g.mapSwitch.Report(mapswitch.Report{
		Rank: s.Rank, Epoch: s.Epoch, Open: s.Open, Step: s.Step, Version: s.MapVersion,
		Prepared: s.Prepared, Armed: s.Armed, Held: s.Held,
	}, now)
	return newLink
}

// assembleMap sets the map in use once all ranks have reported their layouts.
func (g *group) assembleMap(layouts map[*ranklink.Link]relay.Layout) {
	if g.ranks[0].link == nil {
		return
	}
	first := layouts[g.ranks[0].link]
	if first.Experts == nil || first.Epoch != g.mapSwitch.Epoch() {
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
		layout := layouts[g.ranks[r].link]
		if layout.Epoch != first.Epoch || layout.Version != first.Version || len(layout.Experts) != g.experts.LayerSets {
			return
		}
		for s := range content {
			content[s][r] = layout.Experts[s]
		}
	}
	if err := g.validateMap(content); err != nil {
		g.invalid.add(nil, mapAnswer, err)
		return
	}
	g.mapSwitch.SetContent(first.Epoch, first.Version, content)
}

// validateMap requires each expert to be on a rank. The layouts of the ranks are valid by themselves.
func (g *group) validateMap(content mapswitch.Map) error {
	held := make([]bool, g.experts.ExpertsPerSet)
	for set, ranks := range content {
		clear(held)
		for _, experts := range ranks {
			for _, e := range experts {
				held[e] = true
			}
		}
		if e := slices.Index(held, false); e >= 0 {
			return fmt.Errorf("%w: no rank holds expert %d of set %d", relay.ErrInvalid, e, set)
		}
	}
	return nil
}

func (g *group) onSample(l *ranklink.Link, s *relay.Sample, now time.Duration) {
	if s.Epoch != g.mapSwitch.Epoch() {
		return
	}
	counts := make([]float64, len(s.Levels))
	for i, l := range s.Levels {
		counts[i] = relay.DecodeLevel(l)
	}
	rank := g.rankOf(l)
	g.sampledAt, g.ranks[rank].sampledAt = now, now
	if g.demand.AddSample(rank, counts, now) {
		g.measureFollowTime(now)
	}
}

// rankOf returns the rank that a link reaches, or -1.
func (g *group) rankOf(l *ranklink.Link) int {
	return slices.IndexFunc(g.ranks, func(m rankState) bool { return m.link == l })
}

// followedSkew is the skew up to which a map is taken to follow the demand.
const followedSkew = 1.3

// measureFollowTime measures how long the map takes to follow a change of demand.
func (g *group) measureFollowTime(now time.Duration) {
	if g.shifts != g.demand.Shifts() {
		if g.shiftedAt == 0 {
			g.shiftedAt = now
		}
		g.shifts = g.demand.Shifts()
	}
	version, content, ok := g.mapSwitch.Current()
	loads, known := g.demand.Loads()
	if g.shiftedAt == 0 || !ok || !known {
		return
	}
	if skew := meanSkew(g.plannerMaps(content), loads, nil); skew <= followedSkew {
		after := now - g.shiftedAt
		g.shiftedAt = 0
		g.followTime.Update(after.Seconds())
		g.log.Info().Str("event", "map.followed").Dur("after", after).Float64("skew", skew).Uint64("version", version).
			Msg("the map follows a change of demand")
	}
}

// expertSlotsSuffice reports whether the ranks' expert slots can hold every expert. If
// not, the ranks initially hold more experts than an order may name, and refuse every
// order.
func (g *group) expertSlotsSuffice() bool {
	return g.size*g.experts.SlotsPerRank >= g.experts.ExpertsPerSet
}

// changing reports whether a change is in progress.
func (g *group) changing() bool {
	return g.expertSlotsSuffice() && g.mapSwitch.Phase() != mapswitch.Idle
}

// advance plans if that is asked and no change is in progress, and returns the orders to send.
func (g *group) advance(now time.Duration, plan bool) []mapswitch.Order {
	if !g.expertSlotsSuffice() {
		return nil
	}
	orders := g.mapSwitch.Tick(now)
	if plan && g.mapSwitch.Phase() == mapswitch.Idle && g.startChange(now) {
		orders = append(orders, g.mapSwitch.Tick(now)...)
	}
	for _, e := range g.mapSwitch.Events() {
		g.log.Info().Str("event", "map."+e.Phase.String()).Uint64("version", e.Version).Uint64("step", e.Step).
			Uint64("epoch", g.mapSwitch.Epoch()).Msg(e.Reason)
	}
	return orders
}

// startChange plans and starts a change if the demand warrants one.
func (g *group) startChange(now time.Duration) bool {
	loads, ok := g.demand.Loads()
	if !ok || g.demand.Age(now) > g.cfg.MaxDemandAge || g.plannedAt >= now-g.cfg.PlanInterval {
		return false
	}
	version, content, ok := g.mapSwitch.Current()
	if !ok {
		return false
	}
	g.plannedAt = now
	maps := g.plannerMaps(content)
	slowdowns := g.plannerSlowdowns()
	skew := meanSkew(maps, loads, slowdowns)
	if g.lastRejected.shifts == g.demand.Shifts() && now-g.lastRejected.at < g.cfg.ReplanHoldoff && skew < g.lastRejected.skew+g.cfg.MinSkewReduction {
		return false
	}
	planner := expertmap.RoundPlanner{
		Ranks: g.size, Experts: g.experts.ExpertsPerSet, SlotsPerRank: g.experts.SlotsPerRank,
		MaxNewPerSet: g.experts.MaxNewPerMap, MaxCopiesPerRank: g.cfg.copiesPerRank(g.experts), MinGain: g.minGain(skew), Slowdowns: slowdowns,
	}
	p := planner.Plan(maps, loads)
	if p.SkewBefore-p.SkewAfter < g.cfg.MinSkewReduction {
		g.lastRejected = rejectedPlan{at: now, skew: skew, shifts: g.demand.Shifts()}
		return false
	}
	g.lastRejected = rejectedPlan{}
	g.log.Info().Str("event", "map.planned").Uint64("from_version", version).Int("copies", p.Copies).
		Float64("skew", p.SkewBefore).Float64("planned_skew", p.SkewAfter).
		Dur("demand_age", g.demand.Age(now)).Int("shifts", g.demand.Shifts()).Msg("map proposed")
	return g.mapSwitch.Start(fromMaps(p.Maps), now)
}

const (
	// busyUtilization is the fraction of slots in use from which a group counts as busy.
	busyUtilization = 0.6
	// skewedGainDivisor lowers the minimum gain of a copy until the skew is
	// followedSkewMargin below followedSkew.
	skewedGainDivisor  = 4
	followedSkewMargin = 0.03
	// maxIdleGainFactor bounds the increase of the minimum gain in idle groups.
	maxIdleGainFactor = 1.5
)

// minGain returns the minimum gain of a copy. With few requests, steps are short whatever
// the map; a map that does not follow the demand gains more from a change.
func (g *group) minGain(skew float64) float64 {
	running := 0
	for i := range g.ranks {
		running += g.ranks[i].running
	}
	utilization := float64(running) / float64(g.size*max(g.requestSlots, 1))
	factor := float64(maxIdleGainFactor)
	if utilization > 0 {
		factor = min(max(busyUtilization/utilization, 1), maxIdleGainFactor)
	}
	if skew > followedSkew-followedSkewMargin {
		factor /= skewedGainDivisor
	}
	return g.cfg.MinTotalGain / float64(g.size) * factor
}

// minSlowdown is the slowdown from which a rank counts as slow, above normal variation.
const minSlowdown = 1.25

// plannerSlowdowns returns the slowdowns, one for ranks that are not slow; nil if none is.
func (g *group) plannerSlowdowns() []float64 {
	if !slices.ContainsFunc(g.ranks, func(m rankState) bool { return m.slowdown >= minSlowdown }) {
		return nil
	}
	out := make([]float64, g.size)
	for i, m := range g.ranks {
		out[i] = 1
		if m.slowdown >= minSlowdown {
			out[i] = m.slowdown
		}
	}
	return out
}

// plannerMaps returns the map in use in the planner's form, cached until it changes.
func (g *group) plannerMaps(content mapswitch.Map) []expertmap.Map {
	if len(content) != len(g.mapsOf) || len(content) > 0 && &content[0] != &g.mapsOf[0] {
		g.maps, g.mapsOf = toMaps(content, g.experts.SlotsPerRank), content
	}
	return g.maps
}

// meanSkew returns the largest rank load over the mean, averaged over the sets. Rank loads
// are multiplied by slowdowns, which may be nil.
func meanSkew(maps []expertmap.Map, loads []expertmap.Load, slowdowns []float64) float64 {
	var sum float64
	for i, m := range maps {
		sum += m.WeightedSkew(loads[i], slowdowns)
	}
	return sum / float64(max(len(maps), 1))
}

func toMaps(content mapswitch.Map, slots int) []expertmap.Map {
	out := make([]expertmap.Map, len(content))
	for s, ranks := range content {
		out[s] = expertmap.NewMap(len(ranks), slots)
		for r, experts := range ranks {
			for i, e := range experts {
				if i < slots {
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
