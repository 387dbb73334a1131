package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/balance/outlier"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// pumpInterval is the time between looks at waiting requests. Their targets are
// at least ten times as long.
const pumpInterval = 10 * time.Millisecond

// Service decides where the requests of one service go and holds what the entry
// learns of its endpoints. It is safe for concurrent use.
type Service struct {
	log     zerolog.Logger
	name    id.Service
	began   time.Time
	entries func() int
	// lastEvent is when any stream of the service last had an event, in
	// nanoseconds since began.
	lastEvent atomic.Int64

	mu       sync.Mutex // leaf lock; guards all below
	config   routes.Service
	intake   *intake.Scheduler
	detector *outlier.Detector
	window   *retry.Window
	backends map[id.Endpoint]*Backend
	// names are the endpoints in order and namesHash their hash, nil until they are asked for.
	names     []id.Endpoint
	namesHash uint32
	// replaced holds the endpoints whose address another instance has.
	replaced map[id.Endpoint]bool
	pumping  bool
	// othersAt is when other entries last told their loads.
	othersAt time.Time
}

func newService(c routes.Service, opt Options) *Service {
	s := &Service{
		log: opt.Log, name: c.Name, began: time.Now(), othersAt: time.Now(), entries: opt.Entries, config: c,
		detector: outlier.New(outlier.Config{}), window: retry.NewWindow(opt.Retries),
		backends: make(map[id.Endpoint]*Backend), replaced: make(map[id.Endpoint]bool),
	}
	s.intake = intake.New(intakeConfig(c), rand.Uint64())
	return s
}

// plainOvercommit is the number of requests beyond its slots that a plain
// endpoint may have, so that a slot does not stay free for a way there and back.
const plainOvercommit = 4

func intakeConfig(s routes.Service) intake.Config {
	if s.Engine == nil {
		return intake.Config{Overcommit: plainOvercommit, FirstEventLatency: 50 * time.Millisecond, OutageDuration: time.Second}
	}
	e := s.Engine
	whole := e.MeanAnswerTokens * float64(e.FullLoadStepTime())
	c := intake.Config{FirstEventLatency: 150 * time.Millisecond, RequestDuration: time.Duration(whole)}
	if e.StepTimePerSequence > 0 {
		c.StepOverhead = float64(e.StepTime) / float64(e.StepTimePerSequence)
	}
	return c
}

// configure takes over a newer configuration of the service.
func (s *Service) configure(c routes.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
}

// stalledAfter returns the time without a new pass after which a group of the
// service counts as down.
func (s *Service) stalledAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Engine == nil {
		return minStalled
	}
	return max(minStalled, stalledPasses*s.config.Engine.FullLoadPassTime())
}

func (s *Service) now() time.Duration { return time.Since(s.began) }

// setBackends replaces the endpoints.
func (s *Service) setBackends(list []*Backend) {
	endpoints := make([]intake.Endpoint, 0, len(list))
	backends := make(map[id.Endpoint]*Backend, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range list {
		e := b.Endpoint()
		slots := e.Slots
		if s.config.Engine != nil {
			slots = s.config.Engine.Slots
		}
		endpoints = append(endpoints, intake.Endpoint{Name: e.Name, Slots: max(slots, 1), Usable: !e.Draining && !s.replaced[e.Name]})
		backends[e.Name] = b
	}
	for name := range s.replaced {
		if backends[name] == nil {
			delete(s.replaced, name)
		}
	}
	s.backends, s.names = backends, nil
	s.intake.SetEndpoints(endpoints)
	s.detector.Retain(func(name id.Endpoint) bool { return backends[name] != nil })
	s.pump()
}

// Slot is the right to send one request to one endpoint.
type Slot struct {
	Backend  *Backend
	Decision intake.Decision
	// LoadsAge is the time since other entries last told their loads.
	LoadsAge time.Duration
	service  *Service
	request  *intake.Request
	started  time.Duration
	answered bool
}

// Acquire waits until the request may be sent to an endpoint. It calls queued,
// which may log but not block, if the request has to wait. Without a slot the decision
// tells why; it is empty if ctx ended.
func (s *Service) Acquire(ctx context.Context, r intake.Request, queued func(intake.Occupancy)) (*Slot, intake.Decision) {
	decided := make(chan intake.Decision, 1)
	t := &intake.Ticket{Request: r, Decided: func(d intake.Decision) { decided <- d }, Queued: queued}
	s.mu.Lock()
	s.intake.Submit(t, s.now())
	s.pump()
	s.mu.Unlock()
	select {
	case d := <-decided:
		return s.slot(t, d)
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.intake.Withdraw(t)
	s.mu.Unlock()
	select {
	case d := <-decided:
		if slot, _ := s.slot(t, d); slot != nil {
			slot.Release(Neutral)
		}
	default:
	}
	return nil, intake.Decision{}
}

func (s *Service) slot(t *intake.Ticket, d intake.Decision) (*Slot, intake.Decision) {
	if d.Endpoint == "" {
		return nil, d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[d.Endpoint]
	if b == nil {
		return nil, intake.Decision{Reason: intake.NoEndpoint} // It left in this moment.
	}
	return &Slot{
		Backend: b, Decision: d, LoadsAge: time.Since(s.othersAt), service: s, request: &t.Request, started: s.now(),
	}, d
}

// pump starts what is due, and again at an interval while requests wait. The
// caller holds mu.
func (s *Service) pump() {
	s.intake.Dispatch(s.now())
	if s.intake.Waiting() == 0 || s.pumping {
		return
	}
	s.pumping = true
	time.AfterFunc(pumpInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pumping = false
		s.pump()
	})
}

// Outcome tells what a try says of its endpoint.
type Outcome uint8

const (
	// Neutral tries say nothing.
	Neutral Outcome = iota
	// Succeeded tries were answered.
	Succeeded
	// Failed tries failed by the endpoint's fault.
	Failed
	// Hung tries got no word for too long while other endpoints answered.
	Hung
)

// RecordFirstEvent records the first event of a stream, or the answer.
func (x *Slot) RecordFirstEvent() {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.answered {
		return
	}
	x.answered = true
	now := s.now()
	s.tellDoubt(x.Backend.Name, "it began an answer", func() {
		s.intake.FirstEvent(x.Backend.Name, x.request, now-x.started, now)
	})
}

// RecordEvent records an event of a stream.
func (x *Slot) RecordEvent() { x.service.lastEvent.Store(int64(x.service.now())) }

// Release frees the slot. It must be called once.
func (x *Slot) Release(o Outcome) {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intake.Ended(x.Backend.Name, x.request, x.answered, s.now()-x.started)
	now := s.now()
	if until := s.judge(x.Backend.Name, o, now); until > now {
		s.intake.Suspect(x.Backend.Name, until)
	}
	s.pump()
}

// judge returns the time until which an endpoint is suspect after a try. The
// caller holds mu.
func (s *Service) judge(name id.Endpoint, o Outcome, now time.Duration) time.Duration {
	switch o {
	case Succeeded, Failed:
		return s.detector.Record(name, o == Succeeded, now)
	case Hung:
		return s.detector.RecordHang(name, now)
	}
	return 0
}

// MarkReplaced takes an endpoint out of use whose address another instance has.
func (s *Service) MarkReplaced(name id.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced[name] = true
	s.intake.SetUsable(name, false)
}

// MarkUnreachable makes an endpoint the last choice for a moment.
func (s *Service) MarkUnreachable(name id.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intake.Suspect(name, s.now()+unreachableFor)
}

// unreachableFor is the time for which an endpoint is avoided to which no
// connection could be opened.
const unreachableFor = time.Second

// CountRequest counts a request of a client.
func (s *Service) CountRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.RecordRequest(s.now())
}

// AcquireRetry takes a further try from the budget of all entries.
func (s *Service) AcquireRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.AllowRetry(s.now(), s.entries())
}

// ReportGroupDown records that an endpoint refused a request because its group is down.
func (s *Service) ReportGroupDown(name id.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellDoubt(name, "it refused a request because its group is down", func() { s.intake.TripBreaker(name, s.now()) })
	s.pump()
}

// tellDoubt logs whether a change puts an endpoint's group in doubt or ends the
// doubt. The caller holds mu.
func (s *Service) tellDoubt(name id.Endpoint, why string, change func()) {
	before := s.intake.OpenBreakers()
	change()
	if after := s.intake.OpenBreakers(); after != before {
		s.log.Info().Str("event", "group.doubt").Str("service", string(s.name)).Str("endpoint", string(name)).Int("in_doubt", after).
			Int("waiting", s.intake.Waiting()).Msg(why)
	}
}

// setDown tells whether all groups of the service are down. The caller holds mu.
func (s *Service) setDown(down bool) {
	s.intake.SetDown(down, s.now())
	if !down {
		s.pump()
	}
}

// RankStatus is what was seen of the rank behind an endpoint.
type RankStatus struct {
	// Group is empty if it is not known.
	Group id.Group
	// GroupDown is true if the group is down.
	GroupDown bool
	// Pace is above one while the rank is slow, zero if it is not known.
	Pace float64
	// ProgressAt is when the rank was last seen to have begun a pass or to belong to a
	// group formed anew.
	ProgressAt time.Time
}

// SetRanks tells what was seen of the ranks behind the endpoints. Endpoints that
// were not seen yet are taken to be blocked if others is true. It reports whether
// the service went down or came back.
func (s *Service) SetRanks(seen map[id.Endpoint]RankStatus, others bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := len(s.backends) > 0
	for name := range s.backends {
		r, ok := seen[name]
		if !ok {
			r.GroupDown = others
		}
		s.intake.SetBlocked(name, r.GroupDown)
		s.intake.SetSlowdown(name, r.Pace)
		if r.Group != "" {
			s.intake.SetGroup(name, r.Group)
			s.tellDoubt(name, "its group was seen to go on", func() { s.intake.GroupProgressed(r.Group, r.ProgressAt.Sub(s.began)) })
		}
		down = down && r.GroupDown
	}
	was, _ := s.intake.Down()
	s.setDown(down)
	return was != down
}

// Down reports whether the group of the service is down.
func (s *Service) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	down, _ := s.intake.Down()
	return down
}

// SetRemoteLoads replaces what other entries run at endpoints, as last heard.
func (s *Service) SetRemoteLoads(names []id.Endpoint, loads []intake.Load, heard time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if heard.After(s.othersAt) {
		s.othersAt = heard
	}
	for i, name := range names {
		s.intake.SetPeerLoad(name, loads[i])
	}
	s.pump()
}

// SinceLastEvent returns the time since any stream of the service had an event.
func (s *Service) SinceLastEvent() time.Duration {
	return s.now() - time.Duration(s.lastEvent.Load())
}
