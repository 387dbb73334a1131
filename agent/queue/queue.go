// Package queue decides which attempts an agent hands to its engine, and when.
//
// A Queue works on explicit state and an explicit clock. It is not safe for
// concurrent use; the agent calls all methods under the lock of its ledger, and
// none of them blocks.
package queue

import (
	"errors"
	"fmt"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// ErrFull refuses an item beyond the queue's bound.
var ErrFull = errors.New("run queue is full")

// DuplicateError refuses an attempt that is already queued or started.
type DuplicateError struct{ Attempt id.Attempt }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("attempt %q is already in the run queue", e.Attempt)
}

// Item is one attempt that waits for its start.
type Item struct {
	Attempt id.Attempt
	Team    id.Team
	Class   msg.Class
	// Work is the predicted number of tokens.
	Work uint32
	// Deadline is the latest start. Zero means none.
	Deadline time.Time
}

// Active is one attempt that was started and has not ended.
type Active struct {
	Attempt id.Attempt
	// Remaining is the predicted number of tokens left.
	Remaining uint32
	// Paused is true from the decision to pause on, until the decision to
	// resume or until the engine has refused the pause.
	Paused bool
}

// Decision is what the agent has to do, in the order of the fields.
type Decision struct {
	// Expired are items whose deadline has passed. They were not started.
	Expired []Item
	// Pause are attempts to take out of the engine's batch.
	Pause []id.Attempt
	// Resume are attempts to put back into the batch.
	Resume []id.Attempt
	// Start are items to hand to the engine.
	Start []Item
}

// Queue orders the attempts of one engine.
type Queue interface {
	// Push adds an item. The error is ErrFull or a *DuplicateError.
	Push(item Item, now time.Time) error
	// Next decides what happens now. The active attempts must be all those that
	// were started and have not ended, paused ones included. The agent calls it
	// after a Push, after the end of an attempt, and at the time of Wake.
	Next(now time.Time, active []Active) Decision
	// Remove takes a waiting item out and reports whether there was one.
	Remove(attempt id.Attempt) bool
	// NextWake returns the next time at which Next may decide otherwise although
	// nothing has happened, and false if there is none.
	NextWake() (time.Time, bool)
	// Len returns the number of waiting items.
	Len() int
}

const (
	defaultSlots        = 16
	defaultMaxItems     = 1024
	defaultMaxPauses    = 64
	defaultAgeing       = 200
	defaultLongBound    = 10 * time.Second
	defaultPauseBound   = 5 * time.Second
	defaultReservedPart = 8
	defaultLongPart     = 8
)

// Config sets up a Queue.
type Config struct {
	// Slots is the number of attempts in the engine's batch. Default 16.
	Slots int
	// MaxItems bounds the waiting items. Default 1024.
	MaxItems int
	// ReservedShortSlots are slots that long work cannot take. Default an eighth of
	// Slots, at least one if there are two slots or more. A negative value
	// means none.
	ReservedShortSlots int
	// MinLongSlots are the slots that long work keeps or takes before short work
	// once it is overdue, so that it is never starved. Default an eighth of
	// Slots, at least one. A negative value means none.
	MinLongSlots int
	// MaxShortWait is the wait in the queue after which short work pauses long
	// work. Default 0, at once.
	MaxShortWait time.Duration
	// MaxLongWait is the wait after which long work goes before short work. Default 10 s.
	MaxLongWait time.Duration
	// MaxPauseTime is the time after which paused work goes before short work. Default 5 s.
	MaxPauseTime time.Duration
	// MaxPauses bounds the pauses of one attempt. Default 64. A negative value
	// means that no attempt is paused.
	MaxPauses int
	// AgeingRate is the number of tokens by which waiting work counts as shorter
	// for each second of its wait. Default 200.
	AgeingRate float64
	// Weights are the shares of teams. A team without one has the weight 1.
	Weights map[id.Team]float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.MaxItems, defaultMaxItems)
	setDefault(&c.MaxLongWait, defaultLongBound)
	setDefault(&c.MaxPauseTime, defaultPauseBound)
	setDefault(&c.AgeingRate, defaultAgeing)
	c.MaxShortWait = max(c.MaxShortWait, 0)
	setOptional(&c.MaxPauses, defaultMaxPauses)
	setOptional(&c.ReservedShortSlots, max(1, c.Slots/defaultReservedPart))
	setOptional(&c.MinLongSlots, max(1, c.Slots/defaultLongPart))
	c.ReservedShortSlots = min(c.ReservedShortSlots, c.Slots-1)
	c.MinLongSlots = min(c.MinLongSlots, c.Slots-c.ReservedShortSlots)
	return c
}

func setDefault[T int | time.Duration | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// setOptional sets a default for zero, and zero for a negative value.
func setOptional(field *int, value int) {
	switch {
	case *field == 0:
		*field = value
	case *field < 0:
		*field = 0
	}
}
