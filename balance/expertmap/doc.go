// Package expertmap plans which experts of one layer each rank of a group holds.
//
// Hot experts get several replicas, and a replica carries an equal share of its
// expert's tokens. All ranks advance in lock-step, so the rank with the most
// tokens sets the step time. A Policy proposes a Plan for the current Map and
// Load. Plans are deterministic and need neither clock nor randomness.
package expertmap
