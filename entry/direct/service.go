package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/outlier"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// dispatchInterval is the time between dispatches of waiting requests. Their targets are
// at least ten times as long.
const dispatchInterval = 10 * time.Millisecond

// Service assigns the requests of one service to endpoints and tracks the state of its
// endpoints. It is safe for concurrent use.
type Service struct {
	log     zerolog.Logger
	name    id.Service
	start   time.Time
	entries func() int
	// lastEvent is the time of the last event of any stream, in nanoseconds since start.
	lastEvent  atomic.Int64
	quarantine *partQuarantine
	// learner is nil unless limits are learnt.
	learner *limitLearner

	mu        sync.Mutex // leaf lock; guards all below
	config    routes.Service
	scheduler *scheduler.Scheduler
	cold      *coldEndpoints
	durations durationStats
	detector  *outlier.Detector
	window    *retry.Window
	backends  map[id.Endpoint]*Backend
	// names are the sorted endpoint names and nameHashes their hashes, computed on demand.
	names      []id.Endpoint
	nameHashes []uint32
	// replaced holds the endpoints whose address belongs to another instance now.
	replaced map[id.Endpoint]bool
	// evacuated holds the zones that are out of service. All are if it is nil.
	evacuated evacuatedZones
	// departures holds the endpoints that said that they are leaving, backoffs when those that
	// asked for a pause accept requests again.
	departures map[id.Endpoint]departure
	backoffs   map[id.Endpoint]time.Duration
	set        *metrics.Set
	// place is the entry's position among placeCount entries; both are zero in a small fleet.
	place, placeCount int
	dispatchScheduled bool
	// peerLoadsAt is when loads of other entries last arrived.
	peerLoadsAt time.Time
}

func newService(c routes.Service, opt Options, evacuated evacuatedZones) *Service {
	s := &Service{
		log: opt.Log, name: c.Name, start: time.Now(), peerLoadsAt: time.Now(), entries: opt.Entries, config: c,
		detector: outlier.New(outlier.Config{}), window: retry.NewWindow(opt.Retries),
		backends: make(map[id.Endpoint]*Backend), replaced: make(map[id.Endpoint]bool),
		departures: make(map[id.Endpoint]departure), backoffs: make(map[id.Endpoint]time.Duration), set: opt.Metrics,
		quarantine: newPartQuarantine(c.Name, opt), evacuated: evacuated,
	}
	s.scheduler = scheduler.New(schedulerConfig(c), rand.Uint64())
	s.scheduler.SetRanked(s.config.Ranked())
	s.cold = newColdEndpoints(s, opt)
	s.scheduler.SetColdLimit(s.cold.limiter)
	if opt.LearnLimits {
		s.learner = newLimitLearner(s)
		s.scheduler.SetLimits(s.learner.learner)
	}
	return s
}

// plainOvercommit is the number of requests beyond its slots that an endpoint without an
// engine may have, so that no slot stays idle for a round trip.
const plainOvercommit = 4

func schedulerConfig(s routes.Service) scheduler.Config {
	if s.Engine == nil {
		return scheduler.Config{Overcommit: plainOvercommit, FirstEventLatency: 50 * time.Millisecond, OutageDuration: time.Second}
	}
	e := s.Engine
	wholeAnswer := e.MeanAnswerTokens * float64(e.FullLoadStepTime())
	c := scheduler.Config{FirstEventLatency: 150 * time.Millisecond, RequestDuration: time.Duration(wholeAnswer)}
	if e.StepTimePerSequence > 0 {
		c.StepOverhead = float64(e.StepTime) / float64(e.StepTimePerSequence)
	}
	return c
}

// configure applies a newer configuration of the service.
func (s *Service) configure(c routes.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	s.scheduler.SetRanked(s.config.Ranked())
	s.cold.configure(c)
}

// routePriorities returns the different priorities of the service's routes.
func (s *Service) routePriorities() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.RoutePriorities
}

// stallTimeout returns the time without a new pass after which a group counts as down.
func (s *Service) stallTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Engine == nil {
		return minStallTimeout
	}
	return max(minStallTimeout, stallTimeoutPasses*s.config.Engine.FullLoadPassTime())
}

func (s *Service) now() time.Duration { return time.Since(s.start) }

// setBackends replaces the endpoints.
func (s *Service) setBackends(list []*Backend) {
	endpoints := make([]scheduler.Endpoint, 0, len(list))
	backends := make(map[id.Endpoint]*Backend, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range list {
		backends[b.Name] = b
	}
	s.backends, s.names = backends, nil
	for name := range s.replaced {
		if backends[name] == nil {
			delete(s.replaced, name)
		}
	}
	s.pruneSignals()
	for _, b := range list {
		e := b.Endpoint()
		slots := e.Slots
		if s.config.Engine != nil {
			slots = s.config.Engine.Slots
		}
		endpoints = append(endpoints, scheduler.Endpoint{Name: e.Name, Zone: e.Zone, Slots: max(slots, 1), Usable: s.isUsable(e)})
	}
	s.scheduler.SetEndpoints(endpoints)
	s.learner.setEndpoints(endpoints)
	s.applyShare()
	for name, until := range s.backoffs {
		s.scheduler.BackOff(name, until)
	}
	s.cold.setBackends(list)
	s.detector.Retain(func(name id.Endpoint) bool { return backends[name] != nil })
	s.dispatch()
}

// Slot is the permission to send one request to one endpoint.
type Slot struct {
	Backend  *Backend
	Decision scheduler.Decision
	// LoadsAge is the time since loads of other entries last arrived.
	LoadsAge time.Duration
	// registration is the revision of the endpoint's registration.
	registration uint64
	service      *Service
	request      *scheduler.Request
	started      time.Duration
	answered     bool
	// concurrent is the number of the entry's requests at the endpoint when this one started.
	concurrent int
	pauses     pauseMeter
	// hung is true after RecordHang; guarded by Service.mu.
	hung bool
}

// Acquire waits until the request may be sent to an endpoint. If the request has to wait,
// it calls queued, which must not block. Without a slot the decision holds the reason; it
// is empty if ctx ended.
func (s *Service) Acquire(ctx context.Context, r scheduler.Request, queued func(scheduler.Occupancy)) (*Slot, scheduler.Decision) {
	decided := make(chan scheduler.Decision, 1)
	item := &scheduler.Item{Request: r, Decided: func(d scheduler.Decision) { decided <- d }, Queued: queued}
	s.mu.Lock()
	s.cold.countDeferred()
	s.scheduler.Submit(item, s.now())
	s.dispatch()
	s.mu.Unlock()
	select {
	case d := <-decided:
		return s.slot(item, d)
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.scheduler.Withdraw(item)
	s.mu.Unlock()
	select {
	case d := <-decided:
		if slot, _ := s.slot(item, d); slot != nil {
			slot.Release(Neutral)
		}
	default:
	}
	return nil, scheduler.Decision{}
}

func (s *Service) slot(item *scheduler.Item, d scheduler.Decision) (*Slot, scheduler.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Endpoint == "" {
		return nil, s.explainEvacuation(d)
	}
	b := s.backends[d.Endpoint]
	if b == nil {
		return nil, scheduler.Decision{Reason: scheduler.NoEndpoint} // It was removed in the meantime.
	}
	return &Slot{
		Backend: b, Decision: d, LoadsAge: time.Since(s.peerLoadsAt), registration: b.Endpoint().RegistrationRevision,
		service: s, request: &item.Request, started: s.now(), concurrent: s.scheduler.OwnLoad(b.Name).Running,
	}, d
}

// dispatch starts requests that are due, and repeats at an interval while requests wait.
// The caller holds mu.
func (s *Service) dispatch() {
	s.scheduler.Dispatch(s.now())
	if s.scheduler.Waiting() == 0 || s.dispatchScheduled {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(dispatchInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchScheduled = false
		s.dispatch()
	})
}

// Outcome is the result of an attempt as a sign of the endpoint's health.
type Outcome uint8

const (
	// Neutral attempts say nothing about the endpoint.
	Neutral Outcome = iota
	// Succeeded attempts got a response.
	Succeeded
	// Failed attempts failed through the endpoint's fault.
	Failed
	// Hung attempts got no data for too long while other endpoints responded.
	Hung
)

// String returns the value of the label outcome of siskinford_attempts_total.
func (o Outcome) String() string {
	return [...]string{"neutral", "succeeded", "failed", "hung"}[o]
}

// RecordFirstEvent records the first event of a stream, or a buffered response.
func (x *Slot) RecordFirstEvent() {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.answered {
		return
	}
	x.answered = true
	now := s.now()
	s.logBreakerChange(x.Backend.Name, "response received", func() {
		s.scheduler.RecordFirstEvent(x.Backend.Name, x.request, now-x.started, now)
	})
}

// RecordEvent records an event of a stream.
func (x *Slot) RecordEvent() {
	now := x.service.now()
	x.service.lastEvent.Store(int64(now))
	x.recordPause(now)
}

// RecordHang records that the request got no data for too long while other endpoints responded. It goes on.
func (x *Slot) RecordHang() {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.hung {
		return
	}
	x.hung = true
	now := s.now()
	if until := s.suspectUntil(x.Backend.Name, Hung, now); until > now {
		s.scheduler.Suspect(x.Backend.Name, until)
	}
}

// Release frees the slot. It must be called exactly once.
func (x *Slot) Release(o Outcome) {
	s := x.service
	s.set.GetOrCreateCounter(fmt.Sprintf("siskinford_attempts_total{outcome=%q,service=%q}", o, string(s.name))).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.learner.observeEnd(x, o, now)
	s.scheduler.RecordEnd(x.Backend.Name, x.request, x.answered, now-x.started, now)
	if o == Succeeded {
		s.durations.add(now - x.started)
	}
	if o != Hung || !x.hung {
		if until := s.suspectUntil(x.Backend.Name, o, now); until > now {
			s.scheduler.Suspect(x.Backend.Name, until)
		}
	}
	s.dispatch()
}

// suspectUntil records an outcome and returns until when the endpoint is suspect. The
// caller holds mu.
func (s *Service) suspectUntil(name id.Endpoint, o Outcome, now time.Duration) time.Duration {
	switch o {
	case Succeeded, Failed:
		return s.detector.Record(name, o == Succeeded, now)
	case Hung:
		return s.detector.RecordHang(name, now)
	}
	return 0
}

// MarkReplaced takes an endpoint out of use whose address belongs to another instance.
func (s *Service) MarkReplaced(name id.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced[name] = true
	s.scheduler.SetUsable(name, false)
}

// MarkUnreachable makes an endpoint the last choice for unreachableDuration.
func (s *Service) MarkUnreachable(name id.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.scheduler.Suspect(name, now+unreachableDuration)
	if s.scheduler.RecordUnreachable(name, now) {
		s.logReach(name, "zone.unreachable")
		s.dispatch()
	}
}

// recordReachable records a sign of life from an endpoint's zone. The caller holds mu.
func (s *Service) recordReachable(name id.Endpoint, at time.Duration) {
	b := s.backends[name]
	if b != nil && s.scheduler.RecordReachable(b.Endpoint().Zone, at) {
		s.logReach(name, "zone.reachable")
		s.dispatch()
	}
}

// unreachable reports whether this entry can reach no endpoint of the service that could serve.
func (s *Service) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Unreachable()
}

// setElsewhere sets after which time new connections of clients reach another entry, negative if this one serves.
func (s *Service) setElsewhere(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetElsewhere(after)
	s.dispatch()
}

// logReach logs that the zone of an endpoint was lost or is reachable again. The caller holds mu.
func (s *Service) logReach(name id.Endpoint, event string) {
	zone := id.Zone("")
	if b := s.backends[name]; b != nil {
		zone = b.Endpoint().Zone
	}
	down, _ := s.scheduler.Down()
	s.log.Info().Str("event", event).Str("service", string(s.name)).Str("endpoint", string(name)).Str("zone", string(zone)).
		Int("zones", s.scheduler.UnreachableZones()).Bool("down", down).Int("waiting", s.scheduler.Waiting()).Send()
}

// unreachableDuration is the time for which an endpoint is avoided after a failed
// connection attempt.
const unreachableDuration = time.Second

// countSignal counts a signal of an endpoint.
func (s *Service) countSignal(kind string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("siskinford_endpoint_signals_total{kind=%q,service=%q}", kind, string(s.name))).Inc()
}

// CountRequest counts a client request for the retry budget.
func (s *Service) CountRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.RecordRequest(s.now())
}

// AcquireRetry takes a retry from the shared budget and reports whether one was left.
func (s *Service) AcquireRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.AcquireRetry(s.now(), s.entries())
}

// HasRetry reports whether the shared budget has a retry left now.
func (s *Service) HasRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Remaining(s.now(), s.entries()) > 0
}

// ReportGroupDown records that an endpoint refused a request because its group is down.
func (s *Service) ReportGroupDown(name id.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logBreakerChange(name, "request refused: group is down", func() { s.scheduler.TripBreaker(name, s.now()) })
	s.dispatch()
}

// logBreakerChange runs change and logs a new number of groups with an open circuit
// breaker. The caller holds mu.
func (s *Service) logBreakerChange(name id.Endpoint, why string, change func()) {
	before := s.scheduler.OpenBreakers()
	change()
	if after := s.scheduler.OpenBreakers(); after != before {
		s.log.Info().Str("event", "group.doubt").Str("service", string(s.name)).Str("endpoint", string(name)).Int("in_doubt", after).
			Int("waiting", s.scheduler.Waiting()).Msg(why)
	}
}

// setDown sets whether all groups of the service are down. The caller holds mu.
func (s *Service) setDown(down bool) {
	s.scheduler.SetDown(down, s.now())
	if !down {
		s.dispatch()
	}
}

// RankStatus is the polled state of the rank behind an endpoint.
type RankStatus struct {
	// Group is empty if unknown.
	Group     id.Group
	GroupDown bool
	// Slowdown is the rank's step time relative to the usual one, zero if unknown.
	Slowdown float64
	// ProgressAt is when the group was last seen to begin a pass or a new formation.
	ProgressAt time.Time
	// SeenAt is when the rank was last heard of, zero for never.
	SeenAt time.Time
}

// SetRanks sets the state of the ranks behind the endpoints. Endpoints missing from ranks
// count as down if unknownDown is true. It reports whether the service went down or came
// back.
func (s *Service) SetRanks(ranks map[id.Endpoint]RankStatus, unknownDown bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := len(s.backends) > 0
	for name := range s.backends {
		r, ok := ranks[name]
		if !ok {
			r.GroupDown = unknownDown
		}
		if !r.SeenAt.IsZero() {
			s.recordReachable(name, r.SeenAt.Sub(s.start))
		}
		s.scheduler.SetBlocked(name, r.GroupDown)
		s.scheduler.SetSlowdown(name, r.Slowdown)
		if r.Group != "" {
			s.scheduler.SetGroup(name, r.Group)
			s.learner.setGroup(name, r.Group)
			s.logBreakerChange(name, "group made progress", func() { s.scheduler.RecordGroupProgress(r.Group, r.ProgressAt.Sub(s.start)) })
		}
		down = down && r.GroupDown
	}
	was, _ := s.scheduler.Down()
	s.setDown(down)
	return was != down
}

// Down reports whether all groups of the service are down.
func (s *Service) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	down, _ := s.scheduler.Down()
	return down
}

// setPeerLoads replaces the loads that other entries cause at the endpoints, and the requests that wait there.
func (s *Service) setPeerLoads(loads loadsByHash, waiting map[scheduler.Rank]int, learnt peersLearnt, receivedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if receivedAt.After(s.peerLoadsAt) {
		s.peerLoadsAt = receivedAt
	}
	names, hashes := s.endpointNamesLocked()
	for i, name := range names {
		s.scheduler.SetPeerLoad(name, loads[hashes[i]])
	}
	counts := make([]scheduler.RankCount, 0, len(waiting))
	for rank, n := range waiting {
		counts = append(counts, scheduler.RankCount{Rank: rank, Count: n})
	}
	s.scheduler.SetPeerWaiting(counts, s.now())
	s.learner.setPeers(names, hashes, loads, learnt)
	s.dispatch()
}

// SinceLastEvent returns the time since the last event of any stream of the service.
func (s *Service) SinceLastEvent() time.Duration {
	return s.now() - time.Duration(s.lastEvent.Load())
}
