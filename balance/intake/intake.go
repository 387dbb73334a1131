package intake

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Scheduler decides on the requests of one service. It is not safe for concurrent use.
type Scheduler struct {
	cfg       Config
	rng       *rand.Rand
	endpoints []*endpoint
	byName    map[id.Endpoint]*endpoint

	waiting []*Ticket // by key
	// first and whole follow the times from the start of a request to its first
	// event and to its end.
	first, whole estimate

	down bool
	// downSince is the begin of the last outage, wentDown the last time at which
	// the group was found down in it.
	downSince, wentDown time.Duration
	upSince             time.Duration
	outage              time.Duration
	doubts              map[id.Group]*doubt

	// starts counts what was started in the current and in the last period.
	periodStart          time.Duration
	started, lastStarted int
	// usual is the usual number of starts in a period.
	usual float64
}

type endpoint struct {
	Endpoint
	own    Load
	others Load
	// suspect is the time until which the endpoint is used only if no other is free.
	suspect time.Duration
	// pace is above one while the endpoint is slow.
	pace float64
	// blocked is true while the endpoint's group is down and others are not.
	blocked bool
	// group is empty as long as it is not known.
	group id.Group
}

// usualWeight is the number of periods over which the usual starts are taken.
const usualWeight = 4

// ratePeriod is the time over which starts are counted.
const ratePeriod = time.Second

// New returns an intake without endpoints.
func New(cfg Config, seed uint64) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed)), byName: make(map[id.Endpoint]*endpoint), doubts: make(map[id.Group]*doubt),
		first: newEstimate(cfg.FirstEventLatency), whole: newEstimate(cfg.RequestDuration), outage: cfg.OutageDuration,
	}
}

// SetEndpoints replaces the endpoints. The load of those that remain is kept.
func (n *Scheduler) SetEndpoints(list []Endpoint) {
	next := make(map[id.Endpoint]*endpoint, len(list))
	n.endpoints = n.endpoints[:0]
	for _, e := range list {
		old := n.byName[e.Name]
		if old == nil {
			old = &endpoint{pace: 1}
		}
		old.Endpoint = e
		next[e.Name] = old
		n.endpoints = append(n.endpoints, old)
	}
	n.byName = next
	n.forgetDoubts()
}

// SetPeerLoad replaces what other entries run at an endpoint.
func (n *Scheduler) SetPeerLoad(name id.Endpoint, l Load) {
	if e := n.byName[name]; e != nil {
		e.others = l
	}
}

// OwnLoad returns what this entry runs at an endpoint.
func (n *Scheduler) OwnLoad(name id.Endpoint) Load {
	if e := n.byName[name]; e != nil {
		return e.own
	}
	return Load{}
}

// SetSlowdown tells how much slower than usual an endpoint is; one is usual.
func (n *Scheduler) SetSlowdown(name id.Endpoint, pace float64) {
	if e := n.byName[name]; e != nil {
		e.pace = max(pace, 1)
	}
}

// SetUsable tells whether an endpoint may receive requests at all.
func (n *Scheduler) SetUsable(name id.Endpoint, usable bool) {
	if e := n.byName[name]; e != nil {
		e.Usable = usable
	}
}

// SetBlocked keeps requests from an endpoint whose group is down.
func (n *Scheduler) SetBlocked(name id.Endpoint, blocked bool) {
	if e := n.byName[name]; e != nil {
		e.blocked = blocked
	}
}

// Suspect makes an endpoint the last choice until a time.
func (n *Scheduler) Suspect(name id.Endpoint, until time.Duration) {
	if e := n.byName[name]; e != nil {
		e.suspect = until
	}
}

// SetDown tells whether the group is down.
func (n *Scheduler) SetDown(down bool, now time.Duration) {
	switch {
	case down && !n.down:
		// A group that was up for a moment only is still in the same outage.
		if n.downSince == 0 || now-n.upSince >= minUp {
			n.downSince = now
		}
		n.wentDown = now
	case !down && n.down:
		n.upSince = now
		if lasted := now - n.downSince; now-n.wentDown >= minOutage {
			// The last outage tells half of the next estimate.
			n.outage = (n.outage + min(lasted, 2*n.cfg.OutageDuration)) / 2
		}
	}
	n.down = down
}

// minOutage is the least outage that tells about others. Shorter ones are looks
// that crossed the return of the group.
const minOutage = time.Second

// minUp is the least time between two outages, longer than ranks take to notice
// that another one is missing.
const minUp = 2 * time.Second

// Down reports whether the group is down, and since when.
func (n *Scheduler) Down() (bool, time.Duration) { return n.down, n.downSince }

func (n *Scheduler) start(e *endpoint, r *Request, now time.Duration) {
	e.own.Running++
	e.own.PromptTokens += r.PromptTokens
	n.count(now)
}

func (n *Scheduler) count(now time.Duration) {
	if elapsed := now - n.periodStart; elapsed >= ratePeriod {
		if !n.recovering(now) {
			n.usual += (float64(n.started) - n.usual) / usualWeight
		}
		n.lastStarted = n.started
		if elapsed >= 2*ratePeriod {
			n.lastStarted = 0
		}
		n.started, n.periodStart = 0, now
	}
	n.started++
}

// rate returns the requests that can be started per second while all endpoints
// are busy: as many as lately, or as many as end.
func (n *Scheduler) rate(now time.Duration) float64 {
	part := min(1, float64(now-n.periodStart)/float64(ratePeriod))
	lately := float64(n.started) + (1-part)*float64(n.lastStarted)
	own := 0
	for _, e := range n.endpoints {
		own += e.own.Running
	}
	rate := max(lately, float64(own)/max(n.whole.mean, time.Millisecond).Seconds(), 1)
	if n.recovering(now) {
		rate = max(rate, n.usual)
	}
	return rate
}

// recovering reports whether the starts of the last periods say nothing about
// the next one, since a group is in doubt or was down.
func (n *Scheduler) recovering(now time.Duration) bool {
	return n.down || len(n.doubts) > 0 || (n.upSince > 0 && now-n.upSince < 2*ratePeriod)
}

// free returns the places at the endpoints that may be used.
func (n *Scheduler) free() int {
	sum := 0
	for _, e := range n.endpoints {
		if e.Usable && !e.blocked {
			sum += max(e.Slots+n.cfg.Overcommit-e.own.Running-e.others.Running, 0)
		}
	}
	return sum
}

// FirstEvent records that a started request has its first event, after a time.
func (n *Scheduler) FirstEvent(name id.Endpoint, r *Request, after, now time.Duration) {
	if e := n.byName[name]; e != nil {
		e.own.PromptTokens = max(e.own.PromptTokens-r.PromptTokens, 0)
		n.alive(e.group, now-after)
	}
	n.first.add(after)
}

// Ended records that a started request ended after a time. Answered is false if
// it had no first event.
func (n *Scheduler) Ended(name id.Endpoint, r *Request, answered bool, after time.Duration) {
	if answered {
		n.whole.add(after)
	}
	e := n.byName[name]
	if e == nil {
		return
	}
	e.own.Running = max(e.own.Running-1, 0)
	if !answered {
		e.own.PromptTokens = max(e.own.PromptTokens-r.PromptTokens, 0)
	}
}

// Submit asks for a request to be started. The ticket's Decided is called by
// this call or by a later one of Pump.
func (n *Scheduler) Submit(t *Ticket, now time.Duration) {
	t.key = t.Request.Target + time.Duration(t.Request.Priority)*n.cfg.PriorityStep
	if t.Request.Resumed {
		t.key = 0
	}
	if d, refused := n.refuseAtOnce(t, now); refused {
		n.decide(t, d, now)
		return
	}
	i := sort.Search(len(n.waiting), func(i int) bool { return n.waiting[i].key > t.key })
	n.waiting = slices.Insert(n.waiting, i, t)
	n.Dispatch(now)
	if !t.done && t.Queued != nil {
		t.Queued(n.standing())
	}
}

func (n *Scheduler) standing() Occupancy {
	return Occupancy{Running: n.running(), Capacity: n.places(), Waiting: len(n.waiting), Down: n.down}
}

// places returns the requests that the usable endpoints may have together.
func (n *Scheduler) places() int {
	sum := 0
	for _, e := range n.endpoints {
		if e.Usable && !e.blocked {
			sum += e.Slots + n.cfg.Overcommit
		}
	}
	return sum
}

// Withdraw takes a ticket back. It has no effect once the ticket was decided.
func (n *Scheduler) Withdraw(t *Ticket) {
	t.done = true
	if i := slices.Index(n.waiting, t); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
}

func (n *Scheduler) decide(t *Ticket, d Decision, now time.Duration) {
	if t.done {
		return
	}
	t.done = true
	d.Waited = max(now-t.Request.Arrival, 0)
	d.Occupancy = n.standing()
	if n.down {
		d.DownFor = now - n.downSince
	}
	t.Decided(d)
}

// running returns the requests at all endpoints.
func (n *Scheduler) running() int {
	sum := 0
	for _, e := range n.endpoints {
		sum += e.own.Running + e.others.Running
	}
	return sum
}

// slots returns the slots of the usable endpoints.
func (n *Scheduler) slots() int {
	sum := 0
	for _, e := range n.endpoints {
		if e.Usable && !e.blocked {
			sum += e.Slots
		}
	}
	return sum
}

// Waiting returns the number of requests that wait.
func (n *Scheduler) Waiting() int { return len(n.waiting) }

// estimate follows a duration and its spread.
type estimate struct{ mean, deviation time.Duration }

const estimateWeight = 16

func newEstimate(d time.Duration) estimate { return estimate{mean: d, deviation: d / 4} }

func (e *estimate) add(d time.Duration) {
	diff := d - e.mean
	e.mean += diff / estimateWeight
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) / estimateWeight
}

// upper returns a time that most observations do not exceed.
func (e *estimate) upper() time.Duration { return e.mean + e.deviation }
