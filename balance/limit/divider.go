package limit

import (
	"slices"
	"time"
)

const (
	// leaseTime is the longest lease of a grant.
	leaseTime = 4 * time.Second
	// spareDemand is the part of the pool that the idle nodes' demand counts as
	// in total, so that a node that becomes busy has something to begin with.
	spareDemand = 0.01
)

// MaxGrantDuration is the time after which every grant has ended, by any clock. A
// Divider that takes over from one that gave up its authority waits for it.
const MaxGrantDuration = leaseTime + 2*leaseTime/driftPart

// Pool is what a Divider may divide.
type Pool struct {
	// Generation is the fencing number of the authority to divide. At most one
	// Divider may hold a pool of a limit at a time.
	Generation uint64
	// Rate is in tokens per second.
	Rate float64
	// Until is the end of the authority, by the Divider's clock. Grants end before.
	Until time.Time
}

// Allocator divides a pool between nodes in proportion to their demand. It is
// not safe for concurrent use. N names a node; a restarted node needs a new name.
type Allocator[N comparable] struct {
	pool  Pool
	nodes map[N]*node
}

// node is what a Divider knows of one node that asks.
type node struct {
	seq    uint64
	demand float64
	seen   time.Time
	grants []issued // in order of Seq
}

// issued is a grant that its node may use.
type issued struct {
	seq   uint64
	rate  float64
	until time.Time // by the Divider's clock
}

// NewAllocator returns a divider without a pool.
func NewAllocator[N comparable]() *Allocator[N] {
	return &Allocator[N]{nodes: map[N]*node{}}
}

// SetPool replaces the pool. Grants already issued remain until they end.
func (d *Allocator[N]) SetPool(p Pool) { d.pool = p }

// Grant answers a demand. It returns false for a repeated or outrun demand and
// while the divider has no pool.
func (d *Allocator[N]) Grant(name N, m Demand, now time.Time) (Grant, bool) {
	d.expire(now)
	n := d.nodes[name]
	if n == nil {
		n = &node{}
		d.nodes[name] = n
	}
	if m.Seq <= n.seq {
		return Grant{}, false
	}
	n.seq, n.demand, n.seen = m.Seq, m.Rate, now
	n.confirm(m.Confirmed)
	ttl := min(leaseTime, d.pool.Until.Sub(now))
	ttl -= ttl / driftPart
	if ttl <= 0 {
		return Grant{}, false
	}
	rate := max(min(d.target(n), d.pool.Rate-d.othersReserve(n)), 0)
	n.issue(issued{seq: m.Seq, rate: rate, until: now.Add(ttl + ttl/driftPart)})
	return Grant{Generation: d.pool.Generation, Seq: m.Seq, Rate: rate, TTL: ttl}, true
}

// target returns the node's part of the pool by demand.
func (d *Allocator[N]) target(n *node) float64 {
	least := d.pool.Rate * spareDemand / float64(len(d.nodes))
	sum := 0.0
	for _, other := range d.nodes {
		sum += max(other.demand, least)
	}
	if sum == 0 {
		return 0
	}
	return d.pool.Rate * max(n.demand, least) / sum
}

// othersReserve sums what all other nodes may use.
func (d *Allocator[N]) othersReserve(n *node) float64 {
	sum := 0.0
	for _, other := range d.nodes {
		if other != n {
			sum += other.reserve()
		}
	}
	return sum
}

// expire forgets grants that ended and nodes that are silent for a lease.
func (d *Allocator[N]) expire(now time.Time) {
	for name, n := range d.nodes {
		n.grants = slices.DeleteFunc(n.grants, func(g issued) bool { return !now.Before(g.until) })
		if len(n.grants) == 0 && now.Sub(n.seen) > leaseTime {
			delete(d.nodes, name)
		}
	}
}

// Reserved returns the sum of the rates that all nodes may use.
func (d *Allocator[N]) Reserved(now time.Time) float64 {
	d.expire(now)
	return d.othersReserve(nil)
}

// TotalDemand returns the sum of the nodes' demands in tokens per second.
func (d *Allocator[N]) TotalDemand(now time.Time) float64 {
	d.expire(now)
	sum := 0.0
	for _, n := range d.nodes {
		sum += n.demand
	}
	return sum
}

// confirm forgets the grants before one that the node has put in force.
func (n *node) confirm(seq uint64) {
	n.grants = slices.DeleteFunc(n.grants, func(g issued) bool { return g.seq < seq })
}

// issue records a grant. Beyond maxPending the oldest two become one that covers both.
func (n *node) issue(g issued) {
	n.grants = append(n.grants, g)
	if len(n.grants) <= maxPending {
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

// reserve returns the most that the node may use. It puts one grant in force at a time.
func (n *node) reserve() float64 {
	most := 0.0
	for _, g := range n.grants {
		most = max(most, g.rate)
	}
	return most
}
