package queue

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// FIFO starts items in order of arrival and never preempts. It is the baseline
// against which ShortFirst is measured.
type FIFO struct {
	config Config
	items  []Item
}

var _ Queue = (*FIFO)(nil)

// NewFIFO returns an empty queue. It uses only Slots and MaxItems of c.
func NewFIFO(c Config) *FIFO {
	return &FIFO{config: c.withDefaults()}
}

// Push implements Queue.
func (q *FIFO) Push(item Item, _ time.Time) error {
	if q.index(item.Attempt) >= 0 {
		return &DuplicateError{Attempt: item.Attempt}
	}
	if len(q.items) >= q.config.MaxItems {
		return ErrFull
	}
	q.items = append(q.items, item)
	return nil
}

func (q *FIFO) index(attempt id.Attempt) int {
	return slices.IndexFunc(q.items, func(item Item) bool { return item.Attempt == attempt })
}

// Next implements Queue.
func (q *FIFO) Next(now time.Time, active []Active) Decision {
	var d Decision
	q.items = slices.DeleteFunc(q.items, func(item Item) bool {
		expired := !item.Deadline.IsZero() && !now.Before(item.Deadline)
		if expired {
			d.Expired = append(d.Expired, item)
		}
		return expired
	})
	n := min(max(q.config.Slots-len(active), 0), len(q.items))
	d.Start = slices.Clone(q.items[:n])
	q.items = slices.Delete(q.items, 0, n)
	return d
}

// Remove implements Queue.
func (q *FIFO) Remove(attempt id.Attempt) bool {
	i := q.index(attempt)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// NextWake implements Queue.
func (q *FIFO) NextWake() (time.Time, bool) {
	var wake time.Time
	for _, item := range q.items {
		wake = earlier(wake, item.Deadline)
	}
	return wake, !wake.IsZero()
}

// Len implements Queue.
func (q *FIFO) Len() int { return len(q.items) }

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
