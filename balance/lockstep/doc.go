// Package lockstep makes all ranks of a group use the same expert map in each step.
//
// A Coordinator and one Rank per rank of the group exchange Commands and
// Reports. Both are state machines without input, output or clock; their owners
// deliver messages, which may be lost, duplicated, delayed and reordered.
//
// Forming a group and changing its map each take a unanimous Decision. The
// coordinator first makes every rank join its epoch, which fences all lower
// epochs. It then names a step beyond every rank's progress. Each rank promises
// to stop before that step, and the decision is committed once all have promised.
// Between decisions no messages are needed, and a group keeps running without a
// coordinator.
//
// A rank that restarts has lost its promises. The group is then formed again
// under a higher epoch, after every rank has left the earlier formation.
package lockstep
