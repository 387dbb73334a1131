package limits

import (
	"time"

	"github.com/siskinford/siskinford/balance/limit"
)

// level is either the division between a zone's entries or that between zones.
type level uint8

const (
	// zoneLevel demands come from an entry to the zone's leader.
	zoneLevel level = iota + 1
	// fleetLevel demands come from a zone's leader to the lease holder.
	fleetLevel
)

// request carries the demands of one node for teams of one shard. Its slices
// have one element for each team.
type request struct {
	_     struct{} `cbor:",toarray"`
	Level level
	Shard uint8
	// Node is the random ID of the requesting process.
	Node  uint64
	Teams []teamKey
	Seqs  []uint64
	// Lags are the differences of Demand.Seq and Demand.Confirmed, zero if nothing is confirmed.
	Lags []byte
	// Rates are the demands in tokens per second.
	Rates []float32
}

// response carries the grants for the teams of a request in the same order.
type response struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	// TTL is in milliseconds and applies to all grants.
	TTL int64
	// Rates are in tokens per second, negative for teams without a grant.
	Rates []float32
	// Redirect is the address of an entry that may hold the shard's lease. It
	// replaces the grants.
	Redirect string
}

// noGrant is the value in response.Rates for a team without a grant.
const noGrant = -1

// maxLag is the greatest value of an element of request.Lags.
const maxLag = 255

// add appends the demand of a team.
func (r *request) add(k teamKey, d limit.Demand) {
	lag := d.Seq - d.Confirmed
	if d.Confirmed == 0 || lag > maxLag {
		lag = 0
	}
	r.Teams = append(r.Teams, k)
	r.Seqs = append(r.Seqs, d.Seq)
	r.Lags = append(r.Lags, byte(lag))
	r.Rates = append(r.Rates, float32(d.Rate))
}

// valid reports whether the request is complete.
func (r *request) valid() bool {
	n := len(r.Teams)
	return len(r.Seqs) == n && len(r.Lags) == n && len(r.Rates) == n && r.Shard < shardCount
}

// demand returns the demand of a team by its position.
func (r *request) demand(i int) limit.Demand {
	d := limit.Demand{Seq: r.Seqs[i], Rate: max(float64(r.Rates[i]), 0)}
	if lag := uint64(r.Lags[i]); lag > 0 && lag < d.Seq {
		d.Confirmed = d.Seq - lag
	}
	return d
}

// add appends the grant of one team. The shortest TTL applies to all.
func (resp *response) add(g limit.Grant, ok bool) {
	if !ok {
		resp.Rates = append(resp.Rates, noGrant)
		return
	}
	ttl := g.TTL.Milliseconds()
	if resp.TTL == 0 || ttl < resp.TTL {
		resp.TTL = ttl
	}
	resp.Generation = g.Generation
	resp.Rates = append(resp.Rates, float32(g.Rate))
}

// grant returns the grant of a team by its position.
func (resp *response) grant(i int, seq uint64) (limit.Grant, bool) {
	if resp.Rates[i] < 0 {
		return limit.Grant{}, false
	}
	ttl := time.Duration(resp.TTL) * time.Millisecond
	return limit.Grant{Generation: resp.Generation, Seq: seq, Rate: float64(resp.Rates[i]), TTL: ttl}, true
}
