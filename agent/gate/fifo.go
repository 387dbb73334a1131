package gate

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// item is an attempt that waits for its start.
type item struct {
	dispatch *msg.Dispatch
	deadline time.Time
}

func newItem(d *msg.Dispatch, now time.Time) item {
	return item{dispatch: d, deadline: now.Add(time.Duration(d.QueueTimeout) * time.Microsecond)}
}

// fifo holds waiting attempts in order of arrival.
type fifo struct {
	items []item
}

func (q *fifo) len() int { return len(q.items) }

func (q *fifo) push(it item) { q.items = append(q.items, it) }

func (q *fifo) next() (item, bool) {
	if len(q.items) == 0 {
		return item{}, false
	}
	it := q.items[0]
	q.items = q.items[1:]
	return it, true
}

func (q *fifo) remove(attempt id.Attempt) {
	q.items = slices.DeleteFunc(q.items, func(it item) bool { return it.dispatch.Attempt == attempt })
}

// expired removes and returns the attempts whose deadline has passed.
func (q *fifo) expired(now time.Time) []item {
	var out []item
	q.items = slices.DeleteFunc(q.items, func(it item) bool {
		if now.After(it.deadline) {
			out = append(out, it)
			return true
		}
		return false
	})
	return out
}
