package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the average demand.
	demandTimeConstant = time.Second
	// burstTime sets the bucket's capacity, as the time in which it fills.
	burstTime = time.Second
	// minRequestedTokens is the demand up to which a share is idle even without a floor.
	minRequestedTokens = 0.01
)

// Share enforces one team's share of its limit at one entry. It is safe for concurrent use.
type Share struct {
	mu        sync.Mutex
	lease     Lease
	floor     float64 // tokens per second
	tokens    float64 // in the bucket; negative after a request that exceeded it
	filledAt  time.Time
	requested float64 // decaying sum of the tokens of all requests
	decayedAt time.Time
}

// NewShare returns a share with a floor in tokens per second, which applies without a grant.
// The bucket starts full.
func NewShare(floor float64, now time.Time) *Share {
	return &Share{floor: floor, tokens: floor * burstTime.Seconds(), filledAt: now, decayedAt: now}
}

// Consume removes tokens from the bucket, or returns the time after which that may
// succeed. A request may exceed the tokens in the bucket; later ones are then
// refused until the bucket has refilled to above zero.
func (s *Share) Consume(tokens float64, now time.Time) (retryAfter time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.requested += tokens
	rate := s.refill(now)
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

// Refund puts back tokens that a request did not use.
func (s *Share) Refund(tokens float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.refill(now)
	s.tokens = min(s.tokens+tokens, rate*burstTime.Seconds())
}

// SetFloor changes the floor in tokens per second.
func (s *Share) SetFloor(floor float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	s.floor = floor
}

// Idle reports whether the recent demand does not exceed the floor, so that no
// grant is needed.
func (s *Share) Idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.requested <= max(s.floor*demandTimeConstant.Seconds(), minRequestedTokens)
}

// refill adds the tokens since the last call at the rates valid then, and returns
// the current rate.
func (s *Share) refill(now time.Time) float64 {
	granted := s.lease.rate
	end := minTime(now, s.lease.until)
	s.add(s.floor+granted, end.Sub(s.filledAt))
	if end.After(s.filledAt) {
		s.filledAt = end
	}
	s.add(s.floor, now.Sub(s.filledAt))
	if now.After(s.filledAt) {
		s.filledAt = now
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

// decay applies the exponential decay to the demand.
func (s *Share) decay(now time.Time) {
	if d := now.Sub(s.decayedAt); d > 0 {
		s.requested *= math.Exp(-float64(d) / float64(demandTimeConstant))
		s.decayedAt = now
	}
}

// NextDemand returns the next demand to send to the ZoneAllocator. A timer calls it.
func (s *Share) NextDemand(now time.Time) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	rate := s.requested / demandTimeConstant.Seconds()
	return s.lease.NextDemand(max(rate-s.floor, 0), now)
}

// Apply makes a grant the current one, or returns false as Lease.Apply does.
func (s *Share) Apply(g Grant, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	return s.lease.Apply(g, now)
}

// Rate returns the current rate, floor included, in tokens per second.
func (s *Share) Rate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor + s.lease.Rate(now)
}
