// Package mapswitch changes the expert map of a group whose ranks run in
// lock-step and obey simple orders: prepare, arm, disarm, hold and release. No
// pass may begin while two ranks have different maps, although orders may be
// lost, be carried out seconds late, or come from a coordinator that was paused
// and replaced.
//
// A change prepares the map at all ranks, holds a step at one rank, arms the map
// for that step at all ranks and then releases the step. Two rules make it safe:
//
//   - A step is released only if every rank was seen armed with one version, or
//     if no rank is armed and each has taken a fence.
//   - A rank is disarmed only after a fence has taken at a rank of the group.
//
// A fence is an order to prepare the map that is already in use under a higher
// version. A rank that takes it is not armed, and no late order of a lower
// version can arm it. So if a fence took first, some rank was never armed and
// nobody releases the step before all are fenced; otherwise nobody disarms, and
// all ranks that were seen armed still are. Any coordinator can therefore finish
// what another one began, at any time.
//
// A host is most likely to stall while it works on an order, and then its rank
// can't be asked. So the hold is passed on by another rank's relay, which has to
// answer once more, a little later, before its own rank is armed: a rank that was
// never asked to be armed needs no fence, and the change is undone without it.
//
// Holds do not tell whose they are. Each lease therefore has its own rank, and in
// small groups its own residue of steps, at which it holds; it never holds a step
// again that it may have released.
//
// Coordinator is a state machine without input, output or clock of its own.
package mapswitch

import (
	"time"
)

// Map holds the experts by set, rank and place. It must not be changed.
type Map [][][]int

// Op names what an order asks of a rank.
type Op uint8

const (
	// Prepare copies the weights that a map needs.
	Prepare Op = iota + 1
	// Arm lets the rank take a prepared map into use at a step.
	Arm
	// Disarm withdraws an Arm.
	Disarm
	// Hold keeps the group from beginning a step.
	Hold
	// Release ends a Hold.
	Release
	// Ping changes nothing. Its result shows that the rank's relay answers.
	Ping
)

// String returns the operation's name for logs.
func (o Op) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "release", "ping"}[o]
}

// Order asks a rank for a change.
type Order struct {
	// ID identifies the order in its Result.
	ID   uint64
	Rank int
	// Via is the rank whose relay passes the order on.
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

// Outcome tells how a rank answered an order.
type Outcome uint8

const (
	// Unknown means that the order may be carried out now or later.
	Unknown Outcome = iota
	// Done means that the order is carried out, or begun.
	Done
	// Conflict means that the order does not fit the state of the rank.
	Conflict
)

// Report is the state of a rank as seen at some time before it arrives.
type Report struct {
	Rank int
	// Epoch grows each time that the group forms. A new epoch has map zero and
	// nothing prepared, armed or held.
	Epoch uint64
	// Open is false while the group lacks a rank.
	Open bool
	// Step is the last step that was begun.
	Step uint64
	// Version is the map in use.
	Version uint64
	// Prepared and Armed are versions, zero for none.
	Prepared, Armed uint64
	// Held is the step that the group does not begin, zero for none.
	Held uint64
}

// Config sets up a Coordinator.
type Config struct {
	// Ranks is the number of ranks of the group. Required.
	Ranks int
	// LeadSteps is the least number of steps between the last one begun and that of a
	// change. Default: 2, so that arming ends while a step is still under way
	// and the group does not wait for it. It grows with the way to the ranks.
	LeadSteps uint64
	// ResendInterval is the least time after which an order without an answer is sent
	// again. Default: 40 ms, several times the way to a near rank and back.
	ResendInterval time.Duration
	// PrepareTimeout is the time after which a change whose weights are not
	// copied is abandoned. Default: 3 s.
	PrepareTimeout time.Duration
	// HoldTimeout is the time for which a step is held before a change is undone.
	// Default: 400 ms, about five times a pass.
	HoldTimeout time.Duration
	// PingDelay is the time after the hold from which on an answer of the relay that
	// passed it on counts. Default: 20 ms; a host that stalls over an order does so
	// within a few milliseconds of it.
	PingDelay time.Duration
	// PingTimeout is the least time after the hold in which that relay must answer.
	// Default: 100 ms, PingDelay and twice ResendInterval.
	PingTimeout time.Duration
}

const (
	defaultLead         = 2
	defaultResend       = 40 * time.Millisecond
	defaultPrepareLimit = 3 * time.Second
	defaultHoldLimit    = 400 * time.Millisecond
	defaultPingDelay    = 20 * time.Millisecond
	defaultPingLimit    = 100 * time.Millisecond
	// versionBits is the part of a version that counts within a lease.
	versionBits = 20
	// maxHoldTries bounds the steps that a change tries to hold.
	maxHoldTries = 6
	// distinctHolds is the least number of leases in a row whose holders never
	// hold the same step at the same rank.
	distinctHolds = 8
)

func (c Config) withDefaults() Config {
	if c.LeadSteps == 0 {
		c.LeadSteps = defaultLead
	}
	if c.ResendInterval == 0 {
		c.ResendInterval = defaultResend
	}
	if c.PrepareTimeout == 0 {
		c.PrepareTimeout = defaultPrepareLimit
	}
	if c.HoldTimeout == 0 {
		c.HoldTimeout = defaultHoldLimit
	}
	if c.PingDelay == 0 {
		c.PingDelay = defaultPingDelay
	}
	if c.PingTimeout == 0 {
		c.PingTimeout = defaultPingLimit
	}
	return c
}

// Phase is what a machine is doing.
type Phase uint8

const (
	// Learning waits for a report of every rank.
	Learning Phase = iota
	// Recovering finds out what an earlier coordinator left behind.
	Recovering
	// Idle means that a change can be started.
	Idle
	// Preparing waits for the copies of the weights.
	Preparing
	// Holding waits for the hold of the step.
	Holding
	// Arming waits until every rank is armed.
	Arming
	// Deciding fences the ranks that were not seen armed.
	Deciding
	// Undoing disarms and fences all ranks.
	Undoing
	// Releasing ends the hold.
	Releasing
	// Settling waits until the armed map is in use.
	Settling
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{
		"learning", "recovering", "idle", "preparing", "holding", "arming", "deciding", "undoing", "releasing", "settling",
	}[p]
}

// Event tells what a machine decided, for logs.
type Event struct {
	Phase   Phase
	Version uint64
	Step    uint64
	// Reason tells why.
	Reason string
}
