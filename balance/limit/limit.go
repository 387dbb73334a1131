// Package limit enforces a global token limit by local shares, without a call
// per request.
//
// Each entry holds a Share with a token bucket. Its rate is a fixed floor and a
// grant on top. Grants come from a Divider in the entry's zone, which divides
// the zone's own grant; a Divider for all zones divides the limit less all
// floors. Nodes ask by a Demand at an interval and are answered by a Grant.
//
// A grant is a lease: it ends a fixed time after the demand was sent, by the
// clock of the node that asked, and later by the clock of the Divider. The
// Divider counts a grant as used until it ended or until the node confirmed a
// later one. Lost, late and repeated messages therefore leave a part of the
// limit unused and never raise the sum of all rates above the limit.
package limit

import "time"

const (
	// driftPart is the part of a lease by which a Divider waits longer than the
	// node that asked. It covers clocks that run at rates up to 1 % apart.
	driftPart = 50
	// maxPending bounds the demands of a node that await an answer.
	maxPending = 8
)

// Demand asks for a grant.
type Demand struct {
	// Seq counts the demands of a node from 1.
	Seq uint64
	// Confirmed is the Seq of the latest grant in force; earlier ones are void.
	Confirmed uint64
	// Rate is the demand in tokens per second.
	Rate float64
}

// Grant answers the Demand with the same Seq.
type Grant struct {
	// Generation is the fencing number of the authority to divide. A node
	// ignores grants of a lower generation than it has seen.
	Generation uint64
	Seq        uint64
	// Rate is in tokens per second, on top of the node's floor.
	Rate float64
	// TTL counts from the time at which the demand was sent.
	TTL time.Duration
}

// Lease is the grant in force at a node. It is not safe for concurrent use.
type Lease struct {
	generation uint64
	seq        uint64 // of the last demand
	applied    uint64 // Seq of the last grant
	rate       float64
	until      time.Time
	sent       [maxPending]time.Time // by Seq
}

// NextDemand starts an exchange and returns the message to send.
func (l *Lease) NextDemand(rate float64, now time.Time) Demand {
	l.seq++
	l.sent[l.seq%maxPending] = now
	return Demand{Seq: l.seq, Confirmed: l.applied, Rate: rate}
}

// Apply puts a grant in force. It returns false for a repeated, outrun, expired
// or void grant.
func (l *Lease) Apply(g Grant, now time.Time) bool {
	if g.Generation < l.generation || g.Seq <= l.applied || g.Seq > l.seq || g.Seq+maxPending <= l.seq {
		return false
	}
	until := l.sent[g.Seq%maxPending].Add(g.TTL)
	if !now.Before(until) {
		return false
	}
	l.generation = g.Generation
	l.applied = g.Seq
	l.rate = g.Rate
	l.until = until
	return true
}

// Rate returns the rate granted at a time in tokens per second.
func (l *Lease) Rate(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// Until returns the end of the grant in force.
func (l *Lease) Until() time.Time { return l.until }
