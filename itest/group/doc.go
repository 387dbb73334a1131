// Package group tests the map changes of one expert-parallel group: coordinators,
// agents and fake engines in one process, with explicit ticks and a lossy transport.
package group
