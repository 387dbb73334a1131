// Package mapswitch changes the expert map of a group whose ranks run in
// lock-step and obey simple orders: prepare, arm, disarm, hold and release. No
// step may begin while two ranks have different maps, although orders may be lost,
// be executed seconds late, or come from a coordinator that was paused and replaced.
//
// A change prepares the map at all ranks, holds a step at one rank, arms the map
// for that step at all ranks and then releases the step. Two rules make it safe:
//
//   - A step is released only if every rank confirmed that it is armed with one version,
//     or if no rank is armed and each has accepted a fence.
//   - A rank is disarmed only after some rank of the group accepted a fence.
//
// A fence is an order to prepare the map that is already in use under a higher
// version. A rank that accepts it is not armed, and no late order of a lower
// version can arm it. So if a rank accepts a fence before all are armed, the step
// stays held until every rank is fenced; if none does, no rank is disarmed and those
// that confirmed being armed still are. Any coordinator can therefore complete or
// undo the change of another one at any time.
//
// A host is most likely to stall while it processes an order, and its rank then
// does not answer. The hold is therefore forwarded by another rank's relay, which
// must answer a ping a little later before its own rank is armed: a rank that was
// never sent an arm order needs no fence, and the change is undone without it.
//
// A hold does not name its owner. Each lease therefore has its own rank, and in
// small groups its own residue class of steps, at which it holds; it never holds a
// step again that it may have released.
//
// Coordinator is a state machine without input, output or clock of its own.
package mapswitch

import (
	"time"
)

// Map lists the experts by layer set, rank and slot. It must not be modified.
type Map [][][]int

// Op is the kind of an Order.
type Op uint8

const (
	// Prepare copies the weights that a map needs.
	Prepare Op = iota + 1
	// Arm schedules the switch to a prepared map at a step.
	Arm
	// Disarm cancels an Arm.
	Disarm
	// Hold keeps the group from beginning a step.
	Hold
	// Release ends a Hold.
	Release
	// Ping has no effect. Its result shows that the rank's relay answers.
	Ping
)

// String returns the operation's name for logs.
func (o Op) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "release", "ping"}[o]
}

// Order is a request to a rank.
type Order struct {
	// ID identifies the order in its Result.
	ID   uint64
	Rank int
	// Via is the rank whose relay forwards the order.
	Via   int
	Op    Op
	Epoch uint64
	// Version is set for Prepare, Arm and Disarm.
	Version uint64
	// Step is set for Arm, Hold and Release.
	Step uint64
	// Map is set for Prepare.
	Map Map
}

// Outcome is a rank's answer to an order.
type Outcome uint8

const (
	// Unknown means that the order may or may not be executed, now or later.
	Unknown Outcome = iota
	// Done means that the order was executed or started.
	Done
	// Conflict means that the order was refused because it does not fit the rank's state.
	Conflict
)

// Report is a snapshot of a rank's state, possibly outdated on arrival.
type Report struct {
	Rank int
	// Epoch increases each time the group forms. A new epoch starts with map zero and
	// nothing prepared, armed or held.
	Epoch uint64
	// Open is false while a rank of the group is missing.
	Open bool
	// Step is the last step that began, a joint pass of all ranks.
	Step uint64
	// Version is the version of the map in use.
	Version uint64
	// Prepared and Armed are versions, zero for none.
	Prepared, Armed uint64
	// Held is the step that the group must not begin, zero for none.
	Held uint64
}

// Config holds the settings of a Coordinator. Zero values select the defaults.
type Config struct {
	// Ranks is the number of ranks of the group. Required.
	Ranks int
	// LeadSteps is the least number of steps between the last one begun and the one at
	// which the map changes. Default: 2, so that arming ends while a step still runs
	// and the group does not wait. It grows with the round-trip time to the ranks.
	LeadSteps uint64
	// ResendInterval is the least time after which an unanswered order is sent again.
	// Default: 40 ms, several round trips to a rank nearby.
	ResendInterval time.Duration
	// MapTransferTime is the time in which the maps of a change reach all ranks over the
	// coordinator's link. Prepare orders are sent again that much later, since copies of
	// orders that are still on their way would fill the link. Default: 0.
	MapTransferTime time.Duration
	// PrepareTimeout bounds the copying of the weights; after it, the change is
	// abandoned. Default: 3 s.
	PrepareTimeout time.Duration
	// HoldTimeout bounds how long a step is held before the change is undone.
	// Default: 400 ms, about five steps.
	HoldTimeout time.Duration
	// PingDelay is the time between the hold and the ping of the relay that forwarded it.
	// Default: 20 ms; a host that stalls over an order does so within a few milliseconds.
	PingDelay time.Duration
	// PingTimeout is the least time after the hold in which that relay must answer.
	// Default: 100 ms, PingDelay and twice ResendInterval.
	PingTimeout time.Duration
}

const (
	defaultLeadSteps      = 2
	defaultResendInterval = 40 * time.Millisecond
	defaultPrepareTimeout = 3 * time.Second
	defaultHoldTimeout    = 400 * time.Millisecond
	defaultPingDelay      = 20 * time.Millisecond
	defaultPingTimeout    = 100 * time.Millisecond
	// versionBits is the number of low bits of a version that count the versions of a lease.
	versionBits = 20
	// sequenceBits is the number of low bits of a fencing token that differ between consecutive
	// leases. The others hold the era of the store of leases, after whose change the low bits go on.
	sequenceBits = 20
	// maxHoldTries bounds the number of steps that a change tries to hold.
	maxHoldTries = 6
	// distinctHoldLeases is the least number of consecutive leases that never hold the
	// same step at the same rank.
	distinctHoldLeases = 8
)

func (c Config) withDefaults() Config {
	if c.LeadSteps == 0 {
		c.LeadSteps = defaultLeadSteps
	}
	if c.ResendInterval == 0 {
		c.ResendInterval = defaultResendInterval
	}
	if c.PrepareTimeout == 0 {
		c.PrepareTimeout = defaultPrepareTimeout
	}
	if c.HoldTimeout == 0 {
		c.HoldTimeout = defaultHoldTimeout
	}
	if c.PingDelay == 0 {
		c.PingDelay = defaultPingDelay
	}
	if c.PingTimeout == 0 {
		c.PingTimeout = defaultPingTimeout
	}
	return c
}

// Phase is the state of a Coordinator.
type Phase uint8

const (
	// Learning waits for a report of every rank.
	Learning Phase = iota
	// Recovering looks for an unfinished change of an earlier coordinator.
	Recovering
	// Idle means that a change can be started.
	Idle
	// Preparing waits until the weights are copied.
	Preparing
	// Holding waits until the step is held.
	Holding
	// Arming waits until every rank is armed.
	Arming
	// Deciding fences the ranks that did not confirm that they are armed.
	Deciding
	// Undoing disarms and fences all ranks.
	Undoing
	// Releasing ends the hold.
	Releasing
	// Settling waits until every rank uses the armed map.
	Settling
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{
		"learning", "recovering", "idle", "preparing", "holding", "arming", "deciding", "undoing", "releasing", "settling",
	}[p]
}

// Event is a phase transition, for logs.
type Event struct {
	Phase   Phase
	Version uint64
	Step    uint64
	Reason  string
}
