// Package roster keeps which endpoints of a service are ranks of which groups, so
// that not every entry has to ask every rank. A few entries, the scouts, ask all
// ranks and write the roster; entries hand it to each other as a value with a
// version.
package roster

import (
	"math"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

// Rank is what is known of the rank behind an endpoint.
type Rank struct {
	Group id.Group `cbor:"1,keyasint"`
	// Pace is above one while the rank is slow, in steps of paceStep.
	Pace float64 `cbor:"2,keyasint"`
}

// paceStep is the resolution of a pace. Finer ones would change the roster with
// each look.
const paceStep = 0.25

func newSeat(group id.Group, pace float64) Rank {
	return Rank{Group: group, Pace: max(math.Round(pace/paceStep)*paceStep, 1)}
}

// authorBits is the number of bits of a version that tell versions of different
// scouts apart.
const authorBits = 8

// Roster holds the newest roster of a service. It is safe for concurrent use.
type Roster struct {
	// changed is told of a new version. It must not block.
	changed func()

	mu      sync.Mutex // leaf lock
	version uint64
	seats   map[id.Endpoint]Rank // replaced, never changed
}

// New returns an empty book. Changed, which may be nil, is told of a version
// that this entry wrote.
func New(changed func()) *Roster {
	if changed == nil {
		changed = func() {}
	}
	return &Roster{changed: changed}
}

// Ranks returns the roster, which must not be changed.
func (b *Roster) Ranks() map[id.Endpoint]Rank {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seats
}

// Groups returns the groups in order.
func (b *Roster) Groups() []id.Group {
	var out []id.Group
	for _, s := range b.Ranks() {
		if !slices.Contains(out, s.Group) {
			out = append(out, s.Group)
		}
	}
	slices.Sort(out)
	return out
}

// Version returns the version of the roster, zero if there is none.
func (b *Roster) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Encode returns the version and the encoded roster.
func (b *Roster) Encode() (version uint64, data []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err = cbor.Marshal(b.seats)
	return b.version, data, err
}

// Update takes in a roster of another entry if its version is greater.
func (b *Roster) Update(version uint64, data []byte) error {
	var seats map[id.Endpoint]Rank
	if err := cbor.Unmarshal(data, &seats); err != nil {
		return errors.Wrap(err, "roster")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if version > b.version {
		b.version, b.seats = version, seats
	}
	return nil
}

// write takes in what a scout saw of some endpoints. Those that it did not see and
// that are still listed keep their seats. The author tells scouts apart.
func (b *Roster) write(seen map[id.Endpoint]Rank, listed func(id.Endpoint) bool, author byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[id.Endpoint]Rank, len(seen))
	for e, s := range b.seats {
		if listed(e) {
			next[e] = s
		}
	}
	changed := len(next) != len(b.seats)
	for e, s := range seen {
		changed = changed || next[e] != s
		next[e] = s
	}
	if !changed {
		return
	}
	b.version = (b.version>>authorBits+1)<<authorBits | uint64(author)
	b.seats = next
	b.changed()
}
