package coldstart

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

const ms = time.Millisecond

// today holds the values of the present-day deployments.
var today = Config{Rate: 26, Overage: 1.5, Slack: 5}

// bound returns the most requests that an endpoint may get in a second.
func (c Config) bound() int { return int(c.Rate*c.Overage + c.Slack) }

func hostNames(n int) []id.Host {
	out := make([]id.Host, n)
	for i := range out {
		out[i] = id.Host(fmt.Sprintf("10.%d.0.%d", i%7, i))
	}
	return out
}

// settledLimiter returns a limiter of a host in a fleet, at a time when it may send.
func settledLimiter(cfg Config, hosts []id.Host, self id.Host) (*Limiter, time.Duration) {
	l := New(cfg, 0)
	l.SetFleet(hosts, self, 0)
	return l, 2 * aloneSettleTime
}

// takes returns the times at which a limiter permits requests to an endpoint that are always ready.
func takes(l *Limiter, name id.Endpoint, from, to time.Duration) (out []time.Duration) {
	for now := from; now < to; now += time.Microsecond {
		at, limited := l.Next(name, now)
		if now = max(now, at); now >= to || !limited {
			break
		}
		if l.Take(name, now) {
			out = append(out, now)
		}
	}
	return out
}

// TestOnlySharesSend checks that in a fleet with more entries than shares exactly those of the first
// K hosts send, the same by the views of all, and that other endpoints have other ones.
func TestOnlySharesSend(t *testing.T) {
	for _, c := range []struct{ hosts, shares int }{{1, 1}, {2, 2}, {12, 12}, {13, 13}, {15, 13}, {44, 13}, {360, 13}} {
		hosts := hostNames(c.hosts)
		used := make(map[id.Host]bool)
		for e := range min(20, 900/c.hosts) {
			name := id.Endpoint(fmt.Sprintf("e%d", e))
			sent, all := 0, 0
			for _, self := range hosts {
				l, now := settledLimiter(today, hosts, self)
				l.SetCold(name, now+3*time.Second, now)
				got := len(takes(l, name, now, now+3*time.Second))
				if got > 0 {
					sent++
					used[self] = true
				} else {
					at, limited := l.Next(name, now)
					assert.Assert(t, limited)
					assert.Equal(t, at, now+3*time.Second, "without a share it waits for the end of the cold time")
				}
				all += got
			}
			assert.Equal(t, sent, c.shares, "%d hosts", c.hosts)
			// The aim is the rate, less the margin of the interval.
			assert.Assert(t, all <= 3*26 && all >= 3*26*98/100-c.shares-1, "%d requests in 3 s from %d hosts", all, c.hosts)
		}
		assert.Assert(t, len(used) >= min(c.hosts, 20), "%d of %d hosts have a share of any endpoint", len(used), c.hosts)
	}
}

// TestNoThirdRequestInASecond guards against three requests of a share of two a second within one
// second, as a bucket of one token without the longer interval permits.
func TestNoThirdRequestInASecond(t *testing.T) {
	l, now := settledLimiter(today, hostNames(13), hostNames(13)[3])
	l.SetCold("e", now+time.Minute, now)
	times := takes(l, "e", now, now+time.Minute)
	for i := 2; i < len(times); i++ {
		assert.Assert(t, times[i]-times[i-2] > 1010*ms, "%v", times[i-2:i+1])
	}
	assert.Assert(t, len(times) >= 116, "%d", len(times))
}

// TestNewLimiterIsEmpty guards against an entry that spends its share twice by a restart, and against
// one that has just started and knows only itself.
func TestNewLimiterIsEmpty(t *testing.T) {
	hosts := hostNames(2)
	l := New(today, 0)
	l.SetCold("e", time.Minute, 0)
	assert.Equal(t, len(takes(l, "e", 0, 5*time.Second)), 0, "the fleet is not known")
	l.SetFleet(hosts[:1], hosts[0], 5*time.Second)
	assert.Equal(t, len(takes(l, "e", 5*time.Second, 5*time.Second+settleTime)), 0, "the fleet may not be complete")
	l.SetFleet(hosts, hosts[0], 6*time.Second)
	from := 5*time.Second + settleTime
	got := takes(l, "e", from, from+time.Second)
	assert.Assert(t, len(got) >= 12 && len(got) <= 13, "%d", len(got))

	alone := New(today, 0)
	alone.SetFleet(hosts[:1], hosts[0], 0)
	alone.SetCold("e", time.Minute, 0)
	assert.Equal(t, len(takes(alone, "e", 0, aloneSettleTime)), 0, "other hosts may exist")
	got = takes(alone, "e", aloneSettleTime, aloneSettleTime+time.Second)
	assert.Assert(t, len(got) >= 25 && len(got) <= 26, "%d", len(got))

	hosts = hostNames(10)
	partial := New(today, 0)
	partial.SetFleet(hosts[:2], hosts[0], 0)
	partial.SetCold("e", time.Minute, 0)
	assert.Equal(t, len(takes(partial, "e", 0, settleTime)), 0, "other hosts may exist")
	partial.SetFleet(hosts, hosts[0], settleTime)
	assert.Assert(t, len(takes(partial, "e", settleTime, settleTime+time.Second)) <= 3)

	slow := New(Config{Rate: 0.05, Overage: 1.5, Slack: 5}, 0) // A token in 60 s for each of three entries.
	slow.SetFleet(hosts, hosts[0], 0)
	for i := range 20 {
		name := id.Endpoint(fmt.Sprintf("e%d", i))
		slow.SetCold(name, time.Hour, 0)
		at, _ := slow.Next(name, 0)
		assert.Assert(t, at >= time.Minute, "%v: an earlier process may have sent just now", at)
	}
}

// TestMissingHostsCountForAWhile guards against a greater share after a lapse of the list, while the
// missing hosts may still send.
func TestMissingHostsCountForAWhile(t *testing.T) {
	hosts := hostNames(10)
	l := New(today, 0)
	l.SetFleet(hosts, hosts[0], 0)
	now := 10 * time.Second
	rate := func() int {
		l.SetCold("e", now+time.Second, now)
		n := len(takes(l, "e", now, now+time.Second))
		now += time.Second
		return n
	}
	assert.Assert(t, rate() <= 3)
	l.SetFleet(hosts[:1], hosts[0], now)
	assert.Assert(t, rate() <= 3)
	now += fleetHold
	l.SetFleet(hosts[:1], hosts[0], now)
	assert.Assert(t, rate() >= 24, "the host is alone")
	l.SetFleet(hosts, hosts[0], now)
	assert.Assert(t, rate() <= 3, "new hosts count at once")
}

// TestFirstRequestsAreSpread guards against the requests of all shares in the same millisecond when
// all entries learn at the same time that an endpoint is cold.
func TestFirstRequestsAreSpread(t *testing.T) {
	hosts := hostNames(13)
	first := make(map[time.Duration]int)
	for _, self := range hosts {
		l, now := settledLimiter(today, hosts, self)
		l.SetCold("e", now+3*time.Second, now)
		first[takes(l, "e", now, now+3*time.Second)[0]]++
	}
	assert.Equal(t, len(first), 13)
}

// TestColdTimes checks how the times at which an endpoint is said to be cold add up.
func TestColdTimes(t *testing.T) {
	l, now := settledLimiter(today, hostNames(1), hostNames(1)[0])
	for range 2 {
		assert.Assert(t, l.Take("e", now), "a warm endpoint has no limit")
	}
	assert.Assert(t, !l.SetCold("e", now, now), "a time that is over")
	assert.Assert(t, l.SetCold("e", now+3*time.Second, now))
	assert.Assert(t, !l.SetCold("e", now+time.Second, now), "a shorter time")
	assert.Equal(t, l.Until("e"), now+3*time.Second)
	assert.Assert(t, !l.SetCold("e", now+4*time.Second, now), "a longer time")
	assert.Equal(t, l.Until("e"), now+4*time.Second)
	assert.Equal(t, l.Cold(), 1)
	warm, next := l.Expire(now + 3*time.Second)
	assert.Equal(t, len(warm), 0)
	assert.Equal(t, next, now+4*time.Second)
	now += 4 * time.Second
	_, limited := l.Next("e", now)
	assert.Assert(t, !limited)
	warm, _ = l.Expire(now)
	assert.DeepEqual(t, warm, []id.Endpoint{"e"})
	assert.Equal(t, l.Cold(), 0)

	assert.Assert(t, l.SetCold("e", now+time.Second, now), "cold again")
	l.Retain(func(id.Endpoint) bool { return false })
	assert.Equal(t, l.Cold(), 0)
	assert.Assert(t, l.Take("e", now))
}

// TestColdAgainKeepsLastRequest guards against a request just before and just after the moment at
// which an endpoint becomes cold again.
func TestColdAgainKeepsLastRequest(t *testing.T) {
	cfg := Config{Rate: 1}
	l, now := settledLimiter(cfg, hostNames(1), hostNames(1)[0])
	l.SetCold("e", now+2*time.Second, now)
	times := takes(l, "e", now, now+2*time.Second)
	l.Expire(now + 2*time.Second)
	last := times[len(times)-1]
	l.SetCold("e", now+9*time.Second, now+2*time.Second)
	at, _ := l.Next("e", now+2*time.Second)
	assert.Assert(t, at-last >= time.Second, "%v after %v", at, last)
}

// TestWithoutRateNothingIsCold covers services that declare no rate.
func TestWithoutRateNothingIsCold(t *testing.T) {
	l := New(Config{Overage: 1.5, Slack: 5}, 0)
	assert.Assert(t, !l.SetCold("e", time.Minute, 0))
	for range 2 {
		assert.Assert(t, l.Take("e", 0))
	}
	l.Configure(today)
	assert.Assert(t, l.SetCold("e", time.Minute, 0))
	assert.Assert(t, !l.Take("e", 0))
	l.Configure(Config{})
	assert.Assert(t, l.Take("e", 0))
}

// TestSharesFollowTheBound checks the number of shares for other bounds than those of today.
func TestSharesFollowTheBound(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want int
	}{
		{today, 13},
		{Config{Rate: 26, Overage: 1.5}, 9},
		{Config{Rate: 26}, 1},
		{Config{Rate: 26, Overage: 0.5, Slack: -3}, 1},
		{Config{Rate: 0.5, Overage: 1.5, Slack: 1}, 1},
		{Config{Rate: 100, Overage: 2, Slack: 5}, 44},
	} {
		l, _ := settledLimiter(c.cfg, hostNames(44), hostNames(44)[0])
		assert.Equal(t, l.shares(), c.want, "%+v", c.cfg)
	}
}
