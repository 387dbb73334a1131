package limit

import (
	"slices"
	"time"
)

const (
	// maxLeaseTime bounds the lease of a grant.
	maxLeaseTime = 4 * time.Second
	// idleDemandFraction is the fraction of the pool that all nodes together demand
	// at least, so that an idle node that becomes busy has some rate at once.
	idleDemandFraction = 0.01
)

// MaxGrantDuration is the time after which every grant has expired by any clock. An
// Allocator waits for it after taking over from another one.
const MaxGrantDuration = maxLeaseTime + 2*maxLeaseTime/driftDivisor

// Pool is the rate that an Allocator may allocate.
type Pool struct {
	// Generation is the fencing token of the pool's owner. At most one Allocator
	// may own the pool of a limit at a time.
	Generation uint64
	// Rate is in tokens per second.
	Rate float64
	// Until is the end of the ownership by the Allocator's clock. Grants expire before.
	Until time.Time
}

// Allocator divides a pool between nodes in proportion to their demand. It is not
// safe for concurrent use. N identifies a node; a restarted node needs a new name.
type Allocator[N comparable] struct {
	pool  Pool
	nodes map[N]*node
}

// node is the state of one node that sends demands.
type node struct {
	seq          uint64
	demand       float64
	lastDemandAt time.Time
	grants       []issuedGrant // in order of Seq
}

// issuedGrant is a grant that its node may still use.
type issuedGrant struct {
	seq   uint64
	rate  float64
	until time.Time // by the Allocator's clock
}

// NewAllocator returns an allocator without a pool.
func NewAllocator[N comparable]() *Allocator[N] {
	return &Allocator[N]{nodes: map[N]*node{}}
}

// SetPool replaces the pool. Grants already issued remain valid until they expire.
func (a *Allocator[N]) SetPool(p Pool) { a.pool = p }

// Grant answers a demand. It returns false for a demand that is repeated or older
// than the last one, and while there is no pool.
func (a *Allocator[N]) Grant(name N, m Demand, now time.Time) (Grant, bool) {
	a.expire(now)
	n := a.nodes[name]
	if n == nil {
		n = &node{}
		a.nodes[name] = n
	}
	if m.Seq <= n.seq {
		return Grant{}, false
	}
	n.seq, n.demand, n.lastDemandAt = m.Seq, m.Rate, now
	n.confirm(m.Confirmed)
	ttl := min(maxLeaseTime, a.pool.Until.Sub(now))
	ttl -= ttl / driftDivisor
	if ttl <= 0 {
		return Grant{}, false
	}
	rate := max(min(a.targetRate(n), a.pool.Rate-a.reservedByOthers(n)), 0)
	n.issue(issuedGrant{seq: m.Seq, rate: rate, until: now.Add(ttl + ttl/driftDivisor)})
	return Grant{Generation: a.pool.Generation, Seq: m.Seq, Rate: rate, TTL: ttl}, true
}

// targetRate returns the node's share of the pool in proportion to demand.
func (a *Allocator[N]) targetRate(n *node) float64 {
	minDemand := a.pool.Rate * idleDemandFraction / float64(len(a.nodes))
	sum := 0.0
	for _, other := range a.nodes {
		sum += max(other.demand, minDemand)
	}
	if sum == 0 {
		return 0
	}
	return a.pool.Rate * max(n.demand, minDemand) / sum
}

// reservedByOthers returns the sum of the rates reserved for all other nodes.
func (a *Allocator[N]) reservedByOthers(n *node) float64 {
	sum := 0.0
	for _, other := range a.nodes {
		if other != n {
			sum += other.reservedRate()
		}
	}
	return sum
}

// expire removes expired grants, and nodes without demand or grant for a lease.
func (a *Allocator[N]) expire(now time.Time) {
	for name, n := range a.nodes {
		n.grants = slices.DeleteFunc(n.grants, func(g issuedGrant) bool { return !now.Before(g.until) })
		if len(n.grants) == 0 && now.Sub(n.lastDemandAt) > maxLeaseTime {
			delete(a.nodes, name)
		}
	}
}

// Reserved returns the sum of the rates reserved for all nodes.
func (a *Allocator[N]) Reserved(now time.Time) float64 {
	a.expire(now)
	return a.reservedByOthers(nil)
}

// TotalDemand returns the sum of the nodes' demands in tokens per second.
func (a *Allocator[N]) TotalDemand(now time.Time) float64 {
	a.expire(now)
	sum := 0.0
	for _, n := range a.nodes {
		sum += n.demand
	}
	return sum
}

// confirm removes the grants before the one that the node has applied.
func (n *node) confirm(seq uint64) {
	n.grants = slices.DeleteFunc(n.grants, func(g issuedGrant) bool { return g.seq < seq })
}

// issue records a grant. Beyond maxPendingDemands it merges the oldest two to cover both.
func (n *node) issue(g issuedGrant) {
	n.grants = append(n.grants, g)
	if len(n.grants) <= maxPendingDemands {
		return
	}
	a, b := n.grants[0], n.grants[1]
	if a.until.After(b.until) {
		b.until = a.until
	}
	b.rate = max(a.rate, b.rate)
	n.grants = n.grants[1:]
	n.grants[0] = b
}

// reservedRate returns the highest of the node's grants, as it uses one at a time.
func (n *node) reservedRate() float64 {
	most := 0.0
	for _, g := range n.grants {
		most = max(most, g.rate)
	}
	return most
}
