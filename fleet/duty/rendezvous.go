// Package duty decides which process performs a duty of the fleet: rendezvous
// hashing over live hosts picks the candidate, and a lease with a fencing
// number guards what two must not do at once.
package duty

import (
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// Name names a duty, for example "rebalance/asistente".
type Name string

// Pick returns the host that is to perform a duty. All processes with the same
// list of hosts pick the same one, and a host that joins or leaves moves only
// the duties it gains or loses. It reports false if there is no host.
func Pick(duty Name, hosts []id.Host) (id.Host, bool) {
	return rendezvous.First(string(duty), hosts)
}
