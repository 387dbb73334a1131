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
	// virtualTime is the greatest start tag popped since the class was last empty.
	virtualTime float64
}

// team holds the waiting entries of one team in one class.
type team struct {
	name   id.Team
	weight float64
	// startTag is the virtual time at which the team's next entry starts.
	startTag float64
	entries  entryHeap
}

func newClass(weights map[id.Team]float64) *class {
	return &class{weights: weights, teams: make(map[id.Team]*team), arrivals: list.New()}
}

func (c *class) len() int { return c.arrivals.Len() }

func (c *class) add(e *entry) {
	t := c.teamOf(e.item.Team)
	if t.entries.Len() == 0 {
		t.startTag = max(t.startTag, c.virtualTime)
	}
	e.team = t
	e.arrivalElement = c.arrivals.PushBack(e)
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
	t = &team{name: name, weight: weight, entries: entryHeap{kind: byAgedWork}}
	c.teams[name] = t
	return t
}

// remove removes an entry without charging its team.
func (c *class) remove(e *entry) {
	e.team.entries.remove(e)
	c.arrivals.Remove(e.arrivalElement)
	if c.len() == 0 {
		clear(c.teams)
		c.virtualTime = 0
	}
}

// pop removes the entry to start next and charges its team. The class must not be
// empty.
func (c *class) pop() *entry {
	var next *team
	for name, t := range c.teams {
		switch {
		case t.entries.Len() > 0:
			next = earlierTeam(next, t)
		case t.startTag <= c.virtualTime:
			delete(c.teams, name)
		}
	}
	e := next.entries.min()
	c.charge(e)
	c.remove(e)
	return e
}

// popOldest is like pop for the entry that has waited longest.
func (c *class) popOldest() *entry {
	e := c.oldest()
	c.charge(e)
	c.remove(e)
	return e
}

func (c *class) charge(e *entry) {
	c.virtualTime = max(c.virtualTime, e.team.startTag)
	e.team.startTag += max(float64(e.item.Work), 1) / e.team.weight
}

// earlierTeam returns the team with the smaller start tag, by name if they are equal.
func earlierTeam(a, b *team) *team {
	if a == nil || b.startTag < a.startTag || b.startTag == a.startTag && b.name < a.name {
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

// oldestWaited reports whether the oldest entry has waited for at least a time.
func (c *class) oldestWaited(now time.Time, atLeast time.Duration) bool {
	e := c.oldest()
	return e != nil && now.Sub(e.arrived) >= atLeast
}

// countWaited counts the entries that have waited for at least a time, up to limit.
func (c *class) countWaited(now time.Time, atLeast time.Duration, limit int) int {
	n := 0
	for element := c.arrivals.Front(); element != nil && n < limit; element = element.Next() {
		if now.Sub(element.Value.(*entry).arrived) < atLeast {
			break
		}
		n++
	}
	return n
}
