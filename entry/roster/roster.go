// Package roster maps the endpoints of a service to the groups of their ranks. A few
// entries, the collectors, poll all ranks and write the roster, so that not every entry
// polls every rank; entries exchange it as a versioned value.
package roster

import (
	"math"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

// Rank is the group and slowdown of the rank behind an endpoint.
type Rank struct {
	Group id.Group `cbor:"1,keyasint"`
	// Slowdown is the rank's step time relative to the usual one, from one up.
	Slowdown float64 `cbor:"2,keyasint"`
}

// slowdownResolution rounds slowdowns. Finer values would change the roster with every
// poll.
const slowdownResolution = 0.25

func newRank(group id.Group, slowdown float64) Rank {
	return Rank{Group: group, Slowdown: max(math.Round(slowdown/slowdownResolution)*slowdownResolution, 1)}
}

// writerBits is the number of low version bits that hold a hash of the collector's host,
// which keeps the versions of different collectors apart.
const writerBits = 8

// Roster holds the newest roster of a service. It is safe for concurrent use.
type Roster struct {
	// changed is called after a local write. It must not block.
	changed func()

	mu      sync.Mutex // leaf lock
	version uint64
	ranks   map[id.Endpoint]Rank // copy-on-write
}

// New returns an empty roster. It calls changed, which may be nil, after each version that
// this entry writes.
func New(changed func()) *Roster {
	if changed == nil {
		changed = func() {}
	}
	return &Roster{changed: changed}
}

// Ranks returns the ranks by endpoint. The result must not be modified.
func (r *Roster) Ranks() map[id.Endpoint]Rank {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ranks
}

// Groups returns the group names in sorted order.
func (r *Roster) Groups() []id.Group {
	var out []id.Group
	for _, rank := range r.Ranks() {
		if !slices.Contains(out, rank.Group) {
			out = append(out, rank.Group)
		}
	}
	slices.Sort(out)
	return out
}

// Version returns the version of the roster, zero if there is none.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Encode returns the version and the encoded roster.
func (r *Roster) Encode() (version uint64, data []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err = cbor.Marshal(r.ranks)
	return r.version, data, err
}

// Update replaces the roster by one from another entry if its version is greater.
func (r *Roster) Update(version uint64, data []byte) error {
	var ranks map[id.Endpoint]Rank
	if err := cbor.Unmarshal(data, &ranks); err != nil {
		return errors.Wrap(err, "roster")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.version {
		r.version, r.ranks = version, ranks
	}
	return nil
}

// merge adds the ranks that a collector polled and drops endpoints that are no longer
// listed. It writes a new version if anything changed.
func (r *Roster) merge(collected map[id.Endpoint]Rank, listed func(id.Endpoint) bool, writer byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[id.Endpoint]Rank, len(collected))
	for e, rank := range r.ranks {
		if listed(e) {
			next[e] = rank
		}
	}
	changed := len(next) != len(r.ranks)
	for e, rank := range collected {
		changed = changed || next[e] != rank
		next[e] = rank
	}
	if !changed {
		return
	}
	r.version = (r.version>>writerBits+1)<<writerBits | uint64(writer)
	r.ranks = next
	r.changed()
}
