// Package duty guards the duties of the fleet that two processes must not
// perform at once by leases with fencing numbers. Package rendezvous picks the
// process that should take a lease.
package duty

// Name names a duty, for example "rebalance/asistente".
type Name string
