// Package group tests coordinators, agents and engines of one group of ranks
// together in one process, over a transport with faults and with explicit ticks.
package group
