package route

import "time"

const (
	// maxChoices bounds the random candidates from one zone.
	maxChoices = 8
	// maxCandidates bounds the candidates of one pick: two zones and a prefix holder.
	maxCandidates = 2*maxChoices + 1
	// marginPart is the part of a report's age by which two predictions may
	// differ and still count as equal.
	marginPart = 8
	// remoteDoubtAge is the age of a report at which an endpoint in another zone
	// must be better by that age.
	remoteDoubtAge = 50 * time.Millisecond
	// silenceFactor scales the time for which reports are overdue to a rank.
	silenceFactor = 4
	// maxPasses bounds how often one pick lists the ready endpoints anew.
	maxPasses = 3
)

// predictedTime compares a few random endpoints by predicted time to first token.
type predictedTime struct{ table *Table }

// candidate is one endpoint under comparison.
type candidate struct {
	m      *member
	cached int
	remote bool
	prediction
	rank time.Duration
	age  time.Duration
}

// comparison collects the candidates of one pick.
type comparison struct {
	t       *Table
	r       Request
	now     time.Duration
	list    [maxCandidates]candidate
	n       int
	expired bool
}

func (p *predictedTime) Pick(r Request) (Choice, error) {
	now := p.table.clock(r.Now)
	for range maxPasses {
		s := p.table.view.Load().services[r.Service]
		if s == nil {
			break
		}
		c := comparison{t: p.table, r: r, now: now}
		c.collect(s)
		if c.expired {
			p.table.rebuild(r.Service, now)
			continue
		}
		if c.n == 0 {
			break
		}
		return c.choice(), nil
	}
	return Choice{}, p.table.noEndpoint(r, now)
}

// collect draws candidates from the request's zone, then from another zone if
// that promises to be better by more than the round trip.
func (c *comparison) collect(s *serviceSet) {
	own := s.zone(c.r.Zone)
	if own != nil {
		c.drawFrom(own, false)
	}
	c.addHolder(s)
	if c.n == 0 {
		c.drawElsewhere(s)
		return
	}
	best := c.list[c.best()].rank
	if best <= c.t.cfg.RoundTrip || len(s.zones) < 2 {
		return
	}
	if z, wait := c.otherZone(s); z != nil && wait+c.t.cfg.RoundTrip < best {
		c.drawFrom(z, true)
	}
}

// drawElsewhere draws from the other zones, the least loaded first, until one has a candidate.
func (c *comparison) drawElsewhere(s *serviceSet) {
	if z, _ := c.otherZone(s); z != nil {
		c.drawFrom(z, true)
	}
	for _, z := range s.zones {
		if c.n > 0 {
			return
		}
		c.drawFrom(z, z.name != c.r.Zone)
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
		wait := z.load.mean(c.now, c.t.cfg.MaxReportAge)
		if best == nil || wait < least {
			best, least = z, wait
		}
	}
	return best, least
}

// drawFrom adds distinct random candidates of a zone.
func (c *comparison) drawFrom(z *zoneSet, remote bool) {
	n := len(z.ready)
	for range min(c.t.cfg.RandomCandidates, n) {
		i := z.draw.index(n, c.t.cfg.Rand())
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
		if c.list[i].m == m {
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
	if m == nil || m.Service != c.r.Service || !m.state.listed.Load() || !c.usable(m) {
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

// append appends a candidate that has reported. Its wait is scaled by its weight
// relative to the zone's greatest, so that under load the backlogs relate as the
// weights.
func (c *comparison) append(m *member, maxWeight float64, remote bool) {
	k := candidate{m: m, remote: remote}
	if c.t.cfg.Prefixes != nil && len(c.r.PromptBlocks) > 0 {
		k.cached = c.t.cfg.Prefixes.Match(c.r.PromptBlocks, m.Name)
	}
	k.prediction = c.t.predict(m, len(c.r.PromptBlocks), k.cached, c.now)
	k.rank = k.expected()
	if m.Weight < maxWeight {
		k.rank = k.prefill + time.Duration(float64(k.rank-k.prefill)*maxWeight/m.Weight)
	}
	l := m.state.load.Load()
	k.age = max(c.now-l.taken, 0)
	k.rank += silenceFactor * l.overdue(c.now)
	if remote {
		k.rank += c.t.cfg.RoundTrip + remoteDoubt(k.age)
	}
	c.list[c.n] = k
	c.n++
}

// remoteDoubt returns by how much an endpoint in another zone must be better.
// It grows with the square of the report's age, as meanwhile the entries of all
// zones may have chosen the endpoint.
func remoteDoubt(age time.Duration) time.Duration {
	return time.Duration(float64(age) * float64(age) / float64(remoteDoubtAge))
}

// best returns the candidate of least rank. Ranks that differ by less than the
// reports' age makes certain count as equal; then own requests in flight decide.
func (c *comparison) best() int {
	best := 0
	for i := 1; i < c.n; i++ {
		if c.better(&c.list[i], &c.list[best]) {
			best = i
		}
	}
	return best
}

func (c *comparison) better(a, b *candidate) bool {
	margin := max(a.age, b.age) / marginPart
	if diff := a.rank - b.rank; diff < -margin || diff > margin || a.remote != b.remote {
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
	k := &c.list[c.best()]
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
		k := &c.list[i]
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
