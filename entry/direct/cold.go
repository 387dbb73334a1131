package direct

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/balance/coldstart"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// maxColdTime bounds the time for which an endpoint can say that it is cold, so that a wrong value
// does not hold its requests back for good.
const maxColdTime = 2 * time.Minute

// The reasons for which an endpoint counts as cold, in the log.
const (
	coldByRegistration = "registration"
	coldByStart        = "new registration"
	coldByZone         = "zone restored"
	coldByResponse     = "response"
)

// coldEndpoints tracks the cold endpoints of a service. The service's mu guards it.
type coldEndpoints struct {
	service *Service
	limiter *coldstart.Limiter
	// overage and slack are those of coldstart.Config.
	overage, slack float64
	// gauge is nil until the service declares a rate.
	gauge *metrics.Gauge
	// checkScheduled is true while a check for the end of cold times is due.
	checkScheduled bool
}

func newColdEndpoints(s *Service, opt Options) *coldEndpoints {
	c := &coldEndpoints{service: s, overage: opt.ColdOverage, slack: opt.ColdSlack}
	c.limiter = coldstart.New(c.limit(s.config), s.now())
	return c
}

func (c *coldEndpoints) limit(s routes.Service) coldstart.Config {
	return coldstart.Config{Rate: s.ColdRate, Overage: c.overage, Slack: c.slack}
}

// configure applies a newer configuration of the service.
func (c *coldEndpoints) configure(s routes.Service) { c.limiter.Configure(c.limit(s)) }

// setFleet sets the hosts of all entries.
func (c *coldEndpoints) setFleet(hosts []id.Host, self id.Host) {
	if len(hosts) > 0 {
		c.limiter.SetFleet(hosts, self, c.service.now())
	}
}

// setBackends marks the endpoints that are cold by their registrations.
func (c *coldEndpoints) setBackends(list []*Backend) {
	s := c.service
	if s.config.ColdRate <= 0 {
		return
	}
	for _, b := range list {
		e, appearedAt := b.registration()
		if e.WarmupRemaining > 0 {
			c.mark(e.Name, e.ReadAt.Add(min(e.WarmupRemaining, maxColdTime)), coldByRegistration)
		}
		if !appearedAt.IsZero() {
			c.mark(e.Name, appearedAt.Add(s.config.ColdStart), coldByStart)
		}
	}
	c.limiter.Retain(func(name id.Endpoint) bool { return s.backends[name] != nil })
	c.check()
}

// mark marks an endpoint as cold until a time, unless it is so for longer already.
func (c *coldEndpoints) mark(name id.Endpoint, until time.Time, cause string) {
	s, now := c.service, c.service.now()
	end := until.Sub(s.start)
	if !c.limiter.SetCold(name, end, now) {
		return
	}
	e := s.log.Info().Str("event", "endpoint.cold").Str("service", string(s.name)).Str("endpoint", string(name)).Str("cause", cause).
		Dur("for", end-now).Float64("rate", s.config.ColdRate).Int("waiting", s.scheduler.Waiting())
	if interval, ok := c.limiter.Interval(name, now); ok {
		e = e.Dur("interval", interval)
	}
	e.Msg("endpoint gets a bounded rate of requests from all entries together")
}

// check logs the endpoints that have become warm, and schedules the next check.
func (c *coldEndpoints) check() {
	s := c.service
	now := s.now()
	warm, next := c.limiter.Expire(now)
	for _, name := range warm {
		s.log.Info().Str("event", "endpoint.warm").Str("service", string(s.name)).Str("endpoint", string(name)).
			Int("waiting", s.scheduler.Waiting()).Msg("endpoint gets requests without the bound of cold ones")
	}
	if c.gauge == nil && s.config.ColdRate > 0 {
		c.gauge = s.set.GetOrCreateGauge(fmt.Sprintf("siskinford_cold_endpoints{service=%q}", string(s.name)), nil)
	}
	if c.gauge != nil {
		c.gauge.Set(float64(c.limiter.Cold()))
	}
	if next == 0 || c.checkScheduled {
		return
	}
	c.checkScheduled = true
	time.AfterFunc(next-now, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.checkScheduled = false
		c.check()
		s.dispatch()
	})
}

// countDeferred counts a request for which a cold endpoint is passed over.
func (c *coldEndpoints) countDeferred() {
	s := c.service
	if s.scheduler.DefersCold(s.now()) {
		s.set.GetOrCreateCounter(fmt.Sprintf("siskinford_cold_deferred_total{service=%q}", string(s.name))).Inc()
	}
}

// markZoneCold marks the endpoints of a zone as cold, which may have stood without requests. The
// caller must not hold mu.
func (s *Service) markZoneCold(zone id.Zone) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markZoneColdLocked(zone)
}

// markZoneColdLocked is markZoneCold. The caller holds mu.
func (s *Service) markZoneColdLocked(zone id.Zone) {
	names := make([]id.Endpoint, 0, len(s.backends))
	for name, b := range s.backends {
		if b.Endpoint().Zone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	until := time.Now().Add(s.config.ColdStart)
	for _, name := range names {
		s.cold.mark(name, until, coldByZone)
	}
	s.cold.check()
}

// recordCold records that an endpoint says that it is cold, in any response of its own.
func (s *Service) recordCold(slot *Slot, info ResponseInfo) {
	if info.ColdRemaining <= 0 || info.WrongInstance { // Else another instance speaks.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backends[slot.Backend.Name] != slot.Backend {
		return
	}
	s.cold.mark(slot.Backend.Name, time.Now().Add(min(info.ColdRemaining, maxColdTime)), coldByResponse)
	s.cold.check()
}

// appearance is when the registration of an endpoint appeared.
type appearance struct {
	revision uint64
	// at is zero if the registration was in the first list of the process.
	at time.Time
	// listedAt is when the registration was last listed.
	listedAt time.Time
}

// appearances tells new registrations from those that were in the first list. It keeps those that are
// missing from a list for a while, which may be incomplete after an outage of the platform.
type appearances struct {
	listed bool
	known  map[id.Endpoint]appearance
}

// update records when the registrations of a list appeared.
func (a *appearances) update(list []Endpoint, now time.Time) {
	if a.known == nil {
		a.known = make(map[id.Endpoint]appearance, len(list))
	}
	for _, e := range list {
		known, ok := a.known[e.Name]
		if !ok || known.revision != e.RegistrationRevision {
			known = appearance{revision: e.RegistrationRevision}
			if a.listed {
				known.at = now
			}
		}
		known.listedAt = now
		a.known[e.Name] = known
	}
	a.listed = true
	for name, known := range a.known {
		if now.Sub(known.listedAt) > departureTTL {
			delete(a.known, name)
		}
	}
}
