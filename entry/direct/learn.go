package direct

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/capacity"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
)

// limitLearner learns the limits of a service's endpoints, logs their changes and counts them. All methods
// do nothing on nil. The caller holds Service.mu.
type limitLearner struct {
	service *Service
	learner *capacity.Learner
	// limits are the limits that are logged and in a gauge, by endpoint, without the usual ones.
	limits   map[id.Endpoint]int
	loggedAt time.Duration
}

func newLimitLearner(s *Service) *limitLearner {
	return &limitLearner{service: s, learner: capacity.New(capacity.Config{}), limits: make(map[id.Endpoint]int)}
}

// isModel reports whether the service's endpoints are ranks of groups, whose pace is their group's.
func (l *limitLearner) isModel() bool { return l.service.config.Engine != nil }

// overcommit returns the number of requests beyond its slots that an endpoint may have.
func (l *limitLearner) overcommit() int { return schedulerConfig(l.service.config).Overcommit }

func (l *limitLearner) setEndpoints(list []scheduler.Endpoint) {
	if l == nil {
		return
	}
	out := make([]capacity.Endpoint, 0, len(list))
	for _, e := range list {
		out = append(out, capacity.Endpoint{Name: e.Name, Slots: e.Slots, Overcommit: l.overcommit(), Shared: l.isModel()})
	}
	l.learner.SetEndpoints(out)
	for name := range l.limits {
		if l.service.backends[name] == nil {
			l.forget(name)
		}
	}
}

func (l *limitLearner) setGroup(name id.Endpoint, group id.Group) {
	if l != nil {
		l.learner.SetGroup(name, group)
	}
}

// observeEnd observes the end of an attempt. Whole answers count, and hung attempts with the time after which
// they were given up. The length of streams differs for other reasons; of those, recordPause observes the pauses.
func (l *limitLearner) observeEnd(x *Slot, o Outcome, now time.Duration) {
	if l == nil || l.isModel() || x.pauses.events > 0 || o != Succeeded && o != Hung {
		return
	}
	l.observe(x, now-x.started, now)
}

func (l *limitLearner) observe(x *Slot, d, now time.Duration) {
	own := l.service.scheduler.OwnLoad(x.Backend.Name).Running
	l.learner.Observe(x.Backend.Name, (x.concurrent+own+1)/2, d, now)
}

// pauseMeter measures the pauses between the events of one stream. It is used by the goroutine that
// reads the stream.
type pauseMeter struct {
	// since is the time of the event from which on events are counted.
	since  time.Duration
	events int
}

// pauseInterval is the time over which pauses are averaged. It spans many events, so that a service's lock
// is rarely taken.
const pauseInterval = 250 * time.Millisecond

// recordPause records an event of a stream.
func (x *Slot) recordPause(now time.Duration) {
	p := &x.pauses
	if p.events == 0 {
		p.since = now
	}
	p.events++
	pauses := p.events - 1
	if x.service.learner == nil || pauses == 0 || now-p.since < pauseInterval {
		return
	}
	mean := (now - p.since) / time.Duration(pauses)
	p.since, p.events = now, 1
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learner.isModel() {
		s.learner.observe(x, mean, now)
	}
}

// learntReportBytes is the size of an encoded report: a hash of the endpoint's name and a capacity.Report.
const learntReportBytes = nameHashBytes + 1

// learntByHash are reports by the hash of the endpoint's name.
type learntByHash map[uint32][]capacity.Report

// peersLearnt is what other entries and cells told of one service.
type peersLearnt struct {
	// sources is the number of entries and cells, those included that told nothing.
	sources int
	reports learntByHash
	// usual are the times of an answer that they take for the usual one, zero if unknown.
	usual []time.Duration
}

func (s serviceLoads) usual() time.Duration { return time.Duration(s.UsualMicros) * time.Microsecond }

// addLearntTo adds received reports to l. An incomplete one at the end and those beyond the bound
// of an entry are ignored.
func (s serviceLoads) addLearntTo(l learntByHash) {
	b := s.Learnt
	seen := make(map[uint32]bool)
	for n := 0; len(b) >= learntReportBytes && n < capacity.MaxReports; n++ {
		hash := uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
		if !seen[hash] { // A source has one vote.
			seen[hash] = true
			l[hash] = append(l[hash], capacity.Report(b[3]))
		}
		b = b[learntReportBytes:]
	}
}

// learntLocked returns the encoded reports and the usual time in microseconds of this entry, or those of the entry and
// the selected hosts combined. The caller holds mu.
func (l *LoadExchange) learntLocked(name id.Service, s *Service, of func(id.Host) bool) (reports []byte, usualMicros uint32) {
	own, usual := s.learntReports()
	sources, selected := 1, make(learntByHash)
	times := []time.Duration{usual}
	for from, x := range l.sources {
		if from.host != "" && of(from.host) {
			sources++
			x.services[name].addLearntTo(selected)
			times = append(times, x.services[name].usual())
		}
	}
	if sources > 1 {
		for hash, r := range own {
			selected[hash] = append(selected[hash], r)
		}
		own = make(map[uint32]capacity.Report)
		for hash, reports := range selected {
			if r := capacity.Combine(reports, sources); r != 0 && len(own) < capacity.MaxReports {
				own[hash] = r
			}
		}
	}
	b := make([]byte, 0, learntReportBytes*len(own))
	for hash, r := range own {
		b = append(b, byte(hash>>16), byte(hash>>8), byte(hash), byte(r))
	}
	times = slices.DeleteFunc(times, func(d time.Duration) bool { return d <= 0 })
	return b, uint32(min(capacity.MedianUsual(times).Microseconds(), math.MaxUint32))
}

// learntReports returns what this entry learnt, by the hash of the endpoint's name, and the usual time.
func (s *Service) learntReports() (reports map[uint32]capacity.Report, usual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint32]capacity.Report)
	if s.learner == nil {
		return out, 0
	}
	now := s.now()
	s.learner.publish(now)
	for name, r := range s.learner.learner.Reports(now) {
		out[nameHash(name)] = r
	}
	return out, s.learner.learner.Usual(now)
}

// setPeers passes the loads and reports of other entries on.
func (l *limitLearner) setPeers(names []id.Endpoint, hashes []uint32, loads loadsByHash, learnt peersLearnt) {
	if l == nil {
		return
	}
	now := l.service.now()
	reports := make(map[id.Endpoint][]capacity.Report)
	for i, name := range names {
		l.learner.SetPeerLoad(name, loads[hashes[i]].Running, now)
		if r := learnt.reports[hashes[i]]; len(r) > 0 {
			reports[name] = r
		}
	}
	l.learner.SetPeers(reports, learnt.sources)
	l.learner.SetPeerUsual(learnt.usual)
}

const (
	// limitLogInterval is the time between the log lines of changed limits of one service, for at most
	// maxLimitLines endpoints each. Limits change by one every half second while they are probed.
	limitLogInterval = time.Second
	maxLimitLines    = 8
)

// publish logs the changed limits and updates the gauges.
func (l *limitLearner) publish(now time.Duration) {
	if l.isModel() || now-l.loggedAt < limitLogInterval {
		return
	}
	l.loggedAt = now
	lines := 0
	names, _ := l.service.endpointNamesLocked()
	for _, name := range names {
		slots := max(l.service.backends[name].Endpoint().Slots, 1)
		usual := slots + l.overcommit()
		limit, before := l.learner.Limit(name, now), usual
		if n, ok := l.limits[name]; ok {
			before = n
		}
		if limit == before {
			continue
		}
		if lines++; lines > maxLimitLines {
			return // The others follow at the next call.
		}
		l.service.log.Info().Str("event", "endpoint.limit_changed").Str("service", string(l.service.name)).Str("endpoint", string(name)).
			Int("limit", limit).Int("before", before).Int("usual", usual).
			Float64("relative", math.Round(100*l.learner.Relative(name, 1, now))/100).Send()
		if limit == usual {
			l.forget(name)
			continue
		}
		l.limits[name] = limit
		l.service.set.GetOrCreateGauge(l.gauge(name), nil).Set(float64(limit))
	}
}

// forget removes the gauge of an endpoint.
func (l *limitLearner) forget(name id.Endpoint) {
	delete(l.limits, name)
	l.service.set.UnregisterMetric(l.gauge(name))
}

func (l *limitLearner) gauge(name id.Endpoint) string {
	return fmt.Sprintf("siskinford_learned_limit{service=%q,endpoint=%q}", string(l.service.name), string(name))
}
