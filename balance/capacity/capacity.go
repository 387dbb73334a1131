// Package capacity learns how many concurrent requests each endpoint of a service takes
// well, and how fast it is, from the durations of its answers.
//
// An endpoint whose answers take more than proportionally longer beyond some concurrency
// has a knee, which becomes its limit. An endpoint that is slow at each concurrency keeps
// its limit, and its speed enters the choice. Evidence is forgotten within seconds, and
// limits without evidence rise to the configured ones.
//
// A Learner has neither clock nor goroutines. Times are durations since an arbitrary
// fixed origin.
package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the settings of a Learner. Zero values select the defaults.
type Config struct {
	// HalfLife is the age at which an observation counts half. Default: 2 s.
	HalfLife time.Duration
	// RaiseInterval is the time after which a limit without evidence rises by one. Default: 500 ms.
	RaiseInterval time.Duration
	// ProbeInterval is the time between two downward probes of an endpoint. Default: 4 s.
	ProbeInterval time.Duration
	// ProbeLength is the time after which a downward probe that found nothing ends. Default: 500 ms.
	ProbeLength time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.HalfLife, 2*time.Second)
	setDefault(&c.RaiseInterval, 500*time.Millisecond)
	setDefault(&c.ProbeInterval, 4*time.Second)
	setDefault(&c.ProbeLength, 500*time.Millisecond)
	return c
}

func setDefault(p *time.Duration, v time.Duration) {
	if *p == 0 {
		*p = v
	}
}

// Endpoint is an endpoint as configured.
type Endpoint struct {
	Name id.Endpoint
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Overcommit is the number of requests beyond the slots that it may have.
	Overcommit int
	// Shared is true for ranks, whose pace is that of their group. They have no limit of
	// their own, and are observed only while their group is known.
	Shared bool
}

// Learner learns the limits of one service. It is not safe for concurrent use.
type Learner struct {
	cfg       Config
	endpoints map[id.Endpoint]*endpoint
	// pacers holds the statistics of each endpoint without a group and of each group, in
	// the order of their addition.
	pacers []*pacer
	groups map[id.Group]*pacer
	// own is the median of the pacers' times by this entry's observations, in seconds, and usual the median of it and
	// peerUsual; reference follows decreases of it at once and increases slowly. Zero means unknown.
	own, usual, reference float64
	peerUsual             []time.Duration
	// total holds the sums of all endpoints' averages by concurrency.
	total       []average
	evaluatedAt time.Duration
}

type endpoint struct {
	Endpoint
	group id.Group
	// pacer is nil for ranks without a known group.
	pacer *pacer
	// peerLoad is the moving average of the others' requests.
	peerLoad   float64
	peerLoadAt time.Duration
	// peers are the reports of other entries.
	peers []Report
	// told is the combined report of the peers, and the zero Report without a quorum.
	told Report
	// toldSpeed follows the speed in told.
	toldSpeed float64
}

// pacer is an endpoint, or a group of them, with a pace of its own.
type pacer struct {
	slots, most int
	shared      bool
	// averages are those of the normalized times by concurrency, the last for all above.
	averages  []average
	decayedAt time.Duration
	// batch holds the observations of the last batchLength, and batches
	// the means of former ones. Answers that run at the same time share a queue that the entry does
	// not see, so that they are no independent evidence.
	batch, batches average
	batchAt        time.Duration
	// unseen is the average fraction of the concurrent requests that other entries sent. The more of them, the
	// greater the differences that hidden queues cause.
	unseen float64
	// limit is the learnt limit, at most most.
	limit     int
	changedAt time.Duration
	probedAt  time.Duration
	// probedFrom is the limit before the downward probe that runs, zero without one.
	probedFrom int
	// speed is the relative time, one if it is not known to differ; estimate is the same with less
	// evidence, for a vote of several entries.
	speed, estimate float64
	// knee is the last limit from evidence and growth the relative time beyond it, while the
	// evidence lasts. A knee of zero means none.
	knee   int
	growth float64
}

// average is a decayed sum of observations.
type average struct{ weight, sum, squares float64 }

func (a *average) add(b average) {
	a.weight += b.weight
	a.sum += b.sum
	a.squares += b.squares
}

func (a *average) subtract(b average) {
	a.weight -= b.weight
	a.sum -= b.sum
	a.squares -= b.squares
}

func (a average) mean() float64 { return a.sum / a.weight }

// deviation returns the standard deviation, at least a third of the mean: a few equal
// observations prove little.
func (a average) deviation() float64 {
	m := a.mean()
	return max(math.Sqrt(max(a.squares/a.weight-m*m, 0)), m/3)
}

const (
	// evaluateInterval is the time between evaluations.
	evaluateInterval = 100 * time.Millisecond // as the shortest exchange of loads
	// minWeight is the weight of observations below which they are no evidence.
	minWeight = 4
	// maxTime bounds a normalized time, so that single long answers decide nothing.
	maxTime = 6
	// maxSpeed bounds relative speeds.
	maxSpeed = 6
	// minSpeedDifference is the least difference of speeds that counts if all requests are seen, and
	// unseenSpeedDifference what is added if none are.
	minSpeedDifference    = 0.2
	unseenSpeedDifference = 0.6
	// unseenStep is the weight of an observation in the fraction of unseen requests.
	unseenStep = 0.05
	// significance and voteSignificance are numbers of standard errors. The time that requests wait
	// in hidden queues varies more than the errors tell, hence the high value.
	significance     = 5
	voteSignificance = 2.5
	// batchLength exceeds the time for which a queue usually lasts. minBatches is the number of batches
	// from which their variance counts.
	batchLength = time.Second
	minBatches  = 2
	// speedStep is the part of a change of speed that takes effect in each evaluation. Entries that learn
	// at once would otherwise all turn to another endpoint at once.
	speedStep = 0.2
	// usefulFraction is the fraction of the best useful concurrency at which the limit is set.
	usefulFraction = 0.92
	// minGrowth is the least relative time above a limit to that below it if all requests are seen, and
	// unseenGrowth what is added if none are.
	minGrowth    = 1.35
	unseenGrowth = 1.15
	// probeSpeed is the relative time from which an endpoint is probed at a lower concurrency, and
	// probeFraction that concurrency as a fraction of the limit.
	probeSpeed    = 1.6
	probeFraction = 0.75
	// maxUnseen is the fraction of unseen requests up to which an entry learns a limit. With more, it knows
	// the concurrency too late, and its limit does not decide how many requests the endpoint has.
	maxUnseen = 0.75
	// maxProbedFraction bounds the endpoints that are probed at once.
	maxProbedFraction = 0.25
	// minLimitFraction is the least limit as a fraction of the slots.
	minLimitFraction = 0.25
	// referenceRise is the time constant at which the reference follows a longer usual time.
	referenceRise = time.Minute
)

// New returns a learner without endpoints.
func New(cfg Config) *Learner {
	return &Learner{cfg: cfg.withDefaults(), endpoints: make(map[id.Endpoint]*endpoint), groups: make(map[id.Group]*pacer)}
}

// SetEndpoints replaces the endpoints. What is known of those that remain is kept.
func (l *Learner) SetEndpoints(list []Endpoint) {
	next := make(map[id.Endpoint]*endpoint, len(list))
	for _, e := range list {
		old := l.endpoints[e.Name]
		if old == nil || old.Endpoint != e {
			old = &endpoint{Endpoint: e, toldSpeed: 1}
			if !e.Shared {
				old.pacer = newPacer(e.Slots, e.Overcommit, false)
			}
		}
		next[e.Name] = old
	}
	l.endpoints = next
	l.listPacers()
}

// SetGroup sets the group of a rank.
func (l *Learner) SetGroup(name id.Endpoint, group id.Group) {
	e := l.endpoints[name]
	if e == nil || !e.Shared || e.group == group {
		return
	}
	e.group = group
	l.listPacers()
}

// listPacers lists the pacers in use.
func (l *Learner) listPacers() {
	l.pacers = l.pacers[:0]
	used := make(map[id.Group]*pacer)
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		e := l.endpoints[name]
		if e.Shared {
			if e.group == "" {
				continue
			}
			if used[e.group] != nil {
				e.pacer = used[e.group]
				continue
			}
			if e.pacer = l.groups[e.group]; e.pacer == nil {
				e.pacer = newPacer(1, 0, true)
			}
			used[e.group] = e.pacer
		}
		l.pacers = append(l.pacers, e.pacer)
	}
	l.groups = used
}

func newPacer(slots, overcommit int, shared bool) *pacer {
	p := &pacer{slots: max(slots, 1), most: max(slots, 1) + overcommit, shared: shared, unseen: 1, speed: 1, estimate: 1, growth: 1}
	p.limit = p.most
	p.averages = make([]average, p.most+1)
	return p
}

// loadTime is the time constant of the average of the others' requests. It covers several exchanges
// in small fleets.
const loadTime = 500 * time.Millisecond

// SetPeerLoad records the requests of other entries at an endpoint, as last told. Their average counts: an
// entry sends requests where it believes too low a number, so that the number of the moment is too
// low on average, by which an endpoint would look slow.
func (l *Learner) SetPeerLoad(name id.Endpoint, running int, now time.Duration) {
	e := l.endpoints[name]
	if e == nil {
		return
	}
	weight := 1 - math.Exp(-float64(now-e.peerLoadAt)/float64(loadTime))
	e.peerLoad += (float64(running) - e.peerLoad) * weight
	e.peerLoadAt = now
}

// Observe records that an answer took a duration at an endpoint that had a number of
// concurrent requests of this entry, the answered one included.
func (l *Learner) Observe(name id.Endpoint, concurrent int, duration, now time.Duration) {
	e := l.endpoints[name]
	if e == nil || e.pacer == nil || duration <= 0 {
		return
	}
	l.evaluate(now)
	p := e.pacer
	p.unseen += (e.peerLoad/(e.peerLoad+float64(max(concurrent, 1))) - p.unseen) * unseenStep
	concurrent += int(math.Round(e.peerLoad))
	p.decay(now, l.cfg.HalfLife)
	if p.shared {
		concurrent = 0
	}
	concurrent = max(min(concurrent, p.most), 0)
	t := duration.Seconds() / p.proportion(concurrent)
	if l.usual > 0 {
		t = min(t, maxTime*l.usual)
	}
	p.averages[concurrent].add(average{1, t, t * t})
	p.batch.add(average{1, t, t * t})
}

// proportion returns the time at a concurrency relative to that of a request alone, at an
// endpoint that queues requests beyond its slots.
func (p *pacer) proportion(concurrent int) float64 {
	return max(1, float64(concurrent)/float64(p.slots))
}

func (p *pacer) decay(now, halfLife time.Duration) {
	if now <= p.decayedAt {
		return
	}
	f := math.Exp2(-float64(now-p.decayedAt) / float64(halfLife))
	p.decayedAt = now
	for i := range p.averages {
		a := &p.averages[i]
		a.weight, a.sum, a.squares = a.weight*f, a.sum*f, a.squares*f
	}
	b := &p.batches
	b.weight, b.sum, b.squares = b.weight*f, b.sum*f, b.squares*f
}

// endBatch ends the current batch of observations if it is complete.
func (p *pacer) endBatch(now time.Duration) {
	if now-p.batchAt < batchLength {
		return
	}
	p.batchAt = now
	if p.batch.weight > 0 {
		m := p.batch.mean()
		p.batches.add(average{1, m, m * m})
	}
	p.batch = average{}
}

// relativeError returns the standard error of the mean time relative to it.
func (p *pacer) relativeError(a average) float64 {
	e := a.deviation() / a.mean() / math.Sqrt(a.weight)
	if b := p.batches; b.weight >= minBatches {
		m := b.mean()
		e = max(e, math.Sqrt(max(b.squares/b.weight-m*m, 0)/b.weight)/m)
	}
	return e
}

// between returns the average over concurrencies from and to.
func (p *pacer) between(from, to int) average {
	return sum(p.averages[from : to+1])
}

func sum(list []average) (out average) {
	for _, a := range list {
		out.add(a)
	}
	return out
}

// evaluate updates limits and speeds if that is due.
func (l *Learner) evaluate(now time.Duration) {
	elapsed := now - l.evaluatedAt
	if elapsed < evaluateInterval {
		return
	}
	l.evaluatedAt = now
	for _, p := range l.pacers {
		p.decay(now, l.cfg.HalfLife)
		p.endBatch(now)
	}
	l.sumPacers()
	for _, e := range l.endpoints {
		target := 1.0
		if e.told != 0 {
			target = e.told.speed()
		}
		e.toldSpeed = approach(e.toldSpeed, target)
	}
	l.updateUsual(elapsed)
	probed := 0
	for _, p := range l.pacers {
		p.updateSpeed(l.usual)
		if p.probedFrom > 0 {
			probed++
		}
	}
	for _, p := range l.pacers {
		if p.shared {
			continue
		}
		if mayProbe := probed < max(1, int(maxProbedFraction*float64(len(l.pacers)))); p.updateLimit(l.cfg, func(limit int) float64 { return l.othersGrowth(p, limit) }, l.reference, mayProbe, now) {
			probed++
		}
	}
}

// sumPacers sums up the averages of all endpoints by concurrency.
func (l *Learner) sumPacers() {
	clear(l.total)
	for _, p := range l.pacers {
		if p.shared {
			continue
		}
		if n := len(p.averages); len(l.total) < n {
			l.total = append(l.total, make([]average, n-len(l.total))...)
		}
		for c, a := range p.averages {
			l.total[c].add(a)
		}
	}
}

// updateUsual sets the usual time to the median over the pacers, by their times at or
// below the limit.
func (l *Learner) updateUsual(elapsed time.Duration) {
	var times []float64
	for _, p := range l.pacers {
		if a := p.belowKnee(); a.weight >= minWeight {
			times = append(times, a.mean())
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	l.own = (times[(len(times)-1)/2] + times[len(times)/2]) / 2
	l.usual = l.own
	if len(l.peerUsual) >= minQuorum {
		l.usual = MedianUsual(append([]time.Duration{seconds(l.own)}, l.peerUsual...)).Seconds()
	}
	if l.reference == 0 || l.usual < l.reference {
		l.reference = l.usual
		return
	}
	l.reference += (l.usual - l.reference) * min(1, float64(elapsed)/float64(referenceRise))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Usual returns the usual time of the service by this entry's observations, zero if it is unknown.
func (l *Learner) Usual(now time.Duration) time.Duration {
	l.evaluate(now)
	return seconds(l.own)
}

// SetPeerUsual replaces the usual times that other entries and cells told. In a large fleet each entry sends most
// requests to few endpoints and cannot tell alone which time is usual.
func (l *Learner) SetPeerUsual(times []time.Duration) {
	l.peerUsual = slices.DeleteFunc(slices.Clone(times), func(d time.Duration) bool { return d <= 0 })
}

// MedianUsual returns the median of usual times, the lower of two middle ones, zero without any.
func MedianUsual(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// belowKnee returns the average at concurrencies at which the endpoint is not known to
// be beyond its knee.
func (p *pacer) belowKnee() average {
	if p.knee > 0 {
		if a := p.between(0, p.knee); a.weight >= minWeight {
			return a
		}
	}
	return p.between(0, p.most)
}

// approach returns a speed that is one step closer to a target.
func approach(speed, target float64) float64 {
	speed += (target - speed) * speedStep
	if target == 1 && math.Abs(speed-1) < minSpeedDifference/2 {
		return 1
	}
	return speed
}

func (p *pacer) updateSpeed(usual float64) {
	a := p.belowKnee()
	target := 1.0
	p.estimate = 1
	defer func() { p.speed = approach(p.speed, target) }()
	if usual <= 0 || a.weight < minWeight {
		return
	}
	speed := min(max(a.mean()/usual, 1.0/maxSpeed), maxSpeed)
	if math.Abs(speed-1) < minSpeedDifference+unseenSpeedDifference*p.unseen {
		return
	}
	// The deviation if the endpoint were as the others.
	errors := math.Abs(speed-1) / p.relativeError(a)
	if errors >= voteSignificance {
		p.estimate = speed
	}
	if errors >= significance {
		target = speed
	}
}

// updateLimit updates the limit and reports whether it began a downward probe.
func (p *pacer) updateLimit(cfg Config, others func(int) float64, reference float64, mayProbe bool, now time.Duration) (probed bool) {
	least := max(1, int(math.Ceil(minLimitFraction*float64(p.slots))))
	knee, growth := p.findKnee(others)
	p.knee, p.growth = 0, 1
	if knee > 0 {
		p.knee, p.growth = max(knee, least), growth
		if p.knee < p.limit {
			p.limit, p.changedAt = p.knee, now
		}
	}
	atKnee := p.limit == p.knee
	if tested := p.probeLimit(atKnee); mayProbe && p.unseen <= maxUnseen && (atKnee || p.limit == p.most) && tested >= least && now-p.probedAt >= cfg.ProbeInterval && p.isUntested(tested, reference) {
		p.probedFrom, p.limit, p.changedAt, p.probedAt = p.limit, tested, now, now
		return true
	}
	if p.probedFrom > 0 && now-p.probedAt >= cfg.ProbeLength {
		if !atKnee {
			p.limit, p.changedAt = max(p.limit, p.probedFrom), now
		}
		p.probedFrom = 0
	}
	if p.limit < p.most && !atKnee && p.probedFrom == 0 && now-p.changedAt >= cfg.RaiseInterval {
		p.limit, p.changedAt = p.limit+1, now
	}
	return false
}

// probeLimit returns the limit of a downward probe.
func (p *pacer) probeLimit(atKnee bool) int {
	if atKnee {
		return min(p.limit-1, int(probeFraction*float64(p.limit)))
	}
	return int(probeFraction * float64(p.slots))
}

// isUntested reports whether the endpoint is slow, and has no answers at concurrencies up to a limit.
func (p *pacer) isUntested(limit int, reference float64) bool {
	low, high := p.between(0, limit), p.between(limit+1, p.most)
	return reference > 0 && low.weight < minWeight && high.weight >= 2*minWeight && high.mean() >= probeSpeed*reference
}

// findKnee returns the concurrency beyond which answers take more than proportionally
// longer, and by how much, or zero if there is no evidence for one.
func (p *pacer) findKnee(others func(limit int) float64) (knee int, growth float64) {
	times := p.nonDecreasing()
	if times == nil || p.unseen > maxUnseen {
		return 0, 1
	}
	best := 0.0
	useful := func(c int) float64 { return float64(min(c, p.slots)) / times[c] }
	for c := 1; c <= p.most; c++ {
		best = max(best, useful(c))
	}
	for c := 1; c < p.slots; c++ {
		if useful(c) < usefulFraction*best {
			continue
		}
		low, high := p.between(0, c), p.between(c+1, p.most)
		if low.weight < minWeight || high.weight < minWeight {
			return 0, 1
		}
		growth = high.mean() / low.mean()
		errors := (high.mean() - low.mean()) / (low.deviation() * math.Sqrt(1/low.weight+1/high.weight))
		if errors >= significance && growth >= (minGrowth+unseenGrowth*p.unseen)*math.Pow(others(c), p.unseen) {
			return c, growth
		}
		return 0, 1
	}
	return 0, 1
}

// othersGrowth returns the time of the other endpoints' answers above a concurrency relative to those below it, at
// least one. What they show too is a sign of queues that the entry does not see, rather than of a knee.
func (l *Learner) othersGrowth(of *pacer, limit int) float64 {
	low, high := sum(l.total[:limit+1]), sum(l.total[limit+1:])
	low.subtract(of.between(0, limit))
	high.subtract(of.between(limit+1, of.most))
	if low.weight < minWeight || high.weight < minWeight {
		return 1
	}
	return max(high.mean()/low.mean(), 1)
}

// nonDecreasing returns the averages by concurrency, pooled so that none is below that of
// a lower concurrency, or nil without observations. Concurrencies without observations have the
// value of the next lower one.
func (p *pacer) nonDecreasing() []float64 {
	type block struct {
		average
		end int
	}
	var blocks []block
	for c, a := range p.averages {
		if a.weight < minBlockWeight {
			if len(blocks) > 0 {
				blocks[len(blocks)-1].end = c
			}
			continue
		}
		blocks = append(blocks, block{a, c})
		for n := len(blocks); n > 1 && blocks[n-1].mean() < blocks[n-2].mean(); n = len(blocks) {
			blocks[n-2].add(blocks[n-1].average)
			blocks[n-2].end = blocks[n-1].end
			blocks = blocks[:n-1]
		}
	}
	if len(blocks) == 0 {
		return nil
	}
	out := make([]float64, len(p.averages))
	i := 0
	for c := range out {
		if c > blocks[i].end && i < len(blocks)-1 {
			i++
		}
		out[c] = blocks[i].mean()
	}
	return out
}

// minBlockWeight is the weight below which the average of one concurrency is left out.
const minBlockWeight = 0.5

// Limit returns the number of concurrent requests that an endpoint takes well: at least
// one, at most its slots and overcommit. It is zero for unknown endpoints.
func (l *Learner) Limit(name id.Endpoint, now time.Duration) int {
	l.evaluate(now)
	e := l.endpoints[name]
	if e == nil {
		return 0
	}
	most := max(e.Slots, 1) + e.Overcommit
	if e.Shared {
		return most
	}
	limit := min(e.pacer.limit, e.toldLimit(most))
	if speed := e.speed(); speed > 1 {
		limit = min(limit, e.pacer.slots+int(math.Round(float64(e.Overcommit)/speed)))
	}
	return max(min(limit, most), 1)
}

// Relative returns the predicted time of a request over the time that is usual for the
// service, if the endpoint has the number of concurrent requests. It is one for unknown endpoints.
func (l *Learner) Relative(name id.Endpoint, concurrent int, now time.Duration) float64 {
	l.evaluate(now)
	e := l.endpoints[name]
	if e == nil || e.pacer == nil {
		return 1
	}
	speed := e.speed()
	if p := e.pacer; p.knee > 0 && concurrent > p.knee {
		speed *= p.growth
	}
	return min(max(speed, 1.0/maxSpeed), maxSpeed)
}
