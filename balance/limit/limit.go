// Package limit implements a distributed token rate limit that is enforced
// locally, without a remote call per request.
//
// Each entry holds a Share, a token bucket that refills at a fixed floor rate plus
// a granted rate. A ZoneAllocator divides the grant of its zone between the zone's
// entries; a root Allocator divides the limit less all floors between the zones.
// A node sends a Demand at an interval and receives a Grant.
//
// A grant is a lease: it expires a fixed time after the demand was sent, by the
// clock of the node, and later than that by the clock of the allocator. The
// allocator reserves its rate until it has expired or the node has confirmed a
// later one. Lost, late and repeated messages can therefore leave part of the
// limit unused but never raise the sum of all rates above the limit.
package limit

import "time"

const (
	// driftDivisor sets the fraction of a lease, 1/driftDivisor, by which it lasts
	// longer at the allocator. It covers clocks whose rates differ by up to 1 %.
	driftDivisor = 50
	// maxPendingDemands bounds the unanswered demands of a node.
	maxPendingDemands = 8
)

// Demand requests a grant.
type Demand struct {
	// Seq counts the demands of a node from 1.
	Seq uint64
	// Confirmed is the Seq of the latest grant applied; the node uses no earlier one.
	Confirmed uint64
	// Rate is the requested rate in tokens per second.
	Rate float64
}

// Grant answers the Demand with the same Seq.
type Grant struct {
	// Generation is the fencing token of the allocator. A node ignores grants of a
	// lower generation than it has seen.
	Generation uint64
	Seq        uint64
	// Rate is in tokens per second, on top of the node's floor.
	Rate float64
	// TTL counts from the time at which the demand was sent.
	TTL time.Duration
}

// Lease is a node's side of the protocol. It is not safe for concurrent use.
type Lease struct {
	generation uint64
	seq        uint64 // of the last demand
	appliedSeq uint64 // Seq of the last grant
	rate       float64
	until      time.Time
	sentAt     [maxPendingDemands]time.Time // by Seq
}

// NextDemand returns the next demand to send and records when it was sent.
func (l *Lease) NextDemand(rate float64, now time.Time) Demand {
	l.seq++
	l.sentAt[l.seq%maxPendingDemands] = now
	return Demand{Seq: l.seq, Confirmed: l.appliedSeq, Rate: rate}
}

// Apply makes a grant the current one. It returns false for a grant that is
// repeated, older than the current one, expired or of a lower generation.
func (l *Lease) Apply(g Grant, now time.Time) bool {
	if g.Generation < l.generation || g.Seq <= l.appliedSeq || g.Seq > l.seq || g.Seq+maxPendingDemands <= l.seq {
		return false
	}
	until := l.sentAt[g.Seq%maxPendingDemands].Add(g.TTL)
	if !now.Before(until) {
		return false
	}
	l.generation = g.Generation
	l.appliedSeq = g.Seq
	l.rate = g.Rate
	l.until = until
	return true
}

// Rate returns the granted rate in tokens per second, zero after expiry.
func (l *Lease) Rate(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// Until returns the expiry of the current grant.
func (l *Lease) Until() time.Time { return l.until }
