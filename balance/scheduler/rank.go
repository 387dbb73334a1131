package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Rank orders requests that compete for the endpoints of a service, the most urgent first: by the
// priority of the team, then by that of the route.
type Rank struct{ Team, Route int }

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Team, o.Team), cmp.Compare(r.Route, o.Route))
}

// Before reports whether requests of rank r go before those of rank o.
func (r Rank) Before(o Rank) bool { return r.compare(o) < 0 }

const (
	// usageHalfLife is the time after which a request counts half in the usage of its rank and
	// team: long enough to cover a wave of demand, short enough to follow a burst.
	usageHalfLife = 5 * time.Second
	// minServedFraction is the part of the usual fraction of started requests that each rank and each team
	// gets, whatever is more urgent. Callers may not be served less than a quarter as often as all.
	minServedFraction = 0.4
	// servedFractionStep lowers it for each more urgent rank, down to leastServedFraction: a rank with few requests at an entry
	// overshoots its floor, and would else be served more than a more urgent one.
	servedFractionStep  = 0.05
	leastServedFraction = 0.3
	// minUsage is the number of requests from which on a fraction of them is meaningful.
	minUsage = 4
	// minRankRate is the part of the start rate that remains for the least urgent requests in
	// predictions.
	minRankRate = 0.1
	// reservedFraction is the part of the slots that only the most urgent rank may take: some tens of milliseconds of its
	// arrivals, which then need not wait for the end of another request.
	reservedFraction = 0.05
	// forgottenUsage is the usage below which a team is forgotten.
	forgottenUsage = 0.01
	// fairShareExcess is how far the usage of a team may exceed the mean of the teams with requests before its
	// requests go after those of others with the same rank.
	fairShareExcess = 1.5
)

// usage counts the requests of a rank or a team, with exponential decay.
type usage struct {
	submitted, started float64
	at                 time.Duration
}

func (u *usage) decay(now time.Duration) {
	if now <= u.at {
		return
	}
	f := math.Exp2(-float64(now-u.at) / float64(usageHalfLife))
	u.submitted *= f
	u.started *= f
	u.at = now
}

// fraction returns the part of the requests that started, one if there are too few to tell.
func (u *usage) fraction(now time.Duration) float64 {
	u.decay(now)
	if u.submitted < minUsage {
		return 1
	}
	return u.started / u.submitted
}

// contention decides the order of requests that compete for too little capacity.
type contention struct {
	// all, ranks and teams count requests that were submitted and started.
	all   usage
	ranks map[Rank]*usage
	teams map[id.Team]*usage
	// arrivals are the rates at which requests of each rank arrive.
	arrivals map[Rank]*rateEstimate
	// peers are the requests that wait at other entries.
	peers []RankCount
	// budget is the number of requests that this entry may start before it hears of the others again, while requests wait
	// there too: its part of the free slots, and those that its own requests free.
	budget float64
}

// RankCount is a number of requests of a rank.
type RankCount struct {
	Rank  Rank
	Count int
}

// rateEstimate is a rate of arrivals, with exponential decay.
type rateEstimate struct {
	weight float64
	at     time.Duration
}

// arrivalHalfLife is the time after which an arrival counts half.
const arrivalHalfLife = time.Second

func (r *rateEstimate) add(now time.Duration) {
	r.weight = r.decayed(now) + 1
	r.at = now
}

func (r *rateEstimate) decayed(now time.Duration) float64 {
	return r.weight * math.Exp2(-float64(max(now-r.at, 0))/float64(arrivalHalfLife))
}

// perSecond returns the rate: the weight of a steady stream is the rate times the mean lifetime.
func (r *rateEstimate) perSecond(now time.Duration) float64 {
	return r.decayed(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

func newContention() contention {
	return contention{ranks: make(map[Rank]*usage), teams: make(map[id.Team]*usage), arrivals: make(map[Rank]*rateEstimate)}
}

func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// recordSubmit counts a request that arrives. A continued stream has been counted before.
func (c *contention) recordSubmit(r *Request, now time.Duration) {
	if r.Resumed {
		return
	}
	getOrCreate(c.arrivals, r.Rank).add(now)
	for _, u := range c.of(r) {
		u.decay(now)
		u.submitted++
	}
}

// recordStart counts a request that starts.
func (c *contention) recordStart(r *Request, now time.Duration) {
	if r.Resumed {
		return
	}
	for _, u := range c.of(r) {
		u.decay(now)
		u.started++
	}
}

func (c *contention) of(r *Request) [3]*usage {
	return [3]*usage{&c.all, getOrCreate(c.ranks, r.Rank), getOrCreate(c.teams, r.Team)}
}

// starves reports whether the rank or the team of a request is served so much less than all that it goes first. A
// rank does not pass a more urgent one that is served even less.
func (c *contention) starves(r *Request, now time.Duration) bool {
	all := c.all.fraction(now)
	own := getOrCreate(c.ranks, r.Rank).fraction(now)
	part := minServedFraction
	for rank, u := range c.ranks {
		if !rank.Before(r.Rank) {
			continue
		}
		if u.fraction(now) < min(own, minServedFraction*all) {
			return false
		}
		part -= servedFractionStep
	}
	floor := max(part, leastServedFraction) * all
	return own < floor || getOrCreate(c.teams, r.Team).fraction(now) < floor
}

// fairShare returns the usage beyond which a team has clearly more than the mean of the teams with requests. It
// forgets teams without recent requests.
func (c *contention) fairShare(now time.Duration) float64 {
	active := 0
	for team, u := range c.teams {
		switch u.decay(now); {
		case u.submitted >= 1:
			active++
		case u.submitted < forgottenUsage:
			delete(c.teams, team)
		}
	}
	if active < 2 {
		return math.Inf(1)
	}
	c.all.decay(now)
	return fairShareExcess * c.all.started / float64(active)
}

// waitingBefore returns the number of requests at other entries that go before a rank.
func (c *contention) waitingBefore(r Rank) int {
	sum := 0
	for _, p := range c.peers {
		if p.Rank.Before(r) {
			sum += p.Count
		}
	}
	return sum
}

// arrivalsBefore returns the rate of arrivals, per second, that go before a rank.
func (c *contention) arrivalsBefore(r Rank, now time.Duration) float64 {
	sum := 0.0
	for rank, e := range c.arrivals {
		if rank.Before(r) {
			sum += e.perSecond(now)
		}
	}
	return sum
}

// orderKey is the position of a waiting request at one time.
type orderKey struct {
	item    *Item
	resumed bool
	starved bool
	late    bool
	over    bool
}

// compare orders requests: streams to be continued, ranks and teams below their floor, then by rank, timely before late,
// teams within their fair share first, and by target.
func (a orderKey) compare(b orderKey) int {
	ra, rb := &a.item.Request, &b.item.Request
	return cmp.Or(
		first(a.resumed, b.resumed), first(a.starved, b.starved), ra.Rank.compare(rb.Rank), first(!a.late, !b.late),
		first(!a.over, !b.over), cmp.Compare(a.item.sortKey, b.item.sortKey),
	)
}

// first orders values that are true before those that are false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// byRank returns the waiting requests in the order in which they start.
func (s *Scheduler) byRank(now time.Duration) []orderKey {
	keys := make([]orderKey, len(s.waiting))
	starved := make(map[Rank]map[id.Team]bool)
	fair := s.contention.fairShare(now)
	for i, item := range s.waiting {
		r := &item.Request
		teams := starved[r.Rank]
		if teams == nil {
			teams = make(map[id.Team]bool)
			starved[r.Rank] = teams
		}
		if _, ok := teams[r.Team]; !ok {
			teams[r.Team] = s.contention.starves(r, now)
		}
		keys[i] = orderKey{
			item: item, resumed: r.Resumed, starved: teams[r.Team], late: s.isLate(r, now),
			over: getOrCreate(s.contention.teams, r.Team).started > fair,
		}
	}
	slices.SortStableFunc(keys, orderKey.compare)
	return keys
}

// dispatchByRank starts waiting requests in the order of byRank while there is capacity.
func (s *Scheduler) dispatchByRank(now time.Duration) {
	free := s.freeSlots(now)
	for _, k := range s.byRank(now) {
		r := &k.item.Request
		if !k.resumed && !s.mayUse(free, k, now) {
			continue
		}
		e := s.leastCost(r, now)
		if e == nil {
			continue
		}
		s.contention.budget--
		s.waiting = slices.DeleteFunc(s.waiting, func(w *Item) bool { return w == k.item })
		s.start(k.item, e, k.late, now)
		free--
	}
}

// expectedWaitByRank returns the time until a request starts that competes by rank: the more urgent ones that
// wait start before it, and those that will arrive meanwhile take their part of the starts.
func (s *Scheduler) expectedWaitByRank(item *Item, now time.Duration) time.Duration {
	r := &item.Request
	if s.contention.starves(r, now) {
		return 0 // It goes first.
	}
	ahead := 0
	for _, w := range s.waiting {
		if o := &w.Request; w != item && (o.Rank.Before(r.Rank) || o.Rank == r.Rank && w.sortKey <= item.sortKey && !s.isLate(o, now)) {
			ahead++
		}
	}
	if ahead -= max(s.freeCapacity(now)-s.contention.waitingBefore(r.Rank), 0); ahead <= 0 {
		return 0
	}
	rate := s.startRate(now)
	rate = max(rate-s.contention.arrivalsBefore(r.Rank, now), minRankRate*rate)
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// freeSlots returns the number of requests that may start before MaxUtilization is reached. Without any
// slot, one may start as a trial.
func (s *Scheduler) freeSlots(now time.Duration) int {
	slots := s.slots(now)
	if slots == 0 {
		return 1
	}
	return int(math.Ceil(s.cfg.MaxUtilization*float64(slots))) - s.busy()
}

// mayUse reports whether a request may use one of the free slots: more urgent requests that wait at other entries
// come first, except before a request whose rank or team starves.
func (s *Scheduler) mayUse(free int, k orderKey, now time.Duration) bool {
	if free <= 0 {
		return false
	}
	r := k.item.Request.Rank
	if len(s.contention.peers) > 0 && s.contention.budget < 1 && s.contention.arrivalsBefore(r, now) >= 1 {
		return false // The other entries see the same free slots.
	}
	return k.starved || free > s.contention.waitingBefore(r)+s.reserved(r, now)
}

// reserved returns the number of free slots that a rank leaves to more urgent ones that are in demand.
func (s *Scheduler) reserved(r Rank, now time.Duration) int {
	if s.contention.arrivalsBefore(r, now) < 1 {
		return 0
	}
	return int(reservedFraction * s.cfg.MaxUtilization * float64(s.slots(now)))
}

// WaitingByRank returns the number of waiting requests of each rank, the most urgent first.
func (s *Scheduler) WaitingByRank() []RankCount {
	var out []RankCount
	for _, item := range s.waiting {
		i, ok := slices.BinarySearchFunc(out, item.Request.Rank, func(c RankCount, r Rank) int { return c.Rank.compare(r) })
		if !ok {
			out = slices.Insert(out, i, RankCount{Rank: item.Request.Rank})
		}
		out[i].Count++
	}
	return out
}

// SetPeerWaiting sets the number of requests that wait at other entries. It is called after SetPeerLoad.
func (s *Scheduler) SetPeerWaiting(waiting []RankCount, now time.Duration) {
	s.contention.peers = waiting
	elsewhere := 0
	for _, w := range waiting {
		elsewhere += w.Count
	}
	own := len(s.waiting)
	s.contention.budget = 0
	if own > 0 {
		s.contention.budget = s.rng.Float64() + float64(max(s.freeSlots(now), 0))*float64(own)/float64(own+elsewhere)
	}
}

// SetRanked sets whether requests compete by rank.
func (s *Scheduler) SetRanked(ranked bool) { s.ranked = ranked }
