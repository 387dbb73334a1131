// Package duty provides leases with fencing tokens for singleton tasks, called
// duties. Package rendezvous picks the process that should acquire a lease.
package duty

// Name identifies a duty, for example "rebalance/asistente".
type Name string
