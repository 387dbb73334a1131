package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// entry is a waiting item of a ShortFirst queue.
type entry struct {
	item    Item
	arrived time.Time
	// agedWork orders the entries of a team: the predicted work plus the ageing rate
	// times the arrival time. This gives the same order as reducing the work with
	// the wait, but it does not change over time.
	agedWork       float64
	team           *team
	arrivalElement *list.Element
	indices        [heapKinds]int // index in each heap, or notInHeap
}

type heapKind int

const (
	byAgedWork heapKind = iota
	byDeadline
	heapKinds
)

const notInHeap = -1

// entryHeap is a heap that keeps each entry's index, so that any entry can be removed.
type entryHeap struct {
	kind    heapKind
	entries []*entry
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if h.kind == byDeadline {
		return a.item.Deadline.Before(b.item.Deadline)
	}
	return a.agedWork < b.agedWork
}

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].indices[h.kind] = i
	h.entries[j].indices[h.kind] = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.indices[h.kind] = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.indices[h.kind] = notInHeap
	return e
}

func (h *entryHeap) add(e *entry) { heap.Push(h, e) }

func (h *entryHeap) remove(e *entry) {
	if i := e.indices[h.kind]; i != notInHeap {
		heap.Remove(h, i)
	}
}

// min returns the first entry in heap order, or nil.
func (h *entryHeap) min() *entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}
