package route

import "time"

const (
	// maxRandomCandidates bounds the random candidates from one zone.
	maxRandomCandidates = 8
	// maxCandidates bounds the candidates of one pick: two zones and a prefix holder.
	maxCandidates = 2*maxRandomCandidates + 1
	// marginDivisor divides a report's age into the difference below which two
	// scores count as equal.
	marginDivisor = 8
	// remotePenaltyAge is the report age at which the penalty of an endpoint in
	// another zone equals the age.
	remotePenaltyAge = 50 * time.Millisecond
	// overduePenaltyFactor scales the time for which a report is overdue to a penalty.
	overduePenaltyFactor = 4
	// maxRebuilds bounds how often one pick rebuilds the ready set.
	maxRebuilds = 3
)

// predictedTime picks the best of a few random endpoints by predicted time to first token.
type predictedTime struct{ table *Table }

// candidate is one endpoint under comparison; the lowest score wins.
type candidate struct {
	m      *member
	cached int
	remote bool
	prediction
	score time.Duration
	age   time.Duration
}

// comparison collects the candidates of one pick.
type comparison struct {
	t          *Table
	r          Request
	now        time.Duration
	candidates [maxCandidates]candidate
	n          int
	expired    bool
}

func (p *predictedTime) Pick(r Request) (Choice, error) {
	now := p.table.clock(r.Now)
	for range maxRebuilds {
		s := p.table.view.Load().services[r.Service]
		if s == nil {
			break
		}
		c := comparison{t: p.table, r: r, now: now}
		c.collect(s)
		if c.expired {
			p.table.rebuildReadySet(r.Service, now)
			continue
		}
		if c.n == 0 {
			break
		}
		return c.choice(), nil
	}
	return Choice{}, p.table.noEndpoint(r, now)
}

// collect samples candidates from the request's zone, and from another zone if its
// average wait is lower by more than the round trip.
func (c *comparison) collect(s *serviceSet) {
	own := s.zone(c.r.Zone)
	if own != nil {
		c.sampleZone(own, false)
	}
	c.addHolder(s)
	if c.n == 0 {
		c.sampleOtherZones(s)
		return
	}
	best := c.candidates[c.best()].score
	if best <= c.t.cfg.RoundTrip || len(s.zones) < 2 {
		return
	}
	if z, wait := c.otherZone(s); z != nil && wait+c.t.cfg.RoundTrip < best {
		c.sampleZone(z, true)
	}
}

// sampleOtherZones samples the other zones until one has a candidate, starting with
// the less loaded of two.
func (c *comparison) sampleOtherZones(s *serviceSet) {
	if z, _ := c.otherZone(s); z != nil {
		c.sampleZone(z, true)
	}
	for _, z := range s.zones {
		if c.n > 0 {
			return
		}
		c.sampleZone(z, z.name != c.r.Zone)
	}
}

// otherZone returns the less loaded of two random zones other than the request's.
func (c *comparison) otherZone(s *serviceSet) (*zoneSet, time.Duration) {
	var best *zoneSet
	var least time.Duration
	n := len(s.zones)
	start := int(uint32(c.t.cfg.Rand())) % n
	seen := 0
	for i := 0; i < n && seen < 2; i++ {
		z := s.zones[(start+i)%n]
		if z.name == c.r.Zone || len(z.ready) == 0 {
			continue
		}
		seen++
		wait := z.load.meanWait(c.now, c.t.cfg.MaxReportAge)
		if best == nil || wait < least {
			best, least = z, wait
		}
	}
	return best, least
}

// sampleZone adds distinct random candidates of a zone.
func (c *comparison) sampleZone(z *zoneSet, remote bool) {
	n := len(z.ready)
	for range min(c.t.cfg.RandomCandidates, n) {
		i := z.sampler.index(n, c.t.cfg.Rand())
		for range min(n, c.n+len(c.r.Exclude)+1) {
			if m := z.ready[i]; c.usable(m) {
				c.add(m, z.maxWeight, remote)
				break
			}
			if i++; i == n {
				i = 0
			}
		}
	}
}

func (c *comparison) usable(m *member) bool {
	if excluded(c.r.Exclude, m.Name) {
		return false
	}
	for i := range c.n {
		if c.candidates[i].m == m {
			return false
		}
	}
	return true
}

// addHolder adds the endpoint that is expected to hold most of the prompt's prefix.
func (c *comparison) addHolder(s *serviceSet) {
	if c.t.cfg.Prefixes == nil || len(c.r.PromptBlocks) == 0 {
		return
	}
	name, ok := c.t.cfg.Prefixes.Holder(c.r.PromptBlocks)
	if !ok {
		return
	}
	m := c.t.view.Load().members[name]
	if m == nil || m.Service != c.r.Service || !m.state.inReadySet.Load() || !c.usable(m) {
		return
	}
	c.add(m, s.zone(m.Zone).maxWeight, m.Zone != c.r.Zone)
}

// add appends a candidate if it is ready.
func (c *comparison) add(m *member, maxWeight float64, remote bool) {
	if c.t.reason(m, c.now) != ReasonReady {
		c.expired = true
		return
	}
	c.append(m, maxWeight, remote)
}

// append appends a candidate that has reported. Its wait is divided by its weight
// relative to the zone's greatest, so that backlogs under load are proportional to
// the weights.
func (c *comparison) append(m *member, maxWeight float64, remote bool) {
	k := candidate{m: m, remote: remote}
	if c.t.cfg.Prefixes != nil && len(c.r.PromptBlocks) > 0 {
		k.cached = c.t.cfg.Prefixes.Match(c.r.PromptBlocks, m.Name)
	}
	k.prediction = c.t.predict(m, len(c.r.PromptBlocks), k.cached, c.now)
	k.score = k.expected()
	if m.Weight < maxWeight {
		k.score = k.prefill + time.Duration(float64(k.score-k.prefill)*maxWeight/m.Weight)
	}
	l := m.state.load.Load()
	k.age = max(c.now-l.measured, 0)
	k.score += overduePenaltyFactor * l.overdue(c.now)
	if remote {
		k.score += c.t.cfg.RoundTrip + remotePenalty(k.age)
	}
	c.candidates[c.n] = k
	c.n++
}

// remotePenalty returns the score penalty of an endpoint in another zone. It grows
// with the square of the report's age, since the entries of all zones may have
// chosen the endpoint since then.
func remotePenalty(age time.Duration) time.Duration {
	return time.Duration(float64(age) * float64(age) / float64(remotePenaltyAge))
}

// best returns the candidate of least score. Scores that differ by less than the
// uncertainty due to the reports' age are equal; then own requests in flight decide.
func (c *comparison) best() int {
	best := 0
	for i := 1; i < c.n; i++ {
		if c.better(&c.candidates[i], &c.candidates[best]) {
			best = i
		}
	}
	return best
}

func (c *comparison) better(a, b *candidate) bool {
	margin := max(a.age, b.age) / marginDivisor
	if diff := a.score - b.score; diff < -margin || diff > margin || a.remote != b.remote {
		return diff < 0
	}
	openA := float64(a.m.state.openCount.Load()) * b.m.Weight
	openB := float64(b.m.state.openCount.Load()) * a.m.Weight
	if openA != openB {
		return openA < openB
	}
	return false
}

func (c *comparison) choice() Choice {
	k := &c.candidates[c.best()]
	out := Choice{
		Endpoint:     k.m.Name,
		Incarnation:  k.m.state.load.Load().incarnation,
		Zone:         k.m.Zone,
		Work:         c.r.Work,
		Predicted:    k.base(),
		Expected:     k.expected(),
		CachedBlocks: k.cached,
		state:        k.m.state,
		gain:         k.m.gain,
		rawWait:      k.raw,
		prefill:      k.prefill,
	}
	if c.r.Explain {
		out.Candidates = c.explain()
	}
	return out
}

func (c *comparison) explain() []Candidate {
	out := make([]Candidate, 0, c.n)
	for i := range c.n {
		k := &c.candidates[i]
		out = append(out, Candidate{
			Endpoint:     k.m.Name,
			Zone:         k.m.Zone,
			Predicted:    k.base(),
			Expected:     k.expected(),
			ReportAge:    k.age,
			CachedBlocks: k.cached,
			OpenRequests: int(k.m.state.openCount.Load()),
			Remote:       k.remote,
		})
	}
	return out
}
