package route_test

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/prefix"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
)

// backend is one endpoint.
type backend struct {
	route.Endpoint
	index   int
	step    time.Duration
	lost    bool
	failing bool
	queue   []*run
	queued  uint64 // tokens of the queue
	running map[*run]bool
	cached  []uint64 // oldest first
	events  []prefix.Event
	seq     uint64
	reports uint64
}

// run is one attempt at an endpoint.
type run struct {
	job   *job
	entry *frontend
	c     route.Choice
	sent  time.Duration
	ends  time.Duration
}

func (s *sim) backend(e id.Endpoint) *backend {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.Name == e })
	return s.backends[i]
}

func (s *sim) receive(b *backend, r *run) {
	switch {
	case b.lost:
		s.after(simLostTimeout, func() { s.lose(r) })
	case b.failing:
		s.after(s.distance(r.entry, r.c), func() { s.refuse(r) })
	default:
		b.queue = append(b.queue, r)
		b.queued += uint64(r.job.work())
		s.start(b)
	}
}

func (s *sim) lose(r *run) {
	r.entry.table.RecordFailure(r.c, s.clock())
	r.entry.table.RecordFinish(r.c, s.clock())
	s.result.failed++
}

// refuse handles an endpoint's refusal, after which the request has not run.
func (s *sim) refuse(r *run) {
	r.entry.table.RecordFinish(r.c, s.clock())
	r.entry.table.RecordFailure(r.c, s.clock())
	r.job.tried = append(r.job.tried, r.c.Endpoint)
	if !s.budget {
		s.after(0, func() { s.try(r.entry, r.job) })
		return
	}
	delay, ok := r.entry.budget.Decide(retry.Attempt{
		Outcome: outcome.NotRun, Number: r.job.attempts, Deadline: simEpoch.Add(r.job.deadline), Now: s.clock(),
	})
	if !ok {
		s.result.failed++
		return
	}
	s.after(delay, func() { s.try(r.entry, r.job) })
}

// start fills the free slots of an endpoint.
func (s *sim) start(b *backend) {
	for len(b.queue) > 0 && len(b.running) < simSlots {
		r := b.queue[0]
		b.queue = b.queue[1:]
		b.queued -= uint64(r.job.work())
		b.running[r] = true
		hit := b.hit(r.job.prompt)
		s.result.cached += hit
		s.result.blocks += len(r.job.prompt)
		steps := 1 + (len(r.job.prompt)-hit)*simBlock/simPrefill
		first := time.Duration(steps) * b.step
		r.ends = s.now + first + time.Duration(r.job.answer)*b.step
		s.after(first, func() { s.first(b, r) })
		s.after(r.ends-s.now, func() { s.end(b, r) })
	}
}

func (s *sim) first(b *backend, r *run) {
	b.store(r.job.prompt)
	if b.lost {
		return
	}
	s.after(s.distance(r.entry, r.c), func() {
		seen := s.now - r.sent
		r.entry.table.Observe(r.c, seen, s.clock())
		r.entry.admit.Observe(r.c.Expected, seen, s.clock())
		total := s.now - r.job.arrived
		s.result.first = append(s.result.first, total)
		if s.now <= r.job.deadline {
			s.result.good++
		}
		if s.now < s.duration {
			s.result.served++
			s.result.teamWork[r.job.team] += float64(r.job.answer)
		}
	})
}

func (s *sim) end(b *backend, r *run) {
	delete(b.running, r)
	if b.lost {
		s.after(simLostTimeout, func() { r.entry.table.RecordFinish(r.c, s.clock()) })
		return
	}
	s.after(s.distance(r.entry, r.c), func() { r.entry.table.RecordFinish(r.c, s.clock()) })
	s.start(b)
}

func (s *sim) loseZone() {
	for _, b := range s.backends {
		if b.Zone != s.lostZone {
			continue
		}
		b.lost = true
		for _, r := range b.queue {
			s.after(simLostTimeout, func() { s.lose(r) })
		}
		b.queue = nil
	}
}

const simCacheBlocks = 256

func (b *backend) hit(prompt []uint64) int {
	n := 0
	for n < len(prompt) && slices.Contains(b.cached, prompt[n]) {
		n++
	}
	return n
}

// store caches the blocks of a prompt and evicts the least recently used ones.
func (b *backend) store(prompt []uint64) {
	for i := len(prompt) - 1; i >= 0; i-- {
		block := prompt[i]
		if at := slices.Index(b.cached, block); at >= 0 {
			b.cached = slices.Delete(b.cached, at, at+1)
		} else {
			b.event(prefix.Event{Block: block})
		}
		b.cached = append(b.cached, block)
	}
	for len(b.cached) > simCacheBlocks {
		b.event(prefix.Event{Block: b.cached[0], Evicted: true})
		b.cached = b.cached[1:]
	}
}

func (b *backend) event(e prefix.Event) {
	b.seq++
	e.Seq = b.seq
	b.events = append(b.events, e)
}

// report sends the load and the cache events to all entries.
func (s *sim) report(b *backend) {
	if s.now > s.duration+10*time.Second || b.lost {
		return
	}
	s.after(simReportEvery, func() { s.report(b) })
	b.reports++
	r := route.Report{
		Endpoint: b.Name, Incarnation: "i", Seq: b.reports, Healthy: true, Slots: simSlots, StepTime: b.step,
		Queued: uint32(len(b.queue)), QueuedTokens: b.queued, Running: uint32(len(b.running)), Age: s.lag,
	}
	if s.hidden {
		r.StepTime = simStep
	}
	for q := range b.running {
		r.RunningTokens += uint64(max(q.ends-s.now, 0) / b.step)
	}
	if b.index == s.misreporting {
		r.Queued, r.Running, r.QueuedTokens, r.RunningTokens = 0, 0, 0, 0
	}
	changes := b.events
	b.events = nil
	for _, f := range s.frontends {
		if s.rng.Float64() < s.lostFraction {
			continue
		}
		lost := s.gaps && s.rng.IntN(50) == 0
		s.after(s.lag+simNetwork, func() {
			f.table.Report(r, s.clock())
			if !lost && !f.index.Apply(b.Name, "i", changes) && len(changes) > 0 {
				s.resync(f, b)
			}
		})
	}
}

// resync sends the whole cache to an entry that missed events.
func (s *sim) resync(f *frontend, b *backend) {
	s.after(time.Second, func() {
		seq := b.seq - uint64(len(b.events))
		f.index.ApplySnapshot(b.Name, "i", seq, b.cached)
	})
}
