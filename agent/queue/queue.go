// Package queue schedules the attempts of one agent into the batch slots of its
// engine, by class, team and predicted work.
//
// A Queue gets the time as an argument and never blocks. It is not safe for
// concurrent use; the agent serializes all calls with its own lock.
package queue

import (
	"errors"
	"fmt"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// ErrFull reports that the queue holds MaxItems already.
var ErrFull = errors.New("run queue is full")

// DuplicateError reports that an attempt is already queued or started.
type DuplicateError struct{ Attempt id.Attempt }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("attempt %q is already in the run queue", e.Attempt)
}

// Item is one waiting attempt.
type Item struct {
	Attempt id.Attempt
	Team    id.Team
	Class   msg.Class
	// Work is the predicted number of tokens.
	Work uint32
	// Deadline is the latest time to start. Zero means none.
	Deadline time.Time
}

// Active is one attempt that was started and has not ended.
type Active struct {
	Attempt id.Attempt
	// Remaining is the predicted number of tokens left.
	Remaining uint32
	// Paused is true from the decision to pause until the decision to resume, or
	// until the engine fails to pause the attempt.
	Paused bool
}

// Decision lists the changes that the agent applies, in the order of the fields.
type Decision struct {
	// Expired are items that were not started by their deadline.
	Expired []Item
	// Pause are attempts to take out of the engine's batch.
	Pause []id.Attempt
	// Resume are attempts to put back into the batch.
	Resume []id.Attempt
	// Start are items to hand to the engine.
	Start []Item
}

// Queue schedules the attempts of one engine.
type Queue interface {
	// Push adds an item. The error is ErrFull or a *DuplicateError.
	Push(item Item, now time.Time) error
	// Next makes the scheduling decision at a time. Active must list all attempts
	// that were started and have not ended, including paused ones. It is called
	// after a Push, after the end of an attempt, and no later than NextWake.
	Next(now time.Time, active []Active) Decision
	// Remove removes a waiting item and reports whether there was one.
	Remove(attempt id.Attempt) bool
	// NextWake returns the next time at which the passage of time alone may change
	// the decision of Next, and false if there is none.
	NextWake() (time.Time, bool)
	// Len returns the number of waiting items.
	Len() int
}

const (
	defaultSlots         = 16
	defaultMaxItems      = 1024
	defaultMaxPauses     = 64
	defaultAgeingRate    = 200
	defaultMaxLongWait   = 10 * time.Second
	defaultMaxPauseTime  = 5 * time.Second
	reservedSlotsDivisor = 8
	minLongSlotsDivisor  = 8
)

// Config sets up a Queue.
type Config struct {
	// Slots is the number of attempts in the engine's batch. Default 16.
	Slots int
	// MaxItems bounds the waiting items. Default 1024.
	MaxItems int
	// ReservedShortSlots are slots that long work cannot take. Default an eighth of
	// Slots, at least one if there are two or more slots. A negative value means none.
	ReservedShortSlots int
	// MinLongSlots are the slots below which long work is not preempted and, after
	// MaxLongWait or MaxPauseTime, goes before short work, so that it is never
	// starved. Default an eighth of Slots, at least one. A negative value means none.
	MinLongSlots int
	// MaxShortWait is the wait after which short work preempts long work. Default 0.
	MaxShortWait time.Duration
	// MaxLongWait is the wait after which long work goes before short work. Default 10 s.
	MaxLongWait time.Duration
	// MaxPauseTime is the time after which paused work goes before short work. Default 5 s.
	MaxPauseTime time.Duration
	// MaxPauses bounds the pauses of one attempt. Default 64. A negative value
	// disables preemption.
	MaxPauses int
	// AgeingRate is the number of tokens that each second of waiting subtracts from
	// the predicted work in the order of a team's items. Default 200.
	AgeingRate float64
	// Weights are the relative shares of teams. The default of a team is 1.
	Weights map[id.Team]float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.MaxItems, defaultMaxItems)
	setDefault(&c.MaxLongWait, defaultMaxLongWait)
	setDefault(&c.MaxPauseTime, defaultMaxPauseTime)
	setDefault(&c.AgeingRate, defaultAgeingRate)
	c.MaxShortWait = max(c.MaxShortWait, 0)
	setOptional(&c.MaxPauses, defaultMaxPauses)
	setOptional(&c.ReservedShortSlots, max(1, c.Slots/reservedSlotsDivisor))
	setOptional(&c.MinLongSlots, max(1, c.Slots/minLongSlotsDivisor))
	c.ReservedShortSlots = min(c.ReservedShortSlots, c.Slots-1)
	c.MinLongSlots = min(c.MinLongSlots, c.Slots-c.ReservedShortSlots)
	return c
}

func setDefault[T int | time.Duration | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// setOptional replaces zero by the default, and a negative value by zero.
func setOptional(field *int, value int) {
	switch {
	case *field == 0:
		*field = value
	case *field < 0:
		*field = 0
	}
}
