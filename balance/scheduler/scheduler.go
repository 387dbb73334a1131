package scheduler

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Scheduler schedules the requests of one service. It is not safe for concurrent use.
type Scheduler struct {
	cfg       Config
	rng       *rand.Rand
	endpoints []*endpoint
	// preferred and others are the endpoints by Endpoint.Preferred, others in random order.
	preferred, others []*endpoint
	byName            map[id.Endpoint]*endpoint

	waiting []*Item // by sortKey
	// firstEventLatency and requestDuration estimate the times from the start of a
	// request to its first event and to its end.
	firstEventLatency, requestDuration estimate

	// down is true during an outage: all groups are down, or no endpoint can be reached.
	down, groupsDown bool
	zones            map[id.Zone]*zoneReach
	// downSince is the start of the last outage, lastDown the start of its last
	// uninterrupted part.
	downSince, lastDown time.Duration
	upSince             time.Duration
	// outageEstimates estimate the length of outages by their cause, cause is that of the last one.
	outageEstimates [outageCauses]time.Duration
	cause           outageCause
	// elsewhereAfter is the time after which a new connection of a client reaches another entry, negative
	// if this entry serves.
	elsewhereAfter time.Duration
	// cold is nil if no endpoint is ever cold.
	cold     ColdLimit
	breakers map[id.Group]*breaker
	// lastTrial is the last start of a request that by the estimates was too late to start.
	lastTrial time.Duration

	// periodStarts and lastPeriodStarts count the requests started in the current and
	// in the previous period.
	periodStart                    time.Duration
	periodStarts, lastPeriodStarts int
	// usualStarts is the moving average of the starts in a period without outages.
	usualStarts float64

	// ranked is true if requests compete by rank, as contention decides.
	ranked     bool
	contention contention
	// limits is nil if no limits are learnt.
	limits Limits
}

type endpoint struct {
	Endpoint
	ownLoad  Load
	peerLoad Load
	// suspectUntil is the time until which the endpoint is used only if no other is free.
	suspectUntil time.Duration
	// slowdown is the endpoint's step time relative to the usual one, at least one.
	slowdown float64
	// blocked is true while the endpoint's group is down.
	blocked bool
	// group is empty if unknown.
	group   id.Group
	backoff backoff
}

// usualStartsPeriods is the number of periods over which usualStarts averages.
const usualStartsPeriods = 4

// ratePeriod is the period in which starts are counted.
const ratePeriod = time.Second

// New returns a scheduler without endpoints.
func New(cfg Config, seed uint64) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed)), byName: make(map[id.Endpoint]*endpoint), breakers: make(map[id.Group]*breaker),
		zones:             make(map[id.Zone]*zoneReach),
		firstEventLatency: newEstimate(cfg.FirstEventLatency), requestDuration: newEstimate(cfg.RequestDuration), outageEstimates: [outageCauses]time.Duration{groupsDown: cfg.OutageDuration, zonesUnreachable: cfg.UnreachableDuration}, elsewhereAfter: -1,
		contention: newContention(),
	}
}

// SetEndpoints replaces the endpoints. The load of those that remain is kept.
func (s *Scheduler) SetEndpoints(list []Endpoint) {
	next := make(map[id.Endpoint]*endpoint, len(list))
	s.endpoints = s.endpoints[:0]
	for _, e := range list {
		old := s.byName[e.Name]
		if old == nil {
			old = &endpoint{slowdown: 1}
		}
		old.Endpoint = e
		next[e.Name] = old
		s.endpoints = append(s.endpoints, old)
	}
	s.groupByPreference()
	s.byName = next
	s.removeUnusedBreakers()
}

// SetPreferred sets which endpoints are the entry's share.
func (s *Scheduler) SetPreferred(preferred func(id.Endpoint) bool) {
	for _, e := range s.endpoints {
		e.Preferred = preferred(e.Name)
	}
	s.groupByPreference()
}

func (s *Scheduler) groupByPreference() {
	s.preferred, s.others = s.preferred[:0], s.others[:0]
	for _, e := range s.endpoints {
		if e.Preferred {
			s.preferred = append(s.preferred, e)
		} else {
			s.others = append(s.others, e)
		}
	}
}

// SetPeerLoad sets the load of other entries' requests at an endpoint.
func (s *Scheduler) SetPeerLoad(name id.Endpoint, l Load) {
	if e := s.byName[name]; e != nil {
		e.peerLoad = l
	}
}

// OwnLoad returns the load of this entry's requests at an endpoint.
func (s *Scheduler) OwnLoad(name id.Endpoint) Load {
	if e := s.byName[name]; e != nil {
		return e.ownLoad
	}
	return Load{}
}

// SetSlowdown sets an endpoint's step time relative to the usual one.
func (s *Scheduler) SetSlowdown(name id.Endpoint, slowdown float64) {
	if e := s.byName[name]; e != nil {
		e.slowdown = max(slowdown, 1)
	}
}

// SetUsable sets whether an endpoint may receive requests at all.
func (s *Scheduler) SetUsable(name id.Endpoint, usable bool) {
	if e := s.byName[name]; e != nil {
		e.Usable = usable
	}
}

// SetBlocked sets whether requests are kept from an endpoint because its group is down.
func (s *Scheduler) SetBlocked(name id.Endpoint, blocked bool) {
	if e := s.byName[name]; e != nil {
		e.blocked = blocked
	}
}

// Suspect deprioritizes an endpoint below all others until a time.
func (s *Scheduler) Suspect(name id.Endpoint, until time.Duration) {
	if e := s.byName[name]; e != nil {
		e.suspectUntil = until
	}
}

// SetDown sets whether all groups of the service are down.
func (s *Scheduler) SetDown(down bool, now time.Duration) {
	s.groupsDown = down
	s.updateOutage(now)
}

func (s *Scheduler) setDown(down bool, now time.Duration) {
	switch {
	case down && !s.down:
		// A group that was up only briefly is still in the same outage.
		if s.downSince == 0 || now-s.upSince >= minUptime {
			s.downSince = now
		}
		s.lastDown = now
	case !down && s.down:
		s.upSince = now
		if lasted := now - s.downSince; now-s.lastDown >= minOutage {
			// An outage has a weight of one half in the moving average.
			e := &s.outageEstimates[s.cause]
			*e = (*e + min(lasted, 2*s.cfg.outage(s.cause))) / 2
		}
	}
	s.down = down
}

// minOutage is the shortest outage that counts in the estimate. Shorter ones come
// from reports that were overtaken by the group's recovery.
const minOutage = time.Second

// minUptime is the least time between two outages. It exceeds the time in which
// ranks detect that another one is missing.
const minUptime = 2 * time.Second

// Down reports whether all groups are down or unreachable, and the start of the last outage.
func (s *Scheduler) Down() (bool, time.Duration) { return s.down, s.downSince }

func (s *Scheduler) recordStart(e *endpoint, r *Request, now time.Duration) {
	e.ownLoad.Running++
	e.ownLoad.PromptTokens += r.PromptTokens
	e.backoff.recordStart()
	s.recordZoneTrial(e, now)
	s.takeCold(e, now)
	s.countStart(now)
	if s.ranked {
		s.contention.recordStart(r, now)
	}
}

func (s *Scheduler) countStart(now time.Duration) {
	if elapsed := now - s.periodStart; elapsed >= ratePeriod {
		if !s.recovering(now) {
			s.usualStarts += (float64(s.periodStarts) - s.usualStarts) / usualStartsPeriods
		}
		s.lastPeriodStarts = s.periodStarts
		if elapsed >= 2*ratePeriod {
			s.lastPeriodStarts = 0
		}
		s.periodStarts, s.periodStart = 0, now
	}
	s.periodStarts++
}

// startRate estimates the requests that can start per second while all endpoints
// are busy: the recent start rate or the rate at which running requests end,
// whichever is higher.
func (s *Scheduler) startRate(now time.Duration) float64 {
	fraction := min(1, float64(now-s.periodStart)/float64(ratePeriod))
	recent := float64(s.periodStarts) + (1-fraction)*float64(s.lastPeriodStarts)
	own := 0
	for _, e := range s.endpoints {
		own += e.ownLoad.Running
	}
	rate := max(recent, float64(own)/max(s.requestDuration.at(now).mean, time.Millisecond).Seconds(), 1)
	if s.recovering(now) {
		rate = max(rate, s.usualStarts)
	}
	return rate
}

// recovering reports whether an outage or open breaker makes the starts of the last
// periods useless for predictions.
func (s *Scheduler) recovering(now time.Duration) bool {
	return s.down || len(s.breakers) > 0 || (s.upSince > 0 && now-s.upSince < 2*ratePeriod)
}

// freeCapacity returns the unused capacity of the usable endpoints.
func (s *Scheduler) freeCapacity(now time.Duration) int {
	sum := 0
	for _, e := range s.endpoints {
		if e.accepts(now) && !s.inUnreachableZone(e) {
			sum += s.coldStarts(e, max(s.limit(e, now)-e.ownLoad.Running-e.peerLoad.Running, 0), now)
		}
	}
	return sum
}

// RecordFirstEvent records the first event of a request, elapsed after its start.
func (s *Scheduler) RecordFirstEvent(name id.Endpoint, r *Request, elapsed, now time.Duration) {
	if e := s.byName[name]; e != nil {
		e.ownLoad.PromptTokens = max(e.ownLoad.PromptTokens-r.PromptTokens, 0)
		s.closeBreaker(e.group, now-elapsed)
		s.RecordReachable(e.Zone, now)
		e.backoff.recordEnd(now-elapsed, true)
	}
	s.firstEventLatency.add(elapsed, now)
}

// RecordEnd records the end of a request, elapsed after its start. answered is false if
// it had no first event.
func (s *Scheduler) RecordEnd(name id.Endpoint, r *Request, answered bool, elapsed, now time.Duration) {
	if answered {
		s.requestDuration.add(elapsed, now)
	}
	e := s.byName[name]
	if e == nil {
		return
	}
	e.ownLoad.Running = max(e.ownLoad.Running-1, 0)
	s.contention.budget++
	e.backoff.recordEnd(now-elapsed, answered)
	if !answered {
		e.ownLoad.PromptTokens = max(e.ownLoad.PromptTokens-r.PromptTokens, 0)
	}
}

// Submit schedules a request. The item's Decided is called before Submit returns
// or by a later call of Dispatch.
func (s *Scheduler) Submit(item *Item, now time.Duration) {
	item.sortKey = item.Request.Target + time.Duration(item.Request.Priority)*s.cfg.PriorityStep
	if item.Request.Resumed {
		item.sortKey = 0
	}
	if s.ranked {
		s.contention.recordSubmit(&item.Request, now)
	}
	s.updateOutage(now)
	if d, refused := s.refuseOnArrival(item, now); refused {
		s.decide(item, d, now)
		return
	}
	i := sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].sortKey > item.sortKey })
	s.waiting = slices.Insert(s.waiting, i, item)
	s.Dispatch(now)
	if !item.done && item.Queued != nil {
		item.Queued(s.occupancy())
	}
}

func (s *Scheduler) occupancy() Occupancy {
	return Occupancy{Running: s.running(), Capacity: s.capacity(), Waiting: len(s.waiting), Down: s.down}
}

// capacity returns the number of requests that the usable endpoints may have.
func (s *Scheduler) capacity() int {
	sum := 0
	for _, e := range s.endpoints {
		if s.serves(e) {
			sum += e.Slots + s.cfg.Overcommit
		}
	}
	return sum
}

// Withdraw removes an item from the queue. It has no effect after the decision.
func (s *Scheduler) Withdraw(item *Item) {
	item.done = true
	if i := slices.Index(s.waiting, item); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

func (s *Scheduler) decide(item *Item, d Decision, now time.Duration) {
	if item.done {
		return
	}
	item.done = true
	d.Waited = max(now-item.Request.Arrival, 0)
	d.Occupancy = s.occupancy()
	if s.down {
		d.DownFor = now - s.downSince
	}
	item.Decided(d)
}

// running returns the number of requests at all endpoints.
func (s *Scheduler) running() int {
	sum := 0
	for _, e := range s.endpoints {
		sum += e.ownLoad.Running + e.peerLoad.Running
	}
	return sum
}

// serves reports whether an endpoint is part of the service's capacity.
func (s *Scheduler) serves(e *endpoint) bool {
	return e.Usable && !e.blocked && !s.inUnreachableZone(e)
}

// busy returns the number of requests at the endpoints that are part of the capacity. Requests at
// others are stalled and take no slot of these.
func (s *Scheduler) busy() int {
	sum := 0
	for _, e := range s.endpoints {
		if s.serves(e) {
			sum += e.ownLoad.Running + e.peerLoad.Running
		}
	}
	return sum
}

// slots returns the number of slots of the usable endpoints.
func (s *Scheduler) slots(now time.Duration) int {
	sum := 0
	for _, e := range s.endpoints {
		if s.serves(e) {
			sum += s.usableSlots(e, now)
		}
	}
	return sum
}

// Waiting returns the number of requests in the queue.
func (s *Scheduler) Waiting() int { return len(s.waiting) }
