package queue

import (
	"container/list"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// class holds the waiting entries of one class. Teams share it by start-time
// fair queueing in tokens; within a team the shortest work goes first.
type class struct {
	weights  map[id.Team]float64
	teams    map[id.Team]*team
	arrivals *list.List // of *entry, oldest first
	// virtual is the start tag of the work that was taken last.
	virtual float64
}

// team holds the waiting entries of one team in one class.
type team struct {
	name   id.Team
	weight float64
	// start is the virtual time at which the team's next work starts.
	start   float64
	entries entryHeap
}

func newClass(weights map[id.Team]float64) *class {
	return &class{weights: weights, teams: make(map[id.Team]*team), arrivals: list.New()}
}

func (c *class) len() int { return c.arrivals.Len() }

func (c *class) add(e *entry) {
	t := c.teamOf(e.item.Team)
	if t.entries.Len() == 0 {
		t.start = max(t.start, c.virtual)
	}
	e.team = t
	e.arrival = c.arrivals.PushBack(e)
	t.entries.add(e)
}

func (c *class) teamOf(name id.Team) *team {
	t, ok := c.teams[name]
	if ok {
		return t
	}
	weight := c.weights[name]
	if weight <= 0 {
		weight = 1
	}
	t = &team{name: name, weight: weight, entries: entryHeap{kind: byKey}}
	c.teams[name] = t
	return t
}

// remove takes an entry out without charging its team.
func (c *class) remove(e *entry) {
	e.team.entries.remove(e)
	c.arrivals.Remove(e.arrival)
	if c.len() == 0 {
		clear(c.teams)
		c.virtual = 0
	}
}

// take removes the entry that goes next and charges its team. The class must
// not be empty.
func (c *class) take() *entry {
	var next *team
	for name, t := range c.teams {
		switch {
		case t.entries.Len() > 0:
			next = lesser(next, t)
		case t.start <= c.virtual:
			delete(c.teams, name)
		}
	}
	e := next.entries.first()
	c.charge(e)
	c.remove(e)
	return e
}

// takeOldest removes the entry that has waited longest and charges its team.
func (c *class) takeOldest() *entry {
	e := c.oldest()
	c.charge(e)
	c.remove(e)
	return e
}

func (c *class) charge(e *entry) {
	c.virtual = max(c.virtual, e.team.start)
	e.team.start += max(float64(e.item.Work), 1) / e.team.weight
}

// lesser returns the team with the earlier start, by name if they are equal.
func lesser(a, b *team) *team {
	if a == nil || b.start < a.start || b.start == a.start && b.name < a.name {
		return b
	}
	return a
}

// oldest returns the entry that has waited longest, or nil.
func (c *class) oldest() *entry {
	if front := c.arrivals.Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

// overdue reports whether the oldest entry has waited for the bound.
func (c *class) overdue(now time.Time, bound time.Duration) bool {
	e := c.oldest()
	return e != nil && now.Sub(e.arrived) >= bound
}

// countOverdue returns the number of entries that have waited for the bound, up to limit.
func (c *class) countOverdue(now time.Time, bound time.Duration, limit int) int {
	n := 0
	for element := c.arrivals.Front(); element != nil && n < limit; element = element.Next() {
		if now.Sub(element.Value.(*entry).arrived) < bound {
			break
		}
		n++
	}
	return n
}
