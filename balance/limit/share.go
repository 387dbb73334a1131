package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// demandMemory is the time constant of the average demand.
	demandMemory = time.Second
	// burstTime is the time for which an unused rate is saved up.
	burstTime = time.Second
	// minAsked is the number of tokens below which a share counts as idle in any case.
	minAsked = 0.01
)

// Share enforces one team's part of its limit at one entry. It is safe for concurrent use.
type Share struct {
	mu     sync.Mutex
	lease  Lease
	floor  float64 // tokens per second
	tokens float64 // in the bucket; negative after a request beyond the saved tokens
	filled time.Time
	asked  float64 // decaying sum of the tokens asked for
	seen   time.Time
}

// NewShare returns a share with a floor in tokens per second, which holds also
// without any answer. The bucket starts with the floor's burst.
func NewShare(floor float64, now time.Time) *Share {
	return &Share{floor: floor, tokens: floor * burstTime.Seconds(), filled: now, seen: now}
}

// Consume takes tokens from the bucket, or returns the time after which that may
// succeed. A request may exceed the saved tokens; the next one then waits
// until the rate has made up for it.
func (s *Share) Consume(tokens float64, now time.Time) (retryAfter time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.asked += tokens
	rate := s.fill(now)
	if s.tokens > 0 {
		s.tokens -= tokens
		return 0, true
	}
	if rate <= 0 {
		return time.Duration(math.MaxInt64), false
	}
	seconds := min(-s.tokens/rate, math.MaxInt32)
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond), false
}

// Refund gives tokens back that a request did not use.
func (s *Share) Refund(tokens float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.fill(now)
	s.tokens = min(s.tokens+tokens, rate*burstTime.Seconds())
}

// SetFloor changes the floor in tokens per second.
func (s *Share) SetFloor(floor float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fill(now)
	s.floor = floor
}

// Idle reports whether the share was lately asked for no more than its floor, so
// that no exchange is needed.
func (s *Share) Idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.asked <= max(s.floor*demandMemory.Seconds(), minAsked)
}

// fill adds the tokens since the last call at the rates that were in force, and
// returns the current rate.
func (s *Share) fill(now time.Time) float64 {
	granted := s.lease.rate
	end := minTime(now, s.lease.until)
	s.add(s.floor+granted, end.Sub(s.filled))
	if end.After(s.filled) {
		s.filled = end
	}
	s.add(s.floor, now.Sub(s.filled))
	if now.After(s.filled) {
		s.filled = now
	}
	return s.floor + s.lease.Rate(now)
}

func (s *Share) add(rate float64, d time.Duration) {
	if d > 0 {
		s.tokens = min(s.tokens+rate*d.Seconds(), rate*burstTime.Seconds())
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// decay ages the sum of tokens asked for.
func (s *Share) decay(now time.Time) {
	if d := now.Sub(s.seen); d > 0 {
		s.asked *= math.Exp(-float64(d) / float64(demandMemory))
		s.seen = now
	}
}

// NextDemand starts an exchange with the zone's Divider. A timer calls it.
func (s *Share) NextDemand(now time.Time) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	rate := s.asked / demandMemory.Seconds()
	return s.lease.NextDemand(max(rate-s.floor, 0), now)
}

// Apply puts a grant in force. It returns false for a grant that no longer counts.
func (s *Share) Apply(g Grant, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fill(now)
	return s.lease.Apply(g, now)
}

// Rate returns the rate in force in tokens per second.
func (s *Share) Rate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor + s.lease.Rate(now)
}
