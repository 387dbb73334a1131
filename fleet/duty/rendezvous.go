// Package duty decides which process performs a duty of the fleet: rendezvous
// hashing over live hosts picks the candidate, and a lease with a fencing
// number guards what two must not do at once.
package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
)

// Name names a duty, for example "rebalance/asistente".
type Name string

// Pick returns the host that is to perform a duty. All processes with the same
// list of hosts pick the same one, and a host that joins or leaves moves only
// the duties it gains or loses. It reports false if there is no host.
func Pick(duty Name, hosts []id.Host) (id.Host, bool) {
	if len(hosts) == 0 {
		return "", false
	}
	best := slices.MaxFunc(hosts, func(a, b id.Host) int {
		return cmp.Or(cmp.Compare(weight(duty, a), weight(duty, b)), cmp.Compare(a, b))
	})
	return best, true
}

// weight is the pseudo-random weight of a host for a duty.
func weight(duty Name, host id.Host) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(duty)) // xxhash.Digest never returns an error.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
