// Package coldstart bounds the requests per second that all entries together send to an endpoint
// that is cold: one that has just started and fails under a higher rate.
//
// Each entry has a fixed share of the rate, which it computes from the hosts of the fleet alone.
// Rendezvous hashing selects a few entries for each endpoint. Each of them may send to it at an equal
// part of the rate with a burst of one. The shares are safe without any message between the entries:
// their number is such that a request more of each of them stays within the bound.
//
// A Limiter has neither clock nor goroutines. Times are durations since an arbitrary fixed origin.
package coldstart

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the bound of a service.
type Config struct {
	// Rate is the number of requests per second that a cold endpoint tolerates from all entries
	// together. Zero means that endpoints are never cold.
	Rate float64
	// Overage and Slack give the number of requests that an endpoint may get in any second:
	// Rate × Overage + Slack. Default: an overage of 1 and no slack.
	Overage, Slack float64
}

const (
	// intervalFactor lengthens the time between two requests of a share. The clocks of entries may
	// run 1 % too fast; a share of two requests a second then still has no three in a second.
	intervalFactor = 1.02
	// shareFraction is the part of the bound beyond the rate that the bursts of the shares use. The
	// rest is for views of the fleet that differ and for requests that connect slowly.
	shareFraction = 0.75
	// settleTime is the time from the first list of hosts until a new limiter permits requests. An
	// entry that has just started may know only some of the hosts, and would take too great a share.
	// It covers two sweeps of the entry, and with them a list of the registrations that is
	// answered at once. Two seconds refused the callers of a fleet that restarted together with its endpoints.
	settleTime = time.Second
	// aloneSettleTime is that time while no other host is known. An entry that is cut off after it
	// learned of the endpoints, and before it learned of the hosts, would take the whole rate.
	aloneSettleTime = 10 * time.Second
	// fleetHold is the time for which a host counts after it was last listed. A host whose
	// registration was removed while it was cut off may still send.
	fleetHold = time.Minute
)

// Limiter bounds one entry's requests to the cold endpoints of one service. It is not safe for
// concurrent use.
type Limiter struct {
	cfg     Config
	created time.Duration
	// firstListed is when the fleet was first set, if listedOnce is true.
	firstListed time.Duration
	listedOnce  bool
	self        id.Host
	// listed holds when the hosts of the fleet were last listed, fleet the sorted hosts that count.
	listed map[id.Host]time.Duration
	fleet  []id.Host
	// hashes are those of the hosts in fleet.
	hashes []uint64
	// version increases with each change of the fleet or the configuration.
	version   uint64
	endpoints map[id.Endpoint]*endpoint
	// cold is the number of endpoints whose cold time was not reported as over.
	cold int
}

// endpoint is an endpoint that is or was cold.
type endpoint struct {
	until time.Duration
	// reported is true once Expire returned the end of the cold time.
	reported bool
	// base is since when the share exists; its first request is permitted after firstDelay.
	base, firstDelay time.Duration
	// last is the time of the last request if taken is true.
	last  time.Duration
	taken bool
	// hasShare is valid for the limiter's version.
	hasShare bool
	version  uint64
}

// New returns a limiter that permits no request to a cold endpoint until the fleet has been known
// for a while.
func New(cfg Config, now time.Duration) *Limiter {
	return &Limiter{cfg: cfg, created: now, version: 1, listed: make(map[id.Host]time.Duration), endpoints: make(map[id.Endpoint]*endpoint)}
}

// Configure replaces the bound.
func (l *Limiter) Configure(cfg Config) {
	if cfg != l.cfg {
		l.cfg = cfg
		l.version++
	}
}

// SetFleet sets the hosts of all entries that are registered as far as this one knows. It must be
// called regularly, also without a change, since hosts that are missing count for a while.
func (l *Limiter) SetFleet(hosts []id.Host, self id.Host, now time.Duration) {
	if !l.listedOnce {
		l.firstListed, l.listedOnce = now, true
	}
	changed := self != l.self
	l.self = self
	add := func(h id.Host) {
		if _, ok := l.listed[h]; !ok {
			changed = true
		}
		l.listed[h] = now
	}
	add(self)
	for _, h := range hosts {
		add(h)
	}
	for h, at := range l.listed {
		if now-at > fleetHold {
			delete(l.listed, h)
			changed = true
		}
	}
	if !changed {
		return
	}
	l.version++
	l.fleet = l.fleet[:0]
	for h := range l.listed {
		l.fleet = append(l.fleet, h)
	}
	slices.Sort(l.fleet)
	l.hashes = l.hashes[:0]
	for _, h := range l.fleet {
		l.hashes = append(l.hashes, hash(string(h)))
	}
}

// SetCold marks an endpoint as cold until a time, unless it is so for longer already. It reports
// whether the endpoint was warm.
func (l *Limiter) SetCold(name id.Endpoint, until, now time.Duration) (began bool) {
	if l.cfg.Rate <= 0 || until <= now {
		return false
	}
	e := l.endpoints[name]
	if e == nil {
		e = &endpoint{reported: true}
		l.endpoints[name] = e
	}
	if began = e.reported; began {
		e.reported = false
		l.cold++
	}
	if e.until <= now {
		e.version = 0
	}
	e.until = max(e.until, until)
	l.update(name, e, now)
	return began
}

// update computes the share of an endpoint if it may have changed.
func (l *Limiter) update(name id.Endpoint, e *endpoint, now time.Duration) {
	if e.version == l.version {
		return
	}
	had := e.hasShare && e.version != 0
	rank := l.rank(name)
	e.hasShare, e.version = rank < l.shares(), l.version
	if e.hasShare && !had {
		e.base = now
		// The entries learn that an endpoint is cold at the same time. Their first requests are
		// spread over the interval.
		e.firstDelay = l.interval() * time.Duration(rank+1) / time.Duration(l.shares())
	}
}

// rank returns the number of hosts before the own one in the order of an endpoint.
func (l *Limiter) rank(name id.Endpoint) int {
	endpoint := hash(string(name))
	own, before := score(endpoint, hash(string(l.self))), 0
	for i, h := range l.fleet {
		if s := score(endpoint, l.hashes[i]); s > own || s == own && h < l.self {
			before++
		}
	}
	return before
}

// usableFrom returns when requests are first permitted, after the first list of hosts.
func (l *Limiter) usableFrom() time.Duration {
	if len(l.fleet) == 1 {
		return l.firstListed + aloneSettleTime
	}
	return l.firstListed + settleTime
}

// shares returns the number of entries that may send to an endpoint.
func (l *Limiter) shares() int {
	extra := (max(l.cfg.Overage, 1)-1)*l.cfg.Rate + max(l.cfg.Slack, 0)
	return max(int(min(float64(len(l.fleet)), shareFraction*extra)), 1)
}

// interval returns the time between two requests of a share.
func (l *Limiter) interval() time.Duration {
	return time.Duration(intervalFactor * float64(l.shares()) / l.cfg.Rate * float64(time.Second))
}

// Next returns when the next request to an endpoint may start: now if one may, or if the endpoint is
// warm. Limited is false for a warm endpoint.
func (l *Limiter) Next(name id.Endpoint, now time.Duration) (at time.Duration, limited bool) {
	e := l.coldEndpoint(name, now)
	if e == nil {
		return now, false
	}
	if !e.hasShare || !l.listedOnce {
		return e.until, true
	}
	if e.taken {
		at = e.last + l.interval()
	}
	// An earlier limiter of this host may have permitted a request just before this one was created.
	at = max(at, e.base+e.firstDelay, l.usableFrom()+e.firstDelay, l.created+l.interval(), now)
	return min(at, e.until), true
}

// Take permits a request to an endpoint, or returns false if it may not start now.
func (l *Limiter) Take(name id.Endpoint, now time.Duration) bool {
	at, limited := l.Next(name, now)
	if !limited {
		return true
	}
	if at > now {
		return false
	}
	e := l.endpoints[name]
	e.last, e.taken = now, true
	return true
}

// Interval returns the time between the requests that this entry may send to a cold endpoint. It
// returns false if it may send none.
func (l *Limiter) Interval(name id.Endpoint, now time.Duration) (time.Duration, bool) {
	if e := l.coldEndpoint(name, now); e == nil || !e.hasShare || !l.listedOnce {
		return 0, false
	}
	return l.interval(), true
}

// coldEndpoint returns an endpoint with its current share, or nil if it is warm.
func (l *Limiter) coldEndpoint(name id.Endpoint, now time.Duration) *endpoint {
	if l.cold == 0 || l.cfg.Rate <= 0 {
		return nil
	}
	e := l.endpoints[name]
	if e == nil || e.until <= now {
		return nil
	}
	l.update(name, e, now)
	return e
}

// Until returns the end of the latest cold time of an endpoint, zero if there was none.
func (l *Limiter) Until(name id.Endpoint) time.Duration {
	if e := l.endpoints[name]; e != nil {
		return e.until
	}
	return 0
}

// Expire returns the endpoints whose cold time ended since the last call, and when the next one ends,
// zero if none is cold.
func (l *Limiter) Expire(now time.Duration) (warm []id.Endpoint, next time.Duration) {
	if l.cold == 0 {
		return nil, 0
	}
	for name, e := range l.endpoints {
		switch {
		case e.reported:
		case e.until <= now:
			e.reported = true
			l.cold--
			warm = append(warm, name)
		case next == 0 || e.until < next:
			next = e.until
		}
	}
	slices.Sort(warm)
	return warm, next
}

// Cold returns the number of endpoints whose cold time has not ended by the last call of Expire.
func (l *Limiter) Cold() int { return l.cold }

// Retain forgets the endpoints for which keep returns false.
func (l *Limiter) Retain(keep func(id.Endpoint) bool) {
	for name, e := range l.endpoints {
		if keep(name) {
			continue
		}
		if !e.reported {
			l.cold--
		}
		delete(l.endpoints, name)
	}
}

// hash returns the FNV-1a hash of a name.
func hash(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	return h
}

// score returns the score of a host for an endpoint, by their hashes. The hosts with the greatest have
// a share. It is the finalizer of SplitMix64.
func score(endpoint, host uint64) uint64 {
	h := endpoint ^ host
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
