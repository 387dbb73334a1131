package queue_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinford/siskinford/agent/queue"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// simulation runs a queue and an engine in virtual time. In each step every
// sequence of the batch produces one token.
type simulation struct {
	slots       int
	step        time.Duration // of an empty batch
	perSequence time.Duration
	resumeSteps int // steps without a token after a resume
}

// job is one arrival with its progress.
type job struct {
	item                   queue.Item
	arrival                time.Duration
	started, ended         time.Duration // notYet before that
	remaining, resumeDelay int
	paused                 bool
	pauses                 int
}

const notYet = -1

// workload describes Poisson arrivals; the share longShare has longTimes as many tokens.
type workload struct {
	seed      uint64
	duration  time.Duration
	rate      float64 // arrivals per second
	longShare float64
	longTimes int
	minTokens int
	maxTokens int
}

func (w workload) jobs() []*job {
	random := rand.New(rand.NewPCG(w.seed, 1))
	var jobs []*job
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / w.rate * float64(time.Second))
		if at >= w.duration {
			return jobs
		}
		tokens := w.minTokens + random.IntN(w.maxTokens-w.minTokens+1)
		item := queue.Item{
			Attempt: id.Attempt(fmt.Sprintf("att_%06d", n)),
			Team:    id.Team(fmt.Sprintf("team-%d", random.IntN(10))),
		}
		if random.Float64() < w.longShare {
			tokens *= w.longTimes
			item.Class = msg.ClassLong
		}
		item.Work = uint32(tokens)
		jobs = append(jobs, &job{item: item, arrival: at, started: notYet, ended: notYet, remaining: tokens})
	}
}

// withoutLong returns copies of the short jobs.
func withoutLong(jobs []*job) []*job {
	return slices.DeleteFunc(copyJobs(jobs), func(j *job) bool { return j.item.Class == msg.ClassLong })
}

func copyJobs(jobs []*job) []*job {
	copies := make([]*job, len(jobs))
	for i, j := range jobs {
		copied := *j
		copies[i] = &copied
	}
	return copies
}

// simRun is the state of one simulation.
type simRun struct {
	simulation
	queue    queue.Queue
	now      time.Duration
	arrivals []*job
	jobs     map[id.Attempt]*job
	active   []*job
}

var simStart = time.Unix(1_000_000, 0)

// run simulates up to the time until, or until all work is done.
func (s simulation) run(q queue.Queue, jobs []*job, until time.Duration) {
	st := &simRun{simulation: s, queue: q, arrivals: jobs, jobs: make(map[id.Attempt]*job)}
	for st.now < until && st.arrive() {
		st.decide()
		st.advance()
	}
}

// arrive pushes the jobs that have arrived and reports whether any work is left.
func (s *simRun) arrive() bool {
	if len(s.active)+s.queue.Len() == 0 {
		if len(s.arrivals) == 0 {
			return false
		}
		s.now = max(s.now, s.arrivals[0].arrival)
	}
	for len(s.arrivals) > 0 && s.arrivals[0].arrival <= s.now {
		j := s.arrivals[0]
		s.arrivals = s.arrivals[1:]
		s.jobs[j.item.Attempt] = j
		if err := s.queue.Push(j.item, simStart.Add(j.arrival)); err != nil {
			panic(err)
		}
	}
	return true
}

func (s *simRun) decide() {
	active := make([]queue.Active, len(s.active))
	for i, j := range s.active {
		active[i] = queue.Active{Attempt: j.item.Attempt, Remaining: uint32(j.remaining), Paused: j.paused}
	}
	d := s.queue.Next(simStart.Add(s.now), active)
	for _, attempt := range d.Pause {
		s.jobs[attempt].paused = true
		s.jobs[attempt].pauses++
	}
	for _, attempt := range d.Resume {
		s.jobs[attempt].paused = false
		s.jobs[attempt].resumeDelay = s.resumeSteps
	}
	for _, item := range d.Start {
		j := s.jobs[item.Attempt]
		j.started = s.now
		s.active = append(s.active, j)
	}
}

// advance runs one step.
func (s *simRun) advance() {
	running := 0
	for _, j := range s.active {
		if !j.paused {
			running++
		}
	}
	if running > s.slots {
		panic("the batch holds more sequences than slots")
	}
	s.now += s.step + time.Duration(running)*s.perSequence
	kept := s.active[:0]
	for _, j := range s.active {
		s.token(j)
		if j.remaining > 0 {
			kept = append(kept, j)
		} else {
			j.ended = s.now
		}
	}
	s.active = kept
}

func (s *simRun) token(j *job) {
	switch {
	case j.paused:
	case j.resumeDelay > 0:
		j.resumeDelay--
	default:
		j.remaining--
	}
}

// summary holds the measurements of one run.
type summary struct {
	shortP95   time.Duration // wait until the start
	longMax    time.Duration // wait until the start
	longTokens int
	longMean   time.Duration // from arrival to end, of ended jobs
	maxPauses  int
	pauseRate  float64 // per second
}

func summarize(jobs []*job, until time.Duration) summary {
	var s summary
	var short, long []time.Duration
	var longTime time.Duration
	longEnded := 0
	for _, j := range jobs {
		wait := until - j.arrival
		if j.started != notYet {
			wait = j.started - j.arrival
		}
		if j.item.Class == msg.ClassShort {
			short = append(short, wait)
			continue
		}
		long = append(long, wait)
		s.longTokens += int(j.item.Work) - j.remaining
		s.maxPauses = max(s.maxPauses, j.pauses)
		s.pauseRate += float64(j.pauses) / until.Seconds()
		if j.ended != notYet {
			longTime += j.ended - j.arrival
			longEnded++
		}
	}
	s.shortP95 = quantile(short, 0.95)
	s.longMax = quantile(long, 1)
	s.longMean = longTime / time.Duration(max(longEnded, 1))
	return s
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(i, 0)]
}
